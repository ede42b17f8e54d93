//! Readers that follow a partition of a keyed topic.

use std::time::Duration;

use metrics::counter;
use thistle_platform::{ReadError, Store, StoreError, Stored, Unreadable};
use thistle_schedule::Ms;

use crate::clock::steady_ms;
use crate::node::Node;
use crate::read_failures::ReadFailures;

/// How long a read waits for records. A longer wait needs fewer calls, but after a link that dropped packets silently
/// has recovered, the node still receives nothing for up to this time.
const WAIT: Duration = Duration::from_millis(800);
/// How long the first read after new records waits. A read that arrives while an append is in progress is not woken by that
/// append (the store replies only when the wait is over), and appends come in bursts.
const WAIT_AFTER_RECORDS: Duration = Duration::from_millis(25);
/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// The records that a read returned.
pub enum Update {
    /// The newest record of each key; keys that are absent no longer exist.
    Reloaded(Vec<Stored>),
    /// The records after the previous read.
    Records(Vec<Stored>),
}

impl Update {
    /// Returns whether the read returned no records.
    pub fn is_empty(&self) -> bool {
        match self {
            Self::Reloaded(records) | Self::Records(records) => records.is_empty(),
        }
    }
}

/// A reader of one partition.
pub struct Tail {
    topic: String,
    part: u32,
    next: Option<u64>,
    read_at: Option<Ms>,
}

impl Tail {
    /// Creates a reader that starts with the newest record of each key.
    pub fn new(topic: impl Into<String>, part: u32) -> Self {
        Self { topic: topic.into(), part, next: None, read_at: None }
    }

    /// Returns the offset of the next record to read.
    pub const fn next_offset(&self) -> Option<u64> {
        self.next
    }

    /// Returns when the latest read that reached the end of the partition was sent: all records that the store had written
    /// before that time are known.
    pub const fn read_at(&self) -> Option<Ms> {
        self.read_at
    }

    /// Reads the new records, waiting for them for up to `wait`.
    pub async fn read(&mut self, store: &Store, wait: Duration) -> Result<Update, StoreError> {
        let Some(from) = self.next else {
            let newest = store.newest(&self.topic, self.part).await?;
            self.next = Some(newest.end);
            report_unreadable(&self.topic, self.part, &newest.unreadable);
            return Ok(Update::Reloaded(newest.records));
        };
        let sent_at = steady_ms();
        match store.read(&self.topic, self.part, from, wait).await {
            Ok(batch) => {
                self.next = Some(batch.next);
                report_unreadable(&self.topic, self.part, &batch.unreadable);
                if batch.next >= batch.end {
                    self.read_at = Some(sent_at);
                }
                Ok(Update::Records(batch.records))
            }
            Err(ReadError::Dropped) => {
                log::info!("tail topic={} part={} step=dropped from={from}", self.topic, self.part);
                self.next = None;
                Ok(Update::Records(Vec::new()))
            }
            Err(ReadError::Store(e)) => Err(e),
        }
    }
}

/// Counts the records of a read that can't be decoded, and logs the first one.
pub fn report_unreadable(topic: &str, part: u32, unreadable: &[Unreadable]) {
    let Some(Unreadable { offset, error }) = unreadable.first() else { return };
    let count = unreadable.len();
    counter!("thistle_unreadable_records").increment(count as u64);
    log::error!(
        "tail topic={topic} part={part} step=unreadable offset={offset} count={count} error=\"{error}\""
    );
}

/// How soon the next read of a partition follows after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// Immediately.
    Immediate,
    /// After a pause, so that records are read in batches.
    Batched,
}

/// Pause of an owner between two batched reads: each VM sends a heartbeat every one or two seconds, and reading the
/// heartbeats one by one would make up half of all calls to the store.
const OWNER_PAUSE: Duration = Duration::from_millis(150);
/// The same pause while no VM is moving to another pool or in maintenance, so that no VM's heartbeat is awaited.
const QUIET_OWNER_PAUSE: Duration = Duration::from_millis(400);

async fn pause_before_next_read(node: &Node, mode: ReadMode) {
    match mode {
        ReadMode::Immediate => (),
        ReadMode::Batched => {
            let quiet = node.fleet.borrow().work.is_empty();
            tokio::time::sleep(if quiet { QUIET_OWNER_PAUSE } else { OWNER_PAUSE }).await;
        }
    }
}

/// Follows a partition until the future is dropped, and calls `apply` with the records of each read and the reader.
/// `mode` sets the pause between two reads.
pub async fn follow(
    node: &Node,
    mut tail: Tail,
    mode: ReadMode,
    mut apply: impl FnMut(Update, &Tail),
) {
    let mut wait = Duration::ZERO;
    let mut failures = ReadFailures::default();
    loop {
        match tail.read(&node.store, wait).await {
            Ok(update) => {
                node.store_health.record_call(true);
                failures.record_success(&tail.topic, tail.part);
                wait = if update.is_empty() { WAIT } else { WAIT_AFTER_RECORDS };
                apply(update, &tail);
                pause_before_next_read(node, mode).await;
            }
            Err(e) => {
                node.store_health.record_call(false);
                failures.record_failure(&tail.topic, tail.part, tail.next, &e);
                tokio::time::sleep(FAILURE_PAUSE).await;
                wait = Duration::ZERO;
            }
        }
    }
}

/// Follows a partition while this node owns something (a pool, the fleet or the caps), each time starting with the newest
/// record of each key, and calls `clear` when the node no longer owns anything. Of 97 nodes only six own something; if the
/// others also followed the entries of 540 VMs and the fleet's records, they would write 209 thousand needless log lines on
/// a calm day.
pub async fn follow_while_owning(
    node: &Node,
    (topic, part): (&str, u32),
    mode: ReadMode,
    mut apply: impl FnMut(Update, &Tail),
    mut clear: impl FnMut(),
) {
    loop {
        node.is_owner.wait_for(true).await;
        let tail = Tail::new(topic, part);
        tokio::select! {
            () = follow(node, tail, mode, &mut apply) => (),
            () = node.is_owner.wait_for(false) => (),
        }
        clear();
    }
}
