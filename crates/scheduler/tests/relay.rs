//! A store that turns one node away and serves the others.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, until, until_state};
use thistle_platform::standin::{Fault, StoreEndpoint};

const ID: &str = "5c0e7a21d94b36f8";

/// Starts a system of two nodes, of which the first owns the pool and comes to the store by a door of
/// its own.
async fn owner_behind_a_door(net: u8) -> (System, StoreEndpoint) {
    let mut system = System::start(net, 2, 0).await;
    let door = system.platform.open_endpoint(system::ip(net, 2)).await;
    let door = door.expect("the door opens");
    system.add_node_at(system::ip(net, 10), door.addr);
    until("the first node owns the pool", async || system.owner() == Some(0)).await;
    system.add_node(system::ip(net, 11));
    for node in &system.nodes {
        until("a node is ready", || node.is_ready()).await;
    }
    // The nodes hear of each other.
    tokio::time::sleep(Duration::from_secs(3)).await;
    (system, door)
}

/// Budnet and Trasteo Listo trouble-1, 2.5 to 11.5 s: nodes that the store turned away refused their
/// callers' jobs, and lost their pools.
async fn goes_on_through_the_other_node(net: u8, fault: Fault) {
    let (system, door) = owner_behind_a_door(net).await;
    door.set_fault(fault);
    for i in 0..5 {
        let id = format!("{i:016x}");
        let answer = submit(&system.nodes[0], &id, &job(2, 400)).await;
        // One whose append was under way as the silence began may be told that it is unknown.
        expect_that!(answer.status, any![eq(200), eq(504)], "job {i}");
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    expect_that!(system.owner(), some(eq(0)), "it keeps its pool");
    expect_that!(system.nodes[0].is_ready().await, eq(true));
    expect_that!(submit(&system.nodes[0], ID, &job(1, 10)).await.status, eq(200));
    until_state(&system.nodes[1], ID, "completed").await;
    door.set_fault(Fault::None);
    until_state(&system.nodes[0], "0000000000000004", "completed").await;
    for i in 0..5 {
        let starts = system.starts_of(&format!("{i:016x}"));
        expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_the_store_refuses_goes_on_through_another_node() {
    goes_on_through_the_other_node(40, Fault::Busy).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_the_store_is_silent_to_goes_on_through_another_node() {
    goes_on_through_the_other_node(41, Fault::Unresponsive).await;
}

/// Shifted scale-2, 1 s: 13 of 38 nodes were cut from the store as a pool's turn began. Each waited for 0.6 s for an answer
/// before it asked another node, and its callers were told that nobody knows what became of their jobs (504).
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_is_sent_as_the_store_falls_silent_to_its_node_is_kept_through_another() {
    let (system, door) = owner_behind_a_door(42).await;
    door.set_fault(Fault::Unresponsive);
    for i in 0..4 {
        let answer = submit(&system.nodes[0], &format!("{i:016x}"), &job(1, 10)).await;
        // One that nobody knows of is not waited for.
        assert_that!(answer.status, eq(200), "job {i}");
    }
    for i in 0..4 {
        until_state(&system.nodes[0], &format!("{i:016x}"), "completed").await;
    }
    expect_that!(system.owner(), some(eq(0)), "it keeps its pool");
}
