//! A start of unknown outcome.
//!
//! A first copy of a start had no answer and was still under way, as calls without an answer may be done seconds later. The
//! second copy was refused for want of room, so that the owner only knew that the run might come. The VM's next list did not
//! hold it, the task was let go and started elsewhere, and then the first copy began it a second time. Only a stop bars a run
//! that has not come. From a random run, on VMs that guard their room:
//! `run 2 on i-b-1: ordered 4260, began 4270, Done at 4480, acknowledged 4510; run 1 on i-c-1: ordered 3450, began 4930`.

mod common;

use common::{JOB, at, job, pool_with, report, starts, step, stops};
use googletest::prelude::*;
use thistle_schedule::pool::StartResult;

#[gtest]
fn a_task_whose_start_may_still_come_waits_until_its_run_is_barred() {
    let mut pool = pool_with(&["a", "b"]);
    pool.submit(JOB, job(vec![step(1, 1_000)]), at(0));
    let first = starts(&pool.plan(at(10))).pop().expect("there is room");
    pool.apply_start_result(&first.vm, first.run, StartResult::Unclear, at(200));
    let mut orders = pool.plan(at(210));
    // Two lists, both asked for after the outcome was known, and neither holds the run.
    for requested_at in [300, 800] {
        pool.apply_report(&first.vm, &report(requested_at, vec![], vec![]), at(requested_at + 10));
        orders.extend(pool.plan(at(requested_at + 20)));
    }
    expect_that!(starts(&orders).len(), eq(0), "the first copy may be under way");
    expect_that!(stops(&orders), contains(eq(&first.run)), "only a stop bars it");
    // Once it is barred, what the VM does not list will not come any more.
    pool.record_stop_answer(&first.vm, first.run, at(900));
    pool.apply_report(&first.vm, &report(1_000, vec![], vec![]), at(1_010));
    expect_that!(starts(&pool.plan(at(1_020))).len(), eq(1));
}
