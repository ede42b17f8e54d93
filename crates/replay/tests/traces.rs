//! Replays the recorded traces and checks the bounds that they state.

use std::path::Path;

use googletest::prelude::*;
use thistle_replay::{Policy, Report, Trace, replay};

fn run(name: &str, policy: Policy) -> (Trace, Report) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let trace = Trace::read(&dir, name).unwrap();
    let report = replay(&trace, policy);
    (trace, report)
}

#[track_caller]
fn expect_stated(name: &str) {
    let (trace, report) = run(name, Policy::OURS);
    expect_that!(report.unmet(&trace.setup.outcome), is_empty(), "{name}");
}

#[gtest]
fn lunch_rush_is_served_as_stated() {
    expect_stated("lunch-rush");
}

#[gtest]
fn pharmacy_run_is_never_run_twice() {
    expect_stated("pharmacy-run");
}

#[gtest]
fn route_plans_survive_a_rack() {
    expect_stated("route-plans");
}

#[gtest]
fn delivery_photos_survive_a_failing_worker() {
    expect_stated("delivery-photos");
}

#[gtest]
fn crew_assignments_are_refused_honestly() {
    expect_stated("lost-crew");
}

#[gtest]
fn bookings_are_never_doubled() {
    expect_stated("doubled-booking");
}

/// Checks that the bounds of the lunch rush are strict enough for the simplest policy to fail them.
#[gtest]
fn simplest_policy_fails_the_lunch_rush() {
    let (trace, report) = run("lunch-rush", Policy::BASELINE);
    expect_that!(report.unmet(&trace.setup.outcome), not(is_empty()));
    expect_that!(report.peak, gt(8));
}

#[gtest]
fn same_trace_gives_the_same_report() {
    let (_, a) = run("doubled-booking", Policy::OURS);
    let (_, b) = run("doubled-booking", Policy::OURS);
    expect_that!(format!("{a:?}"), eq(&format!("{b:?}")));
}
