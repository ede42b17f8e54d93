//! Moves VMs to the pools that need them.
//!
//! Load shifts from one pool to another within seconds, and a move takes about two seconds. A pool's need is met at once
//! from idle VMs. A VM is taken away only after its pool has not needed it for some seconds.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::division::{Share, neediest};
use super::{Fleet, Purpose, Stage, VmState, VmWork};
use crate::Ms;

impl Fleet {
    /// Starts the moves that the pools' needs require.
    pub(super) fn begin_moves(&mut self, now: Ms) {
        let mut spare = VecDeque::from(self.off_vms());
        let leaving = match self.policy.moves.keep_while_short {
            true => self.emptying_to_switch_off(),
            false => Vec::new(),
        };
        let mut shares = self.shares(spare.len() + leaving.len());
        self.redirect_switch_offs(leaving, &mut shares);
        spare.extend(self.spare_vms(&shares, now));
        let mut moves_left = (self.vms.len() * self.policy.moves.at_once_percent / 100)
            .saturating_sub(self.counted_moves());
        while moves_left > 0 {
            let Some(to) = neediest(&shares) else { break };
            let Some((vm, from)) = take_spare_for(&mut spare, &to) else { break };
            self.begin_move(&vm, &to);
            if let Some(share) = shares.get_mut(&to) {
                share.size += 1;
            }
            if let Some(share) = shares.get_mut(&from) {
                share.size -= 1;
            }
            moves_left -= 1;
        }
        let lacking = |(pool, share): (&Arc<str>, &Share)| {
            (pool.clone(), self.needs.current(pool).saturating_sub(share.size))
        };
        self.short = shares.iter().map(lacking).collect();
        self.switch_off(&shares, moves_left, now);
        self.switch_off_evacuated(now);
    }

    /// Returns the number of moves that count towards the limit of moves at once.
    fn counted_moves(&self) -> usize {
        let counts = |w: &&VmWork| !self.policy.moves.limit_emptying || w.stage == Stage::Emptying;
        self.moves().filter(counts).count()
    }

    pub(super) fn moves(&self) -> impl Iterator<Item = &VmWork> {
        self.record.work.iter().filter(|w| matches!(w.purpose, Purpose::Move { .. }))
    }

    /// Counts in one pass, for each working pool, the VMs that work in it or are moving to it.
    pub(super) fn sizes(&self) -> HashMap<Arc<str>, usize> {
        let mut sizes: HashMap<Arc<str>, usize> =
            self.working_pools.iter().map(|pool| (pool.clone(), 0)).collect();
        for vm in self.vms.values() {
            // A VM that is due for maintenance no longer counts, so that it is replaced before it is empty.
            let works = vm.state != VmState::Down
                && self.halls.accepts_work(&vm.hall)
                && self.record.work_on(&vm.name).is_none();
            if let Some(size) = sizes.get_mut(&vm.pool).filter(|_| works) {
                *size += 1;
            }
        }
        for work in &self.record.work {
            let Purpose::Move { to } = &work.purpose else { continue };
            let vm = self.vms.get(work.vm.as_str());
            let counts = vm.is_none_or(|vm| self.halls.accepts_work(&vm.hall));
            if let Some(size) = sizes.get_mut(to.as_str()).filter(|_| counts) {
                *size += 1;
            }
        }
        sizes
    }

    /// Returns the free VMs that are switched off, with their pool.
    fn off_vms(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let off = self.off_pool.iter();
        off.flat_map(|off| self.vms.values().filter(move |vm| vm.pool == *off))
            .filter(|vm| self.is_free(&vm.name, &vm.pool))
            .map(|vm| (vm.name.clone(), vm.pool.clone()))
            .collect()
    }

    /// Returns the VMs that their pools do not need, with their pools: idle VMs first, then those with the least work.
    fn spare_vms(&self, shares: &HashMap<Arc<str>, Share>, now: Ms) -> Vec<(Arc<str>, Arc<str>)> {
        let mut spare = Vec::new();
        let mut light = Vec::new();
        for (pool, report) in &self.reports {
            let Some(share) = shares.get(pool) else { continue };
            let margin = (share.target * self.policy.moves.margin_percent).div_ceil(100);
            let surplus = share.size.saturating_sub(share.target + margin);
            let idle_surplus = match self.policy.moves.keep_while_short {
                true => share.size.saturating_sub(share.target),
                false => surplus,
            };
            let named = |name: &String| (Arc::from(name.as_str()), pool.clone());
            let free = |name: &&String| self.is_free(name, pool);
            let idle: Vec<_> =
                report.idle.iter().filter(free).take(idle_surplus).map(named).collect();
            let rest = surplus.saturating_sub(idle.len());
            spare.extend(idle);
            // Moving a VM that has just arrived would waste the time of its last move.
            let stayed = |name: &&String| self.has_stayed(name, now);
            let working = report.light.iter().filter(free).filter(stayed);
            light.extend(working.take(rest).map(named));
        }
        spare.extend(light);
        spare
    }

    /// Returns whether a VM has been in its pool for the minimum time.
    fn has_stayed(&self, name: &str, now: Ms) -> bool {
        self.moved_at
            .get(name)
            .is_none_or(|&at| now.saturating_sub(at) >= self.policy.moves.stay_ms)
    }

    /// Returns whether a VM is up in a pool and has no open work or orders. A VM in an evacuated hall is not free: it could do
    /// no work in another pool, and its pool needs it when the evacuation is withdrawn.
    pub(super) fn is_free(&self, name: &str, pool: &Arc<str>) -> bool {
        let in_use = |vm: &super::FleetVm| self.halls.accepts_work(&vm.hall);
        self.vms.get(name).is_some_and(in_use) && self.is_unoccupied(name, pool)
    }

    /// Returns whether a VM is up in a pool and has no open work or orders, whichever hall it is in.
    pub(super) fn is_unoccupied(&self, name: &str, pool: &Arc<str>) -> bool {
        let up = |vm: &super::FleetVm| vm.pool == *pool && vm.state == VmState::Up;
        self.vms.get(name).is_some_and(up)
            && self.record.work_on(name).is_none()
            && !self.unanswered.contains_key(name)
            && !self.held_off.contains_key(name)
    }

    pub(super) fn begin_move(&mut self, vm: &str, to: &Arc<str>) {
        self.begin_emptying(vm, Purpose::Move { to: to.as_ref().to_owned() });
    }
}

/// Removes and returns the first spare VM, with its pool, that is not already in the given pool.
fn take_spare_for(
    spare: &mut VecDeque<(Arc<str>, Arc<str>)>,
    pool: &Arc<str>,
) -> Option<(Arc<str>, Arc<str>)> {
    let i = spare.iter().position(|(_, from)| from != pool)?;
    spare.remove(i)
}
