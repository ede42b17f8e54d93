//! How old reads may be as tasks start.

mod common;

use common::{JOB, at, job, pool_with_vms, starts, step};
use googletest::prelude::*;
use thistle_schedule::freshness::{are_current, is_current};

const WITHIN: u64 = 3_000;

/// Guards against a start that arrives after a record which its sender has not read had to be in force.
#[gtest]
fn a_read_is_too_old_once_a_start_could_arrive_too_late() {
    expect_that!(is_current(None, WITHIN, 0), eq(false));
    expect_that!(is_current(Some(500), WITHIN, 2_499), eq(true));
    expect_that!(is_current(Some(500), WITHIN, 2_500), eq(false));
}

/// Guards against starts by the reads of one partition only.
#[gtest]
fn each_partition_has_to_be_read() {
    expect_that!(are_current(&[Some(900), Some(800)], WITHIN, 1_000), eq(true));
    expect_that!(are_current(&[Some(900), None], WITHIN, 1_000), eq(false));
    expect_that!(are_current(&[Some(100), Some(2_900)], WITHIN, 3_000), eq(false));
}

/// Guards against jobs that count as started while their starts wait for the owner's reads.
#[gtest]
fn nothing_is_placed_while_cancellations_are_unknown() {
    let mut pool = pool_with_vms(&["a"]);
    pool.submit(JOB, job(vec![step(1, 500)]), at(0));
    pool.set_cancels_known(false);
    expect_that!(starts(&pool.plan(at(10))), is_empty());
    pool.set_cancels_known(true);
    expect_that!(starts(&pool.plan(at(20))).len(), eq(1));
}
