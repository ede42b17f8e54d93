//! The size of the reserve, which all pools share and which is sized for the largest rack.

use std::collections::BTreeMap;

use thistle_fold::State;
use thistle_model::RackName;

use crate::proposal::PlanConfig;

/// Returns the number of VMs in the largest rack.
pub fn largest_rack(state: &State) -> u32 {
    let mut racks: BTreeMap<&RackName, u32> = BTreeMap::new();
    for vm in state.vms.values() {
        *racks.entry(&vm.facts.rack).or_default() += 1;
    }
    racks.into_values().max().unwrap_or(0)
}

/// Returns the number of VMs that the reserve should hold.
///
/// A rack that fails takes VMs from several pools at once, but never more in total than the rack
/// holds. So as many spare VMs as the largest rack holds cover the failure of any one rack for all
/// pools.
pub fn reserve_target(state: &State, cfg: &PlanConfig) -> u32 {
    largest_rack(state) * cfg.spare_racks
}
