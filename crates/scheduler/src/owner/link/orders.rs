//! Sends orders to a VM until their outcome is known.

use std::sync::Arc;
use std::time::{Duration, Instant};

use metrics::{counter, histogram};
use thistle_platform::worker::Start;
use thistle_platform::{OrderError, StartAnswer};
use thistle_schedule::pool::{StartOrder, StartResult};
use thistle_schedule::start_copies::{CopyFacts, NextCopy, next_copy};
use thistle_schedule::{Ms, Refusal, RunId, StartInFlight, Withheld};

use super::super::losses::LossNumber;
use super::super::start_budget::FirstCopy;
use super::pending_starts::StartState;
use super::{RETRY_PAUSE, Shared, millis};
use crate::clock::steady_ms;
use crate::locks::lock;
use crate::pool_log::SUBMISSION_PARTITIONS;
use crate::relayed_start::{Relayed, StartRequest};
use crate::start_batch::send_in_batch;

/// An order that failed sooner than this is sent again after a pause; one that waited longer for its answer is sent
/// again immediately.
const IMMEDIATE_FAILURE: Duration = Duration::from_millis(50);

/// How many unanswered copies of a stop show that the VM may be lost.
const STOPS_BEFORE_PROBE: u32 = 2;

/// A start is logged if it waited at least this long for its turn, or is sent at least this long after it was
/// placed.
const LOGGED_WAIT: Duration = Duration::from_millis(200);

/// How long a start has waited since it was placed, and for what, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct StartWait {
    placed_at: Ms,
    /// The wait for the record of the placement to be written.
    record_ms: Ms,
    /// The wait for its turn among the starts to the VM.
    place_ms: Ms,
    /// The number of copies sent so far.
    copies: u32,
}

impl StartWait {
    /// Creates the wait of a start whose record was written just now.
    fn new(placed_at: Ms) -> Self {
        let record_ms = steady_ms().saturating_sub(placed_at);
        Self { placed_at, record_ms, place_ms: 0, copies: 0 }
    }

    /// Records a copy that was sent, and logs it if the start had been placed a while before.
    fn log_send(&mut self, link: &Shared, run: RunId, sent: SendFacts) {
        let SendFacts { at, read_ages, listed, list_age } = sent;
        self.copies += 1;
        let age = at.saturating_sub(self.placed_at);
        if self.copies == 1 {
            histogram!("thistle_start_delay_seconds").record(Duration::from_millis(age));
        }
        for (part, age) in SUBMISSION_PARTITIONS.iter().zip(read_ages) {
            let age = Duration::from_millis(age.unwrap_or_else(steady_ms));
            histogram!("thistle_start_read_age_seconds", "part" => part.to_string()).record(age);
        }
        if age < millis(LOGGED_WAIT) {
            return;
        }
        let Self { record_ms, place_ms, copies, .. } = self;
        log::info!(
            "late-start step=sent run={run} vm={} copy={copies} placed_ms_ago={age} record_ms={record_ms} place_ms={place_ms} listed={listed} list_age_ms={list_age:?} read_ages_ms={read_ages:?}",
            link.vm,
        );
    }
}

/// What a node knows when it sends a copy of a start.
#[derive(Clone, Copy, Debug)]
struct SendFacts {
    at: Ms,
    read_ages: [Option<Ms>; SUBMISSION_PARTITIONS.len()],
    listed: &'static str,
    list_age: Option<Ms>,
}

impl SendFacts {
    fn now(link: &Shared) -> Self {
        Self {
            at: steady_ms(),
            read_ages: link.log.read_ages(),
            listed: link.listed_state(),
            list_age: link.node.vms_read.age(),
        }
    }
}

/// Sends a start until its outcome is known, and records the outcome. Returns the outcome and the time since the first copy, if
/// one was sent, or `None` if the start was dropped.
pub(super) async fn start(
    link: &Arc<Shared>,
    order: &Arc<StartOrder>,
    handled_loss: LossNumber,
    first: FirstCopy,
) -> Option<(StartResult, Option<Duration>)> {
    let (mut maybe_arrived, mut first_sent) = (false, None);
    let (arrived, sent) = (&mut maybe_arrived, &mut first_sent);
    let result = send_start(link, order, handled_loss, first, arrived, sent).await;
    match result {
        Some(result) => link.pending_starts.record_result(order.run, result),
        // The run counts until the owner handles the loss of the VM.
        None if maybe_arrived => link.pending_starts.remove(order.run),
        None => link.pending_starts.record_not_executed(order.run),
    }
    result.map(|result| (result, first_sent.map(|sent: Instant| sent.elapsed())))
}

