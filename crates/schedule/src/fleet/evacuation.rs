//! Switches off idle VMs in evacuated halls.

use std::collections::HashSet;
use std::sync::Arc;

use super::{Fleet, PoolReport};
use crate::Ms;

impl Fleet {
    /// Records since when a pool's VMs in evacuated halls have been idle.
    pub(super) fn record_evacuated_idle(&mut self, pool: &Arc<str>, report: &PoolReport, now: Ms) {
        let idle: HashSet<&String> = report.evacuated_idle.iter().collect();
        let before = self.reports.get(pool).into_iter().flat_map(|before| &before.evacuated_idle);
        for vm in before.filter(|vm| !idle.contains(vm)) {
            self.evacuated_idle_since.remove(vm);
        }
        for vm in &report.evacuated_idle {
            self.evacuated_idle_since.entry(vm.clone()).or_insert(now);
        }
    }

    /// Begins to switch off VMs in evacuated halls that have been idle for as long as a pool keeps VMs that it does not need,
    /// if the pool has all the VMs that it needs in other halls. They count among the moves that are allowed at once, after
    /// the moves that the pools' needs require. Once the hall is back, they are free for any pool.
    ///
    /// Load pattern: a hall with a third of the VMs is evacuated for a minute while the pools burst in turn. Its VMs become idle
    /// within seconds and stay paid for although no task may start there.
    pub(super) fn switch_off_evacuated(&mut self, now: Ms) {
        let Some(off) = self.off_pool.clone().filter(|_| self.policy.moves.switch_off_evacuated)
        else {
            return;
        };
        let limit = (self.vms.len() * self.policy.moves.at_once_percent / 100)
            .saturating_sub(self.moves().count());
        let sizes = self.sizes();
        let mut unneeded = Vec::new();
        for (pool, report) in &self.reports {
            let size = sizes.get(pool).copied();
            if size.is_none_or(|size| size < self.needs.current(pool)) {
                continue;
            }
            let idle = report.evacuated_idle.iter().filter(|vm| {
                self.is_in_evacuated_hall(vm)
                    && self.is_unoccupied(vm, pool)
                    && self.has_been_idle_there(vm, now)
            });
            unneeded.extend(idle.cloned());
        }
        unneeded.sort();
        for vm in unneeded.into_iter().take(limit) {
            self.begin_move(&vm, &off);
        }
    }

    fn is_in_evacuated_hall(&self, vm: &str) -> bool {
        self.vms.get(vm).is_some_and(|vm| !self.halls.accepts_work(&vm.hall))
    }

    fn has_been_idle_there(&self, vm: &str, now: Ms) -> bool {
        let since = self.evacuated_idle_since.get(vm);
        since.is_some_and(|&since| now.saturating_sub(since) >= self.policy.moves.keep_ms)
    }
}
