//! How the VMs are divided when pools need more than there are.

mod fleet_common;

use std::collections::BTreeMap;

use fleet_common::vm;
use googletest::prelude::*;
use thistle_schedule::fleet::{Fleet, FleetRecord, HoldOff, PoolReport, Purpose, VmState};
use thistle_schedule::policy::{MovePolicy, NeedPolicy, Policy};

/// Divides switched-off VMs of 16 cores among pools that need the given numbers of VMs, and returns the number that each gets.
fn divide(vms: usize, needed: [u64; 3], max_min: bool) -> BTreeMap<String, usize> {
    let moves = MovePolicy { max_min, at_once_percent: 100, ..MovePolicy::default() };
    let policy = Policy { moves, ..Policy::default() };
    let mut fleet = Fleet::with_policy(FleetRecord::default(), HoldOff::default(), policy);
    let pools = ["desk", "hub", "lab"];
    fleet.set_pools(pools.map(Into::into).into(), Some("off".into()));
    fleet.set_vms((0..vms).map(|i| vm(&format!("o{i}"), "off", 1, VmState::Up)).collect(), 0);
    for (pool, vms) in pools.into_iter().zip(needed) {
        let soon_cpu = vms * 16_000 * 80 / 100;
        fleet.set_report(&pool.into(), PoolReport { soon_cpu, ..PoolReport::default() }, 10);
    }
    let mut given = BTreeMap::new();
    for order in fleet.plan(20) {
        let Purpose::Move { to } = order.purpose else { continue };
        *given.entry(to).or_default() += 1;
    }
    given
}

fn given(desk: usize, hub: usize, lab: usize) -> BTreeMap<String, usize> {
    [("desk", desk), ("hub", hub), ("lab", lab)].map(|(pool, n)| (pool.to_owned(), n)).into()
}

/// Guards against a pool whose small need is not met because another pool's forecast exceeds the whole fleet: in proportion to
/// their needs, such a pool gets no more than its floor.
#[gtest]
fn a_small_need_is_met_however_much_another_pool_wants() {
    expect_that!(divide(60, [10, 4_000, 30], false), eq(&given(4, 51, 4)));
    expect_that!(divide(60, [10, 4_000, 30], true), eq(&given(10, 25, 25)));
    expect_that!(divide(59, [10, 4_000, 30], true), eq(&given(10, 25, 24)));
    expect_that!(divide(60, [10, 20, 30], true), eq(&given(10, 20, 30)));
    expect_that!(divide(60, [5, 6, 7], true), eq(&given(5, 6, 7)));
}

/// Guards against moves for work that is late before the VMs arrive. They cost as much as moves for work in time, and the VMs
/// come when the next pool needs them.
#[gtest]
fn late_work_gets_no_vms_from_other_pools_if_only_work_in_time_counts() {
    for (in_time_only, moves) in [(false, 3), (true, 0)] {
        let need = NeedPolicy { in_time_only, ..NeedPolicy::default() };
        let policy = Policy { need, ..Policy::default() };
        let mut fleet = Fleet::with_policy(FleetRecord::default(), HoldOff::default(), policy);
        fleet.set_pools(["desk".into()].into(), Some("off".into()));
        let desk = (0..6).map(|i| vm(&format!("d{i}"), "desk", 1, VmState::Up));
        let off = (0..6).map(|i| vm(&format!("o{i}"), "off", 1, VmState::Up));
        fleet.set_vms(desk.chain(off).collect(), 0);
        let late_cpu = 9 * 16_000 * 80 / 100;
        fleet.set_report(&"desk".into(), PoolReport { late_cpu, ..PoolReport::default() }, 10);
        expect_that!(fleet.plan(20), len(eq(moves)));
    }
}
