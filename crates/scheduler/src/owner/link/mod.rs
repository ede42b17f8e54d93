//! The link to one incarnation of a VM: renews its lease, receives the ends of its runs and sends orders.

mod hold;
mod orders;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use thistle_platform::{OrderError, WorkerClient};
use thistle_schedule::pool::{StartOrder, Watch};
use thistle_schedule::{RunId, TaskLease, VmFacts, VmLife, VmLoss};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::AbortHandle;

use super::Event;
use super::losses::{LossNumber, Losses, NewestLoss};
use super::tokens::LinkToken;
use crate::clock::steady_ms;
use crate::node::Node;
use orders::PendingStarts;

/// Pause before a VM that does not answer is called again.
const RETRY: Duration = Duration::from_millis(200);
/// Pause while this node may not act as owner.
const NO_LEASE: Duration = Duration::from_millis(50);
/// How long a call waits for the end of a run where none is expected. A longer wait needs fewer calls; each call
/// renews the lease.
const WAIT: Duration = Duration::from_millis(1_500);
/// How long a call waits where tasks run that end by themselves. While a call is left unanswered the owner cannot
/// receive their ends: at 1.5 s, ends of tasks of one second arrived up to 2.1 s late. On three days on which VMs
/// leave calls unanswered, this value earned 0.53 of what is due, less costs, instead of 0.49 (means of four runs).
const WAIT_FOR_ENDS: Duration = Duration::from_millis(500);
/// How long a call waits where serving and filling tasks run on the same VM, whose usage figures cover the last half
/// second.
const WAIT_CLOSELY: Duration = Duration::from_millis(400);
/// The most orders of one kind that are in flight to one VM.
const ORDERS_AT_ONCE: usize = 2;

struct Shared {
    node: Arc<Node>,
    vm: VmLife,
    pool: Arc<str>,
    hall: Arc<str>,
    token: LinkToken,
    client: WorkerClient,
    lease: Mutex<TaskLease>,
    acked: watch::Sender<u64>,
    closed: AtomicBool,
    /// Whether this incarnation of the VM has ended or another node owns the pool.
    over: AtomicBool,
    /// How long a call may wait for an end, in milliseconds.
    wait_ms: AtomicU64,
    losses: Arc<Losses>,
    newest_loss: NewestLoss,
    pending_starts: PendingStarts,
    starts: Semaphore,
    stops: Semaphore,
    /// Interrupts a call that waits for the end of a run.
    ask: Notify,
    tx: UnboundedSender<Event>,
}

/// The link to one incarnation of a VM. Dropping the link stops its tasks.
pub struct Link {
    shared: Arc<Shared>,
    facts: Arc<VmFacts>,
    /// The newest loss of the VM that the owner has handled: its current orders were decided after that loss.
    taken_in: LossNumber,
    holding: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        self.holding.abort();
    }
}

impl Link {
    /// Opens the link; `losses` numbers all losses reported to the owner.
    pub fn open(
        node: &Arc<Node>,
        vm: &Arc<VmFacts>,
        token: LinkToken,
        tx: UnboundedSender<Event>,
        losses: Arc<Losses>,
    ) -> Self {
        let shared = Arc::new(Shared {
            node: node.clone(),
            vm: vm.id.clone(),
            pool: vm.pool.clone(),
            hall: vm.hall.clone(),
            token,
            client: WorkerClient::new(vm.addr, vm.id.clone()),
            lease: Mutex::new(TaskLease::new(node.task_lease(), steady_ms())),
            acked: watch::Sender::new(0),
            closed: AtomicBool::new(false),
            over: AtomicBool::new(false),
            wait_ms: AtomicU64::new(millis(WAIT)),
            losses,
            newest_loss: NewestLoss::default(),
            pending_starts: PendingStarts::default(),
            starts: Semaphore::new(ORDERS_AT_ONCE),
            stops: Semaphore::new(ORDERS_AT_ONCE),
            ask: Notify::new(),
            tx,
        });
        let holding = tokio::spawn(hold::run(shared.clone())).abort_handle();
        Self { shared, facts: vm.clone(), taken_in: LossNumber::default(), holding }
    }

