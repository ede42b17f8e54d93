//! What is known of a VM and what it says of the tasks on it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Ms;
use crate::id::{RunId, VmLife};

/// Processor, memory and accelerators: what a VM has, or what a task takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Thousandths of a core.
    pub cpu: u32,
    /// Megabytes of memory.
    pub mem_mb: u32,
    /// Accelerators.
    pub gpu: u32,
}

impl Room {
    /// Returns whether `other` fits in.
    pub const fn holds(self, other: Self) -> bool {
        self.cpu >= other.cpu && self.mem_mb >= other.mem_mb && self.gpu >= other.gpu
    }

    /// Returns the sum.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem_mb: self.mem_mb.saturating_add(other.mem_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns so many times as much.
    #[must_use]
    pub const fn times(self, count: u32) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            mem_mb: self.mem_mb.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// Returns the greater of each kind.
    #[must_use]
    pub fn greater_of_each(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            mem_mb: self.mem_mb.max(other.mem_mb),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns what is left, never below zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// One incarnation of a VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmFacts {
    /// The incarnation.
    pub id: VmLife,
    /// The VM's lasting name, the same over all of its incarnations; empty if it is not told.
    pub name: Arc<str>,
    /// The pool that it belongs to.
    pub pool: Arc<str>,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// All of its labels, the rack included.
    pub labels: Vec<Arc<str>>,
    /// All that it has.
    pub room: Room,
    /// It is about to leave and takes nothing new.
    pub draining: bool,
    /// Its newest entry makes no sense, so that this is what an older one told: it takes nothing new, and what runs
    /// there goes on.
    pub unreadable: bool,
    /// It is slow as yet, from its start or as its data hall got no work for a while.
    pub cold: bool,
}

/// A task that a VM says it is running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRow {
    /// The run.
    pub run: RunId,
    /// Its newest checkpoint, empty for none.
    pub checkpoint: String,
    /// How much of its work is done, in percent; a lasting task has only its start to do, and is at
    /// work at 100. At which share of its full speed it works is not told.
    pub percent: u32,
    /// For a serving task the tail of its answer times in milliseconds, else the processor in
    /// use; none if not told.
    pub figure: Option<u64>,
}

/// Why nothing runs on a VM incarnation any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmLoss {
    /// Another incarnation of the VM is there.
    Replaced,
    /// It was silent until its lease was over: it may be dead or only out of reach.
    LeaseOver,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// It did all its work.
    Done,
    /// It failed, by its own fault or the VM's.
    Failed,
    /// It was stopped on our order.
    Stopped,
    /// The lease was not renewed in time.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// An end that a VM lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Its number, rising within the incarnation.
    pub sequence: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub kind: EndKind,
    /// The checkpoint that it left, empty for none.
    pub checkpoint: String,
}

/// A VM's answer on all that runs and has ended there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmReport {
    /// When we asked.
    pub asked_at: Ms,
    /// What runs.
    pub running: Vec<RunRow>,
    /// What has ended and is not acknowledged.
    pub ended: Vec<RunEnd>,
}
