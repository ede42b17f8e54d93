//! What the owner of the fleet writes: which VMs are being worked on, how far each wave is.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::WorkList;
use crate::Ms;

/// What passes beside the move itself from a pool's report until a VM takes work, in milliseconds:
/// a report, a record, the list and a first call, some 100 ms each.
const TELLING_MS: Ms = 400;

/// Why a VM is emptied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// Its maintenance in a wave.
    Maintain {
        /// The wave.
        wave: u64,
    },
    /// A move to another pool.
    Move {
        /// The pool.
        to: String,
    },
}

/// How far the work on a VM is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Its tasks end or move away.
    Emptying,
    /// The machine service is told, or about to be.
    Ordered {
        /// The incarnation that it had then; another one shows that the order was carried out.
        incarnation: Option<String>,
    },
}

/// Work on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmWork {
    /// The VM's lasting name.
    pub vm: String,
    /// Why.
    pub purpose: Purpose,
    /// How far.
    pub stage: Stage,
}

/// How far a wave is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WaveRecord {
    /// Its number.
    pub wave: u64,
    /// VMs that were maintained, or left for good.
    pub done: IndexSet<String>,
    /// VMs that are still to be maintained.
    pub left: IndexSet<String>,
    /// All are done, and the operator was told.
    pub completed: bool,
}

/// What the owner of the fleet writes, in rows; see [`super::FleetRow`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FleetRecord {
    /// The node that wrote it.
    pub owner: String,
    /// VMs that are worked on; they take no new tasks.
    pub work: WorkList,
    /// VMs whose work is done and about which an order was given of late.
    pub ordered_lately: Vec<String>,
    /// The waves.
    pub waves: Vec<WaveRecord>,
    /// How long a move takes, as measured, in milliseconds; 0 before the first.
    pub move_ms: Ms,
}

impl FleetRecord {
    /// Returns whether it tells the same work and waves as another.
    pub fn is_same_work(&self, other: &Self) -> bool {
        self.work == other.work && self.waves == other.waves
    }

    /// Returns how long it takes from a pool's report until a VM for it takes work, in milliseconds;
    /// none before a move was measured.
    pub fn lead_ms(&self) -> Option<Ms> {
        (self.move_ms > 0).then_some(self.move_ms + TELLING_MS)
    }

    /// Returns the VMs, by lasting name, that are to be emptied and kept empty.
    pub fn cordoned(&self) -> impl Iterator<Item = &str> {
        self.work.iter().map(|w| w.vm.as_str())
    }

    /// Returns those of them that a pool is to keep empty: not those that move to it. One that has
    /// come takes work before the fleet's owner has seen it there, which takes 0.3 s, and seconds
    /// if that node has just been lost.
    pub fn cordoned_in(&self, pool: &str) -> impl Iterator<Item = &str> {
        let comes = move |w: &&VmWork| matches!(&w.purpose, Purpose::Move { to } if to == pool);
        self.work.iter().filter(move |w| !comes(w)).map(|w| w.vm.as_str())
    }

    /// Returns the VMs, by lasting name, that are emptied to move to another pool.
    pub fn moving(&self) -> impl Iterator<Item = &str> {
        let moves =
            |w: &&VmWork| w.stage == Stage::Emptying && matches!(w.purpose, Purpose::Move { .. });
        self.work.iter().filter(moves).map(|w| w.vm.as_str())
    }

    /// Returns the VMs, by lasting name, that a wave will take down before long.
    pub fn due(&self) -> impl Iterator<Item = &str> {
        self.waves.iter().flat_map(|w| w.left.iter().map(String::as_str))
    }

    /// Returns the work on a VM.
    pub fn work_on(&self, vm: &str) -> Option<&VmWork> {
        self.work.get(vm)
    }
}
