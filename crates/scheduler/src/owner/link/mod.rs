//! The link to one incarnation of a VM: renews its lease, receives the ends of its runs and sends orders.

mod answers;
mod hold;
mod orders;
mod pending_starts;

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use thistle_platform::{OrderError, WorkerClient};
use thistle_schedule::order_turns::MAX_ORDERS_IN_FLIGHT;
use thistle_schedule::pool::{PollReason, StartOrder};
use thistle_schedule::start_check::{self, StartFacts, Withheld};
use thistle_schedule::{Ms, RunId, TaskLease, VmFacts, VmIncarnation, VmLoss};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;

use super::Event;
use super::losses::{LossCounter, LossNumber, NewestLoss};
use super::start_budget::FirstCopy;
use super::tokens::LinkToken;
use crate::clock::steady_ms;
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::PoolLog;
use crate::turns::Turns;
use answers::Answers;
use pending_starts::PendingStarts;

/// Pause before a VM that does not answer is called again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause while this node may not act as owner.
const NO_LEASE_PAUSE: Duration = Duration::from_millis(50);
/// How long a call waits for the end of a run on a VM where none is expected. A longer wait needs fewer calls; each call
/// renews the lease.
const LEASE_WAIT: Duration = Duration::from_millis(1_500);
/// How long a call waits on a VM where tasks run that end by themselves. While a call is left unanswered the owner
/// cannot receive their ends: at 1.5 s, ends of tasks of one second arrived up to 2.1 s late. Over three days on
/// which VMs leave calls unanswered, jobs earn 0.53 of the value due, less costs, at 0.5 s and 0.49 at 1.5 s (means of
/// four runs).
const ENDS_WAIT: Duration = Duration::from_millis(500);
/// How long a call waits on a VM where both serving and filling tasks run, whose metrics cover the last half second.
const METRICS_WAIT: Duration = Duration::from_millis(400);

struct Shared {
    node: Arc<Node>,
    log: Arc<PoolLog>,
    vm: VmIncarnation,
    token: LinkToken,
    client: WorkerClient,
    lease: Mutex<TaskLease>,
    answers: Answers,
    acked: watch::Sender<u64>,
    closed: AtomicBool,
    /// Whether this incarnation of the VM has ended or another node owns the pool.
    over: AtomicBool,
    /// Whether the VM's latest answer contained no start time, so that its answers do not tell its incarnations apart.
    omits_start_time: AtomicBool,
    /// How long a call may wait for an end, in milliseconds.
    wait_ms: AtomicU64,
    losses: Arc<LossCounter>,
    newest_loss: NewestLoss,
    pending_starts: PendingStarts,
    withheld_moves: Mutex<HashSet<RunId>>,
    starts: Turns,
    stops: Turns,
    /// Interrupts a call that waits for the end of a run.
    wake_poll: Notify,
    tx: UnboundedSender<Event>,
}

/// The link to one incarnation of a VM. Dropping the link stops its tasks.
pub struct Link {
    shared: Arc<Shared>,
    facts: Arc<VmFacts>,
    /// The newest loss of the VM that the owner has handled. The owner decided on its current orders after that loss.
    handled_loss: LossNumber,
    hold_task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        self.hold_task.abort();
    }
}

impl Link {
    /// Opens the link; `losses` numbers all losses reported to the owner.
    pub fn open(
        node: &Arc<Node>,
        log: &Arc<PoolLog>,
        facts: &Arc<VmFacts>,
        token: LinkToken,
        tx: UnboundedSender<Event>,
        losses: Arc<LossCounter>,
        lease: TaskLease,
    ) -> Self {
        log::info!(
            "vm step=link-opened vm={} token={} lease_ms={} bounded={}",
            facts.id,
            token.on_the_wire,
            lease.remaining(steady_ms()),
            lease.is_bounded(),
        );
        let shared = Arc::new(Shared {
            node: node.clone(),
            log: log.clone(),
            vm: facts.id.clone(),
            token,
            client: WorkerClient::new(facts.addr, facts.id.clone())
                .with_answers(node.vm_answers.clone())
                .with_link_delay(node.uplink.delay().clone()),
            lease: Mutex::new(lease),
            answers: Answers::default(),
            acked: watch::Sender::new(0),
            closed: AtomicBool::new(false),
            over: AtomicBool::new(false),
            omits_start_time: AtomicBool::new(false),
            wait_ms: AtomicU64::new(millis(LEASE_WAIT)),
            losses,
            newest_loss: NewestLoss::default(),
            pending_starts: PendingStarts::default(),
            withheld_moves: Mutex::default(),
            starts: Turns::new(MAX_ORDERS_IN_FLIGHT),
            stops: Turns::new(MAX_ORDERS_IN_FLIGHT),
            wake_poll: Notify::new(),
            tx,
        });
        let hold_task = tokio::spawn(hold::run(shared.clone())).abort_handle();
        Self { shared, facts: facts.clone(), handled_loss: LossNumber::default(), hold_task }
    }

