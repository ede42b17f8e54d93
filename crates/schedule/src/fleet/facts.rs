//! What the owner of the fleet takes in, and what it orders.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Purpose;
use crate::Ms;

/// What a VM is doing, by the machine service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// It is up.
    Up,
    /// It is on its way to another pool, or being maintained.
    Away,
    /// It is down.
    Down,
}

/// A VM as the machine service tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetVm {
    /// Its lasting name.
    pub name: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// What it is doing.
    pub state: VmState,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// Its life as text, as far as it is known, if it is up.
    pub incarnation: Option<Arc<str>>,
}

/// What a pool's owner reports to the fleet's.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolReport {
    /// Processor that waiting tasks ask for, in thousandths of a core.
    pub waiting_cpu: u64,
    /// Processor in use, in thousandths of a core.
    pub used_cpu: u64,
    /// Processor that jobs which can be in time will use when VMs that are ordered now have come,
    /// in thousandths of a core; see [`crate::pool::Demand`].
    #[serde(default)]
    pub soon_cpu: u64,
    /// The same of jobs that will be late.
    #[serde(default)]
    pub late_cpu: u64,
    /// Processor of VMs that take work, in thousandths of a core.
    pub cpu: u64,
    /// VMs that take work.
    pub vms: u32,
    /// VMs that are to be emptied and have nothing running: lasting name and incarnation.
    pub emptied: Vec<(String, String)>,
    /// VMs that lasting tasks need, which may not share one.
    pub spread: u32,
    /// VMs on which nothing runs.
    pub idle: Vec<String>,
    /// VMs that run only tasks that end by themselves, those with the least work first.
    pub light: Vec<String>,
}

/// A wave of maintenance, as the operator asked for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// Its number.
    pub wave: u64,
    /// The VMs, by lasting name.
    pub vms: Vec<String>,
    /// How long it may take, in milliseconds.
    pub duration_ms: Ms,
    /// How many VMs may be down for it at once.
    pub cap: usize,
    /// When it was asked for, by this node's steady clock; none if it stood in the store when the
    /// node started.
    pub asked_at: Option<Ms>,
}

/// An order to the machine service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOrder {
    /// The VM's lasting name.
    pub vm: String,
    /// What for.
    pub purpose: Purpose,
}

/// What the machine service made of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Done, now or before.
    Done,
    /// Surely not done.
    NotDone,
    /// Maybe done, or done later.
    Unknown,
    /// It can never be done: no such VM, or not part of that wave.
    Impossible,
}

/// The distance that orders about one VM from different nodes are to keep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HoldOff {
    /// Until when a new owner gives no orders about VMs that its predecessor may just have given one
    /// about, by its record.
    pub until: Ms,
    /// For how long after an order a VM stands in the record as one about which an order was given.
    pub gap: Ms,
}
