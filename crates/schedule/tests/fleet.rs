//! Single decisions of the fleet: waves of maintenance and moves of VMs between pools.

mod fleet_common;

use fleet_common::{busy_report, emptied_report, fleet, two_pools, up_vms, vm, vms_of, wave};
use googletest::prelude::*;
use thistle_schedule::fleet::{
    Fleet, FleetOrder, FleetRecord, FleetVm, HoldOff, OrderOutcome, PoolReport, Purpose, VmState,
    WaveRequest,
};

#[gtest]
fn a_vm_is_ordered_down_only_when_its_pool_reports_it_empty() {
    let mut fleet = fleet(&["a", "b"], 2);
    expect_that!(fleet.plan(10), is_empty());
    expect_that!(
        fleet.record().cordoned().collect::<Vec<_>>(),
        unordered_elements_are![eq(&"a"), eq(&"b")]
    );
    fleet.set_report(&"desk".into(), emptied_report(&["a"]), 20);
    expect_that!(vms_of(&fleet.plan(30)), eq(&vec!["a"]));
    expect_that!(fleet.plan(40), is_empty());
}

#[gtest]
fn a_report_about_a_previous_incarnation_is_ignored() {
    let mut fleet = fleet(&["a"], 2);
    fleet.plan(10);
    fleet.set_vms(vec![vm("a", "desk", 2, VmState::Up)], 20);
    fleet.set_report(&"desk".into(), emptied_report(&["a"]), 30);
    expect_that!(fleet.plan(40), is_empty());
}

#[gtest]
fn a_report_from_before_a_vm_was_cordoned_is_ignored() {
    let mut fleet = fleet(&["a"], 2);
    fleet.set_report(&"desk".into(), emptied_report(&["a"]), 5);
    expect_that!(fleet.plan(10), is_empty());
    fleet.set_report(&"desk".into(), emptied_report(&["a"]), 15);
    expect_that!(vms_of(&fleet.plan(20)), eq(&vec!["a"]));
}

#[gtest]
fn no_more_vms_are_down_at_once_than_the_wave_allows() {
    let names = ["a", "b", "c"];
    let mut fleet = fleet(&names, 1);
    fleet.plan(10);
    fleet.set_report(&"desk".into(), emptied_report(&names), 15);
    let first = fleet.plan(20);
    expect_that!(first, len(eq(1)));
    // An order without an answer may take the VM down at any moment.
    fleet.record_order_result(&first[0].vm, OrderOutcome::Unknown, 30);
    fleet.set_report(&"desk".into(), emptied_report(&names), 35);
    expect_that!(vms_of(&fleet.plan(2_000)), eq(&vec![first[0].vm.as_str()]));
}

#[gtest]
fn maintenance_of_a_vm_is_complete_when_its_next_incarnation_is_up() {
    let mut fleet = fleet(&["a"], 1);
    fleet.plan(10);
    fleet.set_report(&"desk".into(), emptied_report(&["a"]), 20);
    fleet.plan(30);
    fleet.record_order_result("a", OrderOutcome::Done, 40);
    fleet.plan(50);
    expect_that!(fleet.to_complete(), is_empty());
    fleet.set_vms(vec![vm("a", "desk", 1, VmState::Away)], 60);
    fleet.plan(70);
    expect_that!(fleet.to_complete(), is_empty());
    fleet.set_vms(vec![vm("a", "desk", 2, VmState::Up)], 2_100);
    fleet.plan(2_110);
    expect_that!(fleet.to_complete(), eq(&vec![1]));
    expect_that!(fleet.record().cordoned().count(), eq(0));
    fleet.record_completed(1);
    expect_that!(fleet.to_complete(), is_empty());
}

/// A VM that was just added may be in a wave before it is in the list of VMs.
/// It must not count as gone, as the wave would then complete without it.
#[gtest]
fn a_vm_that_is_not_listed_yet_does_not_count_as_gone() {
    let mut fleet = fleet(&["new"], 1);
    fleet.plan(10);
    expect_that!(fleet.to_complete(), is_empty());
    // A list read after the wave was requested does not contain the VM either.
    fleet.set_vms(up_vms(&["a"]), 300);
    fleet.plan(310);
    expect_that!(fleet.to_complete(), is_empty());
    fleet.set_vms(up_vms(&["a", "new"]), 500);
    fleet.plan(510);
    expect_that!(fleet.record().cordoned().collect::<Vec<_>>(), eq(&vec!["new"]));
}

#[gtest]
fn a_vm_that_left_the_fleet_does_not_delay_its_wave() {
    let mut fleet = fleet(&["gone"], 1);
    for ms in [100, 2_000, 4_000] {
        fleet.set_vms(up_vms(&["a"]), ms);
        fleet.plan(ms);
    }
    expect_that!(fleet.to_complete(), eq(&vec![1]));
}

