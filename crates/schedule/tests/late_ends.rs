//! Ends `done` of runs that were abandoned.
//!
//! Guards against a task that runs a second time after it was done. Its VM is unresponsive until the lease is over, so the run
//! is abandoned and the task waits for room. The VM then answers again and lists the run as done before its lease was over. If
//! this end is acknowledged and otherwise ignored, the task is started again.

mod common;

use common::{
    JOB, at, end, job, only_start, plan_and_start, pool_with_vms, report, starts, step, vm,
};
use googletest::prelude::*;
use thistle_schedule::pool::StartOrder;
use thistle_schedule::{EndKind, Phase, Pool, Step, VmLoss};

/// Returns a pool whose only VM was lost with the one task of a job, and the start of that task.
fn pool_after_loss(step: Step) -> (Pool, StartOrder) {
    let mut pool = pool_with_vms(&["a"]);
    pool.submit(JOB, job(vec![step]), at(0));
    let start = only_start(&plan_and_start(&mut pool, 10));
    pool.vm_lost(&start.vm, VmLoss::LeaseOver, at(7_000));
    expect_that!(starts(&pool.plan(at(7_010))), is_empty());
    pool.take_records();
    (pool, start)
}

fn phase(pool: &mut Pool) -> Option<Phase> {
    pool.take_records().into_iter().rfind(|(id, _)| *id == JOB).map(|(_, progress)| progress.phase)
}

#[gtest]
fn a_waiting_task_is_done_when_its_last_run_turns_out_to_be_done() {
    let (mut pool, start) = pool_after_loss(step(1, 500));
    let ended = vec![end(1, start.run, EndKind::Done)];
    pool.apply_report(&start.vm, &report(7_100, vec![], ended), at(7_110));
    expect_that!(starts(&pool.plan(at(7_120))), is_empty());
    expect_that!(phase(&mut pool), some(eq(Phase::Completed)));
}

#[gtest]
fn a_task_that_was_started_elsewhere_continues_there() {
    let (mut pool, start) = pool_after_loss(step(1, 500));
    let other = vm("b", 1);
    pool.list_vm(other.clone());
    pool.apply_report(&other.id, &report(7_020, vec![], vec![]), at(7_030));
    let again = only_start(&plan_and_start(&mut pool, 7_040));
    let ended = vec![end(1, start.run, EndKind::Done)];
    pool.apply_report(&start.vm, &report(7_100, vec![], ended), at(7_110));
    expect_that!(phase(&mut pool), not(some(eq(Phase::Completed))));
    let ended = vec![end(1, again.run, EndKind::Done)];
    pool.apply_report(&again.vm, &report(8_100, vec![], ended), at(8_110));
    expect_that!(phase(&mut pool), some(eq(Phase::Completed)));
}

#[gtest]
fn other_ends_and_ends_of_lasting_tasks_and_gangs_change_nothing() {
    for (kind, step) in [
        (EndKind::Lapsed, step(1, 500)),
        (EndKind::Done, Step { lasting: true, ..step(1, 500) }),
        (EndKind::Done, Step { gang: true, ..step(1, 500) }),
    ] {
        let (mut pool, start) = pool_after_loss(step);
        pool.apply_report(
            &start.vm,
            &report(7_100, vec![], vec![end(1, start.run, kind)]),
            at(7_110),
        );
        expect_that!(starts(&pool.plan(at(7_120))), len(eq(1)), "{kind:?}");
    }
}
