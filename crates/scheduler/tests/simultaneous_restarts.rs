//! Many nodes that restart at once.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, state, submit, wait_until, wait_until_state};

/// The number of standby nodes that follow a pool's records besides its owner.
const STANDBYS: u64 = 8;
/// Three times [`STANDBYS`].
const NODES: u8 = 24;
const JOBS: u64 = 250;
/// The maximum length of a job's spec in bytes.
const SPEC_BYTES: usize = 4_000;
/// The size of all jobs in pages of the store, whose base64 encoding adds a third.
const POOL_PAGE_BYTES: u64 = JOBS * SPEC_BYTES as u64 * 4 / 3;
/// The store's read limit. At this limit a page of 50 jobs takes 3.2 s if all nodes read it at once, which exceeds the
/// timeout of a page, and 1.1 s if only the nodes read it that follow the pool's records.
const STORE_BYTES_PER_SECOND: u64 = 2_000_000;

/// While an owner is unresponsive and not replaced yet, nodes that do not follow the pool's records can query only its
/// standbys.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_node_reports_jobs_while_their_owner_is_dead() {
    let mut system = System::start(91, 2, 13).await;
    expect_that!(submit(&system.nodes[0], &id(1), &job(1, 10)).await.status, eq(200));
    for node in &system.nodes {
        wait_until_state(node, &id(1), "completed").await;
    }
    // Standbys read at least every four seconds.
    tokio::time::sleep(Duration::from_secs(7)).await;
    let owner = system.owner().expect("the pool has an owner");
    system.nodes[owner].kill();
    for (i, node) in system.nodes.iter().enumerate().filter(|(i, _)| *i != owner) {
        expect_that!(state(node, &id(1)).await, eq("completed"), "node {i}");
    }
}

fn largest_job() -> serde_json::Value {
    let mut job = job(1, 10);
    job["spec"] = format!("ms=10 {}", "x".repeat(SPEC_BYTES - 6)).into();
    job
}

fn id(n: u64) -> String {
    format!("{n:016x}")
}

/// Guards against a fleet that never serves again after a loss of power. On 97 nodes that restart within 100 ms, the
/// store reads 80 MB a second for all of them, and nodes request a page again after a timeout of 2 s. If each node
/// reads the records of every pool, the amount to read grows with the product of nodes and jobs, and the store's work
/// for pages that timed out is lost. With the 24 nodes, 250 jobs of 4 KB and 2 MB a second of this test, no node would
/// be ready within 60 s.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_that_all_restart_at_once_serve_again() {
    let mut system = System::start(90, 2, NODES).await;
    for n in 0..JOBS {
        let node = &system.nodes[usize::from(n as u8 % NODES)];
        expect_that!(submit(node, &id(n), &largest_job()).await.status, eq(200), "job {n}");
    }
    wait_until_state(&system.nodes[0], &id(JOBS - 1), "completed").await;
    for node in &mut system.nodes {
        node.kill();
    }
    let reads = &system.platform.store.reads;
    reads.set(Some(STORE_BYTES_PER_SECOND));
    let before = reads.bytes();
    for node in &mut system.nodes {
        node.start();
    }
    for node in &system.nodes {
        wait_until("a node is ready", || node.is_ready()).await;
    }
    for (node, n) in system.nodes.iter().zip((0..JOBS).rev()) {
        wait_until_state(node, &id(n), "completed").await;
    }
    let new_job = "00000000000fffff";
    expect_that!(submit(&system.nodes[1], new_job, &largest_job()).await.status, eq(200));
    wait_until_state(&system.nodes[2], new_job, "completed").await;
    // The standbys have also read the records after this time.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let read = system.platform.store.reads.bytes() - before;
    // The owner and the standbys each read the pool once, and all nodes together may read as much as one more pool.
    expect_that!(read, le((1 + STANDBYS + 1) * POOL_PAGE_BYTES));
}
