//! A start whose outcome is not known.
//!
//! Guards against a task that is started twice. The first copy of its start has no answer and is still in flight, as calls
//! without an answer may be carried out seconds later. The second copy is rejected for lack of room, so the owner only knows
//! that the run may start. If the task is started elsewhere when the VM's next report does not list the run, the first copy
//! starts the task a second time. Only a stop bars a run whose start has not arrived.

mod common;

use common::{JOB, at, job, pool_with_vms, report, starts, step, stops};
use googletest::prelude::*;
use thistle_schedule::pool::StartResult;

#[gtest]
fn a_task_whose_start_may_still_arrive_waits_until_its_run_is_barred() {
    let mut pool = pool_with_vms(&["a", "b"]);
    pool.submit(JOB, job(vec![step(1, 1_000)]), at(0));
    let first = starts(&pool.plan(at(10))).pop().expect("there is room");
    pool.apply_start_result(&first.vm, first.run, StartResult::Unclear, at(200));
    let mut orders = pool.plan(at(210));
    // Two reports, both requested after the result of the start, and neither lists the run.
    for requested_at in [300, 800] {
        pool.apply_report(&first.vm, &report(requested_at, vec![], vec![]), at(requested_at + 10));
        orders.extend(pool.plan(at(requested_at + 20)));
    }
    expect_that!(starts(&orders).len(), eq(0), "the first copy may be in flight");
    expect_that!(stops(&orders), contains(eq(&first.run)), "only a stop bars it");
    // A run that is barred and that the VM does not list cannot start any more.
    pool.record_stop_answer(&first.vm, first.run, at(900));
    pool.apply_report(&first.vm, &report(1_000, vec![], vec![]), at(1_010));
    expect_that!(starts(&pool.plan(at(1_020))).len(), eq(1));
}
