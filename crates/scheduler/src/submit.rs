//! Writes submissions and cancellations to the store in batches.

use std::sync::Arc;
use std::time::Duration;

use thistle_platform::KeyedRecord;
use thistle_schedule::Ms;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use crate::append::{AppendRole, Outcome, append};
use crate::clock::steady_ms;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::forward;
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::PoolLog;
use crate::write_outcome::WriteOutcome;

/// The longest time that a submission waits in the queue, in milliseconds: while the store is unresponsive, each earlier append
/// takes a second, and a caller that gets an early reply can still retry.
const MAX_QUEUE_WAIT_MS: Ms = 1_000;
/// The number of concurrent appends, so that an append that waits for the store does not block the next one.
const MAX_APPENDS: usize = 4;
/// The number of concurrent appends of an owner while the store is slow: each append contains all records that have
/// arrived in the meantime, and the next append starts about halfway through the previous one.
const MAX_APPENDS_WHILE_SLOW: usize = 2;

/// A record to write, and the channel for its outcome.
#[derive(Debug)]
pub struct Submission {
    /// The record.
    pub record: KeyedRecord,
    /// When the record arrived, by the steady clock.
    pub at: Ms,
    /// Whether another node has forwarded the record; this node then appends it and does not forward it again.
    pub forwarded: bool,
    /// Receives the write outcome.
    pub outcome_tx: oneshot::Sender<WriteOutcome>,
}

/// Appends submissions in batches until the pool's log is dropped.
pub async fn run_submitter(
    node: Arc<Node>,
    log: Arc<PoolLog>,
    mut rx: UnboundedReceiver<Submission>,
) {
    let mut carried_over: Option<Submission> = None;
    let limit = ConcurrencyLimit::new(MAX_APPENDS, MAX_APPENDS_WHILE_SLOW);
    loop {
        let first = match carried_over.take() {
            Some(submission) => submission,
            None => match rx.recv().await {
                Some(submission) => submission,
                None => return,
            },
        };
        // A slow store gets only a few appends from this node, each with all records that have arrived in the meantime.
        // Records that are forwarded to the pool's owner are batched there.
        let slow =
            node.store.is_slow() && lock(&node.ownership).relay_of_owner(&log.pool).is_none();
        let waited = steady_ms().saturating_sub(first.at);
        let max_wait = Duration::from_millis(MAX_QUEUE_WAIT_MS.saturating_sub(waited));
        let Some(permit) = limit.acquire(slow, max_wait).await else {
            log::info!("submit step=no-turn pool={} waited_ms={MAX_QUEUE_WAIT_MS}", log.pool);
            // The record was never sent. The receiver is gone if the caller has disconnected.
            let _ = first.outcome_tx.send(WriteOutcome::NotKept);
            continue;
        };
        let mut size = first.record.framed_len();
        let mut batch = vec![first];
        while let Ok(more) = rx.try_recv() {
            size += more.record.framed_len();
            if size > node.settings.max_append_bytes {
                carried_over = Some(more);
                break;
            }
            batch.push(more);
        }
        let (node, log) = (node.clone(), log.clone());
        tokio::spawn(async move {
            write(&node, &log, batch).await;
            drop(permit);
        });
    }
}

async fn write(node: &Arc<Node>, log: &Arc<PoolLog>, batch: Vec<Submission>) {
    let forwarded = batch.iter().any(|s| s.forwarded);
    let (records, waiting): (Vec<KeyedRecord>, Vec<_>) =
        batch.into_iter().map(|s| (s.record, (s.at, s.outcome_tx))).unzip();
    let oldest = waiting.iter().map(|(at, _)| *at).min().unwrap_or_default();
    let outcomes = match forwarded {
        true => append_as_owner(node, log, &records, oldest).await,
        false => write_local(node, log, &records, oldest).await,
    };
    for ((_, outcome_tx), outcome) in waiting.into_iter().zip(outcomes) {
        // The receiver is gone if the caller has disconnected.
        let _ = outcome_tx.send(outcome);
    }
}

/// Appends the records of this node's callers, or forwards them to the pool's owner while the store is slow.
async fn write_local(
    node: &Arc<Node>,
    log: &Arc<PoolLog>,
    records: &[KeyedRecord],
    oldest: Ms,
) -> Vec<WriteOutcome> {
    if lock(&node.ownership).relay_of_owner(&log.pool).is_none() {
        return append_as_owner(node, log, records, oldest).await;
    }
    let mut may_be_written = false;
    if !node.store.is_slow() {
        match append(node, log, records, oldest, AppendRole::Other).await {
            Outcome::Known(outcome) => return vec![outcome; records.len()],
            Outcome::ForwardToOwner { may_be_written: maybe } => may_be_written = maybe,
        }
    }
    let outcomes = match forward::to_owner(node, log, records).await {
        Some(outcomes) => outcomes,
        None => append_as_owner(node, log, records, oldest).await,
    };
    if !may_be_written {
        return outcomes;
    }
    outcomes.into_iter().map(WriteOutcome::after_uncertain_append).collect()
}

async fn append_as_owner(
    node: &Arc<Node>,
    log: &Arc<PoolLog>,
    records: &[KeyedRecord],
    oldest: Ms,
) -> Vec<WriteOutcome> {
    let outcome = match append(node, log, records, oldest, AppendRole::Owner).await {
        Outcome::Known(outcome) => outcome,
        // This cannot happen in the role of the owner, which never forwards records to another node.
        Outcome::ForwardToOwner { may_be_written: true } => WriteOutcome::Unknown,
        Outcome::ForwardToOwner { may_be_written: false } => WriteOutcome::NotKept,
    };
    vec![outcome; records.len()]
}
