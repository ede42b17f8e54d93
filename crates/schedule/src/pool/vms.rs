//! Updates and queries of the VMs in a pool's schedule.

use std::collections::HashSet;
use std::sync::Arc;

use super::incarnation::Vm;
use super::{Now, Pool, VmKey};
use crate::Ms;
use crate::halls::Halls;
use crate::id::VmIncarnation;
use crate::vm::{Room, VmFacts};

/// The state of a VM, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmSummary {
    /// The incarnation.
    pub id: VmIncarnation,
    /// The VM's stable name.
    pub name: Arc<str>,
    /// The resources in use; CPU is in thousandths of a core.
    pub used: Room,
    /// The number of tasks assigned to the VM.
    pub runs: usize,
    /// Whether the VM accepts new work.
    pub accepts_work: bool,
    /// Whether the last call to the VM was answered.
    pub reachable: bool,
}

impl Pool {
    /// Applies the platform's listing of a VM incarnation. Returns whether the VM was not listed before or its draining state
    /// changed.
    pub fn list_vm(&mut self, facts: Arc<VmFacts>) -> bool {
        self.assign_start_time(&facts.id);
        let key = self.vm_key(&facts.id);
        let cordoned = self.cordoned.contains(&facts.name);
        let evacuated = !self.halls.accepts_work(&facts.hall);
        let vm = &mut self.vms[key];
        let is_change = !vm.listed || vm.draining() != facts.draining;
        vm.listed = true;
        (vm.answered_unlisted, vm.leaving_unannounced) = (None, false);
        (vm.cordoned, vm.evacuated) = (cordoned, evacuated);
        vm.shrunk |= !facts.room.fits(vm.room());
        if facts.room != vm.room() && vm.room_rejections > 0 {
            (vm.room_rejections, vm.excluded_until) = (0, 0);
        }
        vm.facts = Some(facts);
        is_change
    }

    /// Stops unconfirmed runs on VMs whose room has shrunk until the remaining runs fit. A start order is repeated for up to a
    /// lease and could otherwise exceed the room that its VM has when it arrives.
    pub(super) fn cancel_starts_beyond_room(&mut self, now: Now) {
        let shrunk = |(key, vm): (VmKey, &mut Vm)| std::mem::take(&mut vm.shrunk).then_some(key);
        let shrunk: Vec<VmKey> = self.vms.iter_mut().filter_map(shrunk).collect();
        for key in shrunk {
            for (task, attempt) in self.vms[key].stop_runs_beyond_room(now.steady) {
                self.order_stop(key, task, attempt);
            }
        }
    }

    /// Marks a VM incarnation as no longer listed by the platform. Returns whether it was listed before. Its runs count until its
    /// lease is over or their ends are known.
    pub fn unlist_vm(&mut self, id: &VmIncarnation) -> bool {
        let Some(&key) = self.vm_keys.get(id) else { return false };
        let was_listed = std::mem::replace(&mut self.vms[key].listed, false);
        self.remove_vm_if_unused(key);
        was_listed
    }

    /// Sets whether the VM listing is believed complete, so that an unlisted VM is treated as leaving.
    pub fn set_listing_is_complete(&mut self, complete: bool) {
        self.listing_is_complete = complete;
    }

    /// Sets the stable names of the VMs that are to be emptied.
    pub fn set_cordoned(&mut self, names: HashSet<Arc<str>>) {
        for vm in self.vms.values_mut() {
            vm.cordoned = vm.name().is_some_and(|n| names.contains(n));
        }
        self.cordoned = names;
    }

