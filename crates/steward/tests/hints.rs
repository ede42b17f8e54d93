//! Tests of hints of leaving VMs.

use std::time::Duration;

use googletest::prelude::*;
use thistle_model::VmName;
use thistle_model::clock::Instant;
use thistle_steward::hints::Hints;

fn vm() -> VmName {
    VmName::new("vm-1").unwrap()
}

fn at(secs: u64) -> Instant {
    Instant::from_micros(0) + Duration::from_secs(secs)
}

#[gtest]
fn hint_expires_when_it_is_old_or_settled() {
    let mut hints = Hints::default();
    expect_that!(hints.add([vm()], at(0)), elements_are![eq(&vm())]);
    expect_that!(hints.add([vm()], at(1)), is_empty());
    hints.expire(at(60), |_| false);
    expect_that!(hints.all(), elements_are![eq(&vm())]);
    hints.expire(at(121), |_| false);
    expect_that!(hints.all(), is_empty());
    hints.add([vm()], at(200));
    hints.expire(at(201), |_| true);
    expect_that!(hints.all(), is_empty());
}

/// Without a refresh, a hint expires every two minutes during a long outage of the log, and the VM
/// gets new work until the VM list is polled again.
#[gtest]
fn hint_outlasts_an_outage_of_the_log() {
    let mut hints = Hints::default();
    hints.add([vm()], at(0));
    for now in (0..3_600).step_by(100) {
        hints.refresh_all(at(now));
        hints.expire(at(now), |_| false);
        expect_that!(hints.all(), elements_are![eq(&vm())]);
    }
    // The log is up again: the record that the VM leaves may take two minutes to arrive.
    hints.expire(at(3_600), |_| false);
    expect_that!(hints.all(), elements_are![eq(&vm())]);
}
