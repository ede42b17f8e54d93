//! The record of the fleet's owner: the work on VMs and the progress of each wave.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::WorkList;
use crate::Ms;

/// The time from a pool's report until a VM accepts work, without the move itself, in milliseconds: a report, a record, the
/// list of VMs and a first call take about 100 ms each.
const PROPAGATION_MS: Ms = 400;

/// The purpose for which a VM is emptied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// The maintenance of the VM in a wave.
    Maintain {
        /// The wave.
        wave: u64,
    },
    /// The move of the VM to another pool.
    Move {
        /// The pool.
        to: String,
    },
}

/// The stage of the work on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The VM's tasks end or move to other VMs.
    Emptying,
    /// The order is given to the machine service, or about to be.
    Ordered {
        /// The VM's incarnation when it was ordered. Another incarnation shows that the order was carried out.
        incarnation: Option<String>,
    },
}

/// Work on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmWork {
    /// The VM's name.
    pub vm: String,
    /// The purpose of the work.
    pub purpose: Purpose,
    /// The stage of the work.
    pub stage: Stage,
}

impl VmWork {
    /// Returns whether the VM moves to a pool.
    fn moves_to(&self, pool: &str) -> bool {
        matches!(&self.purpose, Purpose::Move { to } if to == pool)
    }
}

/// The progress of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WaveRecord {
    /// The number of the wave.
    pub wave: u64,
    /// The VMs that were maintained or left permanently.
    pub done: IndexSet<String>,
    /// The VMs that are not maintained yet.
    pub left: IndexSet<String>,
    /// Whether all VMs are done and the completion was reported to the operator.
    pub completed: bool,
}

/// The record of the fleet's owner, which is written in rows; see [`super::FleetRow`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FleetRecord {
    /// The node that wrote it.
    pub owner: String,
    /// The open work on VMs. These VMs accept no new tasks.
    pub work: WorkList,
    /// The VMs whose work is done and that were ordered recently.
    pub ordered_lately: Vec<String>,
    /// The waves.
    pub waves: Vec<WaveRecord>,
    /// The mean duration of a move, in milliseconds; 0 before the first move.
    pub move_ms: Ms,
}

impl FleetRecord {
    /// Returns whether both records have the same work and waves.
    pub fn has_same_work(&self, other: &Self) -> bool {
        self.work == other.work && self.waves == other.waves
    }

    /// Returns the time from a pool's report until a VM that moves to the pool accepts work, in milliseconds, or `None` before
    /// the first move.
    pub fn lead_ms(&self) -> Option<Ms> {
        (self.move_ms > 0).then_some(self.move_ms + PROPAGATION_MS)
    }

    /// Returns the names of the VMs that are cordoned: they are emptied and kept empty.
    pub fn cordoned(&self) -> impl Iterator<Item = &str> {
        self.work.iter().map(|w| w.vm.as_str())
    }

    /// Returns the names of the cordoned VMs that a pool keeps empty, without those that move to the pool. A VM that has
    /// arrived accepts work before the fleet's owner sees it in the pool, which takes 0.3 s, or seconds if the owner's node
    /// was just lost.
    pub fn cordoned_for(&self, pool: &str) -> impl Iterator<Item = &str> {
        self.work.iter().filter(move |w| !w.moves_to(pool)).map(|w| w.vm.as_str())
    }

    /// Returns whether a pool keeps a VM empty.
    pub fn is_cordoned_for(&self, vm: &str, pool: &str) -> bool {
        self.work.get(vm).is_some_and(|w| !w.moves_to(pool))
    }

    /// Returns the names of the VMs that are being emptied to move to another pool.
    pub fn moving(&self) -> impl Iterator<Item = &str> {
        let moves =
            |w: &&VmWork| w.stage == Stage::Emptying && matches!(w.purpose, Purpose::Move { .. });
        self.work.iter().filter(moves).map(|w| w.vm.as_str())
    }

    /// Returns the names of the VMs that a wave will take down soon.
    pub fn due_in_waves(&self) -> impl Iterator<Item = &str> {
        self.waves.iter().flat_map(|w| w.left.iter().map(String::as_str))
    }

    /// Returns the work on a VM.
    pub fn work_on(&self, vm: &str) -> Option<&VmWork> {
        self.work.get(vm)
    }
}
