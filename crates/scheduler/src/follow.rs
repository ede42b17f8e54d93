//! Following a partition of a keyed topic.

use std::time::Duration;

use thistle_platform::{ReadError, Store, StoreError, Stored};
use thistle_schedule::Ms;

use crate::clock::steady_ms;
use crate::node::Node;
use crate::read_failures::ReadFailures;

/// How long a read waits for records. Longer costs fewer calls; while a link is cut silently, the
/// node is deaf for this long after it has healed.
const WAIT: Duration = Duration::from_millis(800);
/// How long the first read after news waits. A read that arrives while an append is under way is
/// not woken by it (seen in plays: the store answers only when the wait is over), and appends
/// come in bursts.
const WAIT_AFTER_NEWS: Duration = Duration::from_millis(25);
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(100);

/// What was read.
pub enum News {
    /// The newest record of each key: what is not in it is gone.
    Reloaded(Vec<Stored>),
    /// Records since the last ones.
    Records(Vec<Stored>),
}

impl News {
    /// Returns whether there are no records.
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
    /// Makes a reader that starts with the newest record of each key.
    pub fn new(topic: impl Into<String>, part: u32) -> Self {
        Self { topic: topic.into(), part, next: None, read_at: None }
    }

    /// Returns the offset of the next record.
    pub const fn next_offset(&self) -> Option<u64> {
        self.next
    }

    /// Returns when the newest read was sent that reached the end of the partition: all that the store had taken by then
    /// is known.
    pub const fn read_at(&self) -> Option<Ms> {
        self.read_at
    }

    /// Reads what is new, waiting for it up to `wait`.
    pub async fn read(&mut self, store: &Store, wait: Duration) -> Result<News, StoreError> {
        let Some(from) = self.next else {
            let newest = store.newest(&self.topic, self.part).await?;
            self.next = Some(newest.end);
            return Ok(News::Reloaded(newest.records));
        };
        let sent_at = steady_ms();
        match store.read(&self.topic, self.part, from, wait).await {
            Ok(batch) => {
                let next = from + batch.records.len() as u64;
                self.next = Some(next);
                if next >= batch.end {
                    self.read_at = Some(sent_at);
                }
                Ok(News::Records(batch.records))
            }
            Err(ReadError::Dropped) => {
                log::info!("tail topic={} part={} step=dropped from={from}", self.topic, self.part);
                self.next = None;
                Ok(News::Records(Vec::new()))
            }
            Err(ReadError::Store(e)) => Err(e),
        }
    }
}

/// How soon a partition is read on after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// At once.
    AtOnce,
    /// After a pause, so that records are read together.
    Bundled,
}

/// Pause of an owner between two reads of bundled records: each VM sends a heartbeat every second
/// or two, and reading them one by one made half of all calls to the store.
const OWNER_PAUSE: Duration = Duration::from_millis(150);
/// The same while no VM is on its way to another pool or back from maintenance, so that none is waited for.
const CALM_OWNER_PAUSE: Duration = Duration::from_millis(400);

async fn rest(node: &Node, pace: Pace) {
    match pace {
        Pace::AtOnce => (),
        Pace::Bundled => {
            let calm = node.fleet.borrow().work.is_empty();
            tokio::time::sleep(if calm { CALM_OWNER_PAUSE } else { OWNER_PAUSE }).await;
        }
    }
}

/// Follows a partition until the task is dropped, handing on what is read, and how far.
/// `pace` tells how soon it reads on.
pub async fn follow(node: &Node, mut tail: Tail, pace: Pace, mut apply: impl FnMut(News, &Tail)) {
    let mut wait = Duration::ZERO;
    let mut failures = ReadFailures::default();
    loop {
        match tail.read(&node.store, wait).await {
            Ok(news) => {
                node.standing.note(true);
                failures.end(&tail.topic, tail.part);
                wait = if news.is_empty() { WAIT } else { WAIT_AFTER_NEWS };
                apply(news, &tail);
                rest(node, pace).await;
            }
            Err(e) => {
                node.standing.note(false);
                failures.add(&tail.topic, tail.part, tail.next, &e);
                tokio::time::sleep(PAUSE).await;
                wait = Duration::ZERO;
            }
        }
    }
}

/// Follows a partition for as long as this node owns something, each time from the newest record of each key,
/// and has what was read forgotten afterwards. Of 97 nodes six own something; the others read and logged what 540 VMs tell
/// of themselves, and each record of the fleet, for nothing: 209 thousand of a calm day's log lines.
pub async fn follow_while_owning(
    node: &Node,
    (topic, part): (&str, u32),
    pace: Pace,
    mut apply: impl FnMut(News),
    mut forget: impl FnMut(),
) {
    loop {
        node.owning.wait_for(true).await;
        let tail = Tail::new(topic, part);
        tokio::select! {
            () = follow(node, tail, pace, |news, _| apply(news)) => (),
            () = node.owning.wait_for(false) => (),
        }
        forget();
    }
}
