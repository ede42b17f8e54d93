//! The configuration in force: queues, pools and limits on requests.

use std::sync::Arc;

use crate::spec::{AdvicePolicy, Objective};
use crate::workspace::Workspaces;

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: String,
    /// What paths of its jobs begin with.
    pub path_prefix: String,
    /// The pool that runs its jobs.
    pub pool: Arc<str>,
    /// What its jobs ask for.
    pub objective: Objective,
    /// Who is asked which VMs may run a step, if anyone.
    pub advice: Option<AdvicePolicy>,
    /// Anyone may call it, without a key; its jobs are of no workspace.
    pub open: bool,
}

/// A pool of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolConfig {
    /// Its name.
    pub name: Arc<str>,
    /// Its VMs reject what does not fit; otherwise only we keep them from being overfilled.
    pub guards_room: bool,
    /// Its VMs are switched off and cost nothing.
    pub switched_off: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest headers, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// How long headers, or the next part of a body, may take, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may stand idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Its version, rising in uneven steps.
    pub version: u64,
    /// The queues, longest prefix first.
    queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<PoolConfig>,
    /// Limits on requests.
    pub limits: Limits,
    /// The workspaces whose callers use queues that are not open.
    pub workspaces: Workspaces,
}

impl Catalog {
    /// Makes a version of the configuration.
    pub fn new(
        version: u64,
        mut queues: Vec<Queue>,
        pools: Vec<PoolConfig>,
        limits: Limits,
    ) -> Self {
        queues.sort_by_key(|q| std::cmp::Reverse(q.path_prefix.len()));
        Self { version, queues, pools, limits, workspaces: Workspaces::default() }
    }

    /// Sets the workspaces.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: Workspaces) -> Self {
        self.workspaces = workspaces;
        self
    }

    /// Returns the queue that a request is for, with the rest of its path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        self.queues.iter().filter(|q| q.host.eq_ignore_ascii_case(host)).find_map(|q| {
            let rest = path.strip_prefix(q.path_prefix.as_str())?;
            Some((q, rest))
        })
    }

    /// Returns the queues.
    pub fn queues(&self) -> &[Queue] {
        &self.queues
    }

    /// Returns the queue of this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| &*q.name == name)
    }

    /// Returns the names of the pools that run jobs.
    pub fn working_pools(&self) -> impl Iterator<Item = &Arc<str>> {
        self.pools.iter().filter(|p| !p.switched_off).map(|p| &p.name)
    }
}
