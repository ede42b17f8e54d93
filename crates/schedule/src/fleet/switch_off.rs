//! Switches off VMs that no pool needs.
//!
//! Load pattern: bursts of some seconds follow each other in different pools. VMs that are switched off between two bursts are
//! missing when the next one begins, and switching them off and on costs two moves.

use std::collections::HashMap;
use std::sync::Arc;

use super::division::{Share, neediest};
use super::{Fleet, Purpose, Stage, VmState, VmWork};
use crate::Ms;

impl Fleet {
    /// Switches off VMs that are not needed, at most `limit` of them.
    pub(super) fn switch_off(&mut self, shares: &HashMap<Arc<str>, Share>, limit: usize, now: Ms) {
        let is_short = |(pool, share): (&Arc<str>, &Share)| {
            share.size < share.target
                || !self.policy.need.in_time_only && share.size < self.needs.current(pool)
        };
        let keeps_all = self.policy.moves.keep_while_short && shares.iter().any(is_short);
        let used = self.most_used(shares, now);
        match self.policy.moves.move_cost_ms {
            _ if keeps_all => (),
            0 => self.switch_off_idle(limit, now),
            _ => self.switch_off_unused(shares, used, limit),
        }
    }

    /// Switches off idle VMs that their pools have not needed recently, at most `limit` of them.
    fn switch_off_idle(&mut self, limit: usize, now: Ms) {
        let Some(off) = self.off_pool.clone() else { return };
        let mut unneeded = Vec::new();
        let sizes = self.sizes();
        for pool in self.working_pools.iter().cloned().collect::<Vec<_>>() {
            let Some(needed) = self.needs.recent_mean(&pool, now) else { continue };
            let surplus = sizes.get(&pool).map_or(0, |size| size.saturating_sub(needed));
            let Some(report) = self.reports.get(&pool) else { continue };
            let idle = report.idle.iter().filter(|vm| self.has_been_idle(vm, now));
            let idle = idle.filter(|vm| self.is_free(vm, &pool));
            unneeded.extend(idle.take(surplus).cloned());
        }
        for vm in unneeded.into_iter().take(limit) {
            self.begin_move(&vm, &off);
        }
    }

    /// Returns the largest number of VMs that had work, or were wanted by pools, for as long as keeping an idle VM costs less than
    /// to switch it off and on; `None` if this is not known for as long.
    fn most_used(&mut self, shares: &HashMap<Arc<str>, Share>, now: Ms) -> Option<usize> {
        let busy = self.reports.values().map(|report| {
            usize::try_from(report.vms).unwrap_or(usize::MAX).saturating_sub(report.idle.len())
        });
        // VMs that are on the way to a pool have no work yet, but they are in its target.
        let wanted = shares.values().map(|share| share.target).sum();
        let keep_ms = 2 * (self.policy.moves.move_cost_ms + self.record.move_ms);
        self.uses.most_used(busy.sum::<usize>().max(wanted), keep_ms, now)
    }

    /// Switches off idle VMs beyond the number that the fleet as a whole has used. Idle VMs of different pools can replace each
    /// other, so it does not matter how long each of them has been idle.
    fn switch_off_unused(
        &mut self,
        shares: &HashMap<Arc<str>, Share>,
        used: Option<usize>,
        limit: usize,
    ) {
        let Some((off, used)) = self.off_pool.clone().zip(used) else { return };
        let size: usize = shares.values().map(|share| share.size).sum();
        let mut surplus = size.saturating_sub(used).min(limit);
        let mut unneeded = Vec::new();
        for (pool, share) in shares {
            let Some(report) = self.reports.get(pool) else { continue };
            let count = share.size.saturating_sub(share.target).min(surplus);
            let idle = report.idle.iter().filter(|vm| self.is_free(vm, pool)).take(count);
            let before = unneeded.len();
            unneeded.extend(idle.cloned());
            surplus -= unneeded.len() - before;
        }
        for vm in unneeded {
            self.begin_move(&vm, &off);
        }
    }

    /// Returns the VMs that are being emptied to be switched off and could work. No order about them was given yet.
    pub(super) fn emptying_to_switch_off(&self) -> Vec<String> {
        let Some(off) = &self.off_pool else { return Vec::new() };
        let can_work = |w: &&VmWork| {
            let vm = self.vms.get(w.vm.as_str());
            vm.is_some_and(|vm| vm.state == VmState::Up && self.halls.accepts_work(&vm.hall))
        };
        let to_off = |w: &&VmWork| {
            let to_off = matches!(&w.purpose, Purpose::Move { to } if **to == **off);
            to_off && w.stage == Stage::Emptying
        };
        let emptying = self.record.work.iter().filter(to_off).filter(can_work);
        emptying.map(|w| w.vm.clone()).collect()
    }

    /// Gives VMs that are being emptied to be switched off to pools that have become short of VMs: back to their own pool, or else
    /// to the neediest one.
    pub(super) fn redirect_switch_offs(
        &mut self,
        emptying: Vec<String>,
        shares: &mut HashMap<Arc<str>, Share>,
    ) {
        for vm in emptying {
            let Some(own) = self.vms.get(vm.as_str()).map(|vm| vm.pool.clone()) else { continue };
            let own_is_short = shares.get(&own).is_some_and(|share| share.size < share.target);
            let to = if own_is_short { Some(own.clone()) } else { neediest(shares) };
            let Some(to) = to else { return };
            if let Some(share) = shares.get_mut(&to) {
                share.size += 1;
            }
            match to == own {
                true => _ = self.record.work.remove(&vm),
                false => self.record.work.set_purpose(&vm, Purpose::Move { to: to.to_string() }),
            }
        }
    }

    fn has_been_idle(&self, vm: &str, now: Ms) -> bool {
        self.idle_since
            .get(vm)
            .is_some_and(|&since| now.saturating_sub(since) >= self.policy.moves.keep_ms)
    }
}