    /// Returns the incarnation of the VM.
    pub fn vm(&self) -> &VmLife {
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

    /// Calls the VM immediately, as another incarnation of it is listed.
    pub fn ask_at_once(&self) {
        self.shared.ask.notify_one();
    }

    /// Reports to the owner that the VM is lost. Orders decided before the owner has handled the loss are no longer sent.
    pub fn lose(&self, loss: VmLoss) {
        self.shared.lost(loss);
    }

    /// Reports to the owner that the VM has restarted as another incarnation, as its entry shows.
    pub fn end_with(&self, next: &VmLife) {
        self.shared.restarted(next);
    }

    /// Records that the owner has abandoned the runs lost with the VM.
    pub fn take_in_loss(&mut self, loss: LossNumber) {
        self.taken_in = self.taken_in.max(loss);
    }

    /// Acknowledges ends up to a sequence number, so that the VM may drop them.
    pub fn acknowledge(&self, sequence: u64) {
        self.shared.acked.send_if_modified(|acked| {
            let more = sequence > *acked;
            *acked = sequence.max(*acked);
            more
        });
    }

    /// Sets how often the VM is polled while no run ends.
    pub fn watch(&self, watch: Watch) {
        let wait = match watch {
            Watch::Figures => WAIT_CLOSELY,
            Watch::Ends => WAIT_FOR_ENDS,
            Watch::Lease => WAIT,
        };
        self.shared.wait_ms.store(millis(wait), Ordering::Relaxed);
    }

    /// Sends a start order.
    pub fn start(&self, order: StartOrder) {
        let shared = self.shared.clone();
        shared.pending_starts.add(order.run);
        let taken_in = self.taken_in;
        tokio::spawn(async move {
            let result = orders::start(&shared, &order, taken_in).await;
            shared.pending_starts.remove(order.run);
            if let Some(result) = result {
                shared.tell(Event::Started(shared.vm.clone(), order.run, result));
            }
        });
    }

    /// Sends a stop order and cancels a start of the same run that was not sent yet.
    pub fn stop(&self, run: RunId) {
        let shared = self.shared.clone();
        shared.pending_starts.call_off(run);
        let taken_in = self.taken_in;
        tokio::spawn(async move {
            if orders::stop(&shared, run, taken_in).await.is_some() {
                shared.tell(Event::Stopped(shared.vm.clone(), run));
            }
        });
    }

    /// Sets the share of full speed at which a run works, in percent.
    pub fn pace(&self, run: RunId, percent: u32) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            if !shared.may_send() {
                return;
            }
            if let Err(e) = shared.client.pace(run, percent, shared.token.on_the_wire).await {
                log::debug!("pace step=failed run={run} vm={} error=\"{e}\"", shared.vm);
            }
        });
    }
}

impl Shared {
    fn tell(&self, event: Event) {
        // The owner may have ended, and then needs no event.
        let _ = self.tx.send(event);
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Returns whether orders may be sent; checked right before each one.
    fn may_send(&self) -> bool {
        !self.is_closed() && self.node.may_act(&self.pool, self.token.claim)
    }

    /// Returns whether the VM's hall accepts no new work.
    fn is_evacuated(&self) -> bool {
        !self.node.halls.borrow().takes_work(&self.hall)
    }

    /// Waits until orders may be sent; returns false once the link is closed.
    async fn until_may_send(&self) -> bool {
        while !self.is_closed() {
            if self.may_send() {
                return true;
            }
            tokio::time::sleep(NO_LEASE).await;
        }
        false
    }

    /// Returns whether an error ends the link to this incarnation, and if so reports the cause to the owner.
    fn is_over_with(&self, e: &OrderError) -> bool {
        match e {
            // An error on a closed link proves nothing: a later link to the same VM has a higher token.
            _ if self.is_closed() => return true,
            OrderError::Gone => self.lost(VmLoss::Replaced),
            OrderError::StartedAgain(next) => self.restarted(next),
            OrderError::Fenced => self.tell(Event::Fenced(self.vm.clone())),
            OrderError::NotSent(_)
            | OrderError::Unanswered(_)
            | OrderError::Unhealthy(_)
            | OrderError::Malformed(_) => return false,
        }
        true
    }

    fn restarted(&self, next: &VmLife) {
        let number = self.losses.next();
        self.newest_loss.note(number);
        self.tell(Event::Restarted(self.vm.clone(), next.clone(), number));
    }

    fn lost(&self, loss: VmLoss) {
        let number = self.losses.next();
        self.newest_loss.note(number);
        self.tell(Event::Lost(self.vm.clone(), loss, number));
    }
}

const fn millis(duration: Duration) -> u64 {
    // All waits above are far below 2^64 ms.
    duration.as_millis() as u64
}
