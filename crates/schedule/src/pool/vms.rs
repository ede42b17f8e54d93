//! VMs within a pool's schedule.

use std::collections::HashSet;
use std::sync::Arc;

use super::incarnation::Vm;
use super::{Now, Pool, VmKey};
use crate::Ms;
use crate::halls::Halls;
use crate::id::VmLife;
use crate::vm::{Room, VmFacts};

/// A VM's standing, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmSummary {
    /// The incarnation.
    pub id: VmLife,
    /// The VM's lasting name.
    pub name: Arc<str>,
    /// Processor in use, in thousandths of a core.
    pub used: Room,
    /// Tasks ordered to run there.
    pub runs: usize,
    /// It takes new work.
    pub takes_work: bool,
    /// Its last call was answered.
    pub reachable: bool,
}

impl Pool {
    /// Takes in a VM incarnation as the platform lists it, and returns whether that is news: it was not listed, or
    /// is about to leave.
    pub fn list_vm(&mut self, facts: Arc<VmFacts>) -> bool {
        self.name_life(&facts.id);
        let key = self.vm_key(&facts.id);
        let cordoned = self.cordoned.contains(&facts.name);
        let evacuated = !self.halls.takes_work(&facts.hall);
        let vm = &mut self.vms[key];
        let is_news = !vm.listed || vm.draining() != facts.draining;
        vm.listed = true;
        (vm.answered_unlisted, vm.left_the_list) = (None, false);
        (vm.cordoned, vm.evacuated) = (cordoned, evacuated);
        vm.shrunk |= !facts.room.holds(vm.room());
        if facts.room != vm.room() && vm.without_room > 0 {
            (vm.without_room, vm.aside_until) = (0, 0);
        }
        vm.facts = Some(facts);
        is_news
    }

    /// Stops runs that VMs whose room has shrunk have not answered, until what they may run fits: sent again for up to a
    /// lease, a start would take its VM over the room that it has by then.
    pub(super) fn call_off_starts(&mut self, now: Now) {
        let shrunk = |(key, vm): (VmKey, &mut Vm)| std::mem::take(&mut vm.shrunk).then_some(key);
        let shrunk: Vec<VmKey> = self.vms.iter_mut().filter_map(shrunk).collect();
        for key in shrunk {
            for (task, attempt) in self.vms[key].stop_what_does_not_fit(now.steady) {
                self.order_stop(key, task, attempt);
            }
        }
    }

    /// Takes in that the platform no longer lists a VM incarnation, and returns whether it was listed before.
    /// What runs there counts until its lease is over or its end is known.
    pub fn unlist_vm(&mut self, id: &VmLife) -> bool {
        let Some(&key) = self.vm_keys.get(id) else { return false };
        let was_listed = std::mem::replace(&mut self.vms[key].listed, false);
        self.forget_vm_if_empty(key);
        was_listed
    }

    /// Sets whether a VM that is not listed is to be taken as leaving.
    pub fn set_listing_is_sound(&mut self, sound: bool) {
        self.listing_is_sound = sound;
    }

    /// Sets which VMs, by lasting name, are to be emptied.
    pub fn set_cordoned(&mut self, names: HashSet<Arc<str>>) {
        for vm in self.vms.values_mut() {
            vm.cordoned = vm.name().is_some_and(|n| names.contains(n));
        }
        self.cordoned = names;
    }

    /// Sets which data halls are evacuated, and whether that is known well enough to start anything: while it is not,
    /// any hall may be.
    pub fn set_halls(&mut self, halls: Arc<Halls>, known: bool) {
        self.halls_unknown = !known;
        if self.halls == halls {
            return;
        }
        for vm in self.vms.values_mut() {
            vm.evacuated = vm.facts.as_ref().is_some_and(|f| !halls.takes_work(&f.hall));
        }
        self.halls = halls;
    }

    /// Sets which VMs, by lasting name, are emptied for a pool that needs them now.
    pub fn set_hurried(&mut self, names: HashSet<Arc<str>>) {
        self.hurried = names;
    }

