//! Emptying VMs for another pool that needs them urgently.

mod common;

use std::collections::HashSet;
use std::sync::Arc;

use common::{JOB, at, end, job, plan_and_start, pool_with_vms, report, row, starts, step, stops};
use googletest::prelude::*;
use thistle_schedule::pool::StartOrder;
use thistle_schedule::{EndKind, JobId, Pool, RunEnd, RunId, Step, VmLoss};

fn checkpointing_step(count: u32, cpu: u32) -> Step {
    Step { checkpointing: true, estimated_ms: 4_000, ..step(count, cpu) }
}

/// Starts one task on VM a, which is then to be emptied urgently. VM b has room.
fn urgent_drain(task_step: Step) -> (Pool, StartOrder) {
    let mut pool = pool_with_vms(&["a"]);
    pool.submit(JOB, job(vec![task_step]), at(0));
    let started = plan_and_start(&mut pool, 10).remove(0);
    let b = common::vm("b", 1);
    pool.list_vm(b.clone());
    pool.apply_report(&b.id, &report(0, vec![], vec![]), at(20));
    let names: HashSet<Arc<str>> = [Arc::from("a")].into();
    pool.set_cordoned(names.clone());
    pool.set_urgent(names);
    (pool, started)
}

#[gtest]
fn a_resumable_run_on_a_vm_that_another_pool_needs_is_stopped_and_resumed_elsewhere() {
    let (mut pool, started) = urgent_drain(checkpointing_step(1, 1_000));
    pool.apply_report(&started.vm, &report(500, vec![row(started.run, 10)], vec![]), at(510));
    expect_that!(stops(&pool.plan(at(520))), eq(&vec![started.run]));
    expect_that!(stops(&pool.plan(at(530))), is_empty(), "ordered once");
    let stopped = RunEnd { checkpoint: "half".into(), ..end(1, started.run, EndKind::Stopped) };
    pool.apply_report(&started.vm, &report(600, vec![], vec![stopped]), at(610));
    let again = starts(&pool.plan(at(620)));
    expect_that!(again, len(eq(1)));
    expect_that!(again[0].vm, eq(&common::vm("b", 1).id));
    expect_that!(again[0].checkpoint, eq("half"));
}

#[gtest]
fn a_run_that_is_nearly_done_or_would_lose_its_work_is_left_to_end() {
    let (mut pool, started) = urgent_drain(checkpointing_step(1, 1_000));
    pool.apply_report(&started.vm, &report(3_000, vec![row(started.run, 90)], vec![]), at(3_010));
    expect_that!(stops(&pool.plan(at(3_020))), is_empty(), "a tenth of 3.3 s is left");
    for task_step in [step(1, 1_000), Step { gang: true, ..checkpointing_step(1, 1_000) }] {
        let (mut pool, started) = urgent_drain(task_step);
        pool.apply_report(&started.vm, &report(100, vec![row(started.run, 1)], vec![]), at(110));
        expect_that!(stops(&pool.plan(at(120))), is_empty());
    }
}

#[gtest]
fn a_vm_that_is_emptied_for_maintenance_lets_its_tasks_end() {
    let (mut pool, started) = urgent_drain(checkpointing_step(1, 1_000));
    pool.set_urgent(HashSet::new());
    pool.apply_report(&started.vm, &report(100, vec![row(started.run, 1)], vec![]), at(110));
    expect_that!(stops(&pool.plan(at(120))), is_empty());
}

#[gtest]
fn vms_that_can_be_empty_soonest_are_offered_first() {
    let mut pool = pool_with_vms(&["a", "b"]);
    // The run on the fuller VM is nearly done, the other run has just started.
    pool.submit(JOB, job(vec![step(1, 4_000)]), at(0));
    let nearly_done = plan_and_start(&mut pool, 10).remove(0);
    pool.submit(JobId(2), job(vec![step(1, 1_000)]), at(0));
    let just_started = plan_and_start(&mut pool, 10).remove(0);
    pool.apply_report(
        &nearly_done.vm,
        &report(900, vec![row(nearly_done.run, 90)], vec![]),
        at(910),
    );
    pool.apply_report(
        &just_started.vm,
        &report(900, vec![row(just_started.run, 20)], vec![]),
        at(910),
    );
    let names =
        [nearly_done.vm, just_started.vm].map(|vm| vm.id().split('-').nth(1).map(Arc::from));
    expect_that!(
        pool.without_lasting_tasks(at(910)),
        eq(&names.into_iter().flatten().collect::<Vec<Arc<str>>>())
    );
}