    /// Sets the VMs that get no lease for now. They may report, but nothing is started on them.
    pub fn set_without_lease<'a>(&mut self, ids: impl Iterator<Item = &'a VmIncarnation>) {
        for key in self.without_lease.drain(..) {
            if let Some(vm) = self.vms.get_mut(key) {
                vm.gets_lease = true;
            }
        }
        self.without_lease.extend(ids.filter_map(|id| self.vm_keys.get(id)));
        for &key in &self.without_lease {
            self.vms[key].gets_lease = false;
        }
    }

    /// Sets whether all cancellations are known that have to be in force. While they are not, nothing is started.
    pub const fn set_cancels_known(&mut self, known: bool) {
        self.cancels_unknown = !known;
    }

    /// Sets which data halls are evacuated. While `known` is false, any hall may be evacuated and nothing is started.
    pub fn set_halls(&mut self, halls: Arc<Halls>, known: bool) {
        self.halls_unknown = !known;
        if self.halls == halls {
            return;
        }
        for vm in self.vms.values_mut() {
            vm.evacuated = vm.facts.as_ref().is_some_and(|f| !halls.accepts_work(&f.hall));
        }
        self.halls = halls;
    }

    /// Sets the stable names of the VMs that are emptied for a pool that needs them now.
    pub fn set_urgent(&mut self, names: HashSet<Arc<str>>) {
        self.urgent = names;
    }

    /// Sets the stable names of the VMs that maintenance will soon take down.
    pub fn set_due_for_maintenance(&mut self, names: HashSet<Arc<str>>) {
        self.due_for_maintenance = names;
    }

    /// Returns the stable names of VMs that accept work and have no runs.
    pub fn idle(&self) -> Vec<Arc<str>> {
        let idle = |vm: &&Vm| vm.accepts_work() && vm.runs.is_empty();
        self.vms.values().filter(idle).filter_map(|vm| vm.name().cloned()).collect()
    }

    /// Returns the stable names of VMs that have runs but no lasting tasks, those that can be empty soonest first.
    pub fn without_lasting_tasks(&self, now: Now) -> Vec<Arc<str>> {
        let ends = |vm: &&Vm| vm.accepts_work() && !vm.runs.is_empty() && vm.lasting_runs() == 0;
        let mut vms: Vec<(Ms, u32, &Vm)> = self
            .vms
            .values()
            .filter(ends)
            .map(|vm| (self.time_to_empty(vm, now.steady), vm.used.cpu, vm))
            .collect();
        vms.sort_by_key(|&(time, cpu, _)| (time, cpu));
        vms.into_iter().filter_map(|(_, _, vm)| vm.name().cloned()).collect()
    }

    /// Records whether the last call to a VM was answered.
    pub fn set_reachable(&mut self, id: &VmIncarnation, reachable: bool, now: Now) {
        let Some(&key) = self.vm_keys.get(id) else { return };
        let vm = &mut self.vms[key];
        vm.reachable = reachable;
        vm.unresponsive_since = match reachable {
            true => None,
            false => vm.unresponsive_since.or(Some(now.steady)),
        };
    }

    /// Returns the VMs that still have runs or unknown runs although the platform does not list them.
    pub fn unlisted_with_runs(&self) -> Vec<VmIncarnation> {
        let busy = |vm: &&Vm| !(vm.listed || vm.runs.is_empty() && vm.unknown_runs.is_empty());
        self.vms.values().filter(busy).map(|vm| vm.id.clone()).collect()
    }

    /// Returns the VMs that have runs and have not answered the last call.
    pub fn unreachable_with_runs(&self) -> impl Iterator<Item = &VmIncarnation> {
        self.vms.values().filter(|vm| !(vm.reachable || vm.runs.is_empty())).map(|vm| &vm.id)
    }

    /// Returns whether a VM has runs.
    pub fn has_runs(&self, id: &VmIncarnation) -> bool {
        self.vm_keys.get(id).is_some_and(|&key| !self.vms[key].runs.is_empty())
    }

    /// Returns the stable name and the incarnation of each cordoned VM that has no runs.
    pub fn emptied(&self) -> Vec<(Arc<str>, VmIncarnation)> {
        let empty = |vm: &&Vm| {
            vm.cordoned && vm.runs.is_empty() && vm.unknown_runs.is_empty() && vm.token_confirmed
        };
        let name = |vm: &Vm| vm.name().map(|n| (n.clone(), vm.id.clone()));
        self.vms.values().filter(empty).filter_map(name).collect()
    }

    /// Returns the state of each VM.
    pub fn vm_summaries(&self) -> Vec<VmSummary> {
        let summary = |vm: &Vm| VmSummary {
            id: vm.id.clone(),
            name: vm.name().cloned().unwrap_or_default(),
            used: vm.used,
            runs: vm.runs.len(),
            accepts_work: vm.accepts_work(),
            reachable: vm.reachable,
        };
        self.vms.values().map(summary).collect()
    }

    /// Returns the key of a VM incarnation, which is added if it is not known yet.
    pub(super) fn vm_key(&mut self, id: &VmIncarnation) -> VmKey {
        if let Some(&key) = self.vm_keys.get(id) {
            return key;
        }
        let key = self.vms.insert(Vm::new(id.clone()));
        self.vm_keys.insert(id.clone(), key);
        key
    }

    /// Assigns runs to a listed incarnation if records of older program versions name the VM by its ID only, without a start
    /// time: this incarnation may have them.
    fn assign_start_time(&mut self, incarnation: &VmIncarnation) {
        let without_start_time = VmIncarnation::new(incarnation.id().clone(), None);
        if *incarnation == without_start_time || self.vm_keys.contains_key(incarnation) {
            return;
        }
        if let Some(key) = self.vm_keys.remove(&without_start_time) {
            self.vms[key].id = incarnation.clone();
            self.vm_keys.insert(incarnation.clone(), key);
        }
    }

    pub(super) fn remove_vm_if_unused(&mut self, key: VmKey) {
        let Some(vm) = self.vms.get(key) else { return };
        if !vm.listed && vm.runs.is_empty() && vm.unknown_runs.is_empty() {
            self.vm_keys.remove(&vm.id);
            self.held_ends.remove(&vm.id);
            self.vms.remove(key);
        }
    }
}
