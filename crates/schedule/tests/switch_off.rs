//! When VMs are switched off, and what happens to them if a pool becomes short of VMs meanwhile.

mod fleet_common;

use std::collections::BTreeMap;

use fleet_common::vm;
use googletest::prelude::*;
use thistle_schedule::Ms;
use thistle_schedule::fleet::{Fleet, FleetRecord, HoldOff, PoolReport, Purpose, VmState};
use thistle_schedule::policy::{MovePolicy, Policy};

/// Returns a fleet with six VMs in each of two pools and one that is switched off.
fn fleet(moves: MovePolicy) -> Fleet {
    let policy = Policy { moves, ..Policy::default() };
    let mut fleet = Fleet::with_policy(FleetRecord::default(), HoldOff::default(), policy);
    fleet.set_pools(["desk".into(), "hub".into()].into(), Some("off".into()));
    let six =
        |pool: &'static str| (0..6).map(move |i| vm(&format!("{pool}{i}"), pool, 1, VmState::Up));
    let off = vm("o", "off", 1, VmState::Up);
    fleet.set_vms(six("desk").chain(six("hub")).chain([off]).collect(), 0);
    fleet
}

/// Reports that a pool of six VMs needs `needed` of them and that `idle` have no work.
fn report(fleet: &mut Fleet, pool: &str, needed: u64, idle: usize, now: Ms) {
    let soon_cpu = needed * 16_000 * 80 / 100;
    let idle = (0..idle).map(|i| format!("{pool}{i}")).collect();
    let report = PoolReport { soon_cpu, cpu: 96_000, vms: 6, idle, ..PoolReport::default() };
    fleet.set_report(&pool.into(), report, now);
}

/// Plans, and returns the number of VMs that are on their way to each pool.
fn plan(fleet: &mut Fleet, now: Ms) -> BTreeMap<String, usize> {
    fleet.plan(now);
    let mut moving = BTreeMap::new();
    for work in &fleet.record().work {
        let Purpose::Move { to } = &work.purpose else { continue };
        *moving.entry(to.clone()).or_default() += 1;
    }
    moving
}

fn moving<const N: usize>(counts: [(&str, usize); N]) -> BTreeMap<String, usize> {
    counts.map(|(pool, n)| (pool.to_owned(), n)).into()
}

/// Returns a fleet in which two idle VMs of `desk` are being emptied to be switched off, at 2,600 ms.
fn switching_off(keep_while_short: bool) -> Fleet {
    let mut fleet = fleet(MovePolicy { keep_while_short, ..MovePolicy::default() });
    report(&mut fleet, "desk", 0, 6, 0);
    report(&mut fleet, "hub", 6, 0, 0);
    expect_that!(plan(&mut fleet, 2_600), eq(&moving([("off", 2)])));
    fleet
}

/// Guards against a burst that begins while VMs are being emptied to be switched off: they left for 1.5 s, came back with another
/// move, and the pool that was short of VMs waited for them twice as long.
#[gtest]
fn vms_that_are_being_emptied_to_be_switched_off_go_to_the_pool_that_becomes_short() {
    for (keep_while_short, expected) in
        [(false, moving([("hub", 1), ("off", 2)])), (true, moving([("hub", 3)]))]
    {
        let mut fleet = switching_off(keep_while_short);
        report(&mut fleet, "hub", 9, 0, 2_700);
        expect_that!(plan(&mut fleet, 2_700), eq(&expected));
    }
}

/// Guards against a pool that waits for the end of tasks on its own cordoned VMs while it is short of VMs.
#[gtest]
fn vms_that_are_being_emptied_to_be_switched_off_go_back_to_their_own_pool_if_it_becomes_short() {
    let mut fleet = switching_off(true);
    report(&mut fleet, "desk", 6, 0, 2_700);
    expect_that!(plan(&mut fleet, 2_700), eq(&moving([])));
    let mut fleet = switching_off(false);
    report(&mut fleet, "desk", 6, 0, 2_700);
    expect_that!(plan(&mut fleet, 2_700), eq(&moving([("desk", 1), ("off", 2)])));
}

/// Guards against VMs that are switched off by the mean need of their pool while another pool waits for VMs.
#[gtest]
fn no_vm_is_switched_off_while_a_pool_is_short() {
    for (keep_while_short, expected) in
        [(false, moving([("hub", 1), ("off", 1)])), (true, moving([("hub", 1)]))]
    {
        let mut fleet = fleet(MovePolicy { keep_while_short, ..MovePolicy::default() });
        report(&mut fleet, "desk", 0, 2, 0);
        report(&mut fleet, "hub", 6, 0, 0);
        report(&mut fleet, "desk", 6, 2, 2_600);
        report(&mut fleet, "hub", 9, 0, 2_600);
        expect_that!(plan(&mut fleet, 2_600), eq(&expected));
    }
}

/// Guards against idle VMs that stay with a pool whose burst is over, as the margin above its need, while another pool waits.
#[gtest]
fn idle_vms_are_given_up_without_a_margin_while_a_pool_is_short() {
    for (keep_while_short, expected) in [(false, 1), (true, 2)] {
        let mut fleet = fleet(MovePolicy { keep_while_short, ..MovePolicy::default() });
        report(&mut fleet, "desk", 5, 1, 0);
        report(&mut fleet, "hub", 8, 0, 0);
        expect_that!(plan(&mut fleet, 100), eq(&moving([("hub", expected)])));
    }
}

/// Guards against a burst that gets half of the fleet, and the rest of its VMs only when the first ones have arrived, although
/// the VMs that have left their pools hold up no work any more.
#[gtest]
fn vms_that_have_left_their_pools_do_not_count_towards_the_limit_of_moves() {
    for (limit_emptying, expected) in [(false, 1), (true, 2)] {
        let policy = MovePolicy { limit_emptying, at_once_percent: 10, ..MovePolicy::default() };
        let mut fleet = fleet(policy);
        report(&mut fleet, "desk", 0, 6, 0);
        report(&mut fleet, "hub", 9, 0, 0);
        expect_that!(plan(&mut fleet, 100), eq(&moving([("hub", 1)])), "the switched-off one");
        expect_that!(plan(&mut fleet, 200), eq(&moving([("hub", expected)])));
        expect_that!(plan(&mut fleet, 300), eq(&moving([("hub", expected)])), "one is emptied");
    }
}

/// Guards against idle VMs that are switched off between two bursts, and against others that stay idle beyond the time after which
/// keeping them costs more than to switch them off and on.
#[gtest]
fn as_many_vms_stay_up_as_the_fleet_has_used_within_the_time_that_two_moves_cost() {
    let mut fleet = fleet(MovePolicy { move_cost_ms: 1_000, ..MovePolicy::default() });
    report(&mut fleet, "desk", 6, 0, 0);
    report(&mut fleet, "hub", 0, 6, 0);
    expect_that!(plan(&mut fleet, 0), eq(&moving([])));
    expect_that!(plan(&mut fleet, 1_900), eq(&moving([])), "not known for long enough");
    expect_that!(plan(&mut fleet, 2_000), eq(&moving([("off", 2)])), "six used, the floor of four");
    report(&mut fleet, "desk", 0, 6, 2_100);
    expect_that!(plan(&mut fleet, 2_100), eq(&moving([("off", 2)])));
    expect_that!(plan(&mut fleet, 4_000), eq(&moving([("off", 2)])), "ten used until 2,000");
    expect_that!(plan(&mut fleet, 4_100), eq(&moving([("off", 4)])), "the floors of both pools");
}
