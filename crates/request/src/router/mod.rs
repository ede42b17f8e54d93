//! The router of an entry, which sends each request to a VM, queues it or refuses it.

mod choose;
mod lease;
mod load;
mod view;

use std::collections::HashMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use thistle_model::clock::Instant;
use thistle_model::{PoolName, RefusalReason, Tier, VmName};

pub use load::{PoolKey, PoolLoad, VmKey, VmLoad};
pub use view::DrainAck;

use crate::admit::{AdmitPolicy, PushResult, Ticket};
use crate::breaker::{Availability, SendResult};
use crate::exchange::Pending;
use crate::retry::RetryBudget;

/// How to choose the VM for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// A random VM of the pool, regardless of its load.
    Random,
    /// The less loaded of two random VMs, by this entry's own requests in flight.
    TwoChoices,
    /// The less loaded of two random VMs on which this entry has an idle leased slot.
    Leased,
}

/// When a failed request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Always, up to the maximum number of sends.
    Always,
    /// Within a budget of this percentage of the requests.
    Budget(u32),
}

/// The policies and limits of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// How to choose the VM for a request.
    pub choice: ChoicePolicy,
    /// When to refuse a request that would miss its deadline.
    pub admit: AdmitPolicy,
    /// When a failed request may be sent again.
    pub retry: RetryPolicy,
    /// The maximum number of requests that wait in one pool.
    pub max_queue: usize,
    /// The maximum share of a pool's VMs that errors may exclude, in percent.
    pub max_excluded_percent: u32,
    /// The maximum number of sends of one request.
    pub max_sends: u32,
    /// A seed specific to this entry, for its random choices and its order of VMs.
    pub seed: u64,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            choice: ChoicePolicy::Leased,
            admit: AdmitPolicy::Deadline,
            retry: RetryPolicy::Budget(8),
            max_queue: 1_024,
            max_excluded_percent: 30,
            max_sends: MAX_SENDS,
            seed: 1,
        }
    }
}

/// The default maximum number of sends of one request.
const MAX_SENDS: u32 = 5;
/// The capacity of the retry budget, which starts full, in retries.
const RETRY_BURST: u32 = 20;
/// The minimum retry delay reported with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The properties of a request that the router needs.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The pool.
    pub pool: PoolKey,
    /// The tier.
    pub tier: Tier,
    /// The time after which the caller no longer needs the answer.
    pub deadline: Instant,
    /// Whether the request may be repeated, so that it may serve as a VM's trial request.
    pub repeatable: bool,
    /// The VMs on which the request failed before.
    pub failed_vms: FailedVms,
}

/// The VMs on which the last few sends of a request failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailedVms([Option<VmKey>; MAX_SENDS as usize]);

impl FailedVms {
    /// Adds a VM.
    pub fn add(&mut self, vm: VmKey) {
        self.0.rotate_right(1);
        self.0[0] = Some(vm);
    }

    /// Returns whether the request failed on a VM.
    pub fn contains(&self, vm: VmKey) -> bool {
        self.0.contains(&Some(vm))
    }
}

/// The router's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to this VM, which now counts the request as in flight.
    Send(VmKey),
    /// Keep the request until the router returns a [`Wake`] for it.
    Wait,
    /// Refuse the request now, with this reason and retry delay.
    Refuse(RefusalReason, Duration),
}

/// A decision on a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wake {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The decision.
    pub decision: Decision,
}

/// The router of one entry.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    pools: SlotMap<PoolKey, PoolLoad>,
    pool_keys: HashMap<PoolName, PoolKey>,
    vms: SlotMap<VmKey, VmLoad>,
    vm_keys: HashMap<VmName, VmKey>,
    waiting: HashMap<Ticket, RouteRequest>,
    budget: RetryBudget,
    rng: SmallRng,
    proof_until: Instant,
}

