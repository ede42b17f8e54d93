//! Retries without a limit are made with growing pauses.
//!
//! Guards against a lasting task that fails right after each start and is restarted at once for as long as its job is open,
//! each time at the cost of a record and a call, and against an order that the machine service rejects and that is repeated
//! every 0.4 s for as long as the VM does not change.

mod common;
mod fleet_common;

use std::sync::Arc;

use common::{
    JOB, at, end_run, job, lasting_step, plan_and_start, pool_with_vms, report, row, step,
};
use fleet_common::{emptied_report, fleet};
use googletest::prelude::*;
use thistle_schedule::fleet::OrderOutcome;
use thistle_schedule::job_log::{encode, submit_key};
use thistle_schedule::{EndKind, JobLog, JobSpec, Repeats, Step};

#[gtest]
fn a_lasting_task_that_fails_at_once_is_restarted_after_growing_pauses() {
    let mut pool = pool_with_vms(&["a", "b", "c"]);
    pool.submit(JOB, job(vec![lasting_step(1, 1)]), at(0));
    let mut starts = Vec::new();
    for now in (10..20_000).step_by(100) {
        for start in plan_and_start(&mut pool, now) {
            starts.push(now);
            end_run(&mut pool, &start, EndKind::Failed, now + 50);
        }
    }
    expect_that!(starts.len(), le(15), "{starts:?}");
    // A task that could start but does not for 3 s counts as lost.
    let pauses = starts.windows(2).map(|two| two[1] - two[0]);
    expect_that!(pauses.max(), some(le(2_200)), "{starts:?}");
    // A task that has worked for a while starts over with a short pause.
    let start = plan_and_start(&mut pool, 22_000).pop().expect("its pause is over");
    pool.apply_report(&start.vm, &report(26_000, vec![row(start.run, 100)], vec![]), at(26_000));
    end_run(&mut pool, &start, EndKind::Failed, 26_100);
    expect_that!(plan_and_start(&mut pool, 26_200).len(), eq(1));
}

#[gtest]
fn a_rejected_order_is_repeated_after_growing_pauses() {
    let mut fleet = fleet(&["a"], 1);
    fleet.plan(0);
    fleet.set_report(&"desk".into(), emptied_report(&["a"]), 10);
    let mut orders = Vec::new();
    for now in (20..20_000).step_by(100) {
        for order in fleet.plan(now) {
            orders.push(now);
            fleet.record_order_result(&order.vm, OrderOutcome::NotDone, now + 10);
        }
    }
    expect_that!(orders.len(), le(15), "{orders:?}");
    let pauses = orders.windows(2).map(|two| two[1] - two[0]);
    expect_that!(pauses.max(), some(le(2_000)), "a wave has a deadline: {orders:?}");
}

/// Guards against a job with a thousand million repetitions due at once that is expanded in full. It exhausts the memory of
/// the owner's node, and then that of each node that takes over the pool and the job.
#[gtest]
fn a_job_with_many_repetitions_due_at_once_uses_bounded_memory() {
    let repeats = Some(Repeats { count: 20_000, start_at_ms: 0, interval_ms: 1 });
    let spec = Arc::new(JobSpec { repeats, ..job(vec![step(2, 500)]).as_ref().clone() });
    let mut pool = pool_with_vms(&["a"]);
    pool.submit(JOB, spec, at(0));
    let mut started = plan_and_start(&mut pool, 10);
    let waiting = pool.load(at(10)).waiting;
    assert!(waiting <= 200, "{waiting} tasks wait");
    expect_that!(pool.next_due(at(10)), none(), "what is due waits for what is open");
    // As repetitions end, the next ones start.
    let mut seen = std::collections::BTreeSet::new();
    for now in (1..200).map(|i| i * 100) {
        for start in std::mem::take(&mut started) {
            seen.insert(start.run.task.repetition);
            end_run(&mut pool, &start, EndKind::Done, now);
        }
        started = plan_and_start(&mut pool, now + 10);
    }
    expect_that!(seen.len(), gt(300));
}

/// Guards against a record of a job whose steps depend on steps that do not exist, which makes one owner after the other fail.
#[gtest]
fn a_record_of_an_invalid_job_is_rejected() {
    let wrong = Step { depends_on: vec![7], ..step(1, 500) };
    let mut log = JobLog::default();
    let record = encode(job(vec![wrong]).as_ref());
    expect_that!(log.apply(&submit_key(JOB), Some(&record)).is_err(), eq(true));
    expect_that!(log.get(JOB).and_then(|entry| entry.spec.clone()), none());
}
