//! The link to one life of a VM: renewing its lease, hearing what ends, giving orders.

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

/// Pause before a VM that does not answer is asked again.
const RETRY: Duration = Duration::from_millis(200);
/// Pause while this node may not act as owner.
const NO_LEASE: Duration = Duration::from_millis(50);
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
/// Orders of one kind to one VM that are under way at once.
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
    /// The life of the VM is over, or another node owns the pool.
    over: AtomicBool,
    /// How long a call may wait for an end, in milliseconds.
    wait_ms: AtomicU64,
    losses: Arc<Losses>,
    newest_loss: NewestLoss,
    pending_starts: PendingStarts,
    starts: Semaphore,
    stops: Semaphore,
    /// Wakes a question that waits for an end.
    ask: Notify,
    tx: UnboundedSender<Event>,
}

/// The link to one life of a VM. Dropping it ends all that it does.
pub struct Link {
    shared: Arc<Shared>,
    facts: Arc<VmFacts>,
    /// The newest loss of the VM that the owner has taken in: what it orders now was decided after that one.
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
    /// Opens the link; `losses` numbers all losses that the owner is told.
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

    /// Returns the life of the VM.
    pub fn vm(&self) -> &VmLife {
        &self.shared.vm
    }

    /// Returns what the VM was listed with as the link was opened.
    pub const fn facts(&self) -> &Arc<VmFacts> {
        &self.facts
    }

    /// Returns whether nothing comes by it any more.
    pub fn is_over(&self) -> bool {
        self.shared.over.load(Ordering::Relaxed)
    }

    /// Has the VM asked at once, as another life of it is listed.
    pub fn ask_at_once(&self) {
        self.shared.ask.notify_one();
    }

    /// Tells the owner that the VM is lost. Nothing that was decided before it takes that in goes out any more.
    pub fn lose(&self, loss: VmLoss) {
        self.shared.lost(loss);
    }

    /// Tells the owner that the VM has started again as another life, as its entry shows.
    pub fn end_with(&self, life: &VmLife) {
        self.shared.restarted(life);
    }

    /// Takes in that the owner has given up what ran on the VM.
    pub fn take_in_loss(&mut self, loss: LossNumber) {
        self.taken_in = self.taken_in.max(loss);
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

    /// Gives a stop order. A start of the same run that is still to be sent is not sent any more.
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

    /// Sets the share of its full speed at which a run works.
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
        // An owner that has ended needs no news.
        let _ = self.tx.send(event);
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Returns whether orders may go out: checked last before each.
    fn may_send(&self) -> bool {
        !self.is_closed() && self.node.may_act(&self.pool, self.token.claim)
    }

    /// Returns whether the VM's hall takes no new work.
    fn is_evacuated(&self) -> bool {
        !self.node.halls.borrow().takes_work(&self.hall)
    }

    /// Waits until orders may go out; returns false when the link was closed.
    async fn until_may_send(&self) -> bool {
        while !self.is_closed() {
            if self.may_send() {
                return true;
            }
            tokio::time::sleep(NO_LEASE).await;
        }
        false
    }

    /// Returns whether an error ends all dealings with this life of the VM, and tells the owner so.
    fn is_over_with(&self, e: &OrderError) -> bool {
        match e {
            // What comes to a link that was closed says nothing: a later one to the same VM has a higher token.
            _ if self.is_closed() => return true,
            OrderError::Gone => self.lost(VmLoss::Replaced),
            OrderError::StartedAgain(life) => self.restarted(life),
            OrderError::Fenced => self.tell(Event::Fenced(self.vm.clone())),
            OrderError::NotSent(_)
            | OrderError::Unanswered(_)
            | OrderError::Unhealthy(_)
            | OrderError::Malformed(_) => return false,
        }
        true
    }

    fn restarted(&self, life: &VmLife) {
        let number = self.losses.next();
        self.newest_loss.note(number);
        self.tell(Event::Restarted(self.vm.clone(), life.clone(), number));
    }

    fn lost(&self, loss: VmLoss) {
        let number = self.losses.next();
        self.newest_loss.note(number);
        self.tell(Event::Lost(self.vm.clone(), loss, number));
    }
}

const fn millis(duration: Duration) -> u64 {
    // The waits above are far below 2^64 ms.
    duration.as_millis() as u64
}
