//! Appends submissions to the first partition of a pool that accepts them.
//!
//! One or both of a pool's partitions may leave appends unanswered while jobs keep arriving. Tried one after the other, at 0.6 s
//! each, they would delay every caller by 1.2 s. The fallback partition is therefore tried in parallel with the first one after
//! the store has answered other calls in the meantime, which stores a job up to 0.45 s sooner. Records in both partitions are
//! harmless because they are combined by job.
//!
//! The store may also turn slow when load rises. If 97 nodes with 200 jobs per second append each job by itself, the queue of
//! each partition is full for seconds; a partition refuses appends that would wait for more than two seconds. A node that finds
//! the store slow forwards its submissions to the pool's owner and does not try the fallback partition. The owner tries both
//! partitions, and the queue of the fallback partition is free for its appends.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use metrics::counter;
use thistle_platform::{Appended, Guard, KeyedRecord};
use thistle_schedule::Ms;
use thistle_schedule::job_log::job_of_cancel_key;

use crate::clock::steady_ms;
use crate::node::Node;
use crate::pool_log::{FALLBACK_SUBMISSIONS, PoolLog, SUBMISSIONS};
use crate::write_outcome::WriteOutcome;

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long a submission that the store certainly has not written is retried, in milliseconds. The caller
/// is asked to retry earlier than if the node waited for an outage to end.
const NOT_WRITTEN_RETRY_MS: Ms = 400;
/// How long a submission that the store may have written is retried, in milliseconds: sending it again is
/// harmless and may reveal the outcome.
const UNCERTAIN_RETRY_MS: Ms = 1_000;
/// How long an append to the first partition may take before the fallback partition may be tried in parallel: more than
/// twice the time from which the store counts as slow.
const FALLBACK_DELAY: Duration = Duration::from_millis(150);
/// The time after the start of an append from which fast answers to other calls show that the store is not slow: calls
/// answered earlier may have been sent before the store turned slow.
const STORE_SPEED_CHECK_DELAY: Duration = Duration::from_millis(100);
/// How often the number of fast answers to other calls is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The role in which a node appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendRole {
    /// The pool's owner, or a node that knows of no owner; it appends the records of all nodes that forward to it.
    Owner,
    /// Another node, which may forward to the owner while the store is slow.
    Other,
}

/// The result of appending records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write outcome of the records.
    Known(WriteOutcome),
    /// The store is slow, and the records should be forwarded to the pool's owner.
    ForwardToOwner {
        /// Whether the records may already be written; writing them twice is harmless.
        may_be_written: bool,
    },
}

/// The result of one attempt to append to the first or the fallback partition.
enum Attempt {
    /// No append was sent, because both partitions have left earlier appends unanswered.
    NotSent,
    /// The records are not known to be written, and the store is slow.
    Slow(WriteOutcome),
    /// An append was sent, with this outcome.
    Sent(WriteOutcome),
}

