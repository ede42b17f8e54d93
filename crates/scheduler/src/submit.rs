//! Writing submissions and cancels to the store, many in one append.

use std::sync::Arc;
use std::time::Duration;

use thistle_platform::KeyedRecord;
use thistle_schedule::Ms;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use crate::append::{By, Outcome, append};
use crate::clock::steady_ms;
use crate::hand_over;
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::PoolLog;
use crate::turns::Turns;
use crate::written::Written;

/// How long a submission waits for its turn at most, in milliseconds: while the store is silent those before
/// it take a second each, and a caller that is told sooner can still come back.
const TURN_WITHIN_MS: Ms = 1_000;
/// Appends under way at once: one that waits for the store does not hold up the next.
const APPENDS_AT_ONCE: usize = 4;
/// The same of an owner beside a slow store: each takes all that has come meanwhile, and the next begins as one is half-way.
const SLOW_APPENDS_AT_ONCE: usize = 2;

/// A record to write, and who is told.
#[derive(Debug)]
pub struct Submission {
    /// The record.
    pub record: KeyedRecord,
    /// When it arrived, by the steady clock.
    pub at: Ms,
    /// Another node has handed it over, so that it is appended here.
    pub handed_over: bool,
    /// Who is told.
    pub done: oneshot::Sender<Written>,
}

/// Appends what comes until the pool's log is dropped.
pub async fn start_submitter(
    node: Arc<Node>,
    log: Arc<PoolLog>,
    mut rx: UnboundedReceiver<Submission>,
) {
    let mut held_back: Option<Submission> = None;
    let turns = Turns::new(APPENDS_AT_ONCE, SLOW_APPENDS_AT_ONCE);
    loop {
        let first = match held_back.take() {
            Some(submission) => submission,
            None => match rx.recv().await {
                Some(submission) => submission,
                None => return,
            },
        };
        // A slow store gets few appends from here, each with all that has come meanwhile. What
        // is handed to the pool's owner waits for others there.
        let slow =
            node.store.is_slow() && lock(&node.ownership).relay_of_owner(&log.pool).is_none();
        let waited = steady_ms().saturating_sub(first.at);
        let most = Duration::from_millis(TURN_WITHIN_MS.saturating_sub(waited));
        let Some(turn) = turns.take(slow, most).await else {
            log::info!("submit step=no-turn pool={} waited_ms={TURN_WITHIN_MS}", log.pool);
            // It was never sent, and a caller that has gone away is not told.
            let _ = first.done.send(Written::NotKept);
            continue;
        };
        let mut size = first.record.framed_len();
        let mut batch = vec![first];
        while let Ok(more) = rx.try_recv() {
            size += more.record.framed_len();
            if size > node.settings.max_append_bytes {
                held_back = Some(more);
                break;
            }
            batch.push(more);
        }
        let (node, log) = (node.clone(), log.clone());
        tokio::spawn(async move {
            write(&node, &log, batch).await;
            drop(turn);
        });
    }
}

async fn write(node: &Arc<Node>, log: &Arc<PoolLog>, batch: Vec<Submission>) {
    let handed_over = batch.iter().any(|s| s.handed_over);
    let (records, waiting): (Vec<KeyedRecord>, Vec<_>) =
        batch.into_iter().map(|s| (s.record, (s.at, s.done))).unzip();
    let oldest = waiting.iter().map(|(at, _)| *at).min().unwrap_or_default();
    let written = match handed_over {
        true => append_all(node, log, &records, oldest).await,
        false => write_own(node, log, &records, oldest).await,
    };
    for ((_, done), written) in waiting.into_iter().zip(written) {
        // A caller that has gone away is not told.
        let _ = done.send(written);
    }
}

/// Appends what this node's callers have sent, or hands it to the pool's owner while the store is slow.
async fn write_own(
    node: &Arc<Node>,
    log: &Arc<PoolLog>,
    records: &[KeyedRecord],
    oldest: Ms,
) -> Vec<Written> {
    if lock(&node.ownership).relay_of_owner(&log.pool).is_none() {
        return append_all(node, log, records, oldest).await;
    }
    let mut may_be_written = false;
    if !node.store.is_slow() {
        match append(node, log, records, oldest, By::Other).await {
            Outcome::Known(written) => return vec![written; records.len()],
            Outcome::OwnersTurn { may_be_written: may } => may_be_written = may,
        }
    }
    let written = match hand_over::to_owner(node, log, records).await {
        Some(written) => written,
        None => append_all(node, log, records, oldest).await,
    };
    if !may_be_written {
        return written;
    }
    written.into_iter().map(Written::though_it_may_be_there).collect()
}

async fn append_all(
    node: &Arc<Node>,
    log: &Arc<PoolLog>,
    records: &[KeyedRecord],
    oldest: Ms,
) -> Vec<Written> {
    let written = match append(node, log, records, oldest, By::Owner).await {
        Outcome::Known(written) => written,
        // An owner is told of no other to append for it.
        Outcome::OwnersTurn { may_be_written: true } => Written::Unknown,
        Outcome::OwnersTurn { may_be_written: false } => Written::NotKept,
    };
    vec![written; records.len()]
}
