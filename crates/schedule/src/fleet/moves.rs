//! Moves VMs to the pools that need them, and switches off VMs that no pool needs.
//!
//! Load shifts from one pool to another within seconds, and a move takes about two seconds. A pool's need is met at once
//! from idle VMs. A VM is taken away only after its pool has not needed it for some seconds.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::{Fleet, PoolReport, Purpose, VmState, VmWork};
use crate::Ms;
use crate::policy::Policy;

/// The CPU capacity of a VM if a pool has no VMs to derive it from, in thousandths of a core: that of the sites' VMs.
const DEFAULT_VM_CPU: u64 = 16_000;

/// The number of VMs that each pool needed over the last seconds.
#[derive(Debug)]
pub(super) struct Needs {
    pools: HashMap<Arc<str>, Need>,
    policy: Policy,
}

#[derive(Debug, Default)]
struct Need {
    /// The number of VMs needed by each report of the last seconds, with the time of the report.
    recent: VecDeque<(Ms, usize)>,
    /// The number of VMs needed for work that can finish in time, by the newest report.
    in_time: usize,
    vm_cpu: u64,
}

impl Needs {
    pub fn new(policy: Policy) -> Self {
        Self { pools: HashMap::new(), policy }
    }

    pub fn record_report(&mut self, pool: &Arc<str>, report: &PoolReport, now: Ms) {
        let need = self.pools.entry(pool.clone()).or_default();
        if report.vms > 0 {
            need.vm_cpu = report.cpu / u64::from(report.vms);
        }
        let vm_cpu = if need.vm_cpu > 0 { need.vm_cpu } else { DEFAULT_VM_CPU };
        let fill_percent = self.policy.need.fill_percent;
        let spread = usize::try_from(report.spread).unwrap_or(usize::MAX);
        let vms_for = |cpu: u64| {
            let vms = (cpu * 100).div_ceil(vm_cpu * fill_percent);
            usize::try_from(vms).unwrap_or(usize::MAX).max(spread)
        };
        need.in_time = vms_for(report.soon_cpu);
        need.recent.push_back((now, vms_for(report.soon_cpu + report.late_cpu)));
        need.drop_old(self.policy.moves.keep_ms, now);
    }

    /// Returns the number of VMs that a pool needs by its newest report.
    pub fn current(&self, pool: &str) -> usize {
        let newest = self.pools.get(pool).and_then(|need| need.recent.back());
        newest.map_or(0, |(_, vms)| *vms).max(self.policy.need.floor_vms)
    }

    /// Returns the number of VMs that a pool needs for work that can finish in time, by its newest report.
    fn in_time(&self, pool: &str) -> usize {
        let in_time = self.pools.get(pool).map_or(0, |need| need.in_time);
        in_time.max(self.policy.need.floor_vms)
    }

    /// Returns the mean number of VMs that a pool needed over the last seconds, or `None` before its first report.
    ///
    /// This is the mean and not the maximum, because the need is estimated from the last thirty arrivals and varies by a half.
    /// An idle VM that its pool does need is used again within the time for which idle VMs are kept anyway. The mean costs
    /// 0.1605 instead of 0.1657 of the value for VM-seconds, and 0.0275 instead of 0.0252 for moves (350 VMs, means of five
    /// days with faults).
    fn recent_mean(&mut self, pool: &str, now: Ms) -> Option<usize> {
        let need = self.pools.get_mut(pool)?;
        need.drop_old(self.policy.moves.keep_ms, now);
        let floor = self.policy.need.floor_vms;
        let sum: usize = need.recent.iter().map(|&(_, vms)| vms.max(floor)).sum();
        sum.checked_div(need.recent.len())
    }
}

impl Need {
    /// Drops old reports. The newest one is kept until there is another.
    fn drop_old(&mut self, keep_ms: Ms, now: Ms) {
        while self.recent.len() > 1 && self.recent[1].0 + keep_ms < now {
            self.recent.pop_front();
        }
    }
}

