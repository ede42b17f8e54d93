//! Maintenance waves.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexSet;

use super::{Fleet, FleetVm, Purpose, Stage, VmState, VmWork, WaveRecord, WaveRequest};
use crate::Ms;

/// The maximum share of a pool's VMs that are emptied or down for waves at once, in percent. The remaining VMs, with the
/// switched-off ones switched on, carry the load of today's sites.
const POOL_SHARE_PERCENT: usize = 34;
/// The number of VMs that are emptied beyond those that may be down, so that the next one is ready when one returns.
const EMPTIED_AHEAD: usize = 2;

/// The time that one VM of a wave takes from the start of emptying until it is up again, in milliseconds: tasks of two seconds,
/// maintenance of two seconds, and the reports on both.
const VM_TIME_MS: Ms = 5_000;
/// The reserve at the end of a wave's time by which the last VM should be up again, in milliseconds. A change of the fleet's
/// owner takes up to six seconds.
const RESERVE_MS: Ms = 7_000;

/// How long a VM must be missing from the list to count as permanently gone, in milliseconds. A wave may name a new VM before
/// the VM is first listed.
const GONE_MS: Ms = 3_000;

/// A requested wave.
#[derive(Clone, Debug)]
pub(super) struct Wave {
    pub request: WaveRequest,
}

impl Wave {
    pub const fn new(request: WaveRequest) -> Self {
        Self { request }
    }

    /// Returns whether the wave can wait for VMs that their pools need.
    fn has_time(&self, left: usize, now: Ms) -> bool {
        let Some(requested_at) = self.request.requested_at else { return false };
        let rounds = left.div_ceil(self.request.cap.max(1));
        let needed = VM_TIME_MS * Ms::try_from(rounds).unwrap_or(Ms::MAX) + RESERVE_MS;
        now + needed < requested_at + self.request.duration_ms
    }

    /// Returns the number of VMs that must be worked on at once for the wave to finish in time.
    fn required_parallelism(&self, left: usize, now: Ms) -> usize {
        let all = self.request.cap.max(1) + EMPTIED_AHEAD;
        let Some(requested_at) = self.request.requested_at else { return all };
        let end = (requested_at + self.request.duration_ms).saturating_sub(RESERVE_MS);
        let time = usize::try_from(end.saturating_sub(now)).unwrap_or(usize::MAX);
        let vm_time = usize::try_from(VM_TIME_MS).unwrap_or(usize::MAX);
        (left * vm_time).checked_div(time).map_or(all, |parallelism| (parallelism + 1).min(all))
    }
}

impl Fleet {
    pub(super) fn mark_maintained(&mut self, wave: u64, vm: &str) {
        if let Some(record) = self.record.waves.iter_mut().find(|w| w.wave == wave) {
            record.left.shift_remove(vm);
            record.done.insert(vm.to_owned());
        }
    }

    /// Records which VMs of waves are missing from a list. Those that have been missing for long have left permanently and
    /// count as done.
    pub(super) fn record_missing(&mut self, requested_at: Ms) {
        let vms = &self.vms;
        self.missing_since.retain(|name, _| !vms.contains_key(name.as_str()));
        for record in &mut self.record.waves {
            for name in record.left.iter().filter(|name| !vms.contains_key(name.as_str())) {
                self.missing_since.entry(name.clone()).or_insert(requested_at);
            }
            let missing = &self.missing_since;
            let is_gone = |name: &String| {
                missing
                    .get(name)
                    .is_some_and(|since| requested_at.saturating_sub(*since) >= GONE_MS)
            };
            let (gone, left): (IndexSet<String>, IndexSet<String>) =
                record.left.drain(..).partition(is_gone);
            record.left = left;
            record.done.extend(gone);
        }
    }

