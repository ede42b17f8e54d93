//! Reports of pools that arrive directly and through the store.
//!
//! The copy in the store may be read seconds after the report itself arrived. If it replaced the newer report, the fleet's
//! owner would order VMs that run tasks again, and would give VMs to the pool by a need that is gone.

mod fleet_common;

use fleet_common::{busy_report, emptied_report, fleet, two_pools, vms_of};
use googletest::prelude::*;
use thistle_schedule::fleet::{OrderOutcome, PoolReport};

fn numbered(token: u64, number: u64, report: PoolReport) -> PoolReport {
    PoolReport { token, number, ..report }
}

#[gtest]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut fleet = fleet(&["a"], 1);
    fleet.plan(10);
    fleet.set_report(&"desk".into(), numbered(7, 2, emptied_report(&[])), 20);
    fleet.set_report(&"desk".into(), numbered(7, 1, emptied_report(&["a"])), 30);
    expect_that!(fleet.plan(40), is_empty());
    fleet.set_report(&"desk".into(), numbered(6, 9, emptied_report(&["a"])), 50);
    expect_that!(fleet.plan(60), is_empty(), "a report of the pool's previous owner");
    fleet.set_report(&"desk".into(), numbered(8, 1, emptied_report(&["a"])), 70);
    expect_that!(vms_of(&fleet.plan(80)), eq(&vec!["a"]), "a report of the pool's next owner");
}

/// The pool's report that a VM is empty belongs to an earlier wish to empty it, which was dropped. Read again from the store
/// after the next one, it must not count for that.
#[gtest]
fn a_report_that_arrives_again_counts_only_once() {
    let mut fleet = fleet(&["a"], 1);
    let emptied = numbered(7, 1, emptied_report(&["a"]));
    fleet.set_report(&"desk".into(), emptied.clone(), 10);
    expect_that!(fleet.plan(20), is_empty(), "the report came before the wish to empty the VM");
    fleet.set_report(&"desk".into(), emptied, 30);
    expect_that!(fleet.plan(40), is_empty());
    fleet.set_report(&"desk".into(), numbered(7, 2, emptied_report(&["a"])), 50);
    expect_that!(vms_of(&fleet.plan(60)), eq(&vec!["a"]));
    fleet.record_order_result("a", OrderOutcome::Done, 70);
}

/// Nodes of older versions send reports without numbers.
#[gtest]
fn reports_without_numbers_replace_each_other() {
    let mut fleet = two_pools();
    fleet.set_report(&"desk".into(), numbered(7, 3, busy_report(0, 0, &[])), 10);
    expect_that!(fleet.plan(20), is_empty());
    fleet.set_report(&"desk".into(), busy_report(0, 90_000, &[]), 30);
    expect_that!(vms_of(&fleet.plan(40)), eq(&vec!["o"]));
}
