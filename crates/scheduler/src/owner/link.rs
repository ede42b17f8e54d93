//! The link to one VM incarnation: renewing its lease, hearing what ends, giving orders.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use metrics::counter;
use thistle_platform::worker::{Hold, Start};
use thistle_platform::{OrderError, StartAnswer, WorkerClient};
use thistle_schedule::pool::{StartOrder, StartResult, Watch};
use thistle_schedule::{RunId, TaskLease, VmFacts, VmId};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, watch};
use tokio::task::AbortHandle;

use super::Event;
use crate::node::{Node, lock, steady_ms};

/// How long a call waits for an end where none is expected. Longer costs fewer calls; the lease is
/// renewed at each.
const WAIT: Duration = Duration::from_millis(1_500);
/// How long a call waits where tasks run that end by themselves. A call that is left unanswered
/// makes the owner deaf to their ends for so long: at 1.5 s, ends of tasks of a second were heard
/// up to 2.1 s late; on three days on which VMs leave calls unanswered, 0.53 in place of 0.49 was
/// earned of what is owed, less costs (means of four plays).
const WAIT_FOR_ENDS: Duration = Duration::from_millis(500);
/// How long a call waits where serving and filling tasks run side by side, whose figures are of the
/// last half second.
const WAIT_CLOSELY: Duration = Duration::from_millis(400);
/// Pause before a VM that does not answer is asked again.
const RETRY: Duration = Duration::from_millis(200);
/// An order that failed sooner than this is sent again after a pause; one that waited for its answer
/// has paused enough.
const FAILED_AT_ONCE: Duration = Duration::from_millis(50);
/// Pause while this node may not act as owner.
const NO_LEASE: Duration = Duration::from_millis(50);
/// How long the acknowledgement of ends is waited for before leases are renewed without it.
const ACK_WAIT: Duration = Duration::from_millis(500);
/// Pause between renewals while ends cannot be acknowledged: the VM answers at once then.
const UNACKED_PAUSE: Duration = Duration::from_millis(500);
/// Orders of one kind to one VM that are under way at once.
const ORDERS_AT_ONCE: usize = 2;

struct Shared {
    node: Arc<Node>,
    vm: VmId,
    token: u64,
    client: WorkerClient,
    lease: Mutex<TaskLease>,
    acked: watch::Sender<u64>,
    closed: AtomicBool,
    /// How long a call may wait for an end, in milliseconds.
    wait_ms: AtomicU64,
    /// Counts how often the lease ran out: a start from before must not be repeated after it.
    lapses: AtomicU32,
    starts: Semaphore,
    stops: Semaphore,
    tx: UnboundedSender<Event>,
}

/// The link to one VM incarnation. Dropping it ends all that it does.
pub struct Link {
    shared: Arc<Shared>,
    holding: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        self.holding.abort();
    }
}

impl Link {
    /// Opens the link.
    pub fn open(node: &Arc<Node>, vm: &VmFacts, token: u64, tx: UnboundedSender<Event>) -> Self {
        let shared = Arc::new(Shared {
            node: node.clone(),
            vm: vm.id.clone(),
            token,
            client: WorkerClient::new(vm.addr, vm.id.clone()),
            lease: Mutex::new(TaskLease::new(node.task_lease(), steady_ms())),
            acked: watch::Sender::new(0),
            closed: AtomicBool::new(false),
            wait_ms: AtomicU64::new(millis(WAIT)),
            lapses: AtomicU32::new(0),
            starts: Semaphore::new(ORDERS_AT_ONCE),
            stops: Semaphore::new(ORDERS_AT_ONCE),
            tx,
        });
        let holding = tokio::spawn(hold(shared.clone())).abort_handle();
        Self { shared, holding }
    }

    /// Lets the VM forget ends up to a number.
    pub fn acknowledge(&self, sequence: u64) {
        self.shared.acked.send_if_modified(|acked| {
            let more = sequence > *acked;
            *acked = sequence.max(*acked);
            more
        });
    }

    /// Sets how often the VM is looked at beside when something ends.
    pub fn watch(&self, watch: Watch) {
        let wait = match watch {
            Watch::Figures => WAIT_CLOSELY,
            Watch::Ends => WAIT_FOR_ENDS,
            Watch::Lease => WAIT,
        };
        self.shared.wait_ms.store(millis(wait), Ordering::Relaxed);
    }

    /// Gives a start order.
    pub fn start(&self, order: StartOrder) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            if let Some(result) = start(&shared, &order).await {
                shared.tell(Event::Started(shared.vm.clone(), order.run, result));
            }
        });
    }

    /// Gives a stop order.
    pub fn stop(&self, run: RunId) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            if stop(&shared, run).await.is_some() {
                shared.tell(Event::Stopped(shared.vm.clone(), run));
            }
        });
    }

    /// Sets the share of its full speed at which a run works.
    pub fn pace(&self, run: RunId, percent: u32) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            if !shared.may_send() {
                return;
            }
            if let Err(e) = shared.client.pace(run, percent, shared.token).await {
                log::debug!("pace step=failed run={run} vm={} error=\"{e}\"", shared.vm);
            }
        });
    }
}

