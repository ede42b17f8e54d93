//! Pools and VMs as known to one entry.

use std::sync::Arc;

use slotmap::new_key_type;
use thistle_model::clock::Instant;
use thistle_model::{PoolName, Revision, Service, Template, Tier, VmFacts, VmName};

use crate::admit::{Queue, Ticket};
use crate::breaker::Breaker;

new_key_type! {
    /// The key of a pool in a router.
    pub struct PoolKey;
    /// The key of a VM in a router.
    pub struct VmKey;
}

/// A pool with its waiting requests.
#[derive(Debug)]
pub struct PoolLoad {
    /// The name of the workspace.
    pub name: PoolName,
    /// The default tier of its requests.
    pub tier: Tier,
    /// The template of its VMs.
    pub template: Arc<Template>,
    /// The VMs of the pool in the view, including drained ones.
    pub vms: Vec<VmKey>,
    /// The waiting requests.
    pub queue: Queue,
    /// Requests evicted from the queue that have yet to be refused.
    pub(super) evicted: Vec<Ticket>,
}

impl PoolLoad {
    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.template.services.iter().find(|s| s.name.as_str() == name)
    }
}

/// A VM with this entry's load on it.
#[derive(Debug)]
pub struct VmLoad {
    /// The name.
    pub name: VmName,
    /// The facts reported by the platform.
    pub facts: VmFacts,
    /// The pool.
    pub pool: PoolKey,
    /// Whether the view allows new requests to the VM.
    pub in_view: bool,
    /// Whether the VM is known to be leaving.
    pub leaving: bool,
    /// The revision of the drain, while the VM is drained.
    pub drain: Option<Revision>,
    /// The number of requests that this entry has in flight on the VM.
    pub in_flight: u16,
    /// The number of slots leased to this entry.
    pub leased: u16,
    /// When the lease expires.
    pub lease_until: Instant,
    /// The number of unleased slots in the last reply of the VM's home.
    pub free_hint: u16,
    /// The health of the VM.
    pub breaker: Breaker,
}

impl VmLoad {
    /// Creates a VM without load.
    pub(super) fn new(name: VmName, facts: VmFacts, pool: PoolKey) -> Self {
        let free_hint = facts.slots;
        Self {
            name,
            facts,
            pool,
            in_view: true,
            leaving: false,
            drain: None,
            in_flight: 0,
            leased: 0,
            lease_until: Instant::default(),
            free_hint,
            breaker: Breaker::default(),
        }
    }

    /// Returns whether new requests may be sent to the VM.
    pub const fn is_sendable(&self) -> bool {
        self.in_view && !self.leaving
    }

    /// Returns the number of idle slots leased to this entry.
    pub fn free_leased(&self, now: Instant) -> u16 {
        if now >= self.lease_until { 0 } else { self.leased.saturating_sub(self.in_flight) }
    }
}
