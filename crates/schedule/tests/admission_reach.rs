//! The capacity that a pool may still get.
//!
//! Guards against refusals of jobs that could have been served: they come about if VMs are left out that the pool can get in
//! time.

use std::collections::HashMap;
use std::sync::Arc;

use googletest::prelude::*;
use thistle_schedule::admission::FleetView;
use thistle_schedule::fleet::{FleetRecord, FleetVm, PoolReport, Purpose, Stage, VmState, VmWork};

fn vm(name: &str, pool: &str, state: VmState) -> FleetVm {
    let (hall, rack, incarnation) = ("h".into(), "r".into(), None);
    FleetVm { name: name.into(), pool: pool.into(), state, hall, rack, incarnation }
}

/// Returns the reports of a full pool and of one that uses a quarter of its VMs, all of sixteen cores.
fn reports() -> HashMap<Arc<str>, PoolReport> {
    let report = |vms: u32, soon_cpu| PoolReport {
        cpu: u64::from(vms) * 16_000,
        vms,
        soon_cpu,
        ..PoolReport::default()
    };
    HashMap::from([("full".into(), report(2, 90_000)), ("calm".into(), report(4, 16_000))])
}

#[gtest]
fn a_pool_may_reach_vms_of_every_kind_that_can_come() {
    let vms = [
        vm("a", "full", VmState::Up),
        vm("b", "full", VmState::Away),
        vm("c", "full", VmState::Down),
        vm("d", "off", VmState::Down),
        vm("e", "off", VmState::Up),
        vm("f", "calm", VmState::Away),
        vm("g", "calm", VmState::Up),
    ];
    let mut record = FleetRecord::default();
    let purpose = Purpose::Move { to: "full".to_owned() };
    record.work.insert(VmWork { vm: "f".to_owned(), purpose, stage: Stage::Emptying });
    let reports = reports();
    let view =
        FleetView { vms: &vms, reports: &reports, record: &record, switched_off: Some("off") };
    // Its own two VMs, both that are switched off and the one on its way, and what the other pool does not need.
    expect_that!(view.reachable_cpu("full"), some(eq(5 * 16_000 + 48_000)));
    // A pool whose demand is above its size has nothing to spare.
    expect_that!(view.reachable_cpu("calm"), some(eq(4 * 16_000)));
}

#[gtest]
fn nothing_is_known_without_reports() {
    let (record, reports) = (FleetRecord::default(), HashMap::new());
    let vms = [vm("a", "full", VmState::Up)];
    let view = FleetView { vms: &vms, reports: &reports, record: &record, switched_off: None };
    expect_that!(view.reachable_cpu("full"), none());
}
