//! Whether a start may still be sent to the VM on which its task was placed.
//!
//! Load pattern: a burst queues dozens of starts to a VM that has just stopped answering. For seconds they wait for the record of
//! their placement, for the owner's lease, or for earlier starts without an answer. Meanwhile the VM announces that it will
//! leave, or another change takes it out of use, and then it answers again; or a caller cancels the job.
//!
//! Each copy of a start is checked right before it is sent, by the newest facts that the node has read. The owner also checks
//! the starts that wait, so that a task whose start will not be sent runs elsewhere at once.

use crate::fleet::FleetRecord;
use crate::halls::Halls;
use crate::pool::StartOrder;
use crate::quota::is_higher_cap;
use crate::vm::{Room, VmFacts};

/// Why a start is not sent to its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The job was cancelled.
    Cancelled,
    /// The VM is not listed, or is listed as another incarnation.
    NotListed,
    /// The VM belongs to another pool.
    OtherPool,
    /// The VM has announced that it will leave.
    Draining,
    /// The newest entry of the VM is invalid.
    Unreadable,
    /// The VM is being emptied for maintenance or a move.
    Cordoned,
    /// The VM's data hall is evacuated.
    HallEvacuated,
    /// The cap of the job's workspace is lower than when the task was placed.
    CapLowered,
}

/// The newest facts that a node has read.
#[derive(Clone, Copy, Debug)]
pub struct StartFacts<'a> {
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// The pool whose owner sends the start.
    pub pool: &'a str,
    /// The entry of the VM's ID.
    pub listed: Option<&'a VmFacts>,
    /// The fleet's record.
    pub fleet: &'a FleetRecord,
    /// The data halls.
    pub halls: &'a Halls,
    /// The cap of the job's workspace, if it is configured.
    pub cap: Option<Room>,
}

/// Returns why a start must not be sent, or `None` if it may be sent.
pub fn check(order: &StartOrder, facts: &StartFacts<'_>) -> Option<Withheld> {
    if facts.cancelled {
        return Some(Withheld::Cancelled);
    }
    let Some(vm) = facts.listed.filter(|vm| vm.id.may_be_same(&order.vm)) else {
        return Some(Withheld::NotListed);
    };
    if *vm.pool != *facts.pool {
        return Some(Withheld::OtherPool);
    }
    if vm.draining {
        return Some(Withheld::Draining);
    }
    if vm.unreadable {
        return Some(Withheld::Unreadable);
    }
    if facts.fleet.is_cordoned_for(&vm.name, facts.pool) {
        return Some(Withheld::Cordoned);
    }
    if !facts.halls.accepts_work(&vm.hall) {
        return Some(Withheld::HallEvacuated);
    }
    let is_cap_lowered = facts.cap.is_some_and(|cap| is_higher_cap(order.cap, cap));
    is_cap_lowered.then_some(Withheld::CapLowered)
}
