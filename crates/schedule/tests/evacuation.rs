//! Evacuated data halls in the decisions of a pool and of the fleet.
//!
//! The tests assume that all VMs are full when a hall with half of them is evacuated, and that the hall returns to service
//! later.

mod common;
mod fleet_common;

use std::sync::Arc;

use common::{
    JOB, at, end_run, job, lasting_step, plan_and_start, report, row, starts, step, stops, vm,
};
use fleet_common::{busy_report, two_pools, vms_of};
use googletest::prelude::*;
use thistle_schedule::fleet::{Fleet, FleetRecord, FleetVm, HoldOff, PoolReport, VmState};
use thistle_schedule::halls::{is_current, read_age};
use thistle_schedule::policy::Policy;
use thistle_schedule::pool::EvacuationLoad;
use thistle_schedule::{EndKind, Evacuation, Halls, JobId, Pool, Step, VmFacts, VmReport};

fn evacuated(names: &[&str]) -> Arc<Halls> {
    let mut halls = Halls::default();
    for name in names {
        halls.evacuate(Evacuation { hall: (*name).into(), offset: 1 });
    }
    Arc::new(halls)
}

fn vm_in(hall: &str, name: &str) -> Arc<VmFacts> {
    Arc::new(VmFacts { hall: hall.into(), rack: hall.into(), ..vm(name, 1).as_ref().clone() })
}

fn bring_up(pool: &mut Pool, hall: &str, name: &str) {
    let facts = vm_in(hall, name);
    pool.list_vm(facts.clone());
    pool.apply_report(&facts.id, &VmReport::default(), at(0));
}

/// Returns a pool of VMs with four cores each: two in hall a, two in hall b.
fn two_halls() -> Pool {
    let mut pool = Pool::new();
    for (hall, name) in [("a", "a1"), ("a", "a2"), ("b", "b1"), ("b", "b2")] {
        bring_up(&mut pool, hall, name);
    }
    pool
}

#[gtest]
fn no_task_is_placed_in_an_evacuated_hall_and_running_tasks_continue_there() {
    let mut pool = two_halls();
    pool.submit(JOB, job(vec![step(16, 1_000)]), at(0));
    let started = plan_and_start(&mut pool, 10);
    expect_that!(started, len(eq(16)), "all VMs are full");
    pool.set_halls(evacuated(&["a"]), true);
    pool.submit(JobId(2), job(vec![step(16, 1_000)]), at(20));
    let orders = pool.plan(at(20));
    expect_that!(starts(&orders), is_empty());
    expect_that!(stops(&orders), is_empty());
    for start in &started {
        end_run(&mut pool, start, EndKind::Done, 1_000);
    }
    let next = plan_and_start(&mut pool, 1_010);
    expect_that!(next, len(eq(8)), "the other hall is filled");
    expect_that!(next.iter().all(|s| s.vm.id().starts_with("i-b")), eq(true));
    pool.set_halls(evacuated(&[]), true);
    let back = plan_and_start(&mut pool, 1_020);
    expect_that!(back, len(eq(8)));
    expect_that!(back.iter().all(|s| s.vm.id().starts_with("i-a")), eq(true));
}

#[gtest]
fn a_vm_that_starts_in_an_evacuated_hall_gets_no_task() {
    let mut pool = Pool::new();
    pool.set_halls(evacuated(&["a"]), true);
    bring_up(&mut pool, "a", "a1");
    pool.submit(JOB, job(vec![step(1, 1_000)]), at(0));
    expect_that!(starts(&pool.plan(at(10))), is_empty());
    expect_that!(pool.load(at(10)).vms, eq(0), "the VM counts as no capacity");
    expect_that!(pool.idle(), is_empty());
    bring_up(&mut pool, "b", "b1");
    expect_that!(starts(&pool.plan(at(20))), len(eq(1)));
}

