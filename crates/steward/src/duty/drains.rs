//! Proposes to record drains that every member has acknowledged.

use std::collections::BTreeSet;

use thistle_fold::{Stage, Vm};
use thistle_model::{Change, MemberId};
use thistle_request::router::DrainAck;

use crate::core::Core;
use crate::shared::Shared;

/// Returns a change for each drain that all members have acknowledged.
pub fn proposals(shared: &Shared) -> Vec<Change> {
    let core = shared.core();
    let draining = core.state.vms.values().filter(|vm| matches!(vm.stage, Stage::Draining(_)));
    draining.filter_map(|vm| drained_change(&core, vm)).collect()
}

fn drained_change(core: &Core, vm: &Vm) -> Option<Change> {
    let acks = acknowledging_members(core, vm);
    let needs_no_acks = vm.pool == core.state.reserve;
    let all_acked = core.state.members.keys().all(|id| acks.contains(id));
    if vm.job_slots > 0 || !(needs_no_acks || all_acked) {
        return None;
    }
    log::info!("decision step=drained vm={} acks={}", vm.name, acks.len());
    let acks = acks.into_iter().collect();
    Some(Change::Drained { vm: vm.name.clone(), base: vm.revision, acks })
}

/// Returns the members whose entries have acknowledged the drain of a VM.
pub fn acknowledging_members(core: &Core, vm: &Vm) -> BTreeSet<MemberId> {
    let ack = DrainAck { vm: vm.name.clone(), revision: vm.revision };
    let peers = core.peers.iter().filter(|(_, p)| p.heartbeat.entry.acks.contains(&ack));
    let mut ids: BTreeSet<_> = peers.map(|(&id, _)| id).collect();
    if core.entry.report.acks.contains(&ack) {
        ids.insert(core.me);
    }
    ids
}
