//! Properties of VMs in the platform's list, and the reasons for draining a VM.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{HallName, PoolName, RackName};

/// The number of slots of a worker when the platform's list gives none.
pub const DEFAULT_SLOTS: u16 = 8;
/// The number of connections of a worker when the platform's list gives none.
pub const DEFAULT_CONNECTIONS: u16 = 64;

/// The static properties of a VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmFacts {
    /// The address on which its backend server listens.
    pub addr: SocketAddr,
    /// Its data hall.
    pub hall: HallName,
    /// Its rack.
    pub rack: RackName,
    /// The number of requests that it runs at one time.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// The number of connections that it accepts.
    #[serde(default = "default_connections")]
    pub connections: u16,
}

fn default_slots() -> u16 {
    DEFAULT_SLOTS
}

fn default_connections() -> u16 {
    DEFAULT_CONNECTIONS
}

/// Whether the platform's list shows a VM as live or leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformStatus {
    /// The VM runs.
    Live,
    /// The platform will stop the VM.
    Leaving,
}

/// Why a VM is drained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainReason {
    /// For the maintenance wave in progress.
    Maintenance,
    /// To assign it to another pool.
    Move(PoolName),
    /// Its pool has more VMs than configured; the VM moves to the reserve.
    Surplus,
    /// At the request of an operator.
    Operator,
}
