//! The inputs of the fleet's owner and the orders that it gives.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Purpose;
use crate::Ms;

/// The state of a VM by the machine service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// The VM is up.
    Up,
    /// The VM is moving to another pool or in maintenance.
    Away,
    /// The VM is down.
    Down,
}

/// A VM as the machine service lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetVm {
    /// Its name, which is the same over all of its incarnations.
    pub name: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Its state.
    pub state: VmState,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// Its incarnation as text, if the VM is up and the incarnation is known.
    pub incarnation: Option<Arc<str>>,
}

/// The report of a pool's owner to the fleet's owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolReport {
    /// The CPU that waiting tasks require, in thousandths of a core.
    pub waiting_cpu: u64,
    /// The CPU in use, in thousandths of a core.
    pub used_cpu: u64,
    /// The CPU that jobs which can finish in time will use once VMs that are ordered now have arrived, in thousandths of
    /// a core; see [`crate::pool::Demand`].
    #[serde(default)]
    pub soon_cpu: u64,
    /// The same for jobs that will be late.
    #[serde(default)]
    pub late_cpu: u64,
    /// The CPU capacity of VMs that accept work, in thousandths of a core.
    pub cpu: u64,
    /// The number of VMs that accept work.
    pub vms: u32,
    /// The names and incarnations of VMs that are being emptied and have no running tasks.
    pub emptied: Vec<(String, String)>,
    /// The number of VMs required by lasting tasks that may not share a VM.
    pub spread: u32,
    /// The names of VMs without running tasks.
    pub idle: Vec<String>,
    /// The names of VMs without running tasks in evacuated halls, if such VMs are to be switched off.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated_idle: Vec<String>,
    /// The names of VMs that run only tasks that end by themselves, those with the least work first.
    pub light: Vec<String>,
    /// The token of the pool's owner, or 0 if the report reaches the fleet's owner only through the store.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub token: u64,
    /// The number of the report among those of the pool's owner. The same report may arrive directly and through the store.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub number: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The operator's request for a maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// The number of the wave.
    pub wave: u64,
    /// The names of the VMs to maintain.
    pub vms: Vec<String>,
    /// The time within which the wave must finish, in milliseconds.
    pub duration_ms: Ms,
    /// The maximum number of VMs that may be down for the wave at once.
    pub cap: usize,
    /// When it was requested, by this node's monotonic clock, or `None` if the request was in the store before the node
    /// started.
    pub requested_at: Option<Ms>,
}

/// An order to the machine service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOrder {
    /// The VM's name.
    pub vm: String,
    /// The purpose of the order.
    pub purpose: Purpose,
}

/// The outcome of an order to the machine service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is carried out, now or before.
    Done,
    /// The order is certainly not carried out.
    NotDone,
    /// The order may be carried out now or later.
    Unknown,
    /// The order can never be carried out, as the VM does not exist or is not part of the wave.
    Impossible,
}

/// The minimum time between orders about one VM from different nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HoldOff {
    /// Until when a new owner gives no orders about VMs for which its predecessor may just have given one, by its record.
    pub until: Ms,
    /// How long after an order a VM is recorded as recently ordered.
    pub gap: Ms,
}
