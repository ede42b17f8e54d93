//! Cancels drains of pools whose availability budget is used up by failures.

use thistle_fold::{Stage, Vm, VmKey};
use thistle_model::{Change, PlatformStatus};

use crate::context::PlanContext;
use crate::proposal::Proposal;

/// Proposes to return draining and drained VMs to service in pools that are below their floor.
pub(crate) fn give_back(context: &mut PlanContext<'_>, proposals: &mut Vec<Proposal>) {
    let state = context.state;
    let mut below_floor: Vec<_> = state
        .pools
        .iter()
        .filter(|(_, p)| p.available < p.floor())
        .map(|(key, p)| (key, p.floor() - p.available))
        .collect();
    if below_floor.is_empty() {
        return;
    }
    for (key, vm) in &state.vms {
        let Some((_, missing)) = below_floor.iter_mut().find(|(pool, _)| *pool == vm.pool) else {
            continue;
        };
        if *missing > 0 && is_returnable(vm) {
            *missing -= 1;
            proposals.push(propose(vm));
            mark_used(context, key);
        }
    }
}

fn is_returnable(vm: &Vm) -> bool {
    let is_leaving_service = matches!(vm.stage, Stage::Draining(_) | Stage::Drained(_));
    is_leaving_service && vm.status == PlatformStatus::Live && !vm.cordoned
}

fn mark_used(context: &mut PlanContext<'_>, key: VmKey) {
    context.used.insert(key);
}

fn propose(vm: &Vm) -> Proposal {
    Proposal {
        change: Change::GiveBack { vm: vm.name.clone(), base: vm.revision },
        vm: vm.name.clone(),
        step: "give-back",
        why: "its pool is below the floor of its availability budget".to_owned(),
    }
}
