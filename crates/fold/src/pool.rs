//! Pools of VMs: the reserve and one pool for each workspace.

use slotmap::new_key_type;
use thistle_model::{PoolName, Revision, Workspace};

new_key_type! {
    /// The key of a pool in the arena of pools.
    pub struct PoolKey;
}

/// A pool of VMs.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The name of the workspace; `None` for the reserve.
    pub name: Option<PoolName>,
    /// The parameters of the workspace; `None` for the reserve.
    pub workspace: Option<Workspace>,
    /// The revision of the parameters.
    pub revision: Revision,
    /// The revision at which the pool, its template or one of its VMs last changed.
    pub touched: Revision,
    /// The number of VMs that belong to the pool.
    pub size: u32,
    /// The number of the pool's VMs that may be sent new work.
    pub available: u32,
}

impl Pool {
    /// Creates an empty reserve.
    pub(crate) fn reserve() -> Self {
        Self {
            name: None,
            workspace: None,
            revision: Revision::NONE,
            touched: Revision::NONE,
            size: 0,
            available: 0,
        }
    }

    /// Creates an empty pool of a workspace.
    pub(crate) fn new(name: PoolName, workspace: Workspace) -> Self {
        Self { name: Some(name), workspace: Some(workspace), ..Self::reserve() }
    }

    /// Returns the number of VMs that decisions of the system must leave available.
    pub fn floor(&self) -> u32 {
        self.workspace.as_ref().map_or(0, Workspace::floor)
    }

    /// Returns the number of VMs that the pool should have.
    pub fn target(&self) -> u32 {
        self.workspace.as_ref().map_or(0, |w| w.vms)
    }

    /// Returns the pool's name, or `reserve`.
    pub fn label(&self) -> &str {
        self.name.as_ref().map_or("reserve", PoolName::as_str)
    }
}
