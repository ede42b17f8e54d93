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
fn expect_bounds_met(name: &str) {
    let (trace, report) = run(name, Policy::ENTRY);
    expect_that!(report.unmet(&trace.setup.outcome), is_empty(), "{name}");
}

#[gtest]
fn lunch_rush_meets_its_bounds() {
    expect_bounds_met("lunch-rush");
}

#[gtest]
fn pharmacy_requests_never_run_twice() {
    expect_bounds_met("pharmacy-run");
}

#[gtest]
fn route_plans_survive_a_rack() {
    expect_bounds_met("route-plans");
}

#[gtest]
fn delivery_photos_survive_a_failing_worker() {
    expect_bounds_met("delivery-photos");
}

#[gtest]
fn refused_crew_assignments_have_not_run() {
    expect_bounds_met("lost-crew");
}

#[gtest]
fn bookings_never_run_twice() {
    expect_bounds_met("doubled-booking");
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
    let (_, a) = run("doubled-booking", Policy::ENTRY);
    let (_, b) = run("doubled-booking", Policy::ENTRY);
    expect_that!(format!("{a:?}"), eq(&format!("{b:?}")));
}