#[gtest]
fn a_pool_in_need_gets_switched_off_vms_first_and_then_idle_ones() {
    let mut fleet = two_pools();
    fleet.set_report(&"hub".into(), busy_report(0, 0, &["h0", "h1", "h2", "h3", "h4", "h5"]), 10);
    fleet.set_report(&"desk".into(), busy_report(30_000, 90_000, &[]), 10);
    let orders = fleet.plan(20);
    expect_that!(vms_of(&orders), eq(&vec!["o"]));
    let to = |o: &FleetOrder| o.purpose == Purpose::Move { to: "desk".to_owned() };
    expect_that!(orders.iter().all(to), eq(true));
    // The hub keeps its floor of four VMs and one more as a margin.
    let from_hub = fleet.record().cordoned().filter(|n| n.starts_with('h')).count();
    expect_that!(from_hub, eq(1));
}

/// When two pools both need more VMs than they have, the one with the larger need must get VMs of the other.
/// Otherwise a pool of four VMs may wait for 980 cores while another keeps 25 VMs.
#[gtest]
fn pools_that_need_more_vms_than_there_are_share_them_by_need() {
    let mut fleet = two_pools();
    let mut hub = busy_report(100_000, 60_000, &[]);
    hub.light = (0..6).map(|i| format!("h{i}")).collect();
    fleet.set_report(&"hub".into(), hub, 10);
    fleet.set_report(&"desk".into(), busy_report(2_000_000, 90_000, &[]), 10);
    fleet.plan(20);
    let from_hub = fleet.record().cordoned().filter(|n| n.starts_with('h')).count();
    expect_that!(from_hub, eq(1));
    expect_that!(fleet.record().cordoned().any(|n| n.starts_with('d')), eq(false));
}

#[gtest]
fn a_vm_that_no_pool_needs_is_switched_off_only_after_some_seconds() {
    let mut fleet = two_pools();
    let idle = ["h0", "h1", "h2", "h3", "h4", "h5"];
    fleet.set_report(&"hub".into(), busy_report(0, 0, &idle), 10);
    fleet.plan(20);
    expect_that!(fleet.record().cordoned().count(), eq(0));
    fleet.set_report(&"hub".into(), busy_report(0, 0, &idle), 5_000);
    fleet.plan(5_010);
    let off =
        |w: &&thistle_schedule::fleet::VmWork| w.purpose == Purpose::Move { to: "off".to_owned() };
    expect_that!(fleet.record().work.iter().filter(off).count(), eq(2));
}

/// The expected need follows from the last thirty arrivals and may change between 700 and 3,600 cores within half a second.
/// A pool that goes by the maximum of some seconds keeps about 100 of 350 VMs idle.
#[gtest]
fn short_peaks_of_need_keep_no_idle_vms() {
    let mut fleet = two_pools();
    for i in 0..8 {
        let need = if i % 2 == 0 { 76_000 } else { 0 };
        let report = PoolReport { soon_cpu: need, ..busy_report(0, 0, &["h4", "h5"]) };
        fleet.set_report(&"hub".into(), report, i * 400);
    }
    fleet.plan(2_810);
    expect_that!(fleet.record().cordoned().count(), eq(1), "five of the six are needed on average");
}

#[gtest]
fn a_vm_with_an_unanswered_order_gets_no_other_until_that_order_can_no_longer_arrive() {
    let mut fleet = two_pools();
    fleet.set_report(&"desk".into(), busy_report(0, 90_000, &[]), 10);
    let orders = fleet.plan(20);
    fleet.record_order_result(&orders[0].vm, OrderOutcome::Unknown, 30);
    fleet.plan(1_000);
    fleet.record_order_result("o", OrderOutcome::Done, 1_010);
    let mut vms = vec![vm("o", "desk", 2, VmState::Up)];
    vms.extend((0..6).map(|i| vm(&format!("d{i}"), "desk", 1, VmState::Up)));
    fleet.set_vms(vms, 3_000);
    fleet.set_report(&"desk".into(), busy_report(0, 0, &["o"]), 3_000);
    fleet.plan(3_010);
    fleet.set_report(&"desk".into(), busy_report(0, 0, &["o"]), 8_000);
    fleet.plan(8_010);
    expect_that!(fleet.record().cordoned().count(), eq(0));
    fleet.set_report(&"desk".into(), busy_report(0, 0, &["o"]), 14_000);
    fleet.plan(14_010);
    expect_that!(fleet.record().cordoned().collect::<Vec<_>>(), eq(&vec!["o"]));
}

