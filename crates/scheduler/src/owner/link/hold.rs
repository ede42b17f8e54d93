//! Renews the lease of a VM and receives the ends of its runs, both with `hold` calls, which the VM may leave open until a
//! run ends.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use thistle_platform::OrderError;
use thistle_platform::worker::Hold;
use thistle_schedule::{Ms, VmLoss};

use super::super::Event;
use super::{NO_LEASE_PAUSE, RETRY_PAUSE, Shared};
use crate::clock::steady_ms;
use crate::locks::lock;

/// How long to wait for the acknowledgement of ends before leases are renewed without it.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);
/// How long after an answer the VM is certainly still the incarnation that gave it, in milliseconds: a restart takes longer.
const SAME_INCARNATION_MS: Ms = 50;
/// Pause between renewals while ends cannot be acknowledged, as the VM then answers immediately.
const UNACKED_PAUSE: Duration = Duration::from_millis(500);

/// Renews the lease and forwards the VM's reports to the owner, until the link is closed.
pub(super) async fn run(link: Arc<Shared>) {
    let mut reachable = true;
    let mut loss_reported = false;
    let mut withheld_logged = false;
    let mut wait = Duration::ZERO;
    // Whether the latest call replaces one that was interrupted.
    let mut was_woken = false;
    let mut acked = link.acked.subscribe();
    // When this incarnation last answered a call.
    let mut answered_at = None;
    loop {
        // Read before the check: after a pause in between, a lease from a later time would outlast the right to grant it.
        let checked_at = steady_ms();
        if !link.may_send() {
            link.answers.set_unknown();
            tokio::time::sleep(NO_LEASE_PAUSE).await;
            continue;
        }
        let sent_at = steady_ms();
        let deadline_ms = lock(&link.lease).grant(checked_at);
        let acknowledged = *acked.borrow_and_update();
        // A VM without a recent answer may have restarted, and its next incarnation numbers ends from 1 and must not
        // drop any of them. This call therefore acknowledges nothing; the next one, sent right after the answer,
        // acknowledges the ends.
        let same_incarnation = answered_at.is_some_and(|at| sent_at <= at + SAME_INCARNATION_MS);
        let last_seen = if same_incarnation { acknowledged } else { 0 };
        if last_seen < acknowledged {
            wait = Duration::ZERO;
        }
        let request = Hold { token: link.token.on_the_wire, last_seen, deadline_ms, wait };
        let result = tokio::select! {
            result = link.client.hold(request, sent_at) => result,
            () = link.wake_poll.notified() => {
                (answered_at, wait, was_woken) = (None, Duration::ZERO, true);
                continue;
            }
        };
        // Calls are made one after the other, so a clock that went back shows another incarnation, also of a VM that
        // does not report its start time.
        let result = match result {
            Ok(held) if lock(&link.lease).was_clock_reset(held.clock_ms) => {
                Err(OrderError::Restarted(link.vm.clone()))
            }
            result => result,
        };
        answered_at = result.is_ok().then(steady_ms);
        link.answers.record(&result);
        counter!("thistle_vm_calls").increment(1);
        match result {
            Ok(held) if lock(&link.lease).is_clock_behind(held.clock_ms, sent_at) => {
                // Ends of the next incarnation must not be acknowledged by the numbers of this one.
                log::info!("vm step=clock-behind vm={} clock_ms={}", link.vm, held.clock_ms);
                link.send_possible_restart(&link.vm);
                link.over.store(true, Ordering::Relaxed);
                return;
            }
            Ok(held) => {
                if lock(&link.lease).last_clock().is_none() {
                    log_first_answer(&link, held.clock_ms, sent_at);
                }
                lock(&link.lease).record_clock(held.clock_ms, steady_ms());
                let is_bounded = lock(&link.lease).is_bounded();
                if is_bounded && !withheld_logged {
                    log::info!("vm step=lease-withheld vm={}", link.vm);
                }
                withheld_logged = is_bounded;
                if !reachable {
                    link.send_event(Event::Reachable(link.vm.clone(), true));
                }
                // The first answer contains the VM's clock; leases can be given from the next call on. A VM whose lease is
                // bounded gets none until its owner has written a record without it, and must then get one soon.
                wait = match deadline_ms {
                    None => Duration::ZERO,
                    Some(_) if is_bounded => Duration::ZERO,
                    Some(_) => Duration::from_millis(link.wait_ms.load(Ordering::Relaxed)),
                };
                (reachable, loss_reported, was_woken) = (true, false, false);
                link.omits_start_time.store(!held.has_start_time, Ordering::Relaxed);
                link.pending_starts.record_listed(&held.report);
                let last = held.report.ended.iter().map(|e| e.sequence).max();
                link.send_event(Event::Report(link.vm.clone(), held.report));
                match last {
                    Some(last) => {
                        let all_acked = acked.wait_for(|&acked| acked >= last);
                        if tokio::time::timeout(ACK_TIMEOUT, all_acked).await.is_err() {
                            let pause = if is_bounded { RETRY_PAUSE } else { UNACKED_PAUSE };
                            tokio::time::sleep(pause).await;
                            wait = Duration::ZERO;
                        }
                    }
                    None if is_bounded => tokio::time::sleep(RETRY_PAUSE).await,
                    None => (),
                }
            }
            Err(e) if link.report_if_final(&e) => {
                log::info!(
                    "vm step=link-over vm={} acknowledged={acknowledged} deadline_ms={deadline_ms:?} error=\"{e}\"",
                    link.vm
                );
                link.over.store(true, Ordering::Relaxed);
                return;
            }
            Err(e) if reachable && (!wait.is_zero() || was_woken) => {
                // One answer may have been lost. A call that does not wait for ends soon shows whether the VM still answers.
                log::info!("vm step=asked-again vm={} error=\"{e}\"", link.vm);
                lock(&link.lease).set_unresponsive();
                link.send_event(Event::Unanswered);
                (wait, was_woken) = (Duration::ZERO, false);
            }
            Err(e) => {
                if reachable {
                    log::info!("vm step=no-answer vm={} error=\"{e}\"", link.vm);
                    link.send_event(Event::Reachable(link.vm.clone(), false));
                }
                reachable = false;
                lock(&link.lease).set_unresponsive();
                wait = Duration::ZERO;
                let lease_expired = lock(&link.lease).is_expired(steady_ms());
                if lease_expired && !loss_reported {
                    loss_reported = true;
                    link.send_loss(VmLoss::LeaseOver);
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Logs the first answer of an incarnation on its link. Calls of earlier links have no effect on the VM from then on.
fn log_first_answer(link: &Shared, clock_ms: u64, sent_at: Ms) {
    let now = steady_ms();
    log::info!(
        "vm step=first-answer vm={} clock_ms={clock_ms} took_ms={} lease_ms={}",
        link.vm,
        now.saturating_sub(sent_at),
        lock(&link.lease).remaining(now),
    );
}
