//! Appends the records that only an owner may write: each once, and only while no other node is the owner.

use std::time::Duration;

use futures::future::try_join_all;
use thistle_platform::{Appended, Guard, KeyedRecord};
use thistle_schedule::Ms;

use crate::clock::steady_ms;
use crate::node::Node;

/// Pause before an append is retried.
pub const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// The backoff of a partition after its first failed append, in milliseconds; other partitions are used in the meantime.
const PARTITION_BACKOFF_MS: Ms = 400;

/// The maximum number of doublings of that backoff, which limit it to 3.2 s: each attempt on an unresponsive partition delays
/// all other appends by the timeout of an append.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The writer is fenced off: another node now owns the pool, the fleet or the caps that the records are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fenced;

/// Where records were appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendPosition {
    /// The partition.
    pub part: u32,
    /// The offset of the first record.
    pub offset: u64,
    /// The end of the partition after the append.
    pub end: u64,
}

/// A writer that appends to one partition under a token, and to others while that partition does not accept appends.
pub struct Journal {
    topic: String,
    partitions: Vec<PartitionState>,
    /// The owner's token, which the store compares with the epochs of other writers.
    epoch: u64,
}

struct PartitionState {
    part: u32,
    /// The sequence number of the next append.
    sequence: u64,
    /// The records that were sent under `sequence` and not answered: they may already be written, or be written later. No other
    /// records may be sent under that number, because the store would treat them as a duplicate.
    unanswered: Option<Vec<KeyedRecord>>,
    /// The partition is not tried before this time unless no other open partition may be tried.
    retry_at: Ms,
    /// The number of consecutive failed attempts.
    failures: u32,
    /// Whether writers with lower epochs are fenced off from the partition.
    fenced: bool,
    /// Whether the partition is written to. A closed partition keeps its sequence number: the store treats a number that it
    /// has seen in this epoch as a duplicate and would not store the records sent under it.
    open: bool,
}

impl PartitionState {
    const fn new(part: u32) -> Self {
        Self {
            part,
            sequence: 0,
            unanswered: None,
            retry_at: 0,
            failures: 0,
            fenced: false,
            open: true,
        }
    }
}

/// The result of one attempt to append.
enum Attempt {
    Done(AppendPosition),
    Failed,
}

impl Journal {
    /// Opens the partitions and fences off all writers with lower tokens. The first partition is the preferred one.
    pub async fn open(node: &Node, topic: &str, parts: &[u32], token: u64) -> Result<Self, Fenced> {
        let partitions = parts.iter().map(|&part| PartitionState::new(part)).collect();
        let mut journal = Self { topic: topic.to_owned(), partitions, epoch: token };
        let epoch = journal.epoch;
        let fence = |partition| fence(node, topic, epoch, partition);
        try_join_all(journal.partitions.iter_mut().map(fence)).await?;
        Ok(journal)
    }

