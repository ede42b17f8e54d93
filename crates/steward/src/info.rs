//! Builds operators' replies from the state.

use std::time::Duration;

use thistle_fold::{MemberState, State, Vm};
use thistle_model::clock::Instant;
use thistle_model::{DrainReason, JobName, PlatformStatus, VmName};
use thistle_wire::operator::{
    JobInfo, MemberInfo, StatusInfo, TemplateInfo, VmInfo, WaveInfo, WorkspaceInfo,
};

use crate::core::Core;

/// The number of VMs or jobs in a page.
const PAGE_SIZE: usize = 500;

/// Returns the status of this steward and its members.
pub fn status(core: &Core, contact_timeout: Duration, now: Instant) -> StatusInfo {
    let reserve = &core.state.pools[core.state.reserve];
    StatusInfo {
        member: core.me,
        duty: core.planner_on_duty(contact_timeout, now),
        offset: core.state.next,
        log_up: core.log_up,
        proof: core.proof_until(now) > now,
        malformed: core.state.malformed,
        digest_mismatches: core.digest_mismatches,
        voters: core.state.voters.revision,
        voters_changing: core.state.voters.next.is_some(),
        members: members(core, contact_timeout, now),
        reserve: reserve.available,
        vms: u32::try_from(core.state.vms.len()).unwrap_or(u32::MAX),
        wave: wave(&core.state),
    }
}

fn members(core: &Core, contact_timeout: Duration, now: Instant) -> Vec<MemberInfo> {
    let info = |(&id, m): (&thistle_model::MemberId, &thistle_fold::Member)| {
        let peer = core.peers.get(&id).filter(|p| now.since(p.last_contact) <= contact_timeout);
        let own = (id == core.me).then_some(&core.entry.report);
        let report = peer.map(|p| &p.heartbeat.entry).or(own);
        MemberInfo {
            id,
            name: m.facts.name.to_string(),
            hall: m.facts.hall.to_string(),
            voter: core.state.voters.contains(id),
            state: match m.state {
                MemberState::Joined => "joined".to_owned(),
                MemberState::Gone => "gone".to_owned(),
            },
            entry_offset: report.map(|r| r.offset),
            ready: report.is_some_and(|r| r.ready),
        }
    };
    core.state.members.iter().map(info).collect()
}

/// Returns the progress of the current wave.
pub fn wave(state: &State) -> WaveInfo {
    let is_under_way = |vm: &&Vm| {
        use thistle_fold::Stage::{Drained, Draining, InMaintenance};
        matches!(
            vm.stage,
            Draining(DrainReason::Maintenance) | Drained(DrainReason::Maintenance) | InMaintenance
        )
    };
    WaveInfo {
        number: state.wave.number,
        revision: state.wave.revision,
        paused: state.wave.paused,
        left: state.wave_left() as u64,
        under_way: state.vms.values().filter(is_under_way).count() as u64,
        total: state.vms.len() as u64,
    }
}

/// Returns all templates.
pub fn templates(state: &State) -> Vec<TemplateInfo> {
    let info = |(name, t): (&thistle_model::TemplateName, &thistle_fold::state::TemplateEntry)| {
        TemplateInfo {
            name: name.clone(),
            revision: t.revision,
            template: t.template.as_ref().clone(),
        }
    };
    state.templates.iter().map(info).collect()
}

/// Returns all workspaces.
pub fn workspaces(state: &State) -> Vec<WorkspaceInfo> {
    let info = |(name, &key): (&thistle_model::PoolName, &thistle_fold::PoolKey)| {
        let pool = &state.pools[key];
        let workspace = pool.workspace.clone()?;
        let (size, available) = (pool.size, pool.available);
        Some(WorkspaceInfo {
            name: name.clone(),
            revision: pool.revision,
            workspace,
            size,
            available,
        })
    };
    state.pool_keys.iter().filter_map(info).collect()
}

/// Returns the page of VMs that follows `after`.
pub fn vms(state: &State, after: Option<&VmName>) -> Vec<VmInfo> {
    let rest = state.vm_keys.iter().filter(|(name, _)| after.is_none_or(|a| *name > a));
    rest.take(PAGE_SIZE).map(|(_, &key)| vm(state, &state.vms[key])).collect()
}

fn vm(state: &State, vm: &Vm) -> VmInfo {
    VmInfo {
        name: vm.name.clone(),
        revision: vm.revision,
        facts: vm.facts.clone(),
        pool: state.pools[vm.pool].label().to_owned(),
        stage: vm.stage.describe(),
        cordoned: vm.cordoned,
        leaving: vm.status == PlatformStatus::Leaving,
        wave: vm.wave,
    }
}

/// Returns the page of jobs that follows `after`.
pub fn jobs(state: &State, after: Option<&JobName>) -> Vec<JobInfo> {
    let rest = state.jobs.iter().filter(|(name, _)| after.is_none_or(|a| *name > a));
    let info = |(name, job): (&JobName, &thistle_fold::Job)| JobInfo {
        name: name.clone(),
        pool: job.spec.pool.clone(),
        team: job.spec.team.clone(),
        state: format!("{:?}", job.state).to_lowercase(),
        starts: job.starts,
        cannot_run: thistle_plan::cannot_run(state, job),
    };
    rest.take(PAGE_SIZE).map(info).collect()
}