/// Appends to the first partition that accepts the records, retrying for a limited time after `since`.
pub async fn append(
    node: &Arc<Node>,
    log: &Arc<PoolLog>,
    records: &[KeyedRecord],
    since: Ms,
    role: AppendRole,
) -> Outcome {
    let mut may_be_written = false;
    loop {
        let attempt_at = steady_ms();
        match try_partitions(node, log, records, since, role).await {
            Attempt::NotSent if !may_be_written => {
                // Records that were never sent are certainly not written, so the caller may safely retry.
                log::info!("submit step=not-sent pool={} reason=no-partition-answers", log.pool);
                return Outcome::Known(WriteOutcome::NotKept);
            }
            Attempt::Slow(outcome) => {
                let may_be_written = may_be_written || outcome == WriteOutcome::Unknown;
                return Outcome::ForwardToOwner { may_be_written };
            }
            Attempt::NotSent | Attempt::Sent(WriteOutcome::NotKept) => (),
            Attempt::Sent(WriteOutcome::Kept) => return Outcome::Known(WriteOutcome::Kept),
            Attempt::Sent(WriteOutcome::Unknown) => may_be_written = true,
        }
        let waited = steady_ms().saturating_sub(since);
        match may_be_written {
            // The whole store, or this node's path to it, is unresponsive: the caller gets its reply 0.4 s sooner. Once calls
            // go through another node, the append is retried.
            true if node.store.forwarding_peer().is_none()
                && !node.store_health.view().has_answered_since(attempt_at) =>
            {
                return Outcome::Known(WriteOutcome::Unknown);
            }
            true if waited >= UNCERTAIN_RETRY_MS => return Outcome::Known(WriteOutcome::Unknown),
            false if waited >= NOT_WRITTEN_RETRY_MS => {
                return Outcome::Known(WriteOutcome::NotKept);
            }
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn try_partitions(
    node: &Arc<Node>,
    log: &Arc<PoolLog>,
    records: &[KeyedRecord],
    since: Ms,
    role: AppendRole,
) -> Attempt {
    let to = |part| append_to(node, log, part, records, since);
    if !log.may_append(SUBMISSIONS).await {
        if role == AppendRole::Other && node.store.is_slow() {
            return Attempt::Slow(WriteOutcome::NotKept);
        }
        return match log.may_append(FALLBACK_SUBMISSIONS).await {
            true => Attempt::Sent(to(FALLBACK_SUBMISSIONS).await),
            false => Attempt::NotSent,
        };
    }
    let sent_at = steady_ms();
    let mut first = pin!(to(SUBMISSIONS));
    let in_parallel = role == AppendRole::Owner && node.store.is_slow();
    if !in_parallel
        && let Either::Left((outcome, _)) =
            select(&mut first, pin!(wait_until_unusually_slow(node))).await
    {
        let slow = role == AppendRole::Other && node.store.is_slow();
        let try_fallback = match outcome {
            WriteOutcome::Kept => false,
            // The queue of the fallback partition is left to the owner. If 32 nodes also append there when their first appends
            // time out, that queue stays full for two seconds, and only 29 of 250 jobs that arrive meanwhile are stored.
            WriteOutcome::NotKept | WriteOutcome::Unknown if slow => return Attempt::Slow(outcome),
            WriteOutcome::NotKept => true,
            WriteOutcome::Unknown => node.store_health.view().has_answered_since(sent_at),
        };
        return match try_fallback && log.may_append(FALLBACK_SUBMISSIONS).await {
            true => Attempt::Sent(combine_outcomes(outcome, to(FALLBACK_SUBMISSIONS).await)),
            false => Attempt::Sent(outcome),
        };
    }
    if !log.may_append(FALLBACK_SUBMISSIONS).await {
        return Attempt::Sent(first.await);
    }
    let fallback = pin!(to(FALLBACK_SUBMISSIONS));
    let (outcome, other) = match select(first, fallback).await {
        Either::Left((outcome, other)) => (outcome, Either::Left(other)),
        Either::Right((outcome, other)) => (outcome, Either::Right(other)),
    };
    if outcome == WriteOutcome::Kept {
        if matches!(other, Either::Right(_)) && !node.store.is_slow() {
            // The first partition has not answered: it must answer a probe before it gets another submission.
            log.mark_unresponsive(node, SUBMISSIONS);
        }
        return Attempt::Sent(outcome);
    }
    Attempt::Sent(combine_outcomes(outcome, other.await))
}

/// Completes when an append that started together with this future has taken unusually long although the store still
/// answers other calls fast.
async fn wait_until_unusually_slow(node: &Node) {
    tokio::time::sleep(STORE_SPEED_CHECK_DELAY).await;
    let before = node.store.quick_answers();
    tokio::time::sleep(FALLBACK_DELAY - STORE_SPEED_CHECK_DELAY).await;
    while node.store.quick_answers() == before {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Combines the outcomes of appending the same records to two partitions.
fn combine_outcomes(one: WriteOutcome, other: WriteOutcome) -> WriteOutcome {
    match (one, other) {
        (WriteOutcome::Kept, _) | (_, WriteOutcome::Kept) => WriteOutcome::Kept,
        (WriteOutcome::NotKept, WriteOutcome::NotKept) => WriteOutcome::NotKept,
        _ => WriteOutcome::Unknown,
    }
}

/// Logs where cancellations were written.
fn log_cancels(log: &PoolLog, part: u32, records: &[KeyedRecord], offset: u64) {
    for (offset, record) in (offset..).zip(records) {
        if let Some(id) = job_of_cancel_key(&record.key) {
            log::info!("cancel step=kept id={id} pool={} part={part} offset={offset}", log.pool);
        }
    }
}

async fn append_to(
    node: &Arc<Node>,
    log: &Arc<PoolLog>,
    part: u32,
    records: &[KeyedRecord],
    since: Ms,
) -> WriteOutcome {
    match node.store.append(&log.topic, part, Guard::Always, records).await {
        Ok(Appended::Done { offset, end }) => {
            node.store_health.record_call(true);
            if part == FALLBACK_SUBMISSIONS {
                log::info!("submit step=spare pool={} count={}", log.pool, records.len());
                counter!("thistle_spare_submissions").increment(1);
            }
            log_cancels(log, part, records, offset);
            log.apply_own(node, part, records, offset, end).await;
            WriteOutcome::Kept
        }
        Ok(other) => {
            log::error!("submit step=refused pool={} part={part} answer={other:?}", log.pool);
            WriteOutcome::NotKept
        }
        Err(e) => {
            node.store_health.record_call(false);
            if !e.was_not_executed() {
                log.mark_unresponsive(node, part);
            }
            let waited = steady_ms().saturating_sub(since);
            log::info!(
                "submit step=failed pool={} part={part} waited_ms={waited} error=\"{e}\"",
                log.pool,
            );
            if e.was_not_executed() { WriteOutcome::NotKept } else { WriteOutcome::Unknown }
        }
    }
}
