//! The spread of a pool's VMs over data halls and racks.

use std::collections::BTreeMap;

use thistle_fold::{PoolKey, State, Vm};
use thistle_model::{HallName, RackName};

use crate::context::counts_towards_target;

/// The number of a pool's VMs by data hall and rack.
#[derive(Default)]
pub(crate) struct Spread {
    halls: BTreeMap<HallName, u32>,
    racks: BTreeMap<RackName, u32>,
}

impl Spread {
    /// Counts the VMs of a pool.
    pub fn of(state: &State, pool: PoolKey) -> Self {
        let mut spread = Self::default();
        for vm in state.vms.values().filter(|vm| vm.pool == pool && counts_towards_target(vm)) {
            spread.add(vm);
        }
        spread
    }

    /// Adds a VM to the counts.
    pub fn add(&mut self, vm: &Vm) {
        *self.halls.entry(vm.facts.hall.clone()).or_default() += 1;
        *self.racks.entry(vm.facts.rack.clone()).or_default() += 1;
    }

    /// Returns the counts in a VM's hall and rack. The VM with the lowest counts is the best one to add
    /// to the pool.
    pub fn hall_and_rack_counts(&self, vm: &Vm) -> (u32, u32) {
        let rack = self.racks.get(&vm.facts.rack).copied().unwrap_or(0);
        let hall = self.halls.get(&vm.facts.hall).copied().unwrap_or(0);
        (hall, rack)
    }
}
