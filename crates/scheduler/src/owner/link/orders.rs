//! Sends orders to a VM until their outcome is known.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use thistle_platform::worker::Start;
use thistle_platform::{OrderError, StartAnswer};
use thistle_schedule::pool::{StartOrder, StartResult};
use thistle_schedule::{RunId, VmReport};

use super::super::losses::LossNumber;
use super::{RETRY_PAUSE, Shared};
use crate::clock::steady_ms;
use crate::locks::lock;

/// An order that failed sooner than this is sent again after a pause; one that waited longer for its answer is sent
/// again immediately.
const IMMEDIATE_FAILURE: Duration = Duration::from_millis(50);

/// A start is logged if it waited at least this long for earlier starts to finish.
const LOGGED_WAIT: Duration = Duration::from_millis(200);

/// The state of a start whose outcome is not known yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartState {
    /// The start was neither cancelled nor listed yet.
    Unknown,
    /// The start was cancelled.
    Cancelled,
    /// The VM has listed the run.
    Listed,
}

/// The starts whose outcome is not known yet.
#[derive(Debug, Default)]
pub(super) struct PendingStarts(Mutex<HashMap<RunId, StartState>>);

impl PendingStarts {
    pub fn add(&self, run: RunId) {
        lock(&self.0).insert(run, StartState::Unknown);
    }

    pub fn remove(&self, run: RunId) {
        lock(&self.0).remove(&run);
    }

    /// Cancels the start of a run that is to stop.
    pub fn cancel(&self, run: RunId) {
        if let Some(pending) = lock(&self.0).get_mut(&run) {
            *pending = StartState::Cancelled;
        }
    }

    /// Records the runs that a VM has listed.
    pub fn record_listed(&self, report: &VmReport) {
        let mut starts = lock(&self.0);
        if starts.is_empty() {
            return;
        }
        let listed = report.running.iter().map(|r| r.run).chain(report.ended.iter().map(|e| e.run));
        for run in listed {
            if let Some(pending) = starts.get_mut(&run).filter(|p| **p == StartState::Unknown) {
                *pending = StartState::Listed;
            }
        }
    }

    fn get(&self, run: RunId) -> StartState {
        lock(&self.0).get(&run).copied().unwrap_or(StartState::Unknown)
    }
}

/// Sends a start until its outcome is known or it is cancelled. Sending it again is harmless, as the VM starts a run
/// only once.
///
/// A start may wait for the store and for earlier starts, and its VM may be lost meanwhile. `handled_loss` is the newest
/// loss that the owner had handled when it decided. Sent after a later loss, the start would run a task that the
/// owner also starts elsewhere.
pub(super) async fn start(
    link: &Shared,
    order: &StartOrder,
    handled_loss: LossNumber,
) -> Option<StartResult> {
    let ordered_at = Instant::now();
    let _permit = link.starts.acquire().await.ok()?;
    let waited = ordered_at.elapsed();
    if waited >= LOGGED_WAIT {
        let waited_ms = waited.as_millis();
        log::info!(
            "start step=had-its-turn run={} vm={} waited_ms={waited_ms}",
            order.run,
            link.vm
        );
    }
    let mut maybe_arrived = false;
    let mut deadline_ms = None;
    loop {
        if !link.wait_until_may_send().await {
            log_dropped(link, order.run, maybe_arrived);
            return None;
        }
        // A copy carries the deadline of the first send and does not extend the lease. If the VM is unresponsive at
        // the first send, it gets no lease and the order is not sent.
        let Some(until) = deadline_ms.or_else(|| lock(&link.lease).grant(steady_ms())) else {
            return Some(StartResult::NotTaken);
        };
        deadline_ms = Some(until);
        // Checked after the lease is given, so that no lease given after a loss makes the order valid again.
        if link.newest_loss.is_after(handled_loss) {
            log_dropped(link, order.run, maybe_arrived);
            return None;
        }
        match link.pending_starts.get(order.run) {
            StartState::Unknown => (),
            StartState::Cancelled => {
                // Sent in parallel with the stop of the same run, the start could arrive first and run a task of a
                // cancelled job. The outcome of copies that were sent before is known once the stop is answered.
                log::info!("start step=called-off run={} vm={}", order.run, link.vm);
                return (!maybe_arrived).then_some(StartResult::NotTaken);
            }
            // Another copy could start a finished task again in the VM's next incarnation.
            StartState::Listed => return Some(StartResult::StartedWithCopies),
        }
        if maybe_arrived && lock(&link.lease).is_unresponsive() {
            // The next incarnation could accept a copy, whose lease would start then and end later than the owner expects.
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        if !link.node.halls_known() {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let refused = if maybe_arrived { StartResult::Unclear } else { StartResult::NotTaken };
        if link.is_evacuated() {
            // A copy that was sent before may run; another one could start the task long after the hall was evacuated.
            log::info!(
                "start step=hall-evacuated run={} vm={} hall={} sent={maybe_arrived}",
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
            Ok(StartAnswer::Started) if maybe_arrived => {
                return Some(StartResult::StartedWithCopies);
            }
            Ok(StartAnswer::Started) => return Some(StartResult::Started),
            Ok(StartAnswer::NoRoom) if !maybe_arrived => return Some(StartResult::NoRoom),
            Err(OrderError::Unhealthy(_)) if !maybe_arrived => return Some(StartResult::Unhealthy),
            Err(OrderError::NotSent(_)) if !maybe_arrived => return Some(StartResult::Unhealthy),
            Ok(answer) => {
                log::info!("start step=refused run={} vm={} answer={answer:?}", order.run, link.vm);
                return Some(refused);
            }
            Err(e) if link.report_if_final(&e) => return None,
            Err(e) => {
                log::info!("start step=no-answer run={} vm={} error=\"{e}\"", order.run, link.vm);
                if matches!(e, OrderError::Unanswered(_) | OrderError::Malformed(_)) {
                    maybe_arrived = true;
                    lock(&link.lease).record_unanswered_start(steady_ms());
                }
            }
        }
        pause_after(sent_at).await;
    }
}

/// Sends a stop until it is answered or its VM is lost.
pub(super) async fn stop(link: &Shared, run: RunId, handled_loss: LossNumber) -> Option<()> {
    let _permit = link.stops.acquire().await.ok()?;
    loop {
        if !link.wait_until_may_send().await || link.newest_loss.is_after(handled_loss) {
            return None;
        }
        let sent_at = Instant::now();
        match link.client.stop(run, link.token.on_the_wire).await {
            Ok(()) => return Some(()),
            Err(e) if link.report_if_final(&e) => return None,
            Err(e) => log::info!("stop step=no-answer run={run} vm={} error=\"{e}\"", link.vm),
        }
        pause_after(sent_at).await;
    }
}

fn log_dropped(link: &Shared, run: RunId, sent: bool) {
    let closed = link.is_closed();
    log::info!("start step=dropped run={run} vm={} sent={sent} link_closed={closed}", link.vm);
}

/// Pauses before a failed order is sent again, if it failed immediately.
async fn pause_after(sent_at: Instant) {
    if sent_at.elapsed() < IMMEDIATE_FAILURE {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
