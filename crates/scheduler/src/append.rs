//! Appending submissions to the first partition that takes them.
//!
//! Load pattern: one partition of a pool, or both, leave appends unanswered while jobs go on coming. Asked one after the other,
//! 0.6 s each, they hold each caller for 1.2 s; the spare one is asked beside the first once the store has answered other
//! calls meanwhile, so that a job is kept up to 0.45 s sooner. Records in two partitions do no harm: they are folded by job.
//!
//! Load pattern: the store turns slow as a turn of load begins. 97 nodes with 200 jobs a second append each job by itself, and each
//! partition's queue is full for seconds (it refuses what would wait for more than two). Whoever finds it slow hands over to the
//! pool's owner, and does not try the spare partition; the owner asks both, of which the spare one is free.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use metrics::counter;
use thistle_platform::{Appended, Guard, KeyedRecord};
use thistle_schedule::Ms;

use crate::clock::steady_ms;
use crate::node::Node;
use crate::pool_log::{PoolLog, SPARE, SUBMISSIONS};
use crate::written::Written;

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);
/// How long a submission that the store surely has not taken is tried again, in milliseconds. The
/// caller is told to come back sooner than it would be by waiting out an outage.
const TRY_FOR_MS: Ms = 400;
/// How long a submission that the store may have taken is tried again, in milliseconds: sending it
/// once more is harmless and may tell what became of it.
const ASK_FOR_MS: Ms = 1_000;
/// How long the first partition may take before the spare one may be asked beside it: more than twice what counts as slow.
const UNUSUAL: Duration = Duration::from_millis(150);
/// After what time of it other calls that are answered fast tell that the store is not slow: those answered before may have been sent
/// before it turned slow.
const SETTLED: Duration = Duration::from_millis(100);
/// How often it is looked whether other calls were answered meanwhile.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// Who appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// The pool's owner, or a node that knows of none: for all that come.
    Owner,
    /// Another node, which may hand over to the owner while the store is slow.
    Other,
}

/// What came of appending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// This became of the records.
    Known(Written),
    /// The store is slow, and it is the pool's owner's to append them.
    OwnersTurn {
        /// They may be written already; doing it twice is harmless.
        may_be_written: bool,
    },
}

/// What came of asking both partitions.
enum Round {
    /// Neither was asked: both have left appends unanswered.
    NotSent,
    /// Nothing is known to be taken, and the store has turned out slow.
    Slow(Written),
    Asked(Written),
}

/// Appends to the first partition that takes the records, for a limited time after `since`.
pub async fn append(
    node: &Arc<Node>,
    log: &Arc<PoolLog>,
    records: &[KeyedRecord],
    since: Ms,
    by: By,
) -> Outcome {
    let mut may_be_written = false;
    loop {
        let round_at = steady_ms();
        match ask_both(node, log, records, since, by).await {
            Round::NotSent if !may_be_written => {
                // What is never sent can be refused truthfully, and the caller may try again.
                log::info!("submit step=not-sent pool={} reason=no-partition-answers", log.pool);
                return Outcome::Known(Written::NotKept);
            }
            Round::Slow(written) => {
                let may_be_written = may_be_written || written == Written::Unknown;
                return Outcome::OwnersTurn { may_be_written };
            }
            Round::NotSent | Round::Asked(Written::NotKept) => (),
            Round::Asked(Written::Kept) => return Outcome::Known(Written::Kept),
            Round::Asked(Written::Unknown) => may_be_written = true,
        }
        let waited = steady_ms().saturating_sub(since);
        match may_be_written {
            // The whole store is silent, or this node's way to it: the caller is told 0.4 s sooner. Once calls go through another
            // node it is asked again.
            true if node.store.detour().is_none()
                && !node.standing.view().has_answered_since(round_at) =>
            {
                return Outcome::Known(Written::Unknown);
            }
            true if waited >= ASK_FOR_MS => return Outcome::Known(Written::Unknown),
            false if waited >= TRY_FOR_MS => return Outcome::Known(Written::NotKept),
            _ => tokio::time::sleep(PAUSE).await,
        }
    }
}

