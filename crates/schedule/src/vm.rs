//! The description of a VM and its report on the tasks that it runs.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Ms;
use crate::id::{RunId, VmIncarnation};

/// An amount of CPU, memory and accelerators, as a VM has it or a task requires it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Room {
    /// CPU in thousandths of a core.
    pub cpu: u32,
    /// Memory in megabytes.
    pub mem_mb: u32,
    /// The number of accelerators.
    pub gpu: u32,
}

impl Room {
    /// Returns whether `other` fits into this amount.
    pub const fn fits(self, other: Self) -> bool {
        self.cpu >= other.cpu && self.mem_mb >= other.mem_mb && self.gpu >= other.gpu
    }

    /// Returns the sum of both amounts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem_mb: self.mem_mb.saturating_add(other.mem_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns this amount multiplied by `count`.
    #[must_use]
    pub const fn times(self, count: u32) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            mem_mb: self.mem_mb.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// Returns the greater of both amounts for each resource.
    #[must_use]
    pub fn greater_of_each(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            mem_mb: self.mem_mb.max(other.mem_mb),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns what is left after subtracting `other`, never below zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// One VM incarnation as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmFacts {
    /// The incarnation.
    pub id: VmIncarnation,
    /// The VM's name, the same over all of its incarnations; empty if the platform lists no name.
    pub name: Arc<str>,
    /// The pool that it belongs to.
    pub pool: Arc<str>,
    /// The address at which it accepts orders.
    pub addr: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// All of its labels, the rack included.
    pub labels: Vec<Arc<str>>,
    /// Its total capacity.
    pub room: Room,
    /// Whether it is about to leave and accepts no new tasks.
    pub draining: bool,
    /// Whether its newest entry is invalid, so that these facts come from an older one. The VM gets no new tasks, and its
    /// running tasks continue.
    pub unreadable: bool,
    /// Whether it is still slow after its start or because its data hall had no work for a while.
    pub cold: bool,
}

/// A run that a VM reports as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedRun {
    /// The run.
    pub run: RunId,
    /// Its newest checkpoint, empty for none.
    pub checkpoint: String,
    /// The completed share of its work, in percent. For a lasting task only the start counts: it is serving at 100. The
    /// share of its full speed at which a task works is not reported.
    pub percent: u32,
    /// The tail latency in milliseconds for a serving task, the CPU in use for other tasks, or `None` if the VM does not
    /// report it.
    pub metric: Option<u64>,
}

/// Why a VM incarnation no longer runs any tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmLoss {
    /// Another incarnation of the VM has replaced it.
    Replaced,
    /// It was unresponsive until its lease expired. It may have crashed or only be unreachable.
    LeaseOver,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// It completed its work.
    Done,
    /// It failed because of the task or of the VM.
    Failed,
    /// It was stopped by an order of the pool's owner.
    Stopped,
    /// Its lease was not renewed in time.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// The end of a run, which the VM reports until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Its sequence number, increasing within the incarnation.
    pub sequence: u64,
    /// The run.
    pub run: RunId,
    /// How the run ended.
    pub kind: EndKind,
    /// The checkpoint that the run left, empty for none.
    pub checkpoint: String,
}

/// A VM's report on all runs that are running or have ended there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmReport {
    /// When the report was requested.
    pub requested_at: Ms,
    /// The runs in progress.
    pub running: Vec<ReportedRun>,
    /// The ended runs that are not acknowledged.
    pub ended: Vec<RunEnd>,
}