#[gtest]
fn lasting_tasks_stay_in_an_evacuated_hall_and_are_rescheduled_in_another() {
    let mut pool = two_halls();
    pool.submit(JOB, job(vec![lasting_step(2, 1)]), at(0));
    let started = plan_and_start(&mut pool, 10);
    for start in &started {
        pool.apply_report(&start.vm, &report(20, vec![row(start.run, 100)], Vec::new()), at(20));
    }
    let lost = &started[0].vm;
    let hall = if lost.id().starts_with("i-a") { "a" } else { "b" };
    pool.set_halls(evacuated(&[hall]), true);
    expect_that!(pool.plan(at(30)), is_empty(), "lasting tasks go on");
    end_run(&mut pool, &started[0], EndKind::Lapsed, 40);
    let again = plan_and_start(&mut pool, 50);
    expect_that!(again, len(eq(1)));
    expect_that!(again[0].vm.id().starts_with(&format!("i-{hall}")), eq(false));
}

#[gtest]
fn a_gang_that_fits_only_partly_in_the_remaining_halls_waits_as_a_whole() {
    let mut pool = two_halls();
    pool.set_halls(evacuated(&["a"]), true);
    pool.submit(JOB, job(vec![Step { gang: true, ..step(9, 1_000) }]), at(0));
    expect_that!(starts(&pool.plan(at(10))), is_empty());
    pool.set_halls(evacuated(&[]), true);
    expect_that!(starts(&pool.plan(at(20))), len(eq(9)));
}

#[gtest]
fn nothing_starts_while_all_halls_are_evacuated_or_may_be() {
    let mut pool = two_halls();
    pool.submit(JOB, job(vec![step(4, 1_000)]), at(0));
    pool.set_halls(evacuated(&["a", "b"]), true);
    expect_that!(starts(&pool.plan(at(10))), is_empty());
    pool.set_halls(evacuated(&[]), false);
    expect_that!(starts(&pool.plan(at(20))), is_empty());
    pool.set_halls(evacuated(&[]), true);
    expect_that!(starts(&pool.plan(at(30))), len(eq(4)));
}

/// The operator's requests are read continuously. A read that was sent before a request does not include it.
#[gtest]
fn a_read_of_evacuations_is_current_for_less_than_the_time_until_they_take_effect() {
    expect_that!(is_current(None, None, 9_000), eq(true), "there are no requests");
    expect_that!(is_current(None, Some(5_000), 9_000), eq(false), "nothing was read");
    expect_that!(is_current(Some(5_100), Some(5_000), 9_000), eq(true));
    expect_that!(is_current(Some(5_000), Some(5_000), 9_000), eq(false), "a start takes a second");
}

fn fleet_vm(name: &str, pool: &str, hall: &str) -> FleetVm {
    FleetVm { hall: hall.into(), ..fleet_common::vm(name, pool, 1, VmState::Up) }
}

/// Returns a fleet with six VMs in a pool, half of them in each hall, and four VMs that are switched off.
fn pool_in_two_halls() -> Fleet {
    pool_in_two_halls_with(Policy::default())
}

fn pool_in_two_halls_with(policy: Policy) -> Fleet {
    let mut fleet = Fleet::with_policy(FleetRecord::default(), HoldOff::default(), policy);
    fleet.set_pools(["desk".into()].into(), Some("off".into()));
    let mut vms = Vec::new();
    for i in 0..3 {
        vms.push(fleet_vm(&format!("a{i}"), "desk", "a"));
        vms.push(fleet_vm(&format!("b{i}"), "desk", "b"));
    }
    for (name, hall) in [("oa", "a"), ("ob", "b"), ("oc", "b"), ("od", "b")] {
        vms.push(fleet_vm(name, "off", hall));
    }
    fleet.set_vms(vms, 0);
    fleet
}

