//! Invariants, which are asserted after each accepted record independently of the checks that
//! reject records.

use std::collections::BTreeMap;

use thistle_model::Change;

use crate::pool::PoolKey;
use crate::state::State;

/// The counts before a change, to assert the invariants after it.
pub(crate) struct InvariantGuard {
    checks_budgets: bool,
    available: Vec<(PoolKey, u32)>,
    templates: usize,
    pools: usize,
    vms: usize,
    changes_vm_count: bool,
}

impl InvariantGuard {
    /// Records the counts before `change`.
    pub(crate) fn new(state: &State, change: &Change) -> Self {
        Self {
            checks_budgets: is_system_decision(change),
            available: state.pools.iter().map(|(k, p)| (k, p.available)).collect(),
            templates: state.templates.len(),
            pools: state.pool_keys.len(),
            vms: state.vms.len(),
            changes_vm_count: matches!(change, Change::VmSeen { .. } | Change::VmGone { .. }),
        }
    }

    /// Asserts the invariants after the change.
    pub(crate) fn assert_held(&self, state: &State) {
        assert!(state.templates.len() >= self.templates, "a template was removed");
        assert!(state.pool_keys.len() >= self.pools, "a workspace was removed");
        assert!(
            self.changes_vm_count || state.vms.len() == self.vms,
            "a VM was removed or duplicated"
        );
        let sizes: u32 = state.pools.values().map(|p| p.size).sum();
        assert_eq!(
            sizes as usize,
            state.vms.len(),
            "the sizes of the pools do not add up to the number of VMs"
        );
        if self.checks_budgets {
            self.assert_budgets(state);
        }
    }

    fn assert_budgets(&self, state: &State) {
        for &(key, before) in &self.available {
            let pool = &state.pools[key];
            let held = pool.available >= before || pool.available >= pool.floor();
            assert!(held, "a decision of the system took '{}' below its floor", pool.label());
        }
    }
}

/// Returns whether a change is a decision of the system, which must keep the budgets.
///
/// VMs that the platform removes or that an operator forces out of service are not such decisions.
fn is_system_decision(change: &Change) -> bool {
    matches!(
        change,
        Change::Drain { .. }
            | Change::GiveBack { .. }
            | Change::Drained { .. }
            | Change::Assign { .. }
            | Change::MaintenanceStarted { .. }
            | Change::MaintenanceDone { .. }
            | Change::Cordon { force: false, .. }
    )
}

impl State {
    /// Asserts all invariants with newly counted VMs.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is broken.
    pub fn assert_all(&self) {
        assert_eq!(
            self.vms.len(),
            self.vm_keys.len(),
            "the numbers of VMs and of their names differ"
        );
        let mut counts: BTreeMap<PoolKey, (u32, u32)> = BTreeMap::new();
        for vm in self.vms.values() {
            let count = counts.entry(vm.pool).or_default();
            count.0 += 1;
            count.1 += u32::from(vm.is_available());
            assert!(
                vm.revision.0 <= self.accepted,
                "a VM's revision is later than the last accepted change"
            );
            assert!(
                vm.job_slots <= u32::from(vm.facts.slots),
                "jobs use more slots than the VM has"
            );
        }
        for (key, pool) in &self.pools {
            let counted = counts.get(&key).copied().unwrap_or_default();
            assert_eq!((pool.size, pool.available), counted, "wrong counts of '{}'", pool.label());
            assert!(
                pool.touched.0 <= self.accepted,
                "a pool's revision is later than the last accepted change"
            );
        }
    }
}
