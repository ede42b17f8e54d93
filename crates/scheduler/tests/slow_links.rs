//! Nodes whose links to the store are slow.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use hyper::Method;
use system::{System, job, send, submit, wait_until, wait_until_state};
use thistle_platform::standin::Fault;

const ID: &str = "5c0e7a21d94b36f8";
/// The number of queues in a configuration of about a megabyte.
const QUEUES: usize = 6_000;

/// Publishes a configuration that adds the queue `/plans/` and many more.
fn put_large_config(system: &System, version: u64) {
    let added: Vec<String> = (0..QUEUES).map(|i| format!("/queue-{i:05}/")).collect();
    let mut paths = vec!["/quotes/", "/plans/"];
    paths.extend(added.iter().map(String::as_str));
    system.put_config(version, &paths);
}

async fn wait_until_in_force(system: &System, node: usize) {
    let node = &system.nodes[node];
    let status = async || send(node, Method::GET, "/plans/").await.status;
    wait_until("the new queue is there", async || status().await == 200).await;
}

/// A queue is refused with 404 long after the configuration that adds it was acknowledged, if each read of a large record
/// over a slow link is aborted and restarts the record. The platform's test `a_record_may_take_as_long_as_a_slow_link_needs`
/// covers one such read; here the node must learn the new version.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_configuration_comes_into_force_over_a_slow_link() {
    let system = System::start(50, 1, 1).await;
    system.platform.store.set_fault(Fault::SlowLinks);
    put_large_config(&system, 2);
    wait_until_in_force(&system, 0).await;
}

/// The same for a node that the store refuses: the record arrives as slowly at the node that relays it, which must not read
/// it whole before it forwards the first part.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_configuration_comes_into_force_through_another_node() {
    let mut system = System::start(51, 1, 1).await;
    let endpoint = system.platform.open_endpoint(system::ip(51, 2)).await;
    let endpoint = endpoint.expect("the endpoint opens");
    system.add_node_at(system::ip(51, 11), endpoint.addr);
    wait_until("the second node is ready", || system.nodes[1].is_ready()).await;
    // The nodes receive the heartbeats of each other.
    tokio::time::sleep(Duration::from_secs(3)).await;
    endpoint.set_fault(Fault::Busy);
    // Earlier reads through the endpoint are answered.
    tokio::time::sleep(Duration::from_secs(2)).await;
    system.platform.store.set_fault(Fault::SlowLinks);
    put_large_config(&system, 2);
    wait_until_in_force(&system, 1).await;
}

/// If an append may take 0.6 s regardless of its size and is repeated unchanged when it has no reply, large ones never
/// complete over a slow link.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_large_jobs_are_kept_over_a_slow_link() {
    let system = System::start(52, 2, 1).await;
    system.platform.store.set_fault(Fault::SlowLinks);
    let large = thistle_platform::standin::bodies::job_of(
        &format!("ms=10 {}", "x".repeat(3_900)),
        &[serde_json::json!({ "count": 1, "cpu": 10, "memMb": 1, "estimatedMs": 10 })],
    );
    let submitted = (0..100_u64).map(|i| {
        let (node, id, job) = (&system.nodes[0], format!("{i:016x}"), large.clone());
        async move { submit(node, &id, &job).await.status }
    });
    let mut kept = 0;
    for status in futures::future::join_all(submitted).await {
        kept += usize::from(status == 200);
    }
    expect_that!(kept, eq(100));
    expect_that!(submit(&system.nodes[0], ID, &job(1, 10)).await.status, eq(200));
    wait_until_state(&system.nodes[0], ID, "completed").await;
}
