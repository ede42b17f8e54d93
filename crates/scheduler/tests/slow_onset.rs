//! The first seconds after the store becomes slow.

mod system;

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use system::{System, job, submit, wait_until};
use thistle_platform::standin::Fault;
use thistle_platform::{Guard, KeyedRecord, Store};

/// Keeps this many appends in the queue of the partition of submissions while the store is slow.
fn queue_appends(system: &System, count: usize) {
    let store_client = Arc::new(Store::new(system.platform.store_addr()));
    for _ in 0..count {
        let store_client = store_client.clone();
        tokio::spawn(async move {
            // A cancel of a job that is never submitted changes nothing.
            let record = KeyedRecord::new("c00000000000000ee", vec![1]);
            loop {
                let record = std::slice::from_ref(&record);
                // Refused and unanswered appends are sent again.
                let _ = store_client.append("jobs.desk", 0, Guard::Always, record).await;
            }
        });
    }
}

/// The store becomes 72 times as slow, and the queue of the first partition is full. If every node whose append times out
/// there tries the fallback partition, that queue fills too. Jobs forwarded to the pool's owner then wait behind it for two
/// seconds, and jobs that get no place in the queue within a second are refused (503). So only the owner may use the fallback
/// partition.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn as_the_store_becomes_slow_only_the_owner_uses_the_fallback_partition() {
    let system = System::start(49, 1, 2).await;
    wait_until("the pool has an owner", async || system.owner().is_some()).await;
    let owner = system.owner().expect("the pool has an owner");
    // The nodes receive the heartbeats of each other.
    tokio::time::sleep(Duration::from_secs(3)).await;
    system.platform.store.set_fault(Fault::Slow);
    // The jobs wait behind a queue of 1.5 s.
    queue_appends(&system, 8);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let task = job(1, 10);
    let submit_to = |node: usize, number: usize| {
        let (node, task) = (&system.nodes[node], &task);
        async move { submit(node, &format!("{number:016x}"), task).await.status }
    };
    let first = join_all((0..4).map(|i| submit_to((owner + i) % 2, i)));
    let later = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        queue_appends(&system, 60);
        tokio::time::sleep(Duration::from_millis(250)).await;
        join_all((4..16).map(|i| submit_to((owner + i) % 2, i))).await
    };
    let (first, later) = tokio::join!(first, later);
    expect_that!(first, each(eq(&200)));
    expect_that!(later, each(eq(&200)));
    let log = system.nodes[1 - owner].log();
    expect_that!(log, not(contains_substring("submit step=spare")));
    expect_that!(log, contains_substring("submit step=handed-over"));
}
