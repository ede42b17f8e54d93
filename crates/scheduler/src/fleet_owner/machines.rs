//! Converts what the machine service answers, and logs the work on its VMs.

use std::sync::Arc;

use thistle_platform::machines::{Machine, MachineError, MachineState};
use thistle_schedule::fleet::{FleetRecord, FleetVm, OrderOutcome, VmState, VmWork};

use crate::node::VmTable;

pub(super) fn outcome(result: &Result<(), MachineError>) -> OrderOutcome {
    match result {
        Ok(()) => OrderOutcome::Done,
        Err(MachineError::Unavailable(_) | MachineError::Busy | MachineError::Fenced) => {
            OrderOutcome::NotDone
        }
        Err(MachineError::Unanswered(_) | MachineError::Malformed(_)) => OrderOutcome::Unknown,
        Err(MachineError::NotInWave | MachineError::Invalid) => OrderOutcome::Impossible,
    }
}

pub(super) fn fleet_vm(machine: Machine, table: &VmTable) -> FleetVm {
    // The machine service reports only IDs; the incarnation of a VM that is not listed yet is unknown.
    let incarnation_of =
        |id: Arc<str>| table.get(&id).map_or(id, |facts| facts.id.to_string().into());
    let state = match machine.state {
        MachineState::Up => VmState::Up,
        MachineState::Moving | MachineState::Upkeep => VmState::Away,
        MachineState::Down => VmState::Down,
    };
    FleetVm {
        name: machine.name,
        pool: machine.pool,
        state,
        hall: machine.hall,
        rack: machine.rack,
        incarnation: machine.incarnation.map(incarnation_of),
    }
}

pub(super) fn log_changes(before: &FleetRecord, current: &FleetRecord) {
    let has_changed = |work: &&VmWork| before.work_on(&work.vm) != Some(*work);
    for work in current.work.iter().filter(has_changed) {
        log::info!(
            "fleet step=work vm={} purpose={:?} stage={:?}",
            work.vm,
            work.purpose,
            work.stage
        );
    }
    for work in before.work.iter().filter(|w| current.work_on(&w.vm).is_none()) {
        log::info!("fleet step=finished vm={} purpose={:?}", work.vm, work.purpose);
    }
}