/// Sends a start until its outcome is known or it is cancelled. Sending it again is harmless, as the VM starts a run
/// only once.
///
/// A start may wait for the store and for earlier starts, and its VM may be lost or stop accepting work meanwhile, so each
/// copy is checked right before it is sent. `handled_loss` is the newest loss that the owner had handled when it decided.
/// Sent after a later loss, the start would run a task that the owner also starts elsewhere.
async fn send_start(
    link: &Arc<Shared>,
    order: &Arc<StartOrder>,
    handled_loss: LossNumber,
    mut first: FirstCopy,
    maybe_arrived: &mut bool,
    first_sent: &mut Option<Instant>,
) -> Option<StartResult> {
    // The bytes of the first copy were recorded when it was ordered.
    let mut is_recorded = true;
    let mut came_back = false;
    // When a standby has answered that the job was cancelled, which this node has to read first.
    let mut cancelled_at = 0;
    let mut wait = StartWait::new(order.placed_at);
    let ordered_at = Instant::now();
    let _turn = link.starts.take(order.run.task.job).await?;
    let waited = ordered_at.elapsed();
    wait.place_ms = millis(waited);
    if waited >= LOGGED_WAIT {
        let waited_ms = waited.as_millis();
        log::info!(
            "start step=had-its-turn run={} vm={} waited_ms={waited_ms}",
            order.run,
            link.vm
        );
    }
    let mut deadline_ms = None;
    let mut no_lease_logged = false;
    loop {
        let Some(checked_at) = link.wait_until_may_send().await else {
            log_dropped(link, order.run, *maybe_arrived);
            return None;
        };
        // A copy carries the deadline of the first send and does not extend the lease. If the VM is unresponsive at
        // the first send, it gets no lease and the order is not sent.
        let Some(until) = deadline_ms.or_else(|| lock(&link.lease).grant(checked_at)) else {
            log_no_lease(link, order.run, false);
            return Some(StartResult::NotTaken);
        };
        deadline_ms = Some(until);
        // Checked after the lease is given, so that no lease given after a loss makes the order valid again.
        if link.newest_loss.is_after(handled_loss) {
            log_dropped(link, order.run, *maybe_arrived);
            return None;
        }
        match link.pending_starts.get(order.run) {
            None => {
                log_dropped(link, order.run, *maybe_arrived);
                return None;
            }
            Some(StartState::Unknown) => (),
            Some(StartState::Cancelled) => {
                // Sent in parallel with the stop of the same run, the start could arrive first and run a task of a
                // cancelled job. The outcome of copies that were sent before is known once the stop is answered.
                log::info!("start step=called-off run={} vm={}", order.run, link.vm);
                return (!*maybe_arrived).then_some(StartResult::NotTaken);
            }
            // Another copy could start a finished task again in the VM's next incarnation.
            Some(StartState::Listed) => return Some(StartResult::StartedWithCopies),
        }
        // Asked before the facts are checked: a read in between would hide that the facts checked are too old.
        let may_start = link.may_start() && link.log.has_known_cancels_since(cancelled_at);
        if let Some(reason) = link.withheld(order) {
            let result = if *maybe_arrived { StartResult::Unclear } else { StartResult::Withheld };
            log_withheld(link, order.run, reason, *maybe_arrived);
            return Some(result);
        }
        let facts = CopyFacts {
            maybe_arrived: *maybe_arrived,
            came_back,
            vm_is_unresponsive: lock(&link.lease).is_unresponsive(),
            link_is_full: link.node.uplink.is_full(),
            may_start,
        };
        match next_copy(facts) {
            NextCopy::Send => (),
            NextCopy::PlaceAgain => return Some(StartResult::NotTaken),
            wait => {
                if wait == NextCopy::WaitForLink {
                    counter!("thistle_copies_withheld").increment(1);
                }
                if !*maybe_arrived {
                    deadline_ms = None;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        }
        let refused = if *maybe_arrived { StartResult::Unclear } else { StartResult::NotTaken };
        let Some(_in_flight) = StartInFlight::begin(&link.lease) else {
            if !std::mem::replace(&mut no_lease_logged, true) {
                log_no_lease(link, order.run, *maybe_arrived);
            }
            if !*maybe_arrived {
                return Some(StartResult::NotTaken);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        no_lease_logged = false;
        // Decided under the lock under which the owner withdraws unsent starts, right before the start is sent.
        if !link.pending_starts.begin_send(order.run) {
            log_dropped(link, order.run, *maybe_arrived);
            return None;
        }
        first.record_sent();
        let facts = SendFacts::now(link);
        let sent_at = Instant::now();
        first_sent.get_or_insert(sent_at);
        if !std::mem::take(&mut is_recorded) {
            link.node.uplink.give(order.size().direct);
        }
        let result = match first.through.take() {
            None => {
                wait.log_send(link, order.run, facts);
                send_directly(link, order, until).await
            }
            Some(standby) => {
                let addr = link.client.addr();
                let sent_under = (until, link.token.on_the_wire);
                let request = StartRequest::new(&link.log.pool, addr, order, sent_under);
                let (shared, placed) = (link.clone(), order.clone());
                let is_valid = move || may_still_send(&shared, &placed, handled_loss);
                match send_in_batch(&link.node, standby, request, is_valid).await {
                    Relayed::Sent(result) => {
                        wait.log_send(link, order.run, facts);
                        result
                    }
                    unsent @ (Relayed::Withdrawn | Relayed::Refused(_)) => {
                        first.record_unsent(standby, order, &unsent, &link.node.uplink);
                        link.pending_starts.record_not_executed(order.run);
                        came_back = true;
                        if unsent == Relayed::Refused(Refusal::Cancelled) {
                            cancelled_at = steady_ms();
                        }
                        continue;
                    }
                }
            }
        };
        if result == Err(OrderError::Gone) && !*maybe_arrived {
            // Recorded before the loss is reported, as the owner may handle that at once.
            link.pending_starts.record_not_executed(order.run);
        }
        match result {
            Ok(StartAnswer::Started) if *maybe_arrived => {
                return Some(StartResult::StartedWithCopies);
            }
            Ok(StartAnswer::Started) => return Some(StartResult::Started),
            Ok(StartAnswer::NoRoom) if !*maybe_arrived => return Some(StartResult::NoRoom),
            Err(OrderError::Unhealthy(_)) if !*maybe_arrived => {
                return Some(StartResult::Unhealthy);
            }
            Err(OrderError::NotSent(_)) if !*maybe_arrived => return Some(StartResult::Unhealthy),
            Ok(answer) => {
                log::info!("start step=refused run={} vm={} answer={answer:?}", order.run, link.vm);
                return Some(refused);
            }
            Err(e) if link.report_if_final(&e) => return None,
            Err(e) => {
                let clock_ms = lock(&link.lease).last_clock();
                log::info!(
                    "start step=no-answer run={} vm={} deadline_ms={until} clock_ms={clock_ms:?} error=\"{e}\"",
                    order.run,
                    link.vm
                );
                if matches!(e, OrderError::Unanswered(_)) && *maybe_arrived {
                    link.probe();
                }
                if matches!(e, OrderError::Unanswered(_) | OrderError::Malformed(_)) {
                    *maybe_arrived = true;
                    lock(&link.lease).record_unanswered_start(steady_ms());
                }
            }
        }
        pause_after(sent_at).await;
    }
}

/// Returns whether a first copy that was checked a moment ago may still be sent.
fn may_still_send(link: &Shared, order: &StartOrder, handled_loss: LossNumber) -> bool {
    let may_start = link.may_start();
    may_start
        && link.may_send()
        && !link.newest_loss.is_after(handled_loss)
        && link.pending_starts.get(order.run) == Some(StartState::Unknown)
        && link.withheld(order).is_none()
}

async fn send_directly(
    link: &Shared,
    order: &StartOrder,
    deadline_ms: u64,
) -> Result<StartAnswer, OrderError> {
    let start = Start {
        run: order.run,
        text: &order.spec.text,
        deadline_ms,
        token: link.token.on_the_wire,
        checkpoint: &order.checkpoint,
        ticket: order.ticket.as_deref(),
    };
    link.client.start(start).await
}

/// Sends a stop until it is answered or its VM is lost. The stop of a run that only moves is checked again before each copy.
pub(super) async fn stop(
    link: &Shared,
    run: RunId,
    for_move: bool,
    handled_loss: LossNumber,
) -> Option<()> {
    let mut turn = None;
    let mut unanswered = 0_u32;
    loop {
        if link.wait_until_may_send().await.is_none() || link.newest_loss.is_after(handled_loss) {
            return None;
        }
        if for_move && lock(&link.withheld_moves).contains(&run) {
            // A withheld stop takes no turn from those that may be sent.
            turn = None;
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        if turn.is_none() {
            turn = Some(link.stops.take(run.task.job).await?);
            continue;
        }
        let sent_at = Instant::now();
        match link.client.stop(run, link.token.on_the_wire).await {
            Ok(()) => return Some(()),
            Err(e) if link.report_if_final(&e) => return None,
            Err(e) => {
                log::info!("stop step=no-answer run={run} vm={} error=\"{e}\"", link.vm);
                if matches!(e, OrderError::NotSent(_) | OrderError::Unanswered(_)) {
                    unanswered = unanswered.saturating_add(1);
                }
                // Only once: a VM may answer other calls and no stops.
                if unanswered == STOPS_BEFORE_PROBE {
                    link.probe_without_lease();
                }
            }
        }
        pause_after(sent_at).await;
    }
}

/// Logs and counts a start that is not sent, or not sent again.
pub(super) fn log_withheld(link: &Shared, run: RunId, reason: Withheld, sent: bool) {
    log::info!("late-start step=withheld run={run} vm={} reason={reason:?} sent={sent}", link.vm);
    counter!("thistle_starts_withheld", "reason" => format!("{reason:?}")).increment(1);
}

/// Logs a start that is not sent because its VM gets no lease.
fn log_no_lease(link: &Shared, run: RunId, sent: bool) {
    let bounded = lock(&link.lease).is_bounded();
    log::info!("start step=no-lease run={run} vm={} sent={sent} bounded={bounded}", link.vm);
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
