//! Applying the view of the agreed state, and acknowledging drains.

use std::collections::HashSet;

use thistle_model::view::{ViewPool, ViewUpdate, ViewVm};
use thistle_model::{Revision, VmName};

use super::{PoolKey, PoolLoad, Router, VmKey, VmLoad};
use crate::admit::Queue;

/// An acknowledgement of a drain: this entry sends no requests to the VM and has none in flight
/// there.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DrainAck {
    /// The VM.
    pub vm: VmName,
    /// The revision of the drain.
    pub revision: Revision,
}

impl Router {
    /// Applies an update of the view.
    pub fn apply_view(&mut self, update: &ViewUpdate) {
        for pool in &update.pools {
            self.apply_pool(pool);
        }
        self.set_leaving(&update.leaving);
        let all_vms: Vec<_> = self.vms.keys().collect();
        all_vms.into_iter().for_each(|key| self.remove_unused(key));
    }

    /// Sets the VMs that are known to be leaving before the log records it.
    pub fn set_leaving(&mut self, leaving: &[VmName]) {
        let leaving: HashSet<_> = leaving.iter().collect();
        for vm in self.vms.values_mut() {
            vm.leaving = leaving.contains(&vm.name);
        }
    }

    /// Returns the drains that this entry can acknowledge now.
    pub fn acks(&self) -> Vec<DrainAck> {
        let idle = self.vms.values().filter(|vm| vm.in_flight == 0);
        let ack = |vm: &VmLoad| vm.drain.map(|revision| DrainAck { vm: vm.name.clone(), revision });
        idle.filter_map(ack).collect()
    }

    fn apply_pool(&mut self, view: &ViewPool) {
        let key = self.upsert_pool(view);
        self.clear_pool(key);
        for vm in &view.vms {
            self.upsert_vm(key, vm);
        }
        for drain in &view.drains {
            self.record_drain(key, &drain.name, drain.revision);
        }
    }

    fn upsert_pool(&mut self, view: &ViewPool) -> PoolKey {
        if let Some(&key) = self.pool_keys.get(&view.name) {
            let pool = &mut self.pools[key];
            pool.tier = view.tier;
            pool.template = view.template.clone();
            return key;
        }
        let key = self.pools.insert(PoolLoad {
            name: view.name.clone(),
            tier: view.tier,
            template: view.template.clone(),
            vms: Vec::new(),
            queue: Queue::new(self.cfg.admit, self.cfg.max_queue),
            evicted: Vec::new(),
        });
        self.pool_keys.insert(view.name.clone(), key);
        key
    }

    /// Removes all VMs from a pool; VMs with requests in flight remain known to the router.
    fn clear_pool(&mut self, key: PoolKey) {
        for vm_key in std::mem::take(&mut self.pools[key].vms) {
            let vm = &mut self.vms[vm_key];
            if vm.pool == key {
                vm.in_view = false;
                vm.drain = None;
            }
        }
    }

    fn upsert_vm(&mut self, pool: PoolKey, view: &ViewVm) {
        let key = match self.vm_keys.get(&view.name) {
            Some(&key) => key,
            None => self.insert_vm(VmLoad::new(view.name.clone(), view.facts.clone(), pool)),
        };
        let vm = &mut self.vms[key];
        if vm.facts != view.facts {
            vm.breaker = crate::breaker::Breaker::default();
            vm.facts = view.facts.clone();
        }
        vm.pool = pool;
        vm.in_view = true;
        vm.drain = None;
        self.pools[pool].vms.push(key);
    }

    /// Records a drain. A VM that this entry never knew is added, as its drain can be acknowledged
    /// too: no requests are in flight there.
    fn record_drain(&mut self, pool: PoolKey, name: &VmName, revision: Revision) {
        let key = match self.vm_keys.get(name) {
            Some(&key) => key,
            None => {
                let facts = placeholder_facts();
                self.insert_vm(VmLoad::new(name.clone(), facts, pool))
            }
        };
        let vm = &mut self.vms[key];
        vm.pool = pool;
        vm.in_view = false;
        vm.drain = Some(revision);
        self.pools[pool].vms.push(key);
    }

    fn insert_vm(&mut self, vm: VmLoad) -> VmKey {
        let name = vm.name.clone();
        let key = self.vms.insert(vm);
        self.vm_keys.insert(name, key);
        key
    }

    /// Removes a VM that is in no pool and has no requests in flight.
    pub(super) fn remove_unused(&mut self, key: VmKey) {
        let Some(vm) = self.vms.get(key) else { return };
        let listed = self.pools.get(vm.pool).is_some_and(|p| p.vms.contains(&key));
        if vm.in_flight > 0 || listed {
            return;
        }
        if let Some(vm) = self.vms.remove(key) {
            self.vm_keys.remove(&vm.name);
        }
    }
}

/// Returns placeholder facts for a VM known only from its drain; no requests are sent to the VM.
fn placeholder_facts() -> thistle_model::VmFacts {
    let hall = thistle_model::HallName::new("unknown").expect("a constant name is valid");
    let rack = thistle_model::RackName::new("unknown").expect("a constant name is valid");
    let addr = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
    thistle_model::VmFacts { addr, hall, rack, slots: 0, connections: 0 }
}