    /// Appends records to the first partition that accepts them.
    ///
    /// An unanswered append may be written twice, in two partitions, or be written late. The records themselves must
    /// therefore show which of them is newer.
    pub async fn append(
        &mut self,
        node: &Node,
        records: &[KeyedRecord],
    ) -> Result<AppendPosition, Fenced> {
        if self.partitions.len() == 1 {
            return self.append_to(node, 0, records).await;
        }
        loop {
            if let Some(position) = self.try_append(node, records).await? {
                return Ok(position);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Tries each open partition that is not in backoff once, or each open one if all are in backoff, until one accepts the
    /// records; returns where they were appended, if anywhere.
    pub async fn try_append(
        &mut self,
        node: &Node,
        records: &[KeyedRecord],
    ) -> Result<Option<AppendPosition>, Fenced> {
        let now = steady_ms();
        let all_in_backoff =
            self.partitions.iter().all(|partition| !partition.open || partition.retry_at > now);
        for i in 0..self.partitions.len() {
            let partition = &self.partitions[i];
            if !partition.open || partition.retry_at > now && !all_in_backoff {
                continue;
            }
            if let Attempt::Done(position) = self.try_once(node, i, records).await? {
                return Ok(Some(position));
            }
        }
        Ok(None)
    }

    /// Returns whether any of these partitions is written to.
    pub fn has_any_partition(&self, parts: &[u32]) -> bool {
        self.partitions.iter().any(|partition| partition.open && parts.contains(&partition.part))
    }

    /// Adds partitions to write to. Each is written to only after writers with lower epochs are fenced off from it.
    pub fn add_partitions(&mut self, parts: &[u32]) {
        for &part in parts {
            match self.partitions.iter_mut().find(|partition| partition.part == part) {
                Some(partition) => partition.open = true,
                None => self.partitions.push(PartitionState::new(part)),
            }
        }
    }

    /// Stops writing to some partitions. Records that they left unanswered have been written to another partition too.
    pub fn close_partitions(&mut self, parts: &[u32]) {
        for partition in
            self.partitions.iter_mut().filter(|partition| parts.contains(&partition.part))
        {
            partition.open = false;
        }
    }

    /// Tries once to append records to one partition; returns whether the partition accepted them.
    pub async fn append_to_part(
        &mut self,
        node: &Node,
        part: u32,
        records: &[KeyedRecord],
    ) -> Result<bool, Fenced> {
        let index =
            self.partitions.iter().position(|partition| partition.open && partition.part == part);
        let Some(index) = index.filter(|&i| self.partitions[i].retry_at <= steady_ms()) else {
            return Ok(false);
        };
        Ok(matches!(self.try_once(node, index, records).await?, Attempt::Done(_)))
    }

    /// Returns whether the first partition is not in backoff.
    pub fn first_partition_is_due(&self) -> bool {
        self.partitions.first().is_some_and(|partition| partition.retry_at <= steady_ms())
    }

    /// Appends records to one partition and retries without a time limit. An unanswered append is sent again under the
    /// same sequence number, so it is written only once.
    async fn append_to(
        &mut self,
        node: &Node,
        index: usize,
        records: &[KeyedRecord],
    ) -> Result<AppendPosition, Fenced> {
        loop {
            if let Attempt::Done(position) = self.try_once(node, index, records).await? {
                return Ok(position);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Tries one partition: first fences it if necessary, then sends its unanswered records, then the new records.
    async fn try_once(
        &mut self,
        node: &Node,
        index: usize,
        records: &[KeyedRecord],
    ) -> Result<Attempt, Fenced> {
        if !self.partitions[index].fenced
            && matches!(self.send(node, index, &[]).await?, Attempt::Failed)
        {
            return Ok(Attempt::Failed);
        }
        if let Some(unanswered) = self.partitions[index].unanswered.clone() {
            let attempt = self.send(node, index, &unanswered).await?;
            if matches!(attempt, Attempt::Failed) || unanswered == records {
                return Ok(attempt);
            }
        }
        self.send(node, index, records).await
    }

    async fn send(
        &mut self,
        node: &Node,
        index: usize,
        records: &[KeyedRecord],
    ) -> Result<Attempt, Fenced> {
        send(node, &self.topic, self.epoch, &mut self.partitions[index], records).await
    }
}

/// Fences writers with lower epochs off from a partition and retries without a time limit.
async fn fence(
    node: &Node,
    topic: &str,
    epoch: u64,
    partition: &mut PartitionState,
) -> Result<(), Fenced> {
    while let Attempt::Failed = send(node, topic, epoch, partition, &[]).await? {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Ok(())
}

async fn send(
    node: &Node,
    topic: &str,
    epoch: u64,
    partition: &mut PartitionState,
    records: &[KeyedRecord],
) -> Result<Attempt, Fenced> {
    let guard = Guard::Writer { epoch, sequence: partition.sequence };
    match node.store.append(topic, partition.part, guard, records).await {
        Ok(Appended::Done { offset, end }) => {
            node.store_health.record_call(true);
            (partition.unanswered, partition.retry_at, partition.failures) = (None, 0, 0);
            partition.fenced = true;
            partition.sequence += 1;
            return Ok(Attempt::Done(AppendPosition { part: partition.part, offset, end }));
        }
        Ok(Appended::Fenced) => return Err(Fenced),
        Ok(Appended::Sequence(Some(wanted))) => {
            log::warn!(
                "journal topic={topic} part={} step=renumbered sequence={} wanted={wanted}",
                partition.part,
                partition.sequence,
            );
            (partition.sequence, partition.unanswered) = (wanted, None);
        }
        Ok(other) => log::error!("journal topic={topic} answer={other:?}"),
        Err(e) => {
            node.store_health.record_call(false);
            if !e.was_not_executed() {
                partition.unanswered = Some(records.to_vec());
            }
            partition.retry_at = steady_ms()
                + (PARTITION_BACKOFF_MS << partition.failures.min(MAX_BACKOFF_DOUBLINGS));
            partition.failures += 1;
            log::info!("journal topic={topic} part={} step=failed error=\"{e}\"", partition.part);
        }
    }
    Ok(Attempt::Failed)
}
