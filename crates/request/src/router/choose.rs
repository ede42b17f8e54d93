//! The choice of a VM for a request, and the limits on excluding failing VMs.

use rand::Rng;
use thistle_model::clock::Instant;

use super::{ChoicePolicy, PoolKey, RouteRequest, Router, VmKey, VmLoad};
use crate::breaker::{Availability, SendResult};

/// Failures other than connection failures exclude no VM while the mean failure share of the pool's
/// other VMs is at least this high: the requests are at fault then, not the VM.
const MAX_POOL_FAILURE_SHARE: f64 = 0.3;
/// The maximum share of a pool's VMs that connection failures may exclude, in percent.
const MAX_UNREACHABLE_PERCENT: u32 = 60;

impl Router {
    /// Returns the VM for a request, or `None` if no VM can accept it now.
    pub(super) fn choose(&mut self, request: &RouteRequest, now: Instant) -> Option<VmKey> {
        let pool = self.pools.get(request.pool)?;
        if self.cfg.choice == ChoicePolicy::Random {
            return self.choose_random(request.pool);
        }
        let mut trial = None;
        let mut first: Option<VmKey> = None;
        let mut second: Option<VmKey> = None;
        let mut seen = 0u32;
        // If no other VM has room, a VM on which the request failed before is better than none.
        let mut failed_before = None;
        for &key in &pool.vms {
            let vm = &self.vms[key];
            if !self.has_room(vm, now) {
                continue;
            }
            match vm.breaker.availability(now) {
                Availability::Excluded => continue,
                Availability::Trial => {
                    trial = trial.or(Some(key));
                    continue;
                }
                Availability::Available => {}
            }
            if request.failed_vms.contains(key) {
                failed_before = Some(key);
                continue;
            }
            seen += 1;
            sample_two(&mut self.rng, seen, key, &mut first, &mut second);
        }
        if request.repeatable && trial.is_some() {
            return trial;
        }
        less_loaded(&self.vms, first, second).or(failed_before)
    }

    fn choose_random(&mut self, pool: PoolKey) -> Option<VmKey> {
        let sendable: Vec<_> = self.pools[pool]
            .vms
            .iter()
            .copied()
            .filter(|&key| self.vms[key].is_sendable())
            .collect();
        if sendable.is_empty() {
            return None;
        }
        Some(sendable[self.rng.random_range(0..sendable.len())])
    }

    fn has_room(&self, vm: &VmLoad, now: Instant) -> bool {
        vm.is_sendable()
            && match self.cfg.choice {
                ChoicePolicy::Random => true,
                ChoicePolicy::TwoChoices => vm.in_flight < vm.facts.slots,
                ChoicePolicy::Leased => vm.free_leased(now) > 0,
            }
    }

    /// Returns whether the pool has a VM that accepts new requests, with or without room.
    pub(super) fn has_sendable_vm(&self, key: PoolKey) -> bool {
        let pool = self.pools.get(key);
        pool.is_some_and(|p| p.vms.iter().any(|&k| self.vms[k].is_sendable()))
    }

    /// Returns the number of slots that serve a pool's queue at this entry.
    pub(super) fn slots_for(&self, key: PoolKey, now: Instant) -> u32 {
        let Some(pool) = self.pools.get(key) else {
            return 0;
        };
        let slots = |vm: &VmLoad| match self.cfg.choice {
            ChoicePolicy::Leased if now < vm.lease_until => u32::from(vm.leased),
            ChoicePolicy::Leased => 0,
            ChoicePolicy::Random | ChoicePolicy::TwoChoices => u32::from(vm.facts.slots),
        };
        pool.vms.iter().map(|&k| slots(&self.vms[k])).sum()
    }

    /// Returns whether this VM may be excluded, given the other VMs of its pool.
    pub(super) fn may_exclude(&self, key: VmKey, result: SendResult) -> bool {
        let Some(pool) = self.pools.get(self.vms[key].pool) else {
            return false;
        };
        let total = u32::try_from(pool.vms.len()).unwrap_or(u32::MAX);
        let others = || pool.vms.iter().filter(|&&k| k != key).map(|&k| &self.vms[k].breaker);
        let excluded =
            u32::try_from(others().filter(|b| b.is_excluded()).count()).unwrap_or(u32::MAX);
        let percent = match result {
            SendResult::ConnectFailed => MAX_UNREACHABLE_PERCENT,
            _ => self.cfg.max_excluded_percent,
        };
        let bound = (total * percent / 100).max(1).min(total.saturating_sub(1));
        if excluded >= bound {
            return false;
        }
        if result == SendResult::ConnectFailed {
            return true;
        }
        let serving = others().filter(|b| !b.is_excluded());
        let (sum, n) = serving.fold((0.0, 0u32), |(s, n), b| (s + b.failure_share(), n + 1));
        n > 0 && sum / f64::from(n) < MAX_POOL_FAILURE_SHARE
    }
}

/// Keeps a random sample of two of the VMs seen so far (reservoir sampling).
fn sample_two(
    rng: &mut impl Rng,
    seen: u32,
    key: VmKey,
    first: &mut Option<VmKey>,
    second: &mut Option<VmKey>,
) {
    match seen {
        1 => *first = Some(key),
        2 => *second = Some(key),
        _ => match rng.random_range(0..seen) {
            0 => *first = Some(key),
            1 => *second = Some(key),
            _ => {}
        },
    }
}

fn less_loaded(
    vms: &slotmap::SlotMap<VmKey, VmLoad>,
    first: Option<VmKey>,
    second: Option<VmKey>,
) -> Option<VmKey> {
    let load = |key: VmKey| {
        let vm = &vms[key];
        u32::from(vm.in_flight) * 1_000 / u32::from(vm.facts.slots.max(1))
    };
    match (first, second) {
        (Some(a), Some(b)) if load(b) < load(a) => Some(b),
        (first, _) => first,
    }
}
