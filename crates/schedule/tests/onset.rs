//! How soon VMs reach the pool whose burst begins, and what that costs in VM-seconds and moves.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and times of a replay are far below 2^32"
)]

mod common;
mod onset_world;

use googletest::prelude::*;
use onset_world::{Arrival, Kind, Load, Outcome, POOLS, Replay};
use thistle_schedule::Ms;
use thistle_schedule::policy::{MovePolicy, Policy};

/// Four pools that burst in turn, on 350 VMs of which 56 are switched off.
fn load(burst: f64, bursts: usize, seed: u64) -> Load {
    let small = |jobs_per_s| Kind { jobs_per_s, steps: 1.6, task_ms: 800, cpu: 1_400 };
    let large = |jobs_per_s| Kind { jobs_per_s, steps: 2.0, task_ms: 1_700, cpu: 3_000 };
    let kinds = [small(24.8), large(4.9), small(31.0), large(6.0)];
    Load { kinds, burst, together: 1, vms: 350, off: 56, bursts, seed }
}

fn percentile(mut times: Vec<Ms>, percent: usize) -> Option<Ms> {
    times.sort_unstable();
    let i = (times.len() * percent).div_ceil(100).checked_sub(1)?;
    times.get(i).copied()
}

/// Returns the value earned of that due: a late job earns a fourteenth.
fn value([all, in_time, late]: [usize; 3]) -> f64 {
    (in_time as f64 + late as f64 / 14.0) / all.max(1) as f64
}

fn print_table(name: &str, outcome: &Outcome) {
    println!(
        "{name}: vm_s={} moves={} off={} off_while_short={} worth={:.3} of_kinds={:.3?} of_large={:.3}",
        outcome.vm_ms / 1_000,
        outcome.moves,
        outcome.switched_off,
        outcome.switched_off_while_short,
        outcome.jobs.iter().map(|&jobs| value(jobs)).sum::<f64>() / POOLS as f64,
        outcome.jobs.map(value),
        value(outcome.large),
    );
    println!("  jobs [all, in time, late of use] {:?}", outcome.jobs);
    let row = |what: &str, times: Vec<Option<Ms>>| {
        let seen: Vec<Ms> = times.iter().filter_map(|t| *t).collect();
        let (p50, p90) = (percentile(seen.clone(), 50), percentile(seen, 90));
        println!("  {what:18} n={:4} p50={p50:?} p90={p90:?}", times.iter().flatten().count());
    };
    let bursts = &outcome.bursts;
    row("half known", bursts.iter().map(|b| b.known[0]).collect());
    row("9/10 known", bursts.iter().map(|b| b.known[1]).collect());
    let arrivals = |of: fn(&Arrival) -> Option<Ms>| outcome.arrivals.iter().map(of).collect();
    row("ordered", arrivals(|a| a.ordered));
    row("answered", arrivals(|a| a.up));
    row("listed", arrivals(|a| a.listed));
    row("first start", arrivals(|a| a.first_start));
    row("half at work", bursts.iter().map(|b| b.at_work[0]).collect());
    row("9/10 at work", bursts.iter().map(|b| b.at_work[1]).collect());
}

/// Guards against a burst whose pool is not given the VMs that the others leave idle. The load moves on every five seconds,
/// and a move takes 1.5 s.
#[gtest]
fn a_burst_gets_the_vms_that_other_pools_leave_idle() {
    let outcome = Replay::new(load(5.0, 4, 1), Policy::default()).run();
    print_table("default", &outcome);
    let half_at_work = outcome.bursts.iter().filter(|burst| burst.at_work[0].is_some());
    expect_that!(half_at_work.count(), eq(4));
    expect_that!(outcome.jobs.map(value), each(ge(0.5)));
}

/// Guards against VMs that are switched off while a pool in a burst waits for VMs.
#[gtest]
fn hardly_any_vm_is_switched_off_while_a_pool_is_short() {
    let before = Replay::new(load(5.0, 4, 2), Policy::default()).run();
    let moves =
        MovePolicy { keep_while_short: true, limit_emptying: true, ..MovePolicy::default() };
    let after = Replay::new(load(5.0, 4, 2), Policy { moves, ..Policy::default() }).run();
    print_table("keep_while_short, limit_emptying", &after);
    expect_that!(after.switched_off_while_short * 2, lt(before.switched_off_while_short));
    expect_that!(after.jobs.map(value), each(ge(0.5)));
}
