//! Writing submissions and cancels to the store, many in one append.

use std::sync::Arc;
use std::time::Duration;

use thistle_platform::{Appended, Guard, KeyedRecord};
use thistle_schedule::Ms;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Semaphore, oneshot};

use crate::node::{Node, steady_ms};
use crate::pool_log::{PoolLog, SUBMISSIONS};

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);
/// How long a submission that the store surely has not taken is tried again, in milliseconds. The
/// caller is told to come back sooner than it would be by waiting out an outage.
const TRY_FOR_MS: Ms = 400;
/// How long a submission that the store may have taken is tried again, in milliseconds: sending it
/// once more is harmless and may tell what became of it.
const ASK_FOR_MS: Ms = 1_000;
/// Appends under way at once: one that waits for the store does not hold up the next.
const APPENDS_AT_ONCE: u32 = 4;

/// What became of a submission or a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The store has it.
    Kept,
    /// The store surely does not have it and will not get it.
    NotKept,
    /// The store may have it.
    Unknown,
}

/// A record to write, and who is told.
#[derive(Debug)]
pub struct Submission {
    /// The record.
    pub record: KeyedRecord,
    /// When it arrived, by the steady clock.
    pub at: Ms,
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
    let appends = Arc::new(Semaphore::new(APPENDS_AT_ONCE as usize));
    loop {
        // A slow store gets one append at a time from here, with all that has come meanwhile.
        let permits = if node.store.is_slow() { APPENDS_AT_ONCE } else { 1 };
        let Ok(permit) = appends.clone().acquire_many_owned(permits).await else { return };
        let first = match held_back.take() {
            Some(submission) => submission,
            None => match rx.recv().await {
                Some(submission) => submission,
                None => return,
            },
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
            drop(permit);
        });
    }
}

async fn write(node: &Node, log: &PoolLog, batch: Vec<Submission>) {
    let (records, waiting): (Vec<KeyedRecord>, Vec<_>) =
        batch.into_iter().map(|s| (s.record, (s.at, s.done))).unzip();
    let oldest = waiting.iter().map(|(at, _)| *at).min().unwrap_or_default();
    let written = append(node, log, &records, oldest).await;
    for (_, done) in waiting {
        // A caller that has gone away is not told.
        let _ = done.send(written);
    }
}

async fn append(node: &Node, log: &PoolLog, records: &[KeyedRecord], since: Ms) -> Written {
    let mut may_be_written = false;
    // A partition that has left an append unanswered is asked first: what is never sent can be
    // refused truthfully, and the caller may try again.
    if log.is_suspect() {
        if let Err(e) = node.store.probe(&log.topic, SUBMISSIONS).await {
            log::info!("submit step=not-sent pool={} error=\"{e}\"", log.pool);
            return Written::NotKept;
        }
        log.set_suspect(false);
    }
    loop {
        let result = node.store.append(&log.topic, SUBMISSIONS, Guard::Always, records).await;
        let waited = steady_ms().saturating_sub(since);
        match result {
            Ok(Appended::Done { offset, end }) => {
                node.note_store(true);
                log.apply_own(node, records, offset, end).await;
                return Written::Kept;
            }
            Ok(other) => {
                log::error!("submit step=refused pool={} answer={other:?}", log.pool);
                return if may_be_written { Written::Unknown } else { Written::NotKept };
            }
            Err(e) => {
                node.note_store(false);
                may_be_written |= !e.nothing_done();
                log.set_suspect(!e.nothing_done());
                log::info!("submit step=failed pool={} waited_ms={waited} error=\"{e}\"", log.pool);
            }
        }
        match may_be_written {
            true if waited >= ASK_FOR_MS => return Written::Unknown,
            false if waited >= TRY_FOR_MS => return Written::NotKept,
            _ => tokio::time::sleep(PAUSE).await,
        }
    }
}
