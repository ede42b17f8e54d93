//! Records that only an owner appends: in order, once each, and only while nobody else owns.

use std::time::Duration;

use thistle_platform::{Appended, Guard, KeyedRecord};

use crate::node::Node;

/// Pause before an append is tried again.
const PAUSE: Duration = Duration::from_millis(30);

/// Another node owns what the records are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced;

/// Writes to one partition under a token.
pub struct Journal {
    topic: String,
    part: u32,
    epoch: u64,
    sequence: u64,
}

impl Journal {
    /// Shuts out all writers with lower tokens.
    pub async fn open(node: &Node, topic: &str, part: u32, token: u64) -> Result<Self, Fenced> {
        let mut journal = Self { topic: topic.to_owned(), part, epoch: token, sequence: 0 };
        journal.append(node, &[]).await?;
        Ok(journal)
    }

    /// Appends records and returns their first offset and the partition's end. An append without
    /// an answer is sent again under the same number, and so done once.
    pub async fn append(
        &mut self,
        node: &Node,
        records: &[KeyedRecord],
    ) -> Result<(u64, u64), Fenced> {
        loop {
            let guard = Guard::Writer { epoch: self.epoch, sequence: self.sequence };
            match node.store.append(&self.topic, self.part, guard, records).await {
                Ok(Appended::Done { offset, end }) => {
                    node.note_store(true);
                    self.sequence += 1;
                    return Ok((offset, end));
                }
                Ok(Appended::Fenced) => return Err(Fenced),
                Ok(Appended::Sequence(Some(wanted))) => {
                    log::warn!(
                        "journal topic={} part={} step=renumbered sequence={} wanted={wanted}",
                        self.topic,
                        self.part,
                        self.sequence,
                    );
                    self.sequence = wanted;
                }
                Ok(other) => log::error!("journal topic={} answer={other:?}", self.topic),
                Err(e) => {
                    node.note_store(false);
                    log::debug!("journal topic={} step=failed error=\"{e}\"", self.topic);
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}
