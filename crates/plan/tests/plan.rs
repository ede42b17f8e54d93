//! Tests of the planner's proposals, case by case.

use googletest::prelude::*;
use thistle_fold::{Stage, State};
use thistle_model::{
    Budget, Change, DrainReason, HallName, Offset, PlatformStatus, PoolName, RackName, Record,
    RecordId, Revision, Service, ServiceName, Template, TemplateName, Tier, VmFacts, VmName,
    Window, Workspace,
};
use thistle_plan::{PlanConfig, Proposal, plan};

const NOON: u16 = 12 * 60;

fn vm(i: usize) -> VmName {
    VmName::new(&format!("vm-{i}")).unwrap()
}

fn apply(state: &mut State, change: Change) {
    let id = RecordId { writer: 1, seq: state.records + 1 };
    let verdict = state.apply(Offset(0), &Record { id, at_ms: 0, change });
    verdict.result.unwrap();
}

fn add_vm(state: &mut State, i: usize) {
    let facts = VmFacts {
        addr: ([127, 0, 0, 1], 1).into(),
        hall: HallName::new(&format!("hall-{}", i % 2)).unwrap(),
        rack: RackName::new(&format!("rack-{i}")).unwrap(),
        slots: 8,
        connections: 64,
    };
    apply(state, Change::VmSeen { vm: vm(i), facts, status: PlatformStatus::Live });
}

/// Sets the parameters of the only workspace.
fn set_workspace(state: &mut State, vms: u32, max_unavailable: u32, windows: Vec<Window>) {
    let name = PoolName::new("pool").unwrap();
    let base = state.pool_key(&name).map_or(Revision::NONE, |k| state.pools[k].revision);
    let workspace = Workspace {
        template: TemplateName::new("t").unwrap(),
        tier: Tier::Gold,
        vms,
        budget: Budget { max_unavailable },
        windows,
    };
    apply(state, Change::SetWorkspace { name, base, workspace });
}

/// Returns a state with a pool of `vms` VMs that are all in service, and with `spares` spare VMs.
fn state_with_pool(vms: u32, max_unavailable: u32, spares: usize) -> State {
    let mut state = State::new();
    let service = Service {
        name: ServiceName::new("s").unwrap(),
        repeatable: true,
        deadline_ms: 1,
        echoes_request_id: true,
        tier: None,
    };
    let template = Template { title: String::new(), services: vec![service] };
    let name = TemplateName::new("t").unwrap();
    apply(&mut state, Change::PublishTemplate { name, base: Revision::NONE, template });
    set_workspace(&mut state, vms, max_unavailable, Vec::new());
    (0..vms as usize + spares).for_each(|i| add_vm(&mut state, i));
    for proposal in plan(&state, &PlanConfig::default(), NOON) {
        apply(&mut state, proposal.change);
    }
    state
}

fn steps<'a>(proposals: &'a [Proposal], step: &str) -> Vec<&'a Proposal> {
    proposals.iter().filter(|p| p.step == step).collect()
}

fn in_pool(state: &State) -> Vec<usize> {
    let is_in_pool =
        |i: &usize| state.vm_key(&vm(*i)).is_ok_and(|k| state.vms[k].pool != state.reserve);
    (0..20).filter(is_in_pool).collect()
}

fn remove_vm(state: &mut State, i: usize) {
    let base = state.vms[state.vm_key(&vm(i)).unwrap()].revision;
    apply(state, Change::VmGone { vm: vm(i), base });
}

#[gtest]
fn wave_keeps_a_pool_to_one_hall() {
    // The budget allows five VMs, but each hall has only four VMs of the pool.
    let mut state = state_with_pool(8, 5, 0);
    apply(&mut state, Change::WaveStart { base: Revision::NONE });
    let proposals = plan(&state, &PlanConfig::default(), NOON);
    let drains = steps(&proposals, "drain");
    expect_that!(drains.len(), eq(4));
    let halls: std::collections::BTreeSet<_> =
        drains.iter().map(|p| state.vms[state.vm_key(&p.vm).unwrap()].facts.hall.clone()).collect();
    expect_that!(halls.len(), eq(1));
}

#[gtest]
fn wave_stays_within_the_budget() {
    let mut state = state_with_pool(8, 3, 0);
    apply(&mut state, Change::WaveStart { base: Revision::NONE });
    let proposals = plan(&state, &PlanConfig::default(), NOON);
    expect_that!(steps(&proposals, "drain").len(), eq(3));
}

#[gtest]
fn wave_waits_for_the_window() {
    let mut state = state_with_pool(4, 1, 0);
    set_workspace(&mut state, 4, 1, vec![Window { from_minute: 22 * 60, to_minute: 4 * 60 }]);
    apply(&mut state, Change::WaveStart { base: Revision::NONE });
    let drains = |minute| steps(&plan(&state, &PlanConfig::default(), minute), "drain").len();
    expect_that!(drains(NOON), eq(0));
    expect_that!(drains(23 * 60), eq(1));
    expect_that!(drains(3 * 60), eq(1));
}

#[gtest]
fn buffer_cost_above_roll_out_time_leaves_a_vm_of_the_slack() {
    let mut state = state_with_pool(8, 3, 0);
    apply(&mut state, Change::WaveStart { base: Revision::NONE });
    let high_buffer_cost = PlanConfig::default().with_weights(1, 3, 1);
    expect_that!(steps(&plan(&state, &high_buffer_cost, NOON), "drain").len(), eq(2));
}

#[gtest]
fn drains_are_given_back_when_failures_use_up_the_budget() {
    let mut state = state_with_pool(6, 2, 0);
    apply(&mut state, Change::WaveStart { base: Revision::NONE });
    for p in plan(&state, &PlanConfig::default(), NOON) {
        apply(&mut state, p.change);
    }
    let serving = |s: &State| -> Vec<usize> {
        let serves =
            |i: &usize| s.vm_key(&vm(*i)).is_ok_and(|k| s.vms[k].stage == Stage::InService);
        in_pool(s).into_iter().filter(|i| serves(i)).collect()
    };
    let first = serving(&state)[0];
    remove_vm(&mut state, first);
    let proposals = plan(&state, &PlanConfig::default(), NOON);
    expect_that!(steps(&proposals, "give-back").len(), eq(1));
    expect_that!(steps(&proposals, "drain").len(), eq(0));
}

#[gtest]
fn lost_vm_is_replaced_from_the_reserve_with_one_move() {
    let mut state = state_with_pool(4, 1, 2);
    let lost = in_pool(&state)[0];
    remove_vm(&mut state, lost);
    let proposals = plan(&state, &PlanConfig::default(), NOON);
    expect_that!(proposals.len(), eq(1));
    expect_that!(steps(&proposals, "assign").len(), eq(1));
}

#[gtest]
fn surplus_goes_to_the_reserve_within_the_budget() {
    let mut state = state_with_pool(6, 1, 0);
    set_workspace(&mut state, 4, 1, Vec::new());
    let proposals = plan(&state, &PlanConfig::default(), NOON);
    let is_surplus_drain =
        |p: &Proposal| matches!(p.change, Change::Drain { reason: DrainReason::Surplus, .. });
    expect_that!(proposals.iter().filter(|p| is_surplus_drain(p)).count(), eq(2));
}

#[gtest]
fn nothing_is_proposed_when_all_is_well() {
    let state = state_with_pool(6, 1, 3);
    expect_that!(plan(&state, &PlanConfig::default(), NOON), is_empty());
}