    /// Returns the incarnation of the VM.
    pub fn vm(&self) -> &VmIncarnation {
        &self.shared.vm
    }

    /// Returns the facts with which the VM was listed when the link was opened.
    pub const fn facts(&self) -> &Arc<VmFacts> {
        &self.facts
    }

    /// Returns whether the link has ended and delivers no further reports.
    pub fn is_over(&self) -> bool {
        self.shared.over.load(Ordering::Relaxed)
    }

    /// Bounds the VM's lease; see [`TaskLease::bound`].
    pub fn bound_lease(&self) -> Option<Ms> {
        lock(&self.shared.lease).bound()
    }

    /// Returns whether the VM answers again although a record bounds its lease.
    pub fn is_bound_outdated(&self) -> bool {
        lock(&self.shared.lease).is_bound_outdated()
    }

    /// Returns whether the VM has answered a call on this link or failed to answer one.
    pub fn was_called(&self) -> bool {
        lock(&self.shared.lease).was_called()
    }

    /// Lets the VM get new leases.
    pub fn lift_lease_bound(&self) {
        lock(&self.shared.lease).lift_bound();
    }

    /// Returns whether the VM's latest answer contained no start time.
    pub fn omits_start_time(&self) -> bool {
        self.shared.omits_start_time.load(Ordering::Relaxed)
    }

    /// Calls the VM immediately, because another incarnation of the VM is listed or it may not answer any more.
    pub fn poll_now(&self) {
        self.shared.wake_poll.notify_one();
    }

    /// Reports to the owner that the VM is lost. Orders that the owner decided on before it handled the
    /// loss are not sent any more.
    pub fn report_loss(&self, loss: VmLoss) {
        self.shared.send_loss(loss);
    }

    /// Reports to the owner that the VM has restarted as another incarnation, as its entry shows.
    pub fn report_restart(&self, next: &VmIncarnation) {
        self.shared.send_restart(next);
    }

    /// Reports to the owner that an entry names a later incarnation of the VM, whose answers can't confirm it.
    pub fn report_possible_restart(&self, next: &VmIncarnation) {
        self.shared.send_possible_restart(next);
    }

    /// Records that the owner has abandoned the runs lost with the VM.
    pub fn set_handled_loss(&mut self, loss: LossNumber) {
        self.handled_loss = self.handled_loss.max(loss);
    }

    /// Withdraws the starts that the VM can't have executed, and returns their runs. They are never sent afterwards.
    pub fn withdraw_unsent_starts(&self) -> Vec<RunId> {
        self.shared.pending_starts.withdraw_unsent()
    }

    /// Withdraws the starts that wait to be sent, and returns their runs. Those with a result are left to its event.
    pub fn withdraw_waiting_starts(&self) -> Vec<RunId> {
        self.shared.pending_starts.withdraw_waiting()
    }

    /// Withdraws the waiting starts that will not be sent to the VM as it is now, and returns their runs. Copies that were sent
    /// before are not affected.
    pub fn withdraw_withheld_starts(&self) -> Vec<RunId> {
        let withdrawn = self.shared.pending_starts.withdraw_withheld(|o| self.shared.withheld(o));
        for &(run, reason) in &withdrawn {
            orders::log_withheld(&self.shared, run, reason, false);
        }
        withdrawn.into_iter().map(|(run, _)| run).collect()
    }

    /// Records that the owner has handled the result of a start.
    pub fn set_start_handled(&self, run: RunId) {
        self.shared.pending_starts.remove(run);
    }

    /// Acknowledges ends up to a sequence number, so that the VM may drop them.
    pub fn acknowledge(&self, sequence: u64) {
        self.shared.acked.send_if_modified(|acked| {
            let more = sequence > *acked;
            *acked = sequence.max(*acked);
            more
        });
    }

    /// Sets how long a call waits for the end of a run, by what the owner polls the VM for.
    pub fn set_poll_reason(&self, reason: PollReason) {
        let wait = match reason {
            PollReason::Metrics => METRICS_WAIT,
            PollReason::Ends => ENDS_WAIT,
            PollReason::Lease => LEASE_WAIT,
        };
        self.shared.wait_ms.store(millis(wait), Ordering::Relaxed);
    }

    /// Sends a start order.
    pub fn start(&self, order: StartOrder, first: FirstCopy) {
        let shared = self.shared.clone();
        let order = Arc::new(order);
        shared.pending_starts.add(order.clone());
        let handled_loss = self.handled_loss;
        tokio::spawn(async move {
            if let Some((result, took)) = orders::start(&shared, &order, handled_loss, first).await
            {
                shared.send_event(Event::Started(shared.vm.clone(), order.run, result, took));
            }
        });
    }

