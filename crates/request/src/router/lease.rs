//! Slot leases of this entry: which slots to request, and applying the grants.

use thistle_model::clock::Instant;
use thistle_model::rendezvous::weight;

use super::{PoolKey, Router, VmKey};
use crate::breaker::Availability;
use crate::slot_home::{SLOT_LEASE, SlotGrant, SlotWant};

/// The minimum number of idle slots of a pool that an entry keeps.
const MIN_IDLE_SLOTS: u32 = 2;
/// An entry keeps 1 idle slot per this many slots in use, if that exceeds [`MIN_IDLE_SLOTS`].
const IDLE_DIVISOR: u32 = 4;

impl Router {
    /// Returns the slot requests to the homes of all VMs.
    ///
    /// This entry releases surplus slots here, before their home receives the request, so that two
    /// entries never use the same slot.
    pub fn slot_wants(&mut self, now: Instant) -> Vec<SlotWant> {
        let pools: Vec<_> = self.pools.keys().collect();
        pools.into_iter().flat_map(|key| self.pool_slot_wants(key, now)).collect()
    }

    /// Returns whether requests wait in any pool, so that slots should be requested immediately.
    pub fn is_short_of_slots(&self) -> bool {
        self.pools.values().any(|p| !p.queue.is_empty())
    }

    /// Applies a grant that was requested at `requested_at`.
    pub fn apply_grant(&mut self, grant: &SlotGrant, requested_at: Instant) {
        let Some(vm) = self.vm_keys.get(&grant.vm).and_then(|&key| self.vms.get_mut(key)) else {
            return;
        };
        vm.leased = grant.share.max(vm.in_flight).min(grant.slots);
        vm.lease_until = requested_at + SLOT_LEASE;
        vm.free_hint = grant.free;
    }

    fn pool_slot_wants(&mut self, pool: PoolKey, now: Instant) -> Vec<SlotWant> {
        let order = self.usable_vms(pool, now);
        let mut targets: Vec<u16> = order.iter().map(|&key| self.vms[key].in_flight).collect();
        let used: u32 = targets.iter().map(|&w| u32::from(w)).sum();
        let waiting = u32::try_from(self.pools[pool].queue.len()).unwrap_or(u32::MAX);
        let mut extra = waiting.saturating_add(MIN_IDLE_SLOTS.max(used / IDLE_DIVISOR));
        self.keep_leased(&order, &mut targets, &mut extra, now);
        self.request_more(&order, &mut targets, &mut extra);
        let wants = order.iter().zip(targets).map(|(&key, want)| self.slot_want(key, want, now));
        wants.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    /// Returns the pool's usable VMs in an order specific to this entry, VMs with free slots first.
    fn usable_vms(&self, pool: PoolKey, now: Instant) -> Vec<VmKey> {
        let usable = |key: &VmKey| {
            let vm = &self.vms[*key];
            vm.is_sendable() && vm.breaker.availability(now) != Availability::Excluded
        };
        let mut order: Vec<_> = self.pools[pool].vms.iter().copied().filter(usable).collect();
        order.sort_by_cached_key(|&key| {
            let vm = &self.vms[key];
            (vm.free_hint == 0, weight(vm.name.as_str().as_bytes(), self.cfg.seed))
        });
        order
    }

    /// Raises the targets by the idle slots that this entry already holds, up to `extra` slots.
    fn keep_leased(&self, order: &[VmKey], targets: &mut [u16], extra: &mut u32, now: Instant) {
        for (target, &key) in targets.iter_mut().zip(order) {
            let idle = u32::from(self.vms[key].free_leased(now)).min(*extra);
            *target += u16::try_from(idle).unwrap_or(u16::MAX);
            *extra -= idle;
        }
    }

    /// Distributes the remaining `extra` slots over the VMs, one slot per VM and round.
    fn request_more(&self, order: &[VmKey], targets: &mut [u16], extra: &mut u32) {
        while *extra > 0 {
            let before = *extra;
            for (target, &key) in targets.iter_mut().zip(order) {
                if *extra > 0 && *target < self.vms[key].facts.slots {
                    *target += 1;
                    *extra -= 1;
                }
            }
            if *extra == before {
                return;
            }
        }
    }

    fn slot_want(&mut self, key: VmKey, want: u16, now: Instant) -> Option<SlotWant> {
        let vm = &mut self.vms[key];
        let unexpired = if now < vm.lease_until { vm.leased } else { 0 };
        vm.leased = unexpired.min(want);
        let held = vm.leased.max(vm.in_flight);
        if want == 0 && unexpired == 0 {
            return None;
        }
        Some(SlotWant { vm: vm.name.clone(), held, want })
    }
}
