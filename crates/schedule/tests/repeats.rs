//! What is tried again without an end has a pause that grows.
//!
//! Tasks that crash their VMs were started again without end, as nothing bounded the retries. Looked for elsewhere: a
//! lasting task that failed right after each start was started again at once, for as long as its job was open, each
//! time with a record, a call and a price; and an order to the machine service that it turned down was given again
//! every 0.4 s for as long as the VM stayed as it was.

mod common;
mod fleet_common;

use common::{JOB, at, end_run, job, lasting, plan_and_start, pool_with, report, row};
use fleet_common::{emptied, fleet};
use googletest::prelude::*;
use thistle_schedule::EndKind;
use thistle_schedule::fleet::OrderOutcome;

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
    pool.report(&start.vm, &report(26_000, vec![row(start.run, 100)], vec![]), at(26_000));
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
            fleet.order_result(&order.vm, OrderOutcome::NotDone, now + 10);
        }
    }
    expect_that!(orders.len(), le(15), "{orders:?}");
    let pauses = orders.windows(2).map(|two| two[1] - two[0]);
    expect_that!(pauses.max(), some(le(2_000)), "a wave has a time to keep: {orders:?}");
}
