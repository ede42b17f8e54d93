//! The number of VMs that each pool needs, by its reports.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::PoolReport;
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
    pub fn in_time(&self, pool: &str) -> usize {
        let in_time = self.pools.get(pool).map_or(0, |need| need.in_time);
        in_time.max(self.policy.need.floor_vms)
    }

    /// Returns the mean number of VMs that a pool needed over the last seconds, or `None` before its first report.
    ///
    /// This is the mean and not the maximum, because the need is estimated from the last thirty arrivals and varies by a half.
    /// An idle VM that its pool does need is used again within the time for which idle VMs are kept anyway. The mean costs
    /// 0.1605 instead of 0.1657 of the value for VM-seconds, and 0.0275 instead of 0.0252 for moves (350 VMs, means of five
    /// days with faults).
    pub fn recent_mean(&mut self, pool: &str, now: Ms) -> Option<usize> {
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

/// The number of VMs of the whole fleet that had work over the last seconds.
#[derive(Debug, Default)]
pub(super) struct Uses {
    /// Numbers of VMs with the time of each, oldest first. Each is larger than all later ones.
    falling: VecDeque<(Ms, usize)>,
    since: Option<Ms>,
}

impl Uses {
    /// Records the present number of VMs with work, and returns the largest one of the last `keep_ms`, or `None` if they are not
    /// known for as long.
    pub fn most_used(&mut self, busy: usize, keep_ms: Ms, now: Ms) -> Option<usize> {
        let since = *self.since.get_or_insert(now);
        while self.falling.back().is_some_and(|&(_, earlier)| earlier <= busy) {
            self.falling.pop_back();
        }
        self.falling.push_back((now, busy));
        while self.falling.front().is_some_and(|&(at, _)| at + keep_ms < now) {
            self.falling.pop_front();
        }
        let most = self.falling.front().map(|&(_, busy)| busy);
        most.filter(|_| now >= since + keep_ms)
    }
}
