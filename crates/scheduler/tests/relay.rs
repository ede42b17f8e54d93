//! A store that refuses one node, or does not reply to it, while it serves the others.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::{Fault, StoreEndpoint};

const ID: &str = "5c0e7a21d94b36f8";

/// Starts a system of two nodes, of which the first owns the pool and reaches the store through an endpoint of its own.
async fn owner_with_own_endpoint(net: u8) -> (System, StoreEndpoint) {
    let mut system = System::start(net, 2, 0).await;
    let endpoint = system.platform.open_endpoint(system::ip(net, 2)).await;
    let endpoint = endpoint.expect("the endpoint opens");
    system.add_node_at(system::ip(net, 10), endpoint.addr);
    wait_until("the first node owns the pool", async || system.owner() == Some(0)).await;
    system.add_node(system::ip(net, 11));
    for node in &system.nodes {
        wait_until("a node is ready", || node.is_ready()).await;
    }
    // The nodes receive the heartbeats of each other.
    tokio::time::sleep(Duration::from_secs(3)).await;
    (system, endpoint)
}

/// Checks that a node which the store refuses or does not reply to keeps its pool and accepts its callers' jobs through the
/// other node.
async fn expect_service_through_other_node(net: u8, fault: Fault) {
    let (system, endpoint) = owner_with_own_endpoint(net).await;
    endpoint.set_fault(fault);
    for i in 0..5 {
        let id = format!("{i:016x}");
        let answer = submit(&system.nodes[0], &id, &job(2, 400)).await;
        // The outcome of a job whose append was in flight when the fault began may be unknown (504).
        expect_that!(answer.status, any![eq(200), eq(504)], "job {i}");
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    expect_that!(system.owner(), some(eq(0)), "the first node keeps its pool");
    expect_that!(system.nodes[0].is_ready().await, eq(true));
    expect_that!(submit(&system.nodes[0], ID, &job(1, 10)).await.status, eq(200));
    wait_until_state(&system.nodes[1], ID, "completed").await;
    endpoint.set_fault(Fault::None);
    wait_until_state(&system.nodes[0], "0000000000000004", "completed").await;
    for i in 0..5 {
        let starts = system.starts_of(&format!("{i:016x}"));
        expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_the_store_refuses_goes_on_through_another_node() {
    expect_service_through_other_node(40, Fault::Busy).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_the_store_does_not_reply_to_goes_on_through_another_node() {
    expect_service_through_other_node(41, Fault::Unresponsive).await;
}

/// If a node that is cut off from the store waits 0.6 s for a reply before it tries another node, its callers get 504: the
/// outcome of their jobs is unknown.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_submitted_as_its_node_loses_the_store_is_kept_through_another() {
    let (system, endpoint) = owner_with_own_endpoint(42).await;
    endpoint.set_fault(Fault::Unresponsive);
    for i in 0..4 {
        let answer = submit(&system.nodes[0], &format!("{i:016x}"), &job(1, 10)).await;
        // The test ends here if the outcome is unknown, rather than wait below for a job that may not be kept.
        assert_that!(answer.status, eq(200), "job {i}");
    }
    for i in 0..4 {
        wait_until_state(&system.nodes[0], &format!("{i:016x}"), "completed").await;
    }
    expect_that!(system.owner(), some(eq(0)), "the first node keeps its pool");
}