#[gtest]
fn capacity_of_an_evacuated_hall_is_replaced_from_other_halls_before_work_waits() {
    let mut fleet = pool_in_two_halls();
    fleet.set_report(&"desk".into(), busy_report(0, 60_000, &[]), 10);
    expect_that!(fleet.plan(20), is_empty(), "the pool has what it needs");
    fleet.set_halls(evacuated(&["a"]));
    let mut brought: Vec<String> = fleet.plan(30).into_iter().map(|order| order.vm).collect();
    brought.sort();
    expect_that!(
        brought,
        eq(&["ob", "oc"].map(str::to_owned).to_vec()),
        "no VM of the evacuated hall"
    );
}

#[gtest]
fn idle_vms_of_an_evacuated_hall_are_not_moved() {
    let mut fleet = two_pools();
    fleet.set_halls(evacuated(&["hall-a"]));
    fleet.set_report(&"desk".into(), busy_report(0, 0, &["d0", "d1", "d2", "d3", "d4", "d5"]), 10);
    fleet.set_report(&"hub".into(), busy_report(60_000, 96_000, &[]), 10);
    expect_that!(vms_of(&fleet.plan(20)), is_empty());
    fleet.set_report(
        &"desk".into(),
        busy_report(0, 0, &["d0", "d1", "d2", "d3", "d4", "d5"]),
        9_000,
    );
    expect_that!(vms_of(&fleet.plan(9_010)), is_empty());
    expect_that!(fleet.record().work, is_empty());
}

#[gtest]
fn cold_vms_of_a_hall_that_is_back_get_only_tasks_that_fit_on_no_warm_vm() {
    let mut pool = Pool::new();
    for (hall, name) in [("a", "a1"), ("b", "b1")] {
        let facts = vm_in(hall, name);
        pool.list_vm(VmFacts { cold: hall == "a", ..facts.as_ref().clone() }.into());
        pool.apply_report(&facts.id, &VmReport::default(), at(0));
    }
    pool.submit(JOB, job(vec![step(4, 1_000)]), at(0));
    let warm = plan_and_start(&mut pool, 10);
    expect_that!(warm.iter().all(|s| s.vm.id().starts_with("i-b")), eq(true));
    pool.submit(JobId(2), job(vec![step(2, 1_000)]), at(20));
    let cold = plan_and_start(&mut pool, 20);
    expect_that!(cold, len(eq(2)), "cold VMs take work all the same");
    expect_that!(cold.iter().all(|s| s.vm.id().starts_with("i-a")), eq(true));
}

/// Guards against an evacuation whose effect operators can't see: which VMs are there, which of them still work, and how many
/// starts wait for them although nothing else keeps them back.
#[gtest]
fn the_load_of_an_evacuation_is_counted() {
    let mut pool = two_halls();
    pool.submit(JOB, job(vec![step(13, 1_000)]), at(0));
    plan_and_start(&mut pool, 10);
    expect_that!(pool.evacuation_load(), eq(EvacuationLoad::default()));
    pool.set_halls(evacuated(&["a"]), true);
    let cold = VmFacts { cold: true, ..vm_in("a", "a1").as_ref().clone() };
    pool.list_vm(Arc::new(cold));
    let before = pool.evacuation_load();
    expect_that!((before.vms, before.cold, before.held), eq((2, 1, 0)));
    expect_that!(before.busy, ge(1));
    // Three of the sixteen places are free, in whichever halls, and all tasks need one.
    pool.submit(JobId(2), job(vec![step(16, 1_000)]), at(20));
    let started = plan_and_start(&mut pool, 20).len();
    let after = pool.evacuation_load();
    expect_that!(after.held as usize, eq(3 - started), "of {started} started elsewhere");
    // While the halls are not known, nothing starts in any of them.
    pool.set_halls(evacuated(&[]), false);
    expect_that!(
        pool.evacuation_load(),
        eq(EvacuationLoad { held: after.held, ..Default::default() })
    );
}

#[gtest]
fn the_age_of_the_newest_read_of_requests_is_known_after_the_first_one() {
    expect_that!(read_age(None, 5_000), none());
    expect_that!(read_age(Some(2_000), 5_000), some(eq(3_000)));
}

