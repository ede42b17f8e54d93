//! What the evacuation of data halls means for a pool, for operators.

use std::sync::Arc;

use super::Pool;
use super::incarnation::Vm;
use crate::progress::Phase;
use crate::vm::Room;

/// The VMs of a pool in evacuated halls, and the tasks that wait because of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvacuationLoad {
    /// The number of listed VMs in evacuated halls.
    pub vms: u32,
    /// Those of them that have runs.
    pub busy: u32,
    /// Those of them that are cold.
    pub cold: u32,
    /// The number of waiting tasks that could start there and have no room elsewhere.
    pub held: u32,
}

impl Pool {
    /// Returns the stable names of VMs in evacuated halls that would accept work otherwise and have no runs.
    pub fn idle_in_evacuated_halls(&self) -> Vec<Arc<str>> {
        let idle = |vm: &&Vm| vm.evacuated && vm.could_accept_work() && vm.runs.is_empty();
        self.vms.values().filter(idle).filter_map(|vm| vm.name().cloned()).collect()
    }

    /// Returns the pool's VMs in evacuated halls and the tasks that wait because of them. While it is not known which halls are
    /// evacuated, no task may start anywhere, and `held` counts those that have room on any VM.
    ///
    /// Load pattern: a hall with up to a third of the VMs is evacuated during a burst, with hundreds of steps waiting. The room
    /// of each VM is considered once for each step.
    pub fn evacuation_load(&self) -> EvacuationLoad {
        let mut load = EvacuationLoad::default();
        for vm in self.vms.values().filter(|vm| vm.listed && vm.evacuated) {
            load.vms += 1;
            load.busy += u32::from(!vm.runs.is_empty());
            load.cold += u32::from(vm.facts.as_ref().is_some_and(|facts| facts.cold));
        }
        if load.vms > 0 || self.halls_unknown {
            load.held = self.starts_held_by_evacuation();
        }
        load
    }

    fn starts_held_by_evacuation(&self) -> u32 {
        let is_held = |vm: &&Vm| vm.could_accept_work() && (vm.evacuated || self.halls_unknown);
        let mut held_back: Vec<Room> = self.vms.values().filter(is_held).map(Vm::free).collect();
        let usable = |vm: &&Vm| vm.accepts_work() && !self.halls_unknown;
        let most_free = self
            .vms
            .values()
            .filter(usable)
            .map(Vm::free)
            .fold(Room::default(), Room::greater_of_each);
        let mut held = 0;
        for job in self.jobs.values().filter(|job| job.phase == Phase::Open) {
            for (_, step, waiting) in job.ready_steps() {
                let room = job.spec.steps[step].room();
                if !most_free.fits(room) {
                    held += take_room(&mut held_back, room, waiting);
                }
            }
        }
        held
    }
}

/// Takes room for up to `count` tasks from the free room of VMs, and returns for how many there is room.
fn take_room(free: &mut [Room], room: Room, count: u32) -> u32 {
    let mut taken = 0;
    for free in free {
        while taken < count && free.fits(room) {
            *free = free.minus(room);
            taken += 1;
        }
    }
    taken
}
