//! The owner's records: written in order, once each, and only while nobody else owns the pool.

use std::time::Duration;

use thistle_platform::{Appended, Guard, KeyedRecord};
use thistle_schedule::job_log::{encode, progress_key};
use thistle_schedule::{JobId, Progress};

use super::JOURNAL;
use crate::node::Node;
use crate::pool_log::PoolLog;

/// Pause before an append is tried again.
const PAUSE: Duration = Duration::from_millis(30);

/// Another node owns the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced;

/// Writes a pool's progress under a token.
pub struct Journal {
    epoch: u64,
    sequence: u64,
}

impl Journal {
    /// Shuts out all writers with lower tokens.
    pub async fn open(node: &Node, log: &PoolLog, token: u64) -> Result<Self, Fenced> {
        let mut journal = Self { epoch: token, sequence: 0 };
        journal.append_raw(node, log, &[]).await?;
        Ok(journal)
    }

    /// Writes how far jobs are, in as many appends as they need.
    pub async fn append(
        &mut self,
        node: &Node,
        log: &PoolLog,
        records: Vec<(JobId, Progress)>,
    ) -> Result<(), Fenced> {
        let mut size = 0;
        let mut batch = Vec::new();
        let mut keyed = Vec::new();
        for (id, progress) in records {
            let record = KeyedRecord::new(progress_key(id), encode(&progress));
            if size + record.framed_len() > node.settings.max_append_bytes && !keyed.is_empty() {
                self.write(node, log, std::mem::take(&mut batch), &keyed).await?;
                keyed.clear();
                size = 0;
            }
            size += record.framed_len();
            keyed.push(record);
            batch.push((id, progress));
        }
        self.write(node, log, batch, &keyed).await
    }

    async fn write(
        &mut self,
        node: &Node,
        log: &PoolLog,
        batch: Vec<(JobId, Progress)>,
        keyed: &[KeyedRecord],
    ) -> Result<(), Fenced> {
        let (offset, end) = self.append_raw(node, log, keyed).await?;
        log.apply_progress(batch, offset, end).await;
        Ok(())
    }

    /// Appends records and returns their first offset and the partition's end. An append without
    /// an answer is sent again under the same number, and so done once.
    pub async fn append_raw(
        &mut self,
        node: &Node,
        log: &PoolLog,
        records: &[KeyedRecord],
    ) -> Result<(u64, u64), Fenced> {
        loop {
            let guard = Guard::Writer { epoch: self.epoch, sequence: self.sequence };
            match node.store.append(&log.topic, JOURNAL, guard, records).await {
                Ok(Appended::Done { offset, end }) => {
                    node.note_store(true);
                    self.sequence += 1;
                    return Ok((offset, end));
                }
                Ok(Appended::Fenced) => return Err(Fenced),
                Ok(Appended::Sequence(Some(wanted))) => {
                    log::warn!(
                        "journal pool={} step=renumbered sequence={} wanted={wanted}",
                        log.pool,
                        self.sequence,
                    );
                    self.sequence = wanted;
                }
                Ok(other) => log::error!("journal pool={} answer={other:?}", log.pool),
                Err(e) => {
                    node.note_store(false);
                    log::debug!("journal pool={} step=failed error=\"{e}\"", log.pool);
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}
