//! Writing how far jobs are.

use std::collections::BTreeSet;

use metrics::counter;
use thistle_platform::KeyedRecord;
use thistle_schedule::job_log::{Version, encode_progress, progress_key};
use thistle_schedule::{JobId, Progress};

use super::Owner;
use crate::journal::Fenced;
use crate::pool_log::PROGRESS;

/// Jobs whose progress is written to the first partition again in one go.
const REPAIR_BATCH: usize = 200;

/// The numbering of an owner's records, and where they went.
#[derive(Debug)]
pub(super) struct ProgressWriter {
    next: Version,
    /// Jobs whose progress stands in the spare partition and is to be written to the first one.
    spilled: BTreeSet<JobId>,
    /// Jobs whose progress may be dropped from the spare partition.
    repaired: BTreeSet<JobId>,
}

impl ProgressWriter {
    /// Makes the writer of a new owner; `spilled` is what its predecessors left in the spare
    /// partition.
    pub fn new(token: u64, spilled: BTreeSet<JobId>) -> Self {
        Self { next: Version { token, number: 0 }, spilled, repaired: BTreeSet::new() }
    }

    fn number(&mut self) -> Version {
        self.next.number += 1;
        self.next
    }
}

impl Owner {
    /// Writes how far jobs are, in as many appends as they need.
    pub(super) async fn write_progress(
        &mut self,
        records: Vec<(JobId, Progress)>,
    ) -> Result<(), Fenced> {
        let mut size = 0;
        let mut batch = Vec::new();
        let mut keyed = Vec::new();
        for (id, progress) in records {
            let version = self.writer.number();
            let record = KeyedRecord::new(progress_key(id), encode_progress(version, &progress));
            if size + record.framed_len() > self.node.settings.max_append_bytes && !keyed.is_empty()
            {
                self.write_batch(std::mem::take(&mut batch), &keyed).await?;
                keyed.clear();
                size = 0;
            }
            size += record.framed_len();
            keyed.push(record);
            batch.push((id, version, progress));
        }
        self.write_batch(batch, &keyed).await
    }

    async fn write_batch(
        &mut self,
        batch: Vec<(JobId, Version, Progress)>,
        keyed: &[KeyedRecord],
    ) -> Result<(), Fenced> {
        let place = self.journal.append(&self.node, keyed).await?;
        let ids = batch.iter().map(|(id, ..)| *id);
        if place.part == PROGRESS {
            for id in ids.filter(|id| self.writer.spilled.remove(id)) {
                self.writer.repaired.insert(id);
            }
        } else {
            counter!("thistle_spare_progress").increment(1);
            for id in ids {
                self.writer.repaired.remove(&id);
                self.writer.spilled.insert(id);
            }
            log::info!("progress step=spare pool={} jobs={}", self.log.pool, batch.len());
        }
        self.log.apply_progress(batch, place).await;
        Ok(())
    }

    /// Writes what went to the spare partition to the first one, once it takes records, and drops it
    /// from the spare one: other nodes read the first one only.
    pub(super) async fn repair_progress(&mut self) -> Result<(), Fenced> {
        if !self.writer.spilled.is_empty() && self.journal.first_takes_records() {
            let ids: Vec<JobId> = self.writer.spilled.iter().take(REPAIR_BATCH).copied().collect();
            let again = self.known_progress(&ids);
            log::info!("progress step=repair pool={} jobs={}", self.log.pool, again.len());
            // What is not known any more was dropped with its submission.
            for id in ids.into_iter().filter(|id| !again.iter().any(|(known, _)| known == id)) {
                self.writer.spilled.remove(&id);
                self.writer.repaired.insert(id);
            }
            self.write_progress(again).await?;
        }
        if self.writer.repaired.is_empty() {
            return Ok(());
        }
        let drops: Vec<KeyedRecord> = self
            .writer
            .repaired
            .iter()
            .map(|&id| KeyedRecord::dropping(progress_key(id)))
            .collect();
        if self.journal.append_to_spare(&self.node, &drops).await? {
            self.writer.repaired.clear();
        }
        Ok(())
    }

    fn known_progress(&self, ids: &[JobId]) -> Vec<(JobId, Progress)> {
        let jobs = self.log.jobs();
        let progress = |&id: &JobId| {
            let entry = jobs.get(id).filter(|entry| entry.spec.is_some())?;
            Some((id, entry.progress.clone()))
        };
        ids.iter().filter_map(progress).collect()
    }
}