    /// Sends a stop order and cancels a start of the same run that was not sent yet.
    pub fn stop(&self, run: RunId, for_move: bool) {
        let shared = self.shared.clone();
        shared.pending_starts.cancel(run);
        let handled_loss = self.handled_loss;
        tokio::spawn(async move {
            if orders::stop(&shared, run, for_move, handled_loss).await.is_some() {
                shared.send_event(Event::Stopped(shared.vm.clone(), run));
            }
        });
    }

    /// Sets the runs whose stops, if sent only to move their tasks, must not be sent for now.
    pub fn withhold_moves(&self, runs: HashSet<RunId>) {
        *lock(&self.shared.withheld_moves) = runs;
    }

    /// Sets the share of full speed at which a run works, in percent.
    pub fn set_speed(&self, run: RunId, percent: u32) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            if !shared.may_send() {
                return;
            }
            if let Err(e) = shared.client.set_speed(run, percent, shared.token.on_the_wire).await {
                log::debug!("pace step=failed run={run} vm={} error=\"{e}\"", shared.vm);
            }
        });
    }
}

impl Shared {
    fn send_event(&self, event: Event) {
        // The owner may have ended, and then needs no event.
        let _ = self.tx.send(event);
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Returns whether orders may be sent; checked right before each one.
    fn may_send(&self) -> bool {
        !self.is_closed() && self.node.may_act(&self.log.pool, self.token.claim)
    }

    /// Returns whether this node has read recently enough what forbids starts.
    fn may_start(&self) -> bool {
        self.node.halls_known() && self.log.knows_cancels(&self.node)
    }

    /// Returns why a start must not be sent to the VM now, or `None` if it may be sent.
    fn withheld(&self, order: &StartOrder) -> Option<Withheld> {
        let (vms, fleet) = (self.node.vms.borrow().clone(), self.node.fleet.borrow().clone());
        let (halls, catalog) =
            (self.node.halls.borrow().clone(), self.node.catalog.borrow().clone());
        let workspace = catalog.as_ref().and_then(|c| c.workspaces.get(&order.spec.workspace));
        let job = order.run.task.job;
        let facts = StartFacts {
            cancelled: self.log.jobs().get(job).is_some_and(|entry| entry.cancelled),
            pool: &self.log.pool,
            listed: vms.get(self.vm.id()).map(|facts| &**facts),
            fleet: &fleet,
            halls: &halls,
            cap: workspace.map(|w| w.cap),
        };
        start_check::check(order, &facts)
    }

    /// Returns the state of the VM in the newest list, for log lines.
    fn listed_state(&self) -> &'static str {
        match self.node.vms.borrow().get(self.vm.id()) {
            None => "no",
            Some(facts) if facts.unreadable => "unreadable",
            Some(facts) if facts.draining => "draining",
            Some(_) => "ready",
        }
    }

    /// Waits until orders may be sent. Returns a time at which they may be, read before the check, as the check may be followed by
    /// a pause; `None` once the link is closed.
    async fn wait_until_may_send(&self) -> Option<Ms> {
        while !self.is_closed() {
            let checked_at = steady_ms();
            if self.may_send() {
                return Some(checked_at);
            }
            tokio::time::sleep(NO_LEASE_PAUSE).await;
        }
        None
    }

    /// Returns whether an error ends the link to this incarnation, and if so reports the cause to the owner.
    fn report_if_final(&self, e: &OrderError) -> bool {
        match e {
            // An error on a closed link proves nothing: a later link to the same VM has a higher token.
            _ if self.is_closed() => return true,
            OrderError::Gone => self.send_loss(VmLoss::Replaced),
            OrderError::Restarted(next) => self.send_restart(next),
            OrderError::Fenced => self.send_event(Event::Fenced(self.vm.clone())),
            OrderError::NotSent(_)
            | OrderError::Unanswered(_)
            | OrderError::Unhealthy(_)
            | OrderError::Malformed(_) => return false,
        }
        true
    }

    /// Records a loss, after which no order is sent that was decided before the owner handles the loss.
    fn record_loss(&self) -> LossNumber {
        let number = self.losses.next();
        self.newest_loss.record(number);
        number
    }

    fn send_restart(&self, next: &VmIncarnation) {
        let number = self.record_loss();
        self.send_event(Event::Restarted(self.vm.clone(), next.clone(), number));
    }

    fn send_possible_restart(&self, next: &VmIncarnation) {
        let number = self.record_loss();
        self.send_event(Event::MaybeRestarted(self.vm.clone(), next.clone(), number));
    }

    fn send_loss(&self, loss: VmLoss) {
        let number = self.record_loss();
        self.send_event(Event::Lost(self.vm.clone(), loss, number));
    }
}

const fn millis(duration: Duration) -> u64 {
    // All waits above are far below 2^64 ms.
    duration.as_millis() as u64
}