#[gtest]
fn tasks_to_be_resumed_count_like_running_ones_in_their_pools_need() {
    let (mut pool, started) = urgent_drain(checkpointing_step(1, 1_000));
    let stopped = RunEnd { checkpoint: "half".into(), ..end(1, started.run, EndKind::Stopped) };
    pool.apply_report(&started.vm, &report(600, vec![], vec![stopped]), at(610));
    let load = pool.load(at(620));
    expect_that!((load.waiting_cpu, load.used_cpu), eq((0, 1_000)));
}

#[gtest]
fn lasting_tasks_leave_an_unlisted_vm_unless_the_list_may_be_incomplete() {
    let mut pool = pool_with_vms(&["a"]);
    pool.submit(JOB, job(vec![common::lasting_step(1, 1)]), at(0));
    let started = plan_and_start(&mut pool, 10).remove(0);
    let b = common::vm("b", 1);
    pool.list_vm(b.clone());
    pool.apply_report(&b.id, &report(0, vec![], vec![]), at(20));
    pool.apply_report(&started.vm, &report(20, vec![row(started.run, 100)], vec![]), at(30));
    pool.unlist_vm(&started.vm);
    pool.set_listing_is_complete(false);
    expect_that!(stops(&pool.plan(at(40))), is_empty());
    pool.set_listing_is_complete(true);
    expect_that!(stops(&pool.plan(at(50))), eq(&vec![started.run]));
}

/// Starts the two lasting tasks of a step, of which one may be absent, on VMs a and b. VMs c and d have room.
fn two_lasting_tasks() -> (Pool, Vec<StartOrder>) {
    let mut pool = pool_with_vms(&["a", "b"]);
    pool.submit(JOB, job(vec![common::lasting_step(2, 1)]), at(0));
    let started = plan_and_start(&mut pool, 10);
    common::report_all_running(&mut pool, &started, 100);
    for name in ["c", "d"] {
        pool.list_vm(common::vm(name, 1));
        pool.apply_report(&common::vm(name, 1).id, &report(0, vec![], vec![]), at(20));
    }
    (pool, started)
}

/// If a lasting task is moved off a healthy VM and then another task of its step off a draining VM, whose stop arrives
/// first, more tasks of the step are missing than allowed.
#[gtest]
fn a_lasting_task_on_a_draining_vm_is_moved_before_one_on_a_healthy_vm() {
    let (pool, started) = two_lasting_tasks();
    for draining in ["b", "a"] {
        let mut pool = pool.clone();
        let healthy = if draining == "a" { "b" } else { "a" };
        let facts = common::vm(draining, 1);
        pool.list_vm(thistle_schedule::VmFacts { draining: true, ..(*facts).clone() }.into());
        pool.set_cordoned([Arc::from(healthy)].into());
        let leaving = started.iter().find(|s| s.vm == facts.id).expect("a task runs on the VM").run;
        expect_that!(stops(&pool.plan(at(200))), eq(&vec![leaving]), "{draining} drains");
    }
}

/// Starts two lasting tasks of which one may be absent, has the first one's VM cordoned, and returns the order to stop that task.
fn move_of_one_of_two() -> (Pool, RunId, StartOrder) {
    let (mut pool, started) = two_lasting_tasks();
    pool.set_cordoned([Arc::from("a")].into());
    let on_a = |start: &&StartOrder| start.vm == common::vm("a", 1).id;
    let moved = started.iter().find(on_a).expect("a task runs on a").clone();
    let other = started.iter().find(|start| start.run != moved.run).expect("two tasks run").clone();
    assert_eq!(stops(&pool.plan(at(200))), vec![moved.run]);
    (pool, moved.run, other)
}

/// Guards against a stop that is lost, and is ordered again after another task of the step went away: both are then absent.
#[gtest]
fn a_lost_stop_of_a_move_is_not_repeated_once_another_task_is_absent() {
    let (mut pool, moved, other) = move_of_one_of_two();
    pool.vm_lost(&other.vm, VmLoss::LeaseOver, at(7_000));
    let a = common::vm("a", 1).id.clone();
    pool.apply_report(&a, &report(7_100, vec![row(moved, 100)], vec![]), at(7_110));
    expect_that!(stops(&pool.plan(at(7_120))), is_empty());
}

/// Guards against a stop that waits for its turn, and is sent after another task of the step went away.
#[gtest]
fn a_stop_of_a_move_is_withheld_while_another_task_is_absent() {
    let (mut pool, moved, other) = move_of_one_of_two();
    expect_that!(pool.withheld_moves(), is_empty());
    pool.vm_lost(&other.vm, VmLoss::LeaseOver, at(7_000));
    let a = common::vm("a", 1).id.clone();
    expect_that!(pool.withheld_moves(), eq(&vec![(a, moved)]));
    let again = plan_and_start(&mut pool, 7_010);
    common::report_all_running(&mut pool, &again, 8_000);
    expect_that!(pool.withheld_moves(), is_empty());
}
