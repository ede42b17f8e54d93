//! Orders for VMs that are sent while appends of the fleet's record are in flight.
//!
//! A successor continues from the rows that it finds in the store. If an order went out before its row, or after an append
//! that deletes its row, the successor would not know of the order: it would give the VM new tasks or another order while the
//! machine service still carries out the first one.

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use thistle_schedule::fleet::{
    FleetOrder, FleetRecord, FleetRow, OrderQueue, Purpose, Stage, VmWork,
};

fn move_to(pool: &str) -> Purpose {
    Purpose::Move { to: pool.to_owned() }
}

fn ordered(vm: &str, pool: &str, incarnation: u32) -> VmWork {
    let stage = Stage::Ordered { incarnation: Some(format!("{vm}-{incarnation}")) };
    VmWork { vm: vm.to_owned(), purpose: move_to(pool), stage }
}

fn record_of(work: Vec<VmWork>) -> FleetRecord {
    FleetRecord { work: work.into(), ..FleetRecord::default() }
}

fn order(vm: &str, pool: &str) -> FleetOrder {
    FleetOrder { vm: vm.to_owned(), purpose: move_to(pool) }
}

/// Returns every state of the record that a successor may read.
fn readable_states(store: &FleetRecord, in_flight: &[FleetRow]) -> Vec<FleetRecord> {
    let mut states = vec![store.clone()];
    for row in in_flight {
        let mut next = states[states.len() - 1].clone();
        next.apply(row.clone());
        states.push(next);
    }
    states
}

#[gtest]
fn an_order_is_sent_once_its_row_is_written() {
    let mut queue = OrderQueue::default();
    let current = record_of(vec![ordered("a", "hub", 1)]);
    queue.add(vec![order("a", "hub")]);
    expect_that!(queue.take_sendable(&current), is_empty());
    expect_that!(queue.begin_append(&current, ""), some(len(eq(1))));
    expect_that!(queue.take_sendable(&current), is_empty());
    expect_that!(queue.len(), eq(1));
    queue.finish_append();
    expect_that!(queue.take_sendable(&current), eq(&vec![order("a", "hub")]));
    expect_that!(queue.is_empty(), eq(true));
}

/// With an append for each change, the orders of a burst would wait for one append after the other.
#[gtest]
fn all_changes_during_an_append_go_into_the_next_one() {
    let mut queue = OrderQueue::default();
    let mut current = record_of(vec![ordered("a", "hub", 1)]);
    expect_that!(queue.begin_append(&current, ""), some(len(eq(1))));
    for vm in ["b", "c", "d"] {
        current.work.insert(ordered(vm, "hub", 1));
        queue.add(vec![order(vm, "hub")]);
        expect_that!(queue.begin_append(&current, ""), none());
    }
    queue.finish_append();
    expect_that!(queue.begin_append(&current, ""), some(len(eq(3))));
    queue.finish_append();
    expect_that!(queue.take_sendable(&current), len(eq(3)));
    expect_that!(queue.begin_append(&current, ""), none());
}

#[gtest]
fn an_order_whose_work_was_abandoned_is_not_sent() {
    let mut queue = OrderQueue::default();
    let mut current = record_of(vec![ordered("a", "hub", 1)]);
    queue.add(vec![order("a", "hub")]);
    queue.begin_append(&current, "");
    current.work.remove("a");
    queue.finish_append();
    expect_that!(queue.take_sendable(&current), is_empty());
    expect_that!(queue.is_empty(), eq(true));
}

/// The written row is that of the earlier move, and the append in flight deletes it.
#[gtest]
fn the_row_of_an_earlier_move_to_the_same_pool_does_not_count() {
    let mut queue = OrderQueue::new(record_of(vec![ordered("a", "hub", 1)]));
    queue.begin_append(&FleetRecord::default(), "");
    for incarnation in [1, 3] {
        let current = record_of(vec![ordered("a", "hub", incarnation)]);
        queue.add(vec![order("a", "hub")]);
        expect_that!(queue.take_sendable(&current), is_empty(), "{incarnation}");
    }
}

/// Makes one random change to the work, and returns the order that it calls for.
fn change(record: &mut FleetRecord, rng: &mut StdRng) -> Option<FleetOrder> {
    let vm = format!("vm-{}", rng.random_range(0..6));
    let pool = ["hub", "desk"][rng.random_range(0..2)];
    match rng.random_range(0..4) {
        0 => {
            let stage = Stage::Emptying;
            record.work.insert(VmWork { vm, purpose: move_to(pool), stage });
        }
        1 => _ = record.work.remove(&vm),
        _ => {
            record.work.insert(ordered(&vm, pool, rng.random_range(0..3)));
            return Some(order(&vm, pool));
        }
    }
    None
}

#[gtest]
fn a_successor_that_reads_part_of_an_append_knows_of_every_order_that_was_sent() {
    let mut sent_orders = 0;
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut current, mut store) = (FleetRecord::default(), FleetRecord::default());
        let mut queue = OrderQueue::default();
        let mut in_flight: Vec<FleetRow> = Vec::new();
        // The work for which orders were sent, until it changes.
        let mut open: Vec<VmWork> = Vec::new();
        for step in 0..200 {
            match rng.random_range(0..4) {
                0 if !in_flight.is_empty() => {
                    in_flight.drain(..).for_each(|row| store.apply(row));
                    queue.finish_append();
                }
                _ => queue.add(change(&mut current, &mut rng).into_iter().collect()),
            }
            if let Some(rows) = queue.begin_append(&current, "") {
                in_flight = rows;
            }
            for order in queue.take_sendable(&current) {
                sent_orders += 1;
                let work = current.work_on(&order.vm).expect("its work is open").clone();
                assert_that!(work.purpose, eq(&order.purpose));
                open.push(work);
            }
            // Rows are also lost in the append that follows a change, which is no fault.
            let unchanged = |work: &VmWork| current.work_on(&work.vm) == Some(work);
            open.retain(unchanged);
            for state in readable_states(&store, &in_flight) {
                for work in &open {
                    assert_that!(
                        state.work_on(&work.vm),
                        some(eq(work)),
                        "seed {seed} step {step}"
                    );
                }
            }
        }
    }
    expect_that!(sent_orders, gt(1_000));
}
