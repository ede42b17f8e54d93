//! Waves of maintenance.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexSet;

use super::{Fleet, FleetVm, Purpose, Stage, VmState, VmWork, WaveRecord, WaveRequest};
use crate::Ms;

/// Share of a pool's VMs that are emptied or down for waves at once, in percent: what remains
/// carries the load of today's sites with their switched-off VMs brought in.
const POOL_SHARE_PERCENT: usize = 34;
/// VMs that are emptied beyond those that may be down, so that the next is ready when one is back.
const AHEAD: usize = 2;

/// How long one VM of a wave takes, from its being emptied to its being back, in milliseconds: tasks of
/// two seconds, an upkeep of two, and what it takes to hear of both.
const VM_TIME_MS: Ms = 5_000;
/// What is left of a wave's time when the last of its VMs should be back, in milliseconds: a change of
/// the fleet's owner costs up to six seconds.
const SPARE_TIME_MS: Ms = 7_000;

/// How long a VM must be missing from the list to count as gone for good, in milliseconds. A new
/// VM may be asked for before it is first listed.
const GONE_MS: Ms = 3_000;

/// A wave that was asked for.
#[derive(Clone, Debug)]
pub(super) struct Wave {
    pub request: WaveRequest,
}

impl Wave {
    pub const fn new(request: WaveRequest) -> Self {
        Self { request }
    }

    /// Returns whether VMs that their pools need may be left to be done later.
    fn has_time(&self, left: usize, now: Ms) -> bool {
        let Some(asked_at) = self.request.asked_at else { return false };
        let rounds = left.div_ceil(self.request.cap.max(1));
        let needed = VM_TIME_MS * Ms::try_from(rounds).unwrap_or(Ms::MAX) + SPARE_TIME_MS;
        now + needed < asked_at + self.request.duration_ms
    }

    /// Returns how many VMs must be worked on at once for the wave to be done in time.
    fn pace(&self, left: usize, now: Ms) -> usize {
        let all = self.request.cap.max(1) + AHEAD;
        let Some(asked_at) = self.request.asked_at else { return all };
        let end = (asked_at + self.request.duration_ms).saturating_sub(SPARE_TIME_MS);
        let time = usize::try_from(end.saturating_sub(now)).unwrap_or(usize::MAX);
        let vm_time = usize::try_from(VM_TIME_MS).unwrap_or(usize::MAX);
        (left * vm_time).checked_div(time).map_or(all, |pace| (pace + 1).min(all))
    }
}

impl Fleet {
    pub(super) fn mark_maintained(&mut self, wave: u64, vm: &str) {
        if let Some(record) = self.record.waves.iter_mut().find(|w| w.wave == wave) {
            record.left.shift_remove(vm);
            record.done.insert(vm.to_owned());
        }
    }

    /// Notes which VMs of waves are missing from a list, and counts those as done that have been
    /// missing for long: they have left for good.
    pub(super) fn note_missing(&mut self, asked_at: Ms) {
        let vms = &self.vms;
        self.missing_since.retain(|name, _| !vms.contains_key(name.as_str()));
        for record in &mut self.record.waves {
            for name in record.left.iter().filter(|name| !vms.contains_key(name.as_str())) {
                self.missing_since.entry(name.clone()).or_insert(asked_at);
            }
            let missing = &self.missing_since;
            let gone = |name: &String| {
                missing.get(name).is_some_and(|since| asked_at.saturating_sub(*since) >= GONE_MS)
            };
            let (gone, left): (IndexSet<String>, IndexSet<String>) =
                record.left.drain(..).partition(gone);
            record.left = left;
            record.done.extend(gone);
        }
    }

    /// Begins to empty VMs of waves, as many as may be down and a few more; while a pool is short of
    /// VMs no more than must be for the wave to be in time, and none of that pool while it has time.
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
            let paced = self.policy.waves.pace && self.is_any_short(&sizes);
            let most = if paced { wave.pace(record.left.len(), now) } else { cap + AHEAD };
            let mut at_work = self.work_of(record.wave).count();
            for name in self.order_of(&record) {
                if at_work >= most {
                    break;
                }
                let pool = self.vms.get(name.as_str()).map(|vm| vm.pool.clone());
                let Some(pool) = pool else { continue };
                if self.policy.waves.wait_for_pools && has_time && self.is_short(&pool, &sizes) {
                    continue;
                }
                if self.begin_vm(record.wave, &name, &mut by_pool) {
                    at_work += 1;
                    if let Some(size) = sizes.get_mut(&pool) {
                        *size = size.saturating_sub(1);
                    }
                }
            }
        }
    }

    /// Returns whether a working pool needs all that it has and more.
    fn is_short(&self, pool: &Arc<str>, sizes: &HashMap<Arc<str>, usize>) -> bool {
        sizes.get(pool).is_some_and(|&size| size < self.needs.now(pool))
    }

    fn is_any_short(&self, sizes: &HashMap<Arc<str>, usize>) -> bool {
        self.working_pools.iter().any(|pool| self.is_short(pool, sizes))
    }

    fn begin_vm(&mut self, wave: u64, name: &str, by_pool: &mut HashMap<Arc<str>, usize>) -> bool {
        let Some(vm) = self.vms.get(name).filter(|vm| vm.state == VmState::Up) else {
            return false;
        };
        let off = self.off_pool.as_ref() == Some(&vm.pool);
        let size = self.vms.values().filter(|v| v.pool == vm.pool).count();
        let most = (size * POOL_SHARE_PERCENT / 100).max(1);
        let busy = by_pool.entry(vm.pool.clone()).or_default();
        if !off && *busy >= most {
            return false;
        }
        *busy += 1;
        self.begin(name, Purpose::Maintain { wave });
        true
    }

    /// Returns the VMs of a wave that are not worked on: those that are switched off or idle
    /// first, then those of the pools that use least of their room.
    fn order_of(&self, record: &WaveRecord) -> Vec<String> {
        let rank = |name: &String| {
            let vm = self.vms.get(name.as_str());
            let off = vm.is_some_and(|vm| self.off_pool.as_ref() == Some(&vm.pool));
            let idle = self.idle_since.contains_key(name);
            let load = vm.map_or(0, |vm: &FleetVm| self.needs.now(&vm.pool));
            (!off, !idle, load)
        };
        let is_free = |name: &&String| {
            self.record.work_on(name).is_none()
                && !self.unsettled.contains_key(*name)
                && !self.kept_off.contains_key(*name)
        };
        let mut names: Vec<String> = record.left.iter().filter(is_free).cloned().collect();
        names.sort_by_key(rank);
        names
    }

    fn work_of(&self, wave: u64) -> impl Iterator<Item = &VmWork> {
        let of_wave = move |w: &&VmWork| w.purpose == Purpose::Maintain { wave };
        self.record.work.iter().filter(of_wave)
    }

    /// Returns whether one more VM may be taken down for a purpose. One that was ordered down
    /// counts until its new incarnation is up.
    pub(super) fn may_take_down(&self, purpose: &Purpose) -> bool {
        let Purpose::Maintain { wave } = purpose else { return true };
        let Some(known) = self.waves.get(wave) else { return false };
        let down = self.work_of(*wave).filter(|w| w.stage != Stage::Emptying).count();
        down < known.request.cap.max(1)
    }
}
