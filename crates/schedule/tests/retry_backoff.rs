//! What is tried again without an end has a pause that grows.
//!
//! Tasks that crash their VMs were started again without end, as nothing bounded the retries. Looked for elsewhere: a
//! lasting task that failed right after each start was started again at once, for as long as its job was open, each
//! time with a record, a call and a price; and an order to the machine service that it turned down was given again
//! every 0.4 s for as long as the VM stayed as it was.

mod common;
mod fleet_common;

use std::sync::Arc;

use common::{JOB, at, end_run, job, lasting, plan_and_start, pool_with, report, row, step};
use fleet_common::{emptied, fleet};
use googletest::prelude::*;
use thistle_schedule::fleet::OrderOutcome;
use thistle_schedule::job_log::{encode, submit_key};
use thistle_schedule::{EndKind, JobLog, JobSpec, Repeats, Step};

#[gtest]
fn a_lasting_task_that_fails_at_once_is_started_after_pauses_that_grow() {
    let mut pool = pool_with(&["a", "b", "c"]);
    pool.submit(JOB, job(vec![lasting(1, 1)]), at(0));
    let mut starts = Vec::new();
    for now in (10..20_000).step_by(100) {
        for start in plan_and_start(&mut pool, now) {
            starts.push(now);
            end_run(&mut pool, &start, EndKind::Failed, now + 50);
        }
    }
    expect_that!(starts.len(), le(15), "{starts:?}");
    // A task that may start and does not for 3 s counts as lost.
    let pauses = starts.windows(2).map(|two| two[1] - two[0]);
    expect_that!(pauses.max(), some(le(2_200)), "{starts:?}");
    // One that has worked for a while begins anew.
    let start = plan_and_start(&mut pool, 22_000).pop().expect("its pause is over");
    pool.apply_report(&start.vm, &report(26_000, vec![row(start.run, 100)], vec![]), at(26_000));
    end_run(&mut pool, &start, EndKind::Failed, 26_100);
    expect_that!(plan_and_start(&mut pool, 26_200).len(), eq(1));
}

#[gtest]
fn an_order_that_is_turned_down_is_given_again_after_pauses_that_grow() {
    let mut fleet = fleet(&["a"], 1);
    fleet.plan(0);
    fleet.set_report(&"desk".into(), emptied(&["a"]), 10);
    let mut orders = Vec::new();
    for now in (20..20_000).step_by(100) {
        for order in fleet.plan(now) {
            orders.push(now);
            fleet.record_order_result(&order.vm, OrderOutcome::NotDone, now + 10);
        }
    }
    expect_that!(orders.len(), le(15), "{orders:?}");
    let pauses = orders.windows(2).map(|two| two[1] - two[0]);
    expect_that!(pauses.max(), some(le(2_000)), "a wave has a time to keep: {orders:?}");
}

/// A job that is due a thousand million times at once was unfolded whole, by each owner in turn: it took all of a node's
/// memory, and the pool went to the next node with it.
#[gtest]
fn a_job_that_is_due_very_often_at_once_takes_a_bounded_part_of_memory() {
    let repeats = Some(Repeats { count: 20_000, start_at_ms: 0, interval_ms: 1 });
    let spec = Arc::new(JobSpec { repeats, ..job(vec![step(2, 500)]).as_ref().clone() });
    let mut pool = pool_with(&["a"]);
    pool.submit(JOB, spec, at(0));
    let mut started = plan_and_start(&mut pool, 10);
    let waiting = pool.load(at(10)).waiting;
    assert!(waiting <= 200, "{waiting} tasks wait");
    expect_that!(pool.next_due(at(10)), none(), "what is due waits for what is open");
    // As some end, the next ones begin.
    let mut seen = std::collections::BTreeSet::new();
    for now in (1..200).map(|i| i * 100) {
        for start in std::mem::take(&mut started) {
            seen.insert(start.run.task.time);
            end_run(&mut pool, &start, EndKind::Done, now);
        }
        started = plan_and_start(&mut pool, now + 10);
    }
    expect_that!(seen.len(), gt(300));
}

/// A record of a job whose steps name each other wrongly made whoever folded it fail, one owner after the other.
#[gtest]
fn a_record_of_a_job_that_cannot_be_is_passed_over() {
    let wrong = Step { depends_on: vec![7], ..step(1, 500) };
    let mut log = JobLog::default();
    let record = encode(job(vec![wrong]).as_ref());
    expect_that!(log.apply(&submit_key(JOB), Some(&record)).is_err(), eq(true));
    expect_that!(log.get(JOB).and_then(|entry| entry.spec.clone()), none());
}