    /// Starts to empty VMs of waves: as many as may be down at once and a few more. While a pool is short of VMs, only as many
    /// as the wave needs to finish in time are emptied, and none of that pool while the wave has time.
    pub(super) fn begin_maintenance(&mut self, now: Ms) {
        let mut by_pool: HashMap<Arc<str>, usize> = HashMap::new();
        for work in &self.record.work {
            if let Some(vm) = self.vms.get(work.vm.as_str()) {
                *by_pool.entry(vm.pool.clone()).or_default() += 1;
            }
        }
        let mut sizes = self.sizes();
        let waves: Vec<WaveRecord> =
            self.record.waves.iter().filter(|w| !w.completed).cloned().collect();
        for record in waves {
            let Some(wave) = self.waves.get(&record.wave) else { continue };
            let cap = wave.request.cap.max(1);
            let has_time = wave.has_time(record.left.len(), now);
            let is_paced = self.policy.waves.pace && self.is_any_short(&sizes);
            let limit = if is_paced {
                wave.required_parallelism(record.left.len(), now)
            } else {
                cap + EMPTIED_AHEAD
            };
            let mut in_progress = self.work_of(record.wave).count();
            for name in self.candidates(&record) {
                if in_progress >= limit {
                    break;
                }
                let pool = self.vms.get(name.as_str()).map(|vm| vm.pool.clone());
                let Some(pool) = pool else { continue };
                if self.policy.waves.wait_for_pools && has_time && self.is_short(&pool, &sizes) {
                    continue;
                }
                if self.begin_vm_maintenance(record.wave, &name, &mut by_pool) {
                    in_progress += 1;
                    if let Some(size) = sizes.get_mut(&pool) {
                        *size = size.saturating_sub(1);
                    }
                }
            }
        }
    }

    /// Returns whether a working pool has fewer VMs than it needs.
    fn is_short(&self, pool: &Arc<str>, sizes: &HashMap<Arc<str>, usize>) -> bool {
        sizes.get(pool).is_some_and(|&size| size < self.needs.current(pool))
    }

    fn is_any_short(&self, sizes: &HashMap<Arc<str>, usize>) -> bool {
        self.working_pools.iter().any(|pool| self.is_short(pool, sizes))
    }

    fn begin_vm_maintenance(
        &mut self,
        wave: u64,
        name: &str,
        by_pool: &mut HashMap<Arc<str>, usize>,
    ) -> bool {
        let Some(vm) = self.vms.get(name).filter(|vm| vm.state == VmState::Up) else {
            return false;
        };
        let off = self.off_pool.as_ref() == Some(&vm.pool);
        let size = self.vms.values().filter(|v| v.pool == vm.pool).count();
        let limit = (size * POOL_SHARE_PERCENT / 100).max(1);
        let busy = by_pool.entry(vm.pool.clone()).or_default();
        if !off && *busy >= limit {
            return false;
        }
        *busy += 1;
        self.begin_emptying(name, Purpose::Maintain { wave });
        true
    }

    /// Returns the VMs of a wave without open work, in the order in which to maintain them: switched-off ones first, then idle
    /// ones, then those of the pools with the smallest need.
    fn candidates(&self, record: &WaveRecord) -> Vec<String> {
        let rank = |name: &String| {
            let vm = self.vms.get(name.as_str());
            let off = vm.is_some_and(|vm| self.off_pool.as_ref() == Some(&vm.pool));
            let idle = self.idle_since.contains_key(name);
            let load = vm.map_or(0, |vm: &FleetVm| self.needs.current(&vm.pool));
            (!off, !idle, load)
        };
        let is_free = |name: &&String| {
            self.record.work_on(name).is_none()
                && !self.unanswered.contains_key(*name)
                && !self.held_off.contains_key(*name)
        };
        let mut names: Vec<String> = record.left.iter().filter(is_free).cloned().collect();
        names.sort_by_key(rank);
        names
    }

    fn work_of(&self, wave: u64) -> impl Iterator<Item = &VmWork> {
        let of_wave = move |w: &&VmWork| w.purpose == Purpose::Maintain { wave };
        self.record.work.iter().filter(of_wave)
    }

    /// Returns whether one more VM may be taken down for a purpose. A VM counts as down from its order until its new
    /// incarnation is up.
    pub(super) fn may_take_down(&self, purpose: &Purpose) -> bool {
        let Purpose::Maintain { wave } = purpose else { return true };
        let Some(known) = self.waves.get(wave) else { return false };
        let down = self.work_of(*wave).filter(|w| w.stage != Stage::Emptying).count();
        down < known.request.cap.max(1)
    }
}