impl Router {
    /// Creates a router without pools.
    pub fn new(cfg: RouterConfig) -> Self {
        let budget = match cfg.retry {
            RetryPolicy::Always => RetryBudget::new(0, 0),
            RetryPolicy::Budget(percent) => RetryBudget::new(percent, RETRY_BURST),
        };
        let rng = SmallRng::seed_from_u64(cfg.seed);
        Self {
            cfg,
            pools: SlotMap::with_key(),
            pool_keys: HashMap::new(),
            vms: SlotMap::with_key(),
            vm_keys: HashMap::new(),
            waiting: HashMap::new(),
            budget,
            rng,
            proof_until: Instant::default(),
        }
    }

    /// Returns the key of a workspace's pool.
    pub fn pool_key(&self, name: &str) -> Option<PoolKey> {
        let name = PoolName::new(name).ok()?;
        self.pool_keys.get(&name).copied()
    }

    /// Returns a pool.
    pub fn pool(&self, key: PoolKey) -> Option<&PoolLoad> {
        self.pools.get(key)
    }

    /// Returns all pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolLoad> {
        self.pools.values()
    }

    /// Returns a VM.
    pub fn vm(&self, key: VmKey) -> Option<&VmLoad> {
        self.vms.get(key)
    }

    /// Returns all VMs.
    pub fn vms(&self) -> impl Iterator<Item = &VmLoad> {
        self.vms.values()
    }

    /// Extends the time until which this entry has proof of membership.
    pub fn set_proof(&mut self, until: Instant) {
        self.proof_until = self.proof_until.max(until);
    }

    /// Returns the time until which this entry has proof of membership.
    pub const fn proof_until(&self) -> Instant {
        self.proof_until
    }

    /// Returns the number of requests that are waiting or in flight.
    pub fn in_flight(&self) -> usize {
        let sent: usize = self.vms.values().map(|vm| usize::from(vm.in_flight)).sum();
        sent + self.waiting.len()
    }

    /// Decides on a new request.
    pub fn submit(&mut self, request: RouteRequest, now: Instant) -> Decision {
        self.budget.record_first_send();
        self.route(request, now)
    }

    /// Decides on a request whose send failed; returns `None` if it may not be sent again.
    ///
    /// Only a request that may have run takes from the retry budget: a retry of one that did not
    /// run adds no load.
    pub fn resubmit(
        &mut self,
        request: RouteRequest,
        state: &Pending,
        now: Instant,
    ) -> Option<Decision> {
        if state.sends() >= self.cfg.max_sends || now >= request.deadline {
            return None;
        }
        let allowed = match (self.cfg.retry, state) {
            (RetryPolicy::Always, _) | (_, Pending::Unsent(_)) => true,
            (RetryPolicy::Budget(_), Pending::Repeated(_)) => self.budget.try_take(now),
        };
        allowed.then(|| self.route(request, now))
    }

    fn route(&mut self, request: RouteRequest, now: Instant) -> Decision {
        if now >= request.deadline {
            return Decision::Refuse(RefusalReason::Deadline, MIN_RETRY_AFTER);
        }
        if now >= self.proof_until {
            return Decision::Refuse(RefusalReason::NoProof, MIN_RETRY_AFTER);
        }
        let queued = self.pools.get(request.pool).map_or(0, |p| p.queue.len());
        if queued == 0
            && let Some(vm) = self.choose(&request, now)
        {
            self.start_send(vm, now);
            return Decision::Send(vm);
        }
        self.enqueue(request, now)
    }

    fn enqueue(&mut self, request: RouteRequest, now: Instant) -> Decision {
        let slots = self.slots_for(request.pool, now);
        let can_serve = self.has_sendable_vm(request.pool);
        let Some(pool) = self.pools.get_mut(request.pool) else {
            return Decision::Refuse(RefusalReason::NoSuchService, MIN_RETRY_AFTER);
        };
        if !can_serve {
            return Decision::Refuse(RefusalReason::NoVm, Duration::from_secs(1));
        }
        let wait = pool.queue.expected_wait(request.tier, slots).max(MIN_RETRY_AFTER);
        match pool.queue.push(request.ticket, request.tier, request.deadline, slots, now) {
            PushResult::Refused => return Decision::Refuse(RefusalReason::Overload, wait),
            PushResult::Queued => {}
            PushResult::Evicted(ticket) => pool.evicted.push(ticket),
        }
        self.waiting.insert(request.ticket, request);
        Decision::Wait
    }

    /// Removes a waiting request whose caller no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        let Some(request) = self.waiting.remove(&ticket) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(request.pool) {
            pool.queue.remove(ticket, request.tier);
        }
    }

    /// Records the end of a send and returns decisions on waiting requests.
    pub fn finish(
        &mut self,
        key: VmKey,
        result: SendResult,
        took: Duration,
        now: Instant,
    ) -> Vec<Wake> {
        let Some(vm) = self.vms.get(key) else {
            return Vec::new();
        };
        let pool = vm.pool;
        let may_exclude = self.may_exclude(key, result);
        let vm = &mut self.vms[key];
        vm.in_flight = vm.in_flight.saturating_sub(1);
        vm.breaker.record_result(result, may_exclude, now);
        if result == SendResult::Success
            && let Some(pool) = self.pools.get_mut(pool)
        {
            pool.queue.record_service_time(took);
        }
        self.remove_unused(key);
        self.dispatch(pool, now)
    }

    /// Returns decisions on waiting requests that are due as time has passed or leases were
    /// granted.
    pub fn poll(&mut self, now: Instant) -> Vec<Wake> {
        let busy = |(_, p): &(PoolKey, &PoolLoad)| !p.queue.is_empty() || !p.evicted.is_empty();
        let keys: Vec<_> = self.pools.iter().filter(busy).map(|(k, _)| k).collect();
        keys.into_iter().flat_map(|key| self.dispatch(key, now)).collect()
    }

    fn dispatch(&mut self, key: PoolKey, now: Instant) -> Vec<Wake> {
        let mut wakes = Vec::new();
        let mut refused = Vec::new();
        if let Some(pool) = self.pools.get_mut(key) {
            pool.queue.drop_late(now, &mut refused);
            refused.append(&mut pool.evicted);
        }
        while let Some(wake) = self.dispatch_one(key, now, &mut refused) {
            wakes.push(wake);
        }
        for ticket in refused {
            self.waiting.remove(&ticket);
            let retry_after = self.retry_after(key, now);
            let decision = Decision::Refuse(RefusalReason::Overload, retry_after);
            wakes.push(Wake { ticket, decision });
        }
        wakes
    }

    fn dispatch_one(
        &mut self,
        key: PoolKey,
        now: Instant,
        refused: &mut Vec<Ticket>,
    ) -> Option<Wake> {
        let pool = self.pools.get(key)?;
        if pool.queue.is_empty() || now >= self.proof_until {
            return None;
        }
        let any_request = RouteRequest {
            ticket: Ticket(0),
            pool: key,
            tier: Tier::Bronze,
            deadline: now,
            repeatable: false,
            failed_vms: FailedVms::default(),
        };
        let vm = self.choose(&any_request, now)?;
        let ticket = self.pools.get_mut(key)?.queue.pop(now, refused)?;
        self.waiting.remove(&ticket);
        self.start_send(vm, now);
        Some(Wake { ticket, decision: Decision::Send(vm) })
    }

    fn retry_after(&self, key: PoolKey, now: Instant) -> Duration {
        let slots = self.slots_for(key, now);
        let wait = self.pools.get(key).map(|p| p.queue.expected_wait(Tier::Bronze, slots));
        wait.unwrap_or_default().max(MIN_RETRY_AFTER)
    }

    fn start_send(&mut self, key: VmKey, now: Instant) {
        let vm = &mut self.vms[key];
        vm.in_flight += 1;
        if vm.breaker.availability(now) == Availability::Trial {
            vm.breaker.start_trial();
        }
    }
}