/// The target and the current number of VMs of a pool, including VMs that are moving to it.
#[derive(Clone, Copy, Debug)]
struct Share {
    target: usize,
    size: usize,
}

/// A number of available VMs that is split among the pools that want VMs.
#[derive(Clone, Copy, Debug)]
struct Split {
    available: usize,
    wanted: usize,
}

impl Split {
    fn new(available: usize, wanted: usize) -> Self {
        Self { available, wanted }
    }

    /// Returns the part for a pool that wants `wanted` VMs: all of them, or a proportional share.
    fn part(self, wanted: usize) -> usize {
        match self.wanted <= self.available {
            true => wanted,
            false => wanted * self.available / self.wanted,
        }
    }
}

impl Fleet {
    /// Starts the moves that the pools' needs require.
    pub(super) fn begin_moves(&mut self, now: Ms) {
        let mut spare = VecDeque::from(self.off_vms());
        let mut shares = self.shares(spare.len());
        spare.extend(self.spare_vms(&shares, now));
        let mut moves_left = (self.vms.len() * self.policy.moves.at_once_percent / 100)
            .saturating_sub(self.moves().count());
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
        self.switch_off_idle(moves_left, now);
        self.switch_off_evacuated(now);
    }

    /// Divides the VMs among the pools. Each pool gets what it needs, or a proportional share of the available VMs. Work that
    /// will be late gets the VMs that are left over by work that can finish in time.
    fn shares(&self, switched_off: usize) -> HashMap<Arc<str>, Share> {
        let sizes: Vec<(Arc<str>, usize)> = self.sizes().into_iter().collect();
        let total = switched_off + sizes.iter().map(|(_, size)| size).sum::<usize>();
        let floor = self.policy.need.floor_vms;
        let first_need = |pool: &str| match self.policy.need.late_last {
            true => self.needs.in_time(pool) - floor,
            false => self.needs.current(pool) - floor,
        };
        let last_need = |pool: &str| self.needs.current(pool) - floor - first_need(pool);
        let sum = |need: &dyn Fn(&str) -> usize| -> usize {
            sizes.iter().map(|(pool, _)| need(pool)).sum()
        };
        let available = total.saturating_sub(floor * sizes.len());
        let first_split = Split::new(available, sum(&first_need));
        let last_split = Split::new(available.saturating_sub(first_split.wanted), sum(&last_need));
        let share = |(pool, size): (Arc<str>, usize)| {
            let target =
                floor + first_split.part(first_need(&pool)) + last_split.part(last_need(&pool));
            (pool, Share { target, size })
        };
        sizes.iter().cloned().map(share).collect()
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
            let keep =
                share.target + (share.target * self.policy.moves.margin_percent).div_ceil(100);
            let surplus = share.size.saturating_sub(keep);
            let named = |name: &String| (Arc::from(name.as_str()), pool.clone());
            let free = |name: &&String| self.is_free(name, pool);
            let idle: Vec<_> = report.idle.iter().filter(free).take(surplus).map(named).collect();
            let rest = surplus - idle.len();
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
    fn is_free(&self, name: &str, pool: &Arc<str>) -> bool {
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

    fn has_been_idle(&self, vm: &str, now: Ms) -> bool {
        self.idle_since
            .get(vm)
            .is_some_and(|&since| now.saturating_sub(since) >= self.policy.moves.keep_ms)
    }
}

/// Returns the pool that has the smallest part of its target.
fn neediest(shares: &HashMap<Arc<str>, Share>) -> Option<Arc<str>> {
    shares
        .iter()
        .filter(|(_, share)| share.size < share.target)
        .min_by_key(|(pool, share)| (share.size * 1_000 / share.target.max(1), (*pool).clone()))
        .map(|(pool, _)| pool.clone())
}

/// Removes and returns the first spare VM, with its pool, that is not already in the given pool.
fn take_spare_for(
    spare: &mut VecDeque<(Arc<str>, Arc<str>)>,
    pool: &Arc<str>,
) -> Option<(Arc<str>, Arc<str>)> {
    let i = spare.iter().position(|(_, from)| from != pool)?;
    spare.remove(i)
}
