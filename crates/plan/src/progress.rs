//! Proposes the step that follows a drain: a reboot or the assignment to the new pool.

use thistle_fold::{Stage, Vm};
use thistle_model::{Change, DrainReason};

use crate::context::PlanContext;
use crate::proposal::Proposal;

/// Proposes the next step of each drained VM.
pub(crate) fn advance(context: &PlanContext<'_>, proposals: &mut Vec<Proposal>) {
    let unused = context.state.vms.iter().filter(|(key, _)| !context.used.contains(key));
    proposals.extend(unused.filter_map(|(_, vm)| next_step(vm)));
}

fn next_step(vm: &Vm) -> Option<Proposal> {
    let Stage::Drained(reason) = &vm.stage else {
        return None;
    };
    let (name, base) = (vm.name.clone(), vm.revision);
    let (change, step, why) = match reason {
        DrainReason::Maintenance => {
            (Change::MaintenanceStarted { vm: name, base }, "reboot", "it is drained".to_owned())
        }
        DrainReason::Move(to) => {
            let to = Some(to.clone());
            let why = format!("it is drained for {}", vm.stage.describe());
            (Change::Assign { vm: name, base, to }, "assign", why)
        }
        DrainReason::Surplus => {
            let change = Change::Assign { vm: name, base, to: None };
            (change, "assign", "its pool has more VMs than it should".to_owned())
        }
        DrainReason::Operator => return None,
    };
    Some(Proposal { change, vm: vm.name.clone(), step, why })
}