async fn ask_both(
    node: &Arc<Node>,
    log: &Arc<PoolLog>,
    records: &[KeyedRecord],
    since: Ms,
    by: By,
) -> Round {
    let to = |part| append_to(node, log, part, records, since);
    if !log.may_append(SUBMISSIONS).await {
        if by == By::Other && node.store.is_slow() {
            return Round::Slow(Written::NotKept);
        }
        return match log.may_append(SPARE).await {
            true => Round::Asked(to(SPARE).await),
            false => Round::NotSent,
        };
    }
    let sent_at = steady_ms();
    let mut first = pin!(to(SUBMISSIONS));
    let ask_both_now = by == By::Owner && node.store.is_slow();
    if !ask_both_now
        && let Either::Left((written, _)) = select(&mut first, pin!(is_odd(node))).await
    {
        let slow = by == By::Other && node.store.is_slow();
        let ask_spare = match written {
            Written::Kept => false,
            // The spare partition's queue is left to the owner: 32 nodes that asked it when their time was up filled it for two
            // seconds, and of 250 jobs that came meanwhile 29 were kept.
            Written::NotKept | Written::Unknown if slow => return Round::Slow(written),
            Written::NotKept => true,
            Written::Unknown => node.standing.view().has_answered_since(sent_at),
        };
        return match ask_spare && log.may_append(SPARE).await {
            true => Round::Asked(either(written, to(SPARE).await)),
            false => Round::Asked(written),
        };
    }
    if !log.may_append(SPARE).await {
        return Round::Asked(first.await);
    }
    let spare = pin!(to(SPARE));
    let (written, other) = match select(first, spare).await {
        Either::Left((written, other)) => (written, Either::Left(other)),
        Either::Right((written, other)) => (written, Either::Right(other)),
    };
    if written == Written::Kept {
        if matches!(other, Either::Right(_)) && !node.store.is_slow() {
            // The first one has not answered: it is asked before it gets another submission.
            log.suspect(node, SUBMISSIONS);
        }
        return Round::Asked(written);
    }
    Round::Asked(either(written, other.await))
}

/// Ends when an append that began with this has taken unusually long though the store answers other calls as fast as
/// ever.
async fn is_odd(node: &Node) {
    tokio::time::sleep(SETTLED).await;
    let before = node.store.quick_answers();
    tokio::time::sleep(UNUSUAL - SETTLED).await;
    while node.store.quick_answers() == before {
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Returns what became of records that went to two partitions.
fn either(one: Written, other: Written) -> Written {
    match (one, other) {
        (Written::Kept, _) | (_, Written::Kept) => Written::Kept,
        (Written::NotKept, Written::NotKept) => Written::NotKept,
        _ => Written::Unknown,
    }
}

async fn append_to(
    node: &Arc<Node>,
    log: &Arc<PoolLog>,
    part: u32,
    records: &[KeyedRecord],
    since: Ms,
) -> Written {
    match node.store.append(&log.topic, part, Guard::Always, records).await {
        Ok(Appended::Done { offset, end }) => {
            node.standing.note(true);
            if part == SPARE {
                log::info!("submit step=spare pool={} count={}", log.pool, records.len());
                counter!("thistle_spare_submissions").increment(1);
            }
            log.apply_own(node, part, records, offset, end).await;
            Written::Kept
        }
        Ok(other) => {
            log::error!("submit step=refused pool={} part={part} answer={other:?}", log.pool);
            Written::NotKept
        }
        Err(e) => {
            node.standing.note(false);
            if !e.nothing_done() {
                log.suspect(node, part);
            }
            let waited = steady_ms().saturating_sub(since);
            log::info!(
                "submit step=failed pool={} part={part} waited_ms={waited} error=\"{e}\"",
                log.pool,
            );
            if e.nothing_done() { Written::NotKept } else { Written::Unknown }
        }
    }
}
