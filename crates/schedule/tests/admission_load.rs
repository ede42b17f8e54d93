//! Replays of bursts against a pool whose nodes refuse jobs by load, compared with an oracle that knows all arrivals.

mod admission_world;
mod common;

use admission_world::{BY_LOAD, OFF, Pattern, Replay, burst, oracle};
use googletest::prelude::*;

/// A job must not be refused if it could have been of use. Pools of all sizes get bursts of all heights, with and without VMs
/// that arrive later; a burst that loses nothing without admission must lose nothing with it.
#[gtest]
fn a_burst_that_can_be_served_loses_nothing() {
    let mut served = 0;
    for rate in [10, 15, 20, 30] {
        for (own, moved) in [(5, 0), (8, 0), (11, 0), (16, 0), (5, 6), (8, 8), (11, 20), (3, 25)] {
            let vms = vec![(own, 0), (moved, 5_500)];
            for long_every in [0, 4] {
                let run = |policy| {
                    let burst = burst(vms.clone(), own + moved, rate, policy);
                    Replay::new(Pattern { long_every, ..burst }).run()
                };
                let without = run(OFF);
                if without.useless > 0 {
                    continue;
                }
                served += 1;
                let with = run(BY_LOAD);
                let case = format!("{rate} jobs/s, {own} and {moved} VMs, long_every {long_every}");
                expect_that!(with, eq(&without), "{case}");
            }
        }
    }
    expect_that!(served, ge(25));
}

/// Accepted jobs that are never of use hold VMs and their callers. A burst of 3.7 times what the pool can do, with half of its
/// VMs gone, must be refused in part, without loss to jobs that can be in time: compared with the most that any order of all
/// jobs, known in advance, gets done in time.
#[gtest]
fn a_burst_with_half_of_the_vms_gone_is_served_like_by_the_oracle() {
    let pattern = |policy| burst(vec![(6, 0)], 6, 20, policy);
    let (without, with) = (Replay::new(pattern(OFF)).run(), Replay::new(pattern(BY_LOAD)).run());
    expect_that!(with.in_time * 10, ge(oracle(&pattern(OFF)) * 9));
    expect_that!(with.in_time, ge(without.in_time));
    expect_that!(with.in_time + with.late, ge(without.in_time + without.late));
}

/// The same with a burst of 7.5 times what the pool can do. At most one useful job in ten may be lost, and half of the useless
/// ones must be refused.
#[gtest]
fn a_burst_far_beyond_the_pool_is_refused_in_large_part() {
    let pattern = |policy| burst(vec![(6, 0)], 6, 40, policy);
    let (without, with) = (Replay::new(pattern(OFF)).run(), Replay::new(pattern(BY_LOAD)).run());
    expect_that!(with.in_time, ge(without.in_time));
    expect_that!((with.in_time + with.late) * 10, ge((without.in_time + without.late) * 9));
    expect_that!(with.useless * 10, le(without.useless * 6));
}

/// Two pools burst at once and share the VMs that are switched off, so that each may reach all of them but gets half.
#[gtest]
fn of_two_bursts_at_once_neither_loses_useful_jobs() {
    let pattern = |policy| burst(vec![(6, 0), (4, 5_500)], 14, 40, policy);
    let (without, with) = (Replay::new(pattern(OFF)).run(), Replay::new(pattern(BY_LOAD)).run());
    expect_that!(with.in_time, ge(without.in_time));
    expect_that!((with.in_time + with.late) * 10, ge((without.in_time + without.late) * 9));
}

/// Callers that ignore the retry time come back together a second after their refusal. Their returns must not displace jobs
/// that can be in time.
#[gtest]
fn callers_that_return_in_step_displace_no_job_in_time() {
    let pattern =
        |policy| Pattern { returns_after: Some(1_000), ..burst(vec![(6, 0)], 6, 40, policy) };
    let (without, with) = (Replay::new(pattern(OFF)).run(), Replay::new(pattern(BY_LOAD)).run());
    expect_that!(with.in_time, ge(without.in_time));
    expect_that!((with.in_time + with.late) * 10, ge((without.in_time + without.late) * 9));
}

/// Each of 37 nodes receives some three jobs a second and several outlooks. If each node accepted one job for each outlook with
/// any room, all of them would be accepted. A burst of 11.6 times what the pool can do must be refused in large part, and useful
/// jobs must not be lost.
#[gtest]
fn many_nodes_together_accept_no_more_than_there_is_time_for() {
    let pattern = |policy| Pattern { nodes: 37, ..burst(vec![(12, 0)], 12, 124, policy) };
    let (without, with) = (Replay::new(pattern(OFF)).run(), Replay::new(pattern(BY_LOAD)).run());
    expect_that!(with.in_time, ge(without.in_time));
    expect_that!(with.in_time + with.late, ge(without.in_time + without.late));
    expect_that!(with.useless * 2, le(without.useless));
}

/// A workspace that sends far beyond its share must not keep out one that keeps to its own: only jobs of the first may be refused.
#[gtest]
fn a_workspace_beyond_its_share_is_refused_first() {
    let pattern = |policy| Pattern { small_every: 13, ..burst(vec![(6, 0)], 6, 40, policy) };
    let (without, with) = (Replay::new(pattern(OFF)).run(), Replay::new(pattern(BY_LOAD)).run());
    expect_that!(with.refused, ge(30));
    expect_that!(with.small_refusals, eq(0));
    expect_that!(with.small_in_time, eq(without.small_in_time));
    expect_that!(with.in_time, ge(without.in_time));
    expect_that!((with.in_time + with.late) * 10, ge((without.in_time + without.late) * 9));
}
