//! Polls the platform's VM list and records what changed.

use std::collections::BTreeMap;
use std::sync::Arc;

use thistle_fold::{Stage, State};
use thistle_model::clock::Instant;
use thistle_model::{Change, PlatformStatus, VmName};
use thistle_wire::platform::{ListedVm, VmService};

use super::{is_on_duty, propose_and_wait};
use crate::heartbeat;
use crate::shared::Shared;

/// Polls the VM list while on duty, until the process ends.
///
/// One steward reads the list for all: at the target size of the fleet, the list would take more
/// than a node's share of the network if each steward read it.
pub async fn run<V: VmService>(shared: Arc<Shared>, vms: Arc<V>) {
    loop {
        if polls_vm_list(&shared) {
            poll_vm_list(&shared, vms.as_ref()).await;
        }
        tokio::time::sleep(shared.settings.vm_list_every.0).await;
    }
}

/// Returns whether this steward polls the list. The planner on duty also does so while the log is
/// down, as the list shows which VMs are leaving.
fn polls_vm_list(shared: &Shared) -> bool {
    let contact_timeout = shared.settings.heartbeat.0 * 3;
    let core = shared.core();
    let is_planner_on_duty = core.planner_on_duty(contact_timeout, Instant::now()) == Some(core.me);
    drop(core);
    is_planner_on_duty || is_on_duty(shared)
}

async fn poll_vm_list<V: VmService>(shared: &Arc<Shared>, vms: &V) {
    let listed = match vms.list().await {
        Ok(listed) => listed,
        Err(e) => return log::warn!("vm-list result=failed reason=\"{e}\""),
    };
    broadcast_leaving(shared, &listed);
    if !shared.core().log_up {
        return;
    }
    let changes = changes(&shared.core().state, &listed);
    if !changes.is_empty() {
        log::info!("decision step=vm-list changes={}", changes.len());
        propose_and_wait(shared, changes).await;
    }
}

/// Sends hints of VMs that the list shows as leaving to the entry and the other voters.
fn broadcast_leaving(shared: &Arc<Shared>, listed: &[ListedVm]) {
    let mut core = shared.core();
    let leaving = listed.iter().filter(|vm| vm.status == PlatformStatus::Leaving);
    let serving = leaving.filter(|vm| {
        core.state.vm_key(&vm.name).is_ok_and(|key| core.state.vms[key].is_available())
    });
    let serving: Vec<_> = serving.map(|vm| vm.name.clone()).collect();
    let new = core.hints.add(serving, Instant::now());
    drop(core);
    if !new.is_empty() {
        log::info!("hint vms={new:?} state=leaving source=vm-list");
        shared.notify();
        heartbeat::broadcast_hints(shared, &new);
    }
}

/// Returns the changes that make the state match the list.
fn changes(state: &State, listed: &[ListedVm]) -> Vec<Change> {
    let by_name: BTreeMap<&VmName, &ListedVm> = listed.iter().map(|vm| (&vm.name, vm)).collect();
    let mut changes: Vec<_> = listed.iter().filter_map(|vm| vm_change(state, vm)).collect();
    let missing = state.vms.values().filter(|vm| !by_name.contains_key(&vm.name));
    // A VM in maintenance may be missing from the list while it reboots.
    let gone = missing.filter(|vm| vm.stage != Stage::InMaintenance);
    changes.extend(gone.map(|vm| Change::VmGone { vm: vm.name.clone(), base: vm.revision }));
    changes
}

fn vm_change(state: &State, listed: &ListedVm) -> Option<Change> {
    let seen = Change::VmSeen {
        vm: listed.name.clone(),
        facts: listed.facts.clone(),
        status: listed.status,
    };
    let Ok(key) = state.vm_key(&listed.name) else {
        return Some(seen);
    };
    let vm = &state.vms[key];
    if vm.stage == Stage::InMaintenance {
        let back = listed.rebooted == vm.revision && listed.status == PlatformStatus::Live;
        let done = Change::MaintenanceDone { vm: vm.name.clone(), base: vm.revision };
        return back.then_some(done);
    }
    (vm.facts != listed.facts || vm.status != listed.status).then_some(seen)
}
