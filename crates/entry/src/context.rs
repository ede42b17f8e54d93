//! State shared by the tasks of an entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use thistle_model::clock::Instant;
use thistle_model::view::{ViewMember, Voters};
use thistle_model::{MemberId, Offset, RefusalReason, VmName};
use thistle_request::admit::Ticket;
use thistle_request::breaker::SendResult;
use thistle_request::router::{Decision, Router, RouterConfig, VmKey, Wake};
use thistle_settings::EntrySettings;
use thistle_wire::peer::PeerConnection;
use tokio::sync::{Notify, oneshot};

use crate::backend::Backends;

/// The state of the link to the steward: what the steward last reported, and what to report to it.
#[derive(Debug)]
pub struct LinkState {
    /// The member on whose behalf this entry acts.
    pub member: MemberId,
    /// The offset of the view.
    pub offset: Offset,
    /// The set of voters.
    pub voters: Voters,
    /// The addresses of the voters.
    pub voter_addrs: Vec<ViewMember>,
    /// The members that grant slots.
    pub members: Vec<ViewMember>,
    /// VMs whose answers announced that they are leaving.
    pub leaving: Vec<VmName>,
}

/// The decision that ends a request's wait.
pub enum WaitResult {
    /// Send the request to a VM, which counts the request as in flight until the guard is dropped.
    Send(InFlight),
    /// Refuse the request with this reason and retry delay.
    Refuse(RefusalReason, Duration),
}

/// The state shared by all tasks of an entry.
pub struct Context {
    /// The settings.
    pub settings: EntrySettings,
    /// The idle connections to backend servers.
    pub backends: Backends,
    /// Triggers an immediate renewal of the slot leases.
    pub renew_slots_now: Notify,
    /// Triggers an immediate report to the steward.
    pub report_now: Notify,
    router: Mutex<Router>,
    waiters: Mutex<HashMap<Ticket, oneshot::Sender<WaitResult>>>,
    link: Mutex<LinkState>,
    peer_connections: Mutex<HashMap<SocketAddr, Arc<PeerConnection>>>,
    tickets: AtomicU64,
    stopping: AtomicBool,
    id: u64,
}

impl Context {
    /// Creates the context of an entry that has no view yet.
    pub fn new(settings: EntrySettings) -> Self {
        let id = rand::random();
        let cfg = RouterConfig { max_queue: settings.max_queue, seed: id, ..Default::default() };
        Self {
            settings,
            backends: Backends::new(),
            renew_slots_now: Notify::new(),
            report_now: Notify::new(),
            router: Mutex::new(Router::new(cfg)),
            waiters: Mutex::new(HashMap::new()),
            link: Mutex::new(LinkState {
                member: MemberId(0),
                offset: Offset(0),
                voters: Voters::default(),
                voter_addrs: Vec::new(),
                members: Vec::new(),
                leaving: Vec::new(),
            }),
            peer_connections: Mutex::new(HashMap::new()),
            tickets: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            id,
        }
    }

    /// Returns the random identifier that this entry generated at startup.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// Locks the router; the first in the lock order.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        lock(&self.router)
    }

    /// Locks the state of the link to the steward; the third in the lock order.
    pub fn link(&self) -> MutexGuard<'_, LinkState> {
        lock(&self.link)
    }

    /// Returns the connection to the steward at an address.
    pub fn peer_connection(&self, addr: SocketAddr) -> Arc<PeerConnection> {
        let mut connections = lock(&self.peer_connections);
        connections.entry(addr).or_insert_with(|| Arc::new(PeerConnection::new(addr))).clone()
    }

    /// Returns a ticket for a new request.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Returns the request ID for a ticket.
    pub fn request_id(&self, ticket: Ticket) -> String {
        format!("{:08x}-{:x}", self.id >> 32, ticket.0)
    }

    /// Starts to refuse new requests.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns whether new requests are refused because the entry is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Returns whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.router().proof_until() > Instant::now()
    }

    /// Registers a waiting request and returns the channel on which it is woken.
    ///
    /// Call this under the router lock that queued the request, so that no wake is missed.
    pub fn register_waiter(&self, ticket: Ticket) -> oneshot::Receiver<WaitResult> {
        let (tx, rx) = oneshot::channel();
        lock(&self.waiters).insert(ticket, tx);
        rx
    }

    /// Unregisters a waiting request.
    pub fn unregister_waiter(&self, ticket: Ticket) {
        lock(&self.waiters).remove(&ticket);
    }

    /// Sends the router's decisions to the requests that wait for them.
    pub fn wake(self: &Arc<Self>, wakes: Vec<Wake>) {
        for wake in wakes {
            let wait_result = match wake.decision {
                Decision::Send(vm) => WaitResult::Send(InFlight::new(self.clone(), vm)),
                Decision::Refuse(reason, after) => WaitResult::Refuse(reason, after),
                Decision::Wait => continue,
            };
            let waiter = lock(&self.waiters).remove(&wake.ticket);
            // If the caller has disconnected, the guard is dropped, which frees the slot.
            let _ = waiter.map(|tx| tx.send(wait_result));
        }
    }
}

/// A guard that counts a request as in flight on a VM until dropped.
pub struct InFlight {
    cx: Arc<Context>,
    vm: VmKey,
    started_at: Instant,
    result: SendResult,
}

impl InFlight {
    /// Creates the guard of a request that the router already counts as in flight.
    pub fn new(cx: Arc<Context>, vm: VmKey) -> Self {
        Self { cx, vm, started_at: Instant::now(), result: SendResult::Neutral }
    }

    /// Returns the VM.
    pub const fn vm(&self) -> VmKey {
        self.vm
    }

    /// Sets the result of the send and drops the guard.
    pub fn finish(mut self, result: SendResult) {
        self.result = result;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut router = self.cx.router();
        let wakes = router.finish(self.vm, self.result, now.since(self.started_at), now);
        let is_drained =
            router.vm(self.vm).is_some_and(|vm| vm.drain.is_some() && vm.in_flight == 0);
        drop(router);
        self.cx.clone().wake(wakes);
        if is_drained {
            self.cx.report_now.notify_one();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