    /// Sets which VMs, by lasting name, maintenance will take down before long.
    pub fn set_due(&mut self, names: HashSet<Arc<str>>) {
        self.due = names;
    }

    /// Returns the lasting names of VMs on which nothing runs.
    pub fn idle(&self) -> Vec<Arc<str>> {
        let idle = |vm: &&Vm| vm.takes_work() && vm.runs.is_empty();
        self.vms.values().filter(idle).filter_map(|vm| vm.name().cloned()).collect()
    }

    /// Returns the lasting names of VMs that run only tasks that end by themselves, those that can
    /// be empty soonest first.
    pub fn light(&self, now: Now) -> Vec<Arc<str>> {
        let ends = |vm: &&Vm| vm.takes_work() && !vm.runs.is_empty() && vm.lasting_runs() == 0;
        let mut vms: Vec<(Ms, u32, &Vm)> = self
            .vms
            .values()
            .filter(ends)
            .map(|vm| (self.can_be_empty_in(vm, now.steady), vm.used.cpu, vm))
            .collect();
        vms.sort_by_key(|&(time, cpu, _)| (time, cpu));
        vms.into_iter().filter_map(|(_, _, vm)| vm.name().cloned()).collect()
    }

    /// Takes in whether a VM answers.
    pub fn set_reachable(&mut self, id: &VmLife, reachable: bool, now: Now) {
        let Some(&key) = self.vm_keys.get(id) else { return };
        let vm = &mut self.vms[key];
        vm.reachable = reachable;
        vm.silent_since = match reachable {
            true => None,
            false => vm.silent_since.or(Some(now.steady)),
        };
    }

    /// Returns the VMs that still have runs or strays although the platform does not list them.
    pub fn unlisted_with_runs(&self) -> Vec<VmLife> {
        let busy = |vm: &&Vm| !(vm.listed || vm.runs.is_empty() && vm.strays.is_empty());
        self.vms.values().filter(busy).map(|vm| vm.id.clone()).collect()
    }

    /// Returns the lasting names of VMs that are to be emptied and have nothing running.
    pub fn emptied(&self) -> Vec<(Arc<str>, VmLife)> {
        let empty = |vm: &&Vm| vm.cordoned && vm.runs.is_empty() && vm.strays.is_empty() && vm.held;
        let name = |vm: &Vm| vm.name().map(|n| (n.clone(), vm.id.clone()));
        self.vms.values().filter(empty).filter_map(name).collect()
    }

    /// Returns how each VM stands.
    pub fn vm_summaries(&self) -> Vec<VmSummary> {
        let summary = |vm: &Vm| VmSummary {
            id: vm.id.clone(),
            name: vm.name().cloned().unwrap_or_default(),
            used: vm.used,
            runs: vm.runs.len(),
            takes_work: vm.takes_work(),
            reachable: vm.reachable,
        };
        self.vms.values().map(summary).collect()
    }

    /// Returns a VM's key, making one for an incarnation that is not known yet.
    pub(super) fn vm_key(&mut self, id: &VmLife) -> VmKey {
        if let Some(&key) = self.vm_keys.get(id) {
            return key;
        }
        let key = self.vms.insert(Vm::new(id.clone()));
        self.vm_keys.insert(id.clone(), key);
        key
    }

    /// Takes runs of which records of older programs tell the VM's ID only for those of the life that is listed, which may have them.
    fn name_life(&mut self, life: &VmLife) {
        let nameless = VmLife::new(life.id().clone(), None);
        if *life == nameless || self.vm_keys.contains_key(life) {
            return;
        }
        if let Some(key) = self.vm_keys.remove(&nameless) {
            self.vms[key].id = life.clone();
            self.vm_keys.insert(life.clone(), key);
        }
    }

    pub(super) fn forget_vm_if_empty(&mut self, key: VmKey) {
        let Some(vm) = self.vms.get(key) else { return };
        if !vm.listed && vm.runs.is_empty() && vm.strays.is_empty() {
            self.vm_keys.remove(&vm.id);
            self.vms.remove(key);
        }
    }
}