impl Shared {
    fn tell(&self, event: Event) {
        // An owner that has ended needs no news.
        let _ = self.tx.send(event);
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Returns whether orders may go out: checked last before each.
    fn may_send(&self) -> bool {
        !self.is_closed() && self.node.lease_valid()
    }

    /// Waits until orders may go out; returns false when the link was closed.
    async fn until_may_send(&self) -> bool {
        while !self.is_closed() {
            if self.node.lease_valid() {
                return true;
            }
            tokio::time::sleep(NO_LEASE).await;
        }
        false
    }

    /// Returns whether an error ends all dealings with this incarnation, and tells the owner so.
    fn is_over_with(&self, e: &OrderError) -> bool {
        match e {
            OrderError::Gone => self.lost(),
            OrderError::Fenced => self.tell(Event::Fenced(self.vm.clone())),
            OrderError::NotSent(_)
            | OrderError::Unanswered(_)
            | OrderError::Unhealthy(_)
            | OrderError::Malformed(_) => return false,
        }
        true
    }

    fn lost(&self) {
        self.lapses.fetch_add(1, Ordering::Relaxed);
        self.tell(Event::Lost(self.vm.clone()));
    }
}

/// Renews the lease and takes in what the VM says, until the link is closed.
async fn hold(link: Arc<Shared>) {
    let mut reachable = true;
    let mut lost = false;
    let mut wait = Duration::ZERO;
    let mut acked = link.acked.subscribe();
    loop {
        if !link.node.lease_valid() {
            tokio::time::sleep(NO_LEASE).await;
            continue;
        }
        let asked_at = steady_ms();
        let deadline_ms = lock(&link.lease).give(asked_at);
        let last_seen = *acked.borrow_and_update();
        let ask = Hold { token: link.token, last_seen, deadline_ms, wait };
        let result = link.client.hold(ask, asked_at).await;
        counter!("thistle_vm_calls").increment(1);
        match result {
            Ok(held) => {
                lock(&link.lease).read_clock(held.clock_ms, steady_ms());
                if !reachable {
                    link.tell(Event::Reachable(link.vm.clone(), true));
                }
                // The first answer brings the clock; leases can be given from the next call on.
                wait = match deadline_ms {
                    None => Duration::ZERO,
                    Some(_) => Duration::from_millis(link.wait_ms.load(Ordering::Relaxed)),
                };
                (reachable, lost) = (true, false);
                let last = held.report.ended.iter().map(|e| e.sequence).max();
                link.tell(Event::Report(link.vm.clone(), held.report));
                if let Some(last) = last {
                    let settled = acked.wait_for(|&acked| acked >= last);
                    if tokio::time::timeout(ACK_WAIT, settled).await.is_err() {
                        tokio::time::sleep(UNACKED_PAUSE).await;
                        wait = Duration::ZERO;
                    }
                }
            }
            Err(e) if link.is_over_with(&e) => return,
            Err(e) if reachable && !wait.is_zero() => {
                // One answer may have been lost: whether the VM answers at all is soon known.
                log::info!("vm step=asked-again vm={} error=\"{e}\"", link.vm);
                lock(&link.lease).set_silent();
                wait = Duration::ZERO;
            }
            Err(e) => {
                if reachable {
                    log::info!("vm step=no-answer vm={} error=\"{e}\"", link.vm);
                    link.tell(Event::Reachable(link.vm.clone(), false));
                }
                reachable = false;
                lock(&link.lease).set_silent();
                wait = Duration::ZERO;
                let over = lock(&link.lease).is_over(steady_ms());
                if over && !lost {
                    lost = true;
                    link.lost();
                }
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Sends a start until its outcome is known. Sending it again is harmless: the VM has a run once.
async fn start(link: &Shared, order: &StartOrder) -> Option<StartResult> {
    let _permit = link.starts.acquire().await.ok()?;
    let lapses = link.lapses.load(Ordering::Relaxed);
    let mut may_be_there = false;
    let mut deadline_ms = None;
    loop {
        if !link.until_may_send().await || link.lapses.load(Ordering::Relaxed) != lapses {
            return None;
        }
        let sent_at = Instant::now();
        // Sent again it gives no longer lease. The first time, a VM that has fallen silent gets none, and
        // the order is not sent.
        let Some(until) = deadline_ms.or_else(|| lock(&link.lease).give(steady_ms())) else {
            return Some(StartResult::NotTaken);
        };
        deadline_ms = Some(until);
        let start = Start {
            run: order.run,
            text: &order.spec.text,
            deadline_ms: until,
            token: link.token,
            checkpoint: &order.checkpoint,
            ticket: order.ticket.as_deref(),
        };
        let refused = if may_be_there { StartResult::Unclear } else { StartResult::NotTaken };
        match link.client.start(start).await {
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
                may_be_there |= matches!(e, OrderError::Unanswered(_) | OrderError::Malformed(_));
            }
        }
        pause_after(sent_at).await;
    }
}

/// Sends a stop until it is answered.
async fn stop(link: &Shared, run: RunId) -> Option<()> {
    let _permit = link.stops.acquire().await.ok()?;
    let lapses = link.lapses.load(Ordering::Relaxed);
    loop {
        if !link.until_may_send().await || link.lapses.load(Ordering::Relaxed) != lapses {
            return None;
        }
        let sent_at = Instant::now();
        match link.client.stop(run, link.token).await {
            Ok(()) => return Some(()),
            Err(e) if link.is_over_with(&e) => return None,
            Err(e) => log::info!("stop step=no-answer run={run} vm={} error=\"{e}\"", link.vm),
        }
        pause_after(sent_at).await;
    }
}

const fn millis(duration: Duration) -> u64 {
    // The waits above are far below 2^64 ms.
    duration.as_millis() as u64
}

/// Waits before an order that failed is sent again.
async fn pause_after(sent_at: Instant) {
    if sent_at.elapsed() < FAILED_AT_ONCE {
        tokio::time::sleep(RETRY).await;
    }
}
