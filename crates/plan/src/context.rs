//! The data of a planning step: the state, and the counts that are updated with each proposal.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SecondaryMap;
use thistle_fold::{PoolKey, Stage, State, Vm, VmKey};
use thistle_model::{DrainReason, HallName};

/// The data of a planning step.
pub(crate) struct PlanContext<'a> {
    /// The agreed state.
    pub state: &'a State,
    /// For each pool, the number of VMs that may still be taken out of service.
    pub slack: SecondaryMap<PoolKey, u32>,
    /// For each pool, the data halls in which VMs are out for maintenance.
    pub halls_out: SecondaryMap<PoolKey, BTreeSet<HallName>>,
    /// The VMs for which this step has a proposal.
    pub used: BTreeSet<VmKey>,
}

impl<'a> PlanContext<'a> {
    /// Creates the data of a planning step from the state.
    pub fn new(state: &'a State) -> Self {
        let mut slack = SecondaryMap::new();
        let mut halls_out: SecondaryMap<PoolKey, BTreeSet<HallName>> = SecondaryMap::new();
        for (key, pool) in &state.pools {
            slack.insert(key, pool.available.saturating_sub(pool.floor()));
            halls_out.insert(key, BTreeSet::new());
        }
        for vm in state.vms.values().filter(|vm| is_out_for_maintenance(vm)) {
            halls_out[vm.pool].insert(vm.facts.hall.clone());
        }
        Self { state, slack, halls_out, used: BTreeSet::new() }
    }

    /// Returns the number of VMs of each pool that count towards its target.
    pub fn target_counts(&self) -> BTreeMap<PoolKey, u32> {
        let mut counts = BTreeMap::new();
        for vm in self.state.vms.values().filter(|vm| counts_towards_target(vm)) {
            *counts.entry(vm.pool).or_default() += 1;
        }
        counts
    }
}

/// Returns whether a VM is draining, drained or rebooting for maintenance.
pub(crate) fn is_out_for_maintenance(vm: &Vm) -> bool {
    matches!(
        vm.stage,
        Stage::Draining(DrainReason::Maintenance)
            | Stage::Drained(DrainReason::Maintenance)
            | Stage::InMaintenance
    )
}

/// Returns whether a VM counts towards its pool's target: it is available, or will be after its
/// maintenance.
pub(crate) fn counts_towards_target(vm: &Vm) -> bool {
    let is_live = vm.status == thistle_model::PlatformStatus::Live;
    (vm.is_available()) || (is_out_for_maintenance(vm) && !vm.cordoned && is_live)
}
