//! Orders that a new owner of the fleet may give for VMs on which its predecessor worked.

mod fleet_common;

use fleet_common::{busy_report, emptied_report, fleet, up_vms, vm, vms_of, wave};
use googletest::prelude::*;
use thistle_schedule::fleet::{
    Fleet, FleetRecord, HoldOff, OrderOutcome, PoolReport, Purpose, Stage, VmState, VmWork,
};

#[gtest]
fn a_successor_holds_off_after_its_predecessors_orders() {
    let mut before = fleet(&["a"], 1);
    before.plan(10);
    before.set_report(&"desk".into(), emptied_report(&["a"]), 20);
    expect_that!(before.plan(30), len(eq(1)));

    let hold_off = HoldOff { until: 3_300, gap: 3_300 };
    let mut after = Fleet::new(before.record().clone(), hold_off);
    after.set_pools(["desk".into()].into(), None);
    after.set_wave(wave(&["a"], 1));
    after.set_vms(up_vms(&["a", "b", "c"]), 100);
    expect_that!(after.plan(200), is_empty());
    expect_that!(after.plan(3_200), is_empty());
    expect_that!(vms_of(&after.plan(3_300)), eq(&vec!["a"]));
}

/// A successor's order may be answered before its first list of VMs is read. The VM must not count as gone and its maintenance
/// as complete, as one VM more than allowed would then be taken down.
#[gtest]
fn a_successor_without_a_vm_list_counts_no_maintenance_as_complete() {
    let mut before = fleet(&["a", "b"], 1);
    before.plan(10);
    before.set_report(&"desk".into(), emptied_report(&["a", "b"]), 20);
    let first = before.plan(30);
    expect_that!(first, len(eq(1)));

    let mut after = Fleet::new(before.record().clone(), HoldOff::default());
    after.set_pools(["desk".into()].into(), None);
    after.set_wave(wave(&["a", "b"], 1));
    after.set_report(&"desk".into(), emptied_report(&["a", "b"]), 100);
    expect_that!(vms_of(&after.plan(110)), eq(&vms_of(&first)));
    after.record_order_result(&first[0].vm, OrderOutcome::Done, 120);
    after.plan(130);
    let mut vms = up_vms(&["a", "b", "c"]);
    vms.iter_mut().filter(|vm| *vm.name == *first[0].vm).for_each(|vm| vm.state = VmState::Away);
    after.set_vms(vms, 200);
    after.set_report(&"desk".into(), emptied_report(&["a", "b"]), 210);
    expect_that!(after.plan(220), is_empty());
}

/// VMs that the predecessor cordoned and did not order anything for need no hold-off. With one, they would stay empty
/// and idle until it is over.
#[gtest]
fn a_successor_continues_at_once_with_vms_that_were_not_ordered_yet() {
    let work = |vm: &str, stage| VmWork {
        vm: vm.to_owned(),
        purpose: Purpose::Move { to: "hub".to_owned() },
        stage,
    };
    let ordered = Stage::Ordered { incarnation: Some("i-d1-1".to_owned()) };
    let work = vec![work("d0", Stage::Emptying), work("d1", ordered)];
    let record = FleetRecord { work: work.into(), ..FleetRecord::default() };
    let mut fleet = Fleet::new(record, HoldOff { until: 3_000, gap: 3_000 });
    fleet.set_pools(["desk".into(), "hub".into()].into(), None);
    let vms = ["d0", "d1"].map(|name| vm(name, "desk", 1, VmState::Up));
    fleet.set_vms(vms.into(), 0);
    fleet.set_report(&"desk".into(), emptied_report(&["d0", "d1"]), 10);
    expect_that!(vms_of(&fleet.plan(20)), eq(&vec!["d0"]));
    expect_that!(vms_of(&fleet.plan(2_900)), is_empty());
    expect_that!(vms_of(&fleet.plan(3_100)), eq(&vec!["d1"]));
}

#[gtest]
fn a_successor_holds_off_for_recently_ordered_vms_and_orders_others_at_once() {
    let record = FleetRecord { ordered_lately: vec!["o".to_owned()], ..FleetRecord::default() };
    let mut fleet = Fleet::new(record, HoldOff { until: 3_000, gap: 3_000 });
    fleet.set_pools(["desk".into()].into(), Some("off".into()));
    let off = ["o", "p"].map(|name| vm(name, "off", 1, VmState::Up));
    fleet.set_vms(up_vms(&["a", "b", "c", "d"]).into_iter().chain(off).collect(), 0);
    fleet.set_report(&"desk".into(), busy_report(0, 90_000, &[]), 10);
    expect_that!(vms_of(&fleet.plan(20)), eq(&vec!["p"]));
    expect_that!(vms_of(&fleet.plan(1_400)), is_empty(), "its move takes at least 1.5 s");
    expect_that!(vms_of(&fleet.plan(1_600)), eq(&vec!["o"]));
}