/// A VM that is switched off has no incarnation, so that only its state shows when its maintenance is over.
/// Otherwise each such VM holds its place in the wave for six seconds.
#[gtest]
fn maintenance_of_a_switched_off_vm_is_complete_when_it_was_away_and_is_up_again() {
    let mut fleet = Fleet::new(FleetRecord::default(), HoldOff::default());
    fleet.set_pools(["desk".into()].into(), Some("off".into()));
    let off = |state| FleetVm { incarnation: None, ..vm("o", "off", 1, state) };
    fleet.set_vms(vec![off(VmState::Up)], 0);
    fleet.set_wave(wave(&["o"], 1));
    expect_that!(vms_of(&fleet.plan(10)), eq(&vec!["o"]));
    fleet.record_order_result("o", OrderOutcome::Done, 20);
    fleet.set_vms(vec![off(VmState::Up)], 30);
    fleet.plan(40);
    expect_that!(fleet.to_complete(), is_empty());
    fleet.set_vms(vec![off(VmState::Away)], 400);
    fleet.plan(410);
    expect_that!(fleet.to_complete(), is_empty());
    fleet.set_vms(vec![off(VmState::Up)], 2_100);
    fleet.plan(2_110);
    expect_that!(fleet.to_complete(), eq(&vec![1]));
}

/// Lasting tasks that may not share a VM need one VM each. If a pool has five of them on four VMs and a fifth that is
/// to be emptied, none can move and the wave is late.
#[gtest]
fn a_pool_has_as_many_vms_as_its_lasting_tasks_need() {
    let mut fleet = two_pools();
    let report = PoolReport { spread: 8, ..busy_report(0, 8_000, &[]) };
    fleet.set_report(&"hub".into(), report, 10);
    expect_that!(vms_of(&fleet.plan(20)), eq(&vec!["o"]));
}

/// VMs that arrive in a pool after its need is over must not stay idle there while another pool waits for cores.
#[gtest]
fn an_idle_vm_that_was_just_moved_may_move_on_to_a_pool_in_need() {
    let mut fleet = two_pools();
    fleet.set_report(&"desk".into(), busy_report(0, 90_000, &[]), 10);
    expect_that!(vms_of(&fleet.plan(20)), eq(&vec!["o"]));
    fleet.record_order_result("o", OrderOutcome::Done, 30);
    let mut vms: Vec<FleetVm> = vec![vm("o", "desk", 2, VmState::Up)];
    vms.extend((0..6).map(|i| vm(&format!("d{i}"), "desk", 1, VmState::Up)));
    vms.extend((0..6).map(|i| vm(&format!("h{i}"), "hub", 1, VmState::Up)));
    fleet.set_vms(vms, 1_800);
    fleet.set_report(&"desk".into(), busy_report(0, 0, &["o"]), 1_900);
    fleet.set_report(&"hub".into(), busy_report(60_000, 90_000, &[]), 1_900);
    fleet.plan(1_910);
    expect_that!(fleet.record().cordoned().collect::<Vec<_>>(), eq(&vec!["o"]));
}

#[gtest]
fn a_pool_with_growing_demand_gets_vms_before_its_jobs_wait() {
    let mut fleet = two_pools();
    fleet.set_report(&"desk".into(), busy_report(0, 0, &[]), 0);
    let coming = PoolReport { soon_cpu: 80_000, ..busy_report(0, 0, &[]) };
    fleet.set_report(&"hub".into(), coming, 0);
    fleet.plan(1);
    expect_that!(fleet.record().cordoned().any(|n| n.starts_with('o')), eq(true));
}

#[gtest]
fn a_wave_leaves_vms_to_pools_in_need_while_it_has_time() {
    let mut fleet = two_pools();
    fleet.set_report(&"desk".into(), busy_report(60_000, 90_000, &[]), 10);
    fleet.set_report(&"hub".into(), busy_report(0, 20_000, &[]), 10);
    let request = wave(&["d0", "h0"], 2);
    fleet.set_wave(WaveRequest { requested_at: Some(0), ..request });
    let started = |fleet: &Fleet| -> Vec<String> {
        let maintain = Purpose::Maintain { wave: 1 };
        let work = fleet.record().work.iter().filter(|w| w.purpose == maintain);
        work.map(|w| w.vm.clone()).collect()
    };
    fleet.plan(20);
    expect_that!(started(&fleet), eq(&vec!["h0".to_owned()]));
    // Of its 25 s, the wave needs 5 s for one round and keeps 7 s as a reserve.
    fleet.plan(12_900);
    expect_that!(started(&fleet), eq(&vec!["h0".to_owned()]));
    fleet.plan(13_100);
    expect_that!(started(&fleet), eq(&vec!["h0".to_owned(), "d0".to_owned()]));
}