/// Returns a fleet as [`pool_in_two_halls`] that switches off idle VMs of evacuated halls, with hall a evacuated.
fn switching_off() -> Fleet {
    let mut policy = Policy::default();
    policy.moves.switch_off_evacuated = true;
    let mut fleet = pool_in_two_halls_with(policy);
    fleet.set_halls(evacuated(&["a"]));
    fleet
}

/// Returns the VMs of hall a that are being moved.
fn worked_on_in_a(fleet: &Fleet) -> Vec<&str> {
    fleet
        .record()
        .work
        .iter()
        .map(|work| work.vm.as_str())
        .filter(|vm| vm.starts_with('a'))
        .collect()
}

/// Returns the report of a pool that needs some CPU, with idle VMs in hall a.
fn report_with_idle_in_a(needed: u64) -> PoolReport {
    let evacuated_idle = ["a0", "a1", "a2"].map(str::to_owned).to_vec();
    PoolReport { evacuated_idle, ..busy_report(0, needed, &[]) }
}

/// Guards against VMs of an evacuated hall that stay paid for although they may get no task. They are switched off when they
/// have been idle for as long as pools keep VMs, and are free for any pool once their hall is back.
#[gtest]
fn idle_vms_of_an_evacuated_hall_are_switched_off_and_are_free_once_it_is_back() {
    let mut fleet = switching_off();
    let keep_ms = Policy::default().moves.keep_ms;
    fleet.set_report(&"desk".into(), report_with_idle_in_a(10_000), 10);
    fleet.plan(keep_ms);
    expect_that!(worked_on_in_a(&fleet), is_empty(), "not idle for long enough");
    expect_that!(fleet.plan(keep_ms + 10), is_empty(), "their pool has yet to report them empty");
    expect_that!(worked_on_in_a(&fleet), eq(&["a0", "a1", "a2"]));
    let emptied = ["a0", "a1", "a2"].map(|vm| (vm.to_owned(), format!("{vm}-1"))).to_vec();
    let report = PoolReport { emptied, ..busy_report(0, 10_000, &[]) };
    fleet.set_report(&"desk".into(), report, keep_ms + 20);
    let mut ordered = vms_of(&fleet.plan(keep_ms + 30)).join(" ");
    expect_that!(ordered, eq("a0 a1 a2"));

    let mut vms = Vec::new();
    for i in 0..3 {
        vms.push(fleet_vm(&format!("a{i}"), "off", "a"));
        vms.push(fleet_vm(&format!("b{i}"), "desk", "b"));
    }
    let mut fleet = Fleet::new(FleetRecord::default(), HoldOff::default());
    fleet.set_pools(["desk".into()].into(), Some("off".into()));
    fleet.set_vms(vms, 0);
    fleet.set_halls(evacuated(&["a"]));
    fleet.set_report(&"desk".into(), busy_report(0, 80_000, &[]), 10);
    expect_that!(fleet.plan(20), is_empty(), "the hall is still evacuated");
    fleet.set_halls(evacuated(&[]));
    ordered = vms_of(&fleet.plan(30)).join(" ");
    expect_that!(ordered, starts_with("a"));
}

#[gtest]
fn idle_vms_of_an_evacuated_hall_stay_if_their_pool_needs_them_or_the_switch_is_off() {
    let late = Policy::default().moves.keep_ms + 1_000;
    let mut fleet = switching_off();
    fleet.set_report(&"desk".into(), report_with_idle_in_a(500_000), 10);
    fleet.plan(20);
    fleet.plan(late);
    expect_that!(worked_on_in_a(&fleet), is_empty(), "the pool is short of VMs");

    let mut fleet = pool_in_two_halls();
    fleet.set_halls(evacuated(&["a"]));
    fleet.set_report(&"desk".into(), report_with_idle_in_a(10_000), 10);
    fleet.plan(20);
    fleet.plan(late);
    expect_that!(worked_on_in_a(&fleet), is_empty(), "off in the settings");
}