#[gtest]
fn a_moved_vm_stays_in_the_record_for_as_long_as_a_successor_holds_off() {
    let hold_off = HoldOff { until: 0, gap: 3_000 };
    let mut fleet = Fleet::new(FleetRecord::default(), hold_off);
    fleet.set_pools(["desk".into()].into(), Some("off".into()));
    let others = up_vms(&["a", "b", "c", "d"]);
    fleet.set_vms([others.clone(), vec![vm("o", "off", 1, VmState::Up)]].concat(), 0);
    fleet.set_report(&"desk".into(), busy_report(0, 90_000, &[]), 10);
    expect_that!(vms_of(&fleet.plan(20)), eq(&vec!["o"]));
    fleet.record_order_result("o", OrderOutcome::Done, 30);
    fleet.set_vms([others, vec![vm("o", "desk", 2, VmState::Up)]].concat(), 1_700);
    fleet.plan(1_800);
    expect_that!(fleet.record().work, is_empty());
    expect_that!(fleet.record().ordered_lately, eq(&vec!["o".to_owned()]));
    fleet.plan(3_100);
    expect_that!(fleet.record().ordered_lately, is_empty());
}

/// An order may wait for its row while the store is slow. If its VM's distance to the next order counted from the decision, a
/// successor would order it too early.
#[gtest]
fn a_moved_vm_stays_in_the_record_for_longer_if_its_order_was_sent_late() {
    let hold_off = HoldOff { until: 0, gap: 3_000 };
    let mut fleet = Fleet::new(FleetRecord::default(), hold_off);
    fleet.set_pools(["desk".into()].into(), Some("off".into()));
    let others = up_vms(&["a", "b", "c", "d"]);
    fleet.set_vms([others.clone(), vec![vm("o", "off", 1, VmState::Up)]].concat(), 0);
    fleet.set_report(&"desk".into(), busy_report(0, 90_000, &[]), 10);
    expect_that!(vms_of(&fleet.plan(20)), eq(&vec!["o"]));
    fleet.record_order_sent("o", 1_020);
    fleet.record_order_result("o", OrderOutcome::Done, 1_030);
    fleet.set_vms([others, vec![vm("o", "desk", 2, VmState::Up)]].concat(), 2_700);
    fleet.plan(2_800);
    fleet.plan(3_900);
    expect_that!(fleet.record().ordered_lately, eq(&vec!["o".to_owned()]));
    fleet.plan(4_100);
    expect_that!(fleet.record().ordered_lately, is_empty());
}

/// A VM that arrived in the pool to which the predecessor moved it must take work at once.
/// Otherwise a pool in need gets no use of its new VMs until the hold-off is over.
#[gtest]
fn a_vm_that_arrived_in_its_pool_takes_work_whichever_owner_ordered_its_move() {
    let ordered = Stage::Ordered { incarnation: Some("o-1".to_owned()) };
    let purpose = Purpose::Move { to: "hub".to_owned() };
    let work = vec![VmWork { vm: "o".to_owned(), purpose, stage: ordered }];
    let record = FleetRecord { work: work.into(), ..FleetRecord::default() };
    expect_that!(record.cordoned_for("hub").count(), eq(0));
    expect_that!(record.cordoned_for("desk").count(), eq(1));
    let mut fleet = Fleet::new(record, HoldOff { until: 3_000, gap: 3_000 });
    fleet.set_pools(["desk".into(), "hub".into()].into(), None);
    fleet.set_vms(vec![vm("o", "desk", 1, VmState::Up)], 0);
    fleet.plan(10);
    expect_that!(fleet.record().work, len(eq(1)), "the VM has not arrived yet");
    fleet.set_vms(vec![vm("o", "hub", 2, VmState::Up)], 20);
    fleet.plan(30);
    expect_that!(fleet.record().work, is_empty());
}

/// The answer to a repeated move may arrive when the VM is already cordoned for maintenance.
/// It must not count as the answer to the order of that maintenance.
#[gtest]
fn the_answer_to_a_repeated_move_does_not_count_for_the_next_maintenance() {
    let ordered = Stage::Ordered { incarnation: Some("o-1".to_owned()) };
    let purpose = Purpose::Move { to: "desk".to_owned() };
    let work = vec![VmWork { vm: "o".to_owned(), purpose, stage: ordered }];
    let record = FleetRecord { work: work.into(), ..FleetRecord::default() };
    let mut fleet = Fleet::new(record, HoldOff::default());
    fleet.set_pools(["desk".into()].into(), None);
    fleet.set_wave(wave(&["o"], 1));
    fleet.set_vms(vec![vm("o", "off", 1, VmState::Up)], 0);
    expect_that!(vms_of(&fleet.plan(10)), eq(&vec!["o"]), "the move is ordered again");
    fleet.set_vms(vec![vm("o", "desk", 2, VmState::Up)], 20);
    fleet.plan(30);
    fleet.record_order_result("o", OrderOutcome::Done, 40);
    fleet.plan(50);
    let report = emptied_report(&["o"]);
    let emptied = vec![("o".to_owned(), "o-2".to_owned())];
    fleet.set_report(&"desk".into(), PoolReport { emptied, ..report }, 60);
    let orders = fleet.plan(70);
    expect_that!(vms_of(&orders), eq(&vec!["o"]));
    expect_that!(orders[0].purpose, eq(&Purpose::Maintain { wave: 1 }));
    expect_that!(fleet.to_complete(), is_empty());
}
