//! The current configuration: queues, pools, workspaces and limits on requests.

use std::sync::Arc;

use crate::spec::{AdvicePolicy, Objective};
use crate::workspace::Workspaces;

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The name of the queue.
    pub name: Arc<str>,
    /// The host name in callers' requests.
    pub host: String,
    /// The prefix of the request paths of its jobs.
    pub path_prefix: String,
    /// The pool that runs its jobs.
    pub pool: Arc<str>,
    /// The service objective of its jobs.
    pub objective: Objective,
    /// The timing of the advice service that decides which VMs may run a step, if the queue has one.
    pub advice: Option<AdvicePolicy>,
    /// Whether it accepts callers without a key. Its jobs then belong to no workspace.
    pub open: bool,
}

impl Queue {
    /// Returns the host and the path prefix of its callers' requests. A job that is sent again has the same address.
    pub fn address(&self) -> String {
        format!("{}{}", self.host.to_ascii_lowercase(), self.path_prefix)
    }
}

/// A pool of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolConfig {
    /// The name of the pool.
    pub name: Arc<str>,
    /// Whether its VMs reject tasks that do not fit. Otherwise only the scheduler keeps them from being overcommitted.
    pub rejects_overcommit: bool,
    /// Whether its VMs are switched off and cost nothing.
    pub switched_off: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of the headers, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// The timeout for the headers and for each further part of a body, in milliseconds.
    pub header_timeout_ms: u64,
    /// The idle timeout of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// The version number, which increases by varying steps.
    pub version: u64,
    /// The queues, those with the longest prefix first.
    queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<PoolConfig>,
    /// The limits on requests.
    pub limits: Limits,
    /// The workspaces, whose callers may use queues that are not open.
    pub workspaces: Workspaces,
}

impl Catalog {
    /// Creates a version of the configuration without workspaces.
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

    /// Returns the queue that a request addresses, with the rest of its path.
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

    /// Returns the queue with the given name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| &*q.name == name)
    }

    /// Returns the names of the pools that run jobs.
    pub fn working_pools(&self) -> impl Iterator<Item = &Arc<str>> {
        self.pools.iter().filter(|p| !p.switched_off).map(|p| &p.name)
    }
}
