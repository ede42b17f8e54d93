//! Sending orders to a VM until it is known what came of them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use thistle_platform::worker::Start;
use thistle_platform::{OrderError, StartAnswer};
use thistle_schedule::pool::{StartOrder, StartResult};
use thistle_schedule::{RunId, VmReport};

use super::super::losses::LossNumber;
use super::{RETRY, Shared};
use crate::clock::steady_ms;
use crate::locks::lock;

/// An order that failed sooner than this is sent again after a pause; one that waited for its answer
/// has paused enough.
const FAILED_AT_ONCE: Duration = Duration::from_millis(50);

/// A start that waited for longer than this until those before it had come to something is told in the log.
const LONG_WAIT: Duration = Duration::from_millis(200);

/// What is known of a start of which no answer is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    /// Nothing.
    Unknown,
    /// It was called off.
    CalledOff,
    /// The VM has listed the run.
    Listed,
}

/// Starts whose outcome is not known yet.
#[derive(Debug, Default)]
pub(super) struct PendingStarts(Mutex<HashMap<RunId, Pending>>);

impl PendingStarts {
    pub fn add(&self, run: RunId) {
        lock(&self.0).insert(run, Pending::Unknown);
    }

    pub fn remove(&self, run: RunId) {
        lock(&self.0).remove(&run);
    }

    /// Takes in that a run was told to stop.
    pub fn call_off(&self, run: RunId) {
        if let Some(pending) = lock(&self.0).get_mut(&run) {
            *pending = Pending::CalledOff;
        }
    }

    /// Takes in that a VM has listed runs.
    pub fn note_listed(&self, report: &VmReport) {
        let mut starts = lock(&self.0);
        if starts.is_empty() {
            return;
        }
        let listed = report.running.iter().map(|r| r.run).chain(report.ended.iter().map(|e| e.run));
        for run in listed {
            if let Some(pending) = starts.get_mut(&run).filter(|p| **p == Pending::Unknown) {
                *pending = Pending::Listed;
            }
        }
    }

    fn get(&self, run: RunId) -> Pending {
        lock(&self.0).get(&run).copied().unwrap_or(Pending::Unknown)
    }
}

/// Sends a start until its outcome is known or it is called off. Sending it again is harmless: the VM
/// has a run once.
///
/// It may wait for the store, and for its turn, and its VM may be lost meanwhile: `taken_in` is the newest loss that the owner
/// knew of as it decided. Sent after a later one, it would start a task that the owner starts elsewhere.
pub(super) async fn start(
    link: &Shared,
    order: &StartOrder,
    taken_in: LossNumber,
) -> Option<StartResult> {
    let ordered_at = Instant::now();
    let _permit = link.starts.acquire().await.ok()?;
    let waited = ordered_at.elapsed();
    if waited >= LONG_WAIT {
        let waited_ms = waited.as_millis();
        log::info!(
            "start step=had-its-turn run={} vm={} waited_ms={waited_ms}",
            order.run,
            link.vm
        );
    }
    let mut may_be_there = false;
    let mut deadline_ms = None;
    loop {
        if !link.until_may_send().await {
            log_dropped(link, order.run, may_be_there);
            return None;
        }
        // Sent again it gives no longer lease. The first time, a VM that has fallen silent gets none, and
        // the order is not sent.
        let Some(until) = deadline_ms.or_else(|| lock(&link.lease).give(steady_ms())) else {
            return Some(StartResult::NotTaken);
        };
        deadline_ms = Some(until);
        // After the lease was given: one that was given after a loss would make up for it.
        if link.newest_loss.is_after(taken_in) {
            log_dropped(link, order.run, may_be_there);
            return None;
        }
        match link.pending_starts.get(order.run) {
            Pending::Unknown => (),
            Pending::CalledOff => {
                // Beside a stop of the same run it could arrive first, and begin a task of a job that was
                // cancelled before. What came of copies that were sent is known once the stop is answered.
                log::info!("start step=called-off run={} vm={}", order.run, link.vm);
                return (!may_be_there).then_some(StartResult::NotTaken);
            }
            // Sent again it could begin a task that is done, in a next life of the VM.
            Pending::Listed => return Some(StartResult::StartedWithCopies),
        }
        if may_be_there && lock(&link.lease).is_silent() {
            // The lease of a copy that its next life takes would begin with that, and outlast what is waited for.
            tokio::time::sleep(RETRY).await;
            continue;
        }
        if !link.node.halls_known() {
            tokio::time::sleep(RETRY).await;
            continue;
        }
        let refused = if may_be_there { StartResult::Unclear } else { StartResult::NotTaken };
        if link.is_evacuated() {
            // A copy that was sent before may run; sent again it could begin the task long after the hall was evacuated.
            log::info!(
                "start step=hall-evacuated run={} vm={} hall={} sent={may_be_there}",
                order.run,
                link.vm,
                link.hall
            );
            return Some(refused);
        }
        let sent_at = Instant::now();
        let start = Start {
            run: order.run,
            text: &order.spec.text,
            deadline_ms: until,
            token: link.token.on_the_wire,
            checkpoint: &order.checkpoint,
            ticket: order.ticket.as_deref(),
        };
        match link.client.start(start).await {
            Ok(StartAnswer::Started) if may_be_there => {
                return Some(StartResult::StartedWithCopies);
            }
            Ok(StartAnswer::Started) => return Some(StartResult::Started),
            Ok(StartAnswer::NoRoom) if !may_be_there => return Some(StartResult::NoRoom),
            Err(OrderError::Unhealthy(_)) if !may_be_there => return Some(StartResult::Unhealthy),
            Err(OrderError::NotSent(_)) if !may_be_there => return Some(StartResult::Unhealthy),
            Ok(answer) => {
                log::info!("start step=refused run={} vm={} answer={answer:?}", order.run, link.vm);
                return Some(refused);
            }
            Err(e) if link.is_over_with(&e) => return None,
            Err(e) => {
                log::info!("start step=no-answer run={} vm={} error=\"{e}\"", order.run, link.vm);
                if matches!(e, OrderError::Unanswered(_) | OrderError::Malformed(_)) {
                    may_be_there = true;
                    lock(&link.lease).note_unanswered_start(steady_ms());
                }
            }
        }
        pause_after(sent_at).await;
    }
}

/// Sends a stop until it is answered, or its VM is lost with all that runs there.
pub(super) async fn stop(link: &Shared, run: RunId, taken_in: LossNumber) -> Option<()> {
    let _permit = link.stops.acquire().await.ok()?;
    loop {
        if !link.until_may_send().await || link.newest_loss.is_after(taken_in) {
            return None;
        }
        let sent_at = Instant::now();
        match link.client.stop(run, link.token.on_the_wire).await {
            Ok(()) => return Some(()),
            Err(e) if link.is_over_with(&e) => return None,
            Err(e) => log::info!("stop step=no-answer run={run} vm={} error=\"{e}\"", link.vm),
        }
        pause_after(sent_at).await;
    }
}

fn log_dropped(link: &Shared, run: RunId, sent: bool) {
    let closed = link.is_closed();
    log::info!("start step=dropped run={run} vm={} sent={sent} link_closed={closed}", link.vm);
}

/// Waits before an order that failed is sent again.
async fn pause_after(sent_at: Instant) {
    if sent_at.elapsed() < FAILED_AT_ONCE {
        tokio::time::sleep(RETRY).await;
    }
}
