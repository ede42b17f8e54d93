//! The room of a VM that shrinks and grows while the VM runs.
//!
//! The room that a VM reports applies from a few seconds after it changed. If a start that was decided before and that the VM
//! has not answered is resent for up to the length of a lease, it may exceed the room that the VM has when it arrives. A VM
//! that rejects a start for lack of room must not receive the order again every half second.

mod common;

use common::{JOB, at, job, plan_and_start, pool_with_vms, report, row, starts, step, stops, vm};
use googletest::prelude::*;
use std::sync::Arc;
use thistle_schedule::pool::StartResult;
use thistle_schedule::{JobId, Pool, Room, VmFacts, VmReport};

fn with_room(cpu: u32) -> Arc<VmFacts> {
    let room = Room { cpu, mem_mb: 10_000, gpu: 0 };
    Arc::new(VmFacts { room, ..vm("a", 1).as_ref().clone() })
}

/// Returns a pool of one VM of four cores and a job of four tasks of one core each.
fn full_pool() -> Pool {
    let mut pool = pool_with_vms(&["a"]);
    pool.submit(JOB, job(vec![step(4, 1_000)]), at(0));
    pool
}

#[gtest]
fn starts_that_a_shrunk_vm_has_not_answered_are_cancelled() {
    let mut pool = full_pool();
    let started = starts(&pool.plan(at(10)));
    pool.take_records();
    // One start has arrived; the outcome of the others is not known.
    pool.apply_start_result(&started[0].vm, started[0].run, StartResult::Started, at(20));
    pool.list_vm(with_room(2_000));
    let cancelled = stops(&pool.plan(at(30)));
    expect_that!(cancelled, len(eq(2)), "two of four cores are left, and one is in use for sure");
    expect_that!(cancelled.contains(&started[0].run), eq(false));
    // The other starts count until it is certain that they have not arrived.
    expect_that!(starts(&pool.plan(at(40))), is_empty());
}

#[gtest]
fn a_shrunk_vm_gets_no_task_until_it_has_room_and_then_at_once() {
    let mut pool = full_pool();
    let started = plan_and_start(&mut pool, 10);
    pool.list_vm(with_room(1_300));
    let other = JobId(9);
    pool.submit(other, job(vec![step(1, 1_000)]), at(20));
    expect_that!(pool.plan(at(30)), is_empty(), "running tasks continue, and nothing starts");
    // Three of four are done: one runs, and one core of 1.3 is in use.
    let rows = vec![row(started[3].run, 50)];
    let done = started[..3].iter().zip(1..);
    let ended = done.map(|(s, n)| common::end(n, s.run, thistle_schedule::EndKind::Done)).collect();
    pool.apply_report(&started[0].vm, &report(40, rows, ended), at(41));
    expect_that!(pool.plan(at(50)), is_empty());
    pool.list_vm(with_room(4_000));
    expect_that!(starts(&pool.plan(at(60))), len(eq(1)));
}

#[gtest]
fn a_new_owner_uses_the_current_room() {
    let mut before = full_pool();
    let started = starts(&before.plan(at(10)));
    let (_, progress) = before.take_records().pop().expect("the record is written");
    let spec = Some(job(vec![step(4, 1_000)]));
    let entry = thistle_schedule::job_log::JobEntry { spec, progress, ..Default::default() };
    let mut after = Pool::new();
    after.adopt(JOB, &entry, at(100));
    after.submit(JobId(9), job(vec![step(1, 1_000)]), at(100));
    after.list_vm(with_room(2_000));
    let rows = started[..2].iter().map(|s| row(s.run, 10)).collect();
    after.apply_report(&started[0].vm, &report(110, rows, vec![]), at(111));
    expect_that!(starts(&after.plan(at(120))), is_empty(), "two cores run there");
}
#[gtest]
fn a_vm_that_rejects_starts_is_retried_after_growing_pauses() {
    let mut pool = pool_with_vms(&["a"]);
    pool.submit(JOB, job(vec![step(1, 1_000)]), at(0));
    let mut attempts = 0;
    for now in (0..8_000).step_by(100) {
        for start in starts(&pool.plan(at(now))) {
            attempts += 1;
            pool.apply_start_result(&start.vm, start.run, StartResult::NoRoom, at(now));
        }
        pool.apply_report(&vm("a", 1).id, &VmReport::default(), at(now));
    }
    expect_that!(attempts, le(5), "every half second would be 16 times");
    // A change of the room that the VM reports applies at once.
    pool.list_vm(with_room(5_000));
    expect_that!(starts(&pool.plan(at(8_010))), len(eq(1)));
}
