//! The first seconds of a slow store.

mod system;

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use googletest::prelude::*;
use system::{System, job, submit, until};
use thistle_platform::standin::Fault;
use thistle_platform::{Guard, KeyedRecord, Store};

/// Has so many appends wait in the queue of the partition of submissions for as long as the store is slow.
fn queue_up(system: &System, count: usize) {
    let others = Arc::new(Store::new(system.platform.store_addr()));
    for _ in 0..count {
        let others = others.clone();
        tokio::spawn(async move {
            // A cancel of a job that never comes changes nothing.
            let record = KeyedRecord::new("c00000000000000ee", vec![1]);
            loop {
                let record = std::slice::from_ref(&record);
                // What is refused or not answered is sent again.
                let _ = others.append("jobs.desk", 0, Guard::Always, record).await;
            }
        });
    }
}

/// Meskel grown trouble-2, 9.2 to 12.6 s: the store turned 72 times as slow as a pool's turn began. Each of 32 nodes whose append
/// stood in the full queue of the first partition asked the spare one when its time was up, and so filled that queue too; what was
/// handed to the pool's owner waited behind them for two seconds, and 70 of 250 jobs had no turn within a second (503).
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn as_the_store_turns_slow_only_the_owner_asks_the_spare_partition() {
    let system = System::start(49, 1, 2).await;
    until("the pool has an owner", async || system.owner().is_some()).await;
    let owner = system.owner().expect("it has one");
    // The nodes hear of each other.
    tokio::time::sleep(Duration::from_secs(3)).await;
    system.platform.store.set_fault(Fault::Slow);
    // The jobs come into a queue of a second and a half.
    queue_up(&system, 8);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let task = job(1, 10);
    let hand_in = |node: usize, number: usize| {
        let (node, task) = (&system.nodes[node], &task);
        async move { submit(node, &format!("{number:016x}"), task).await.status }
    };
    let first = join_all((0..4).map(|i| hand_in((owner + i) % 2, i)));
    let later = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        queue_up(&system, 60);
        tokio::time::sleep(Duration::from_millis(250)).await;
        join_all((4..16).map(|i| hand_in((owner + i) % 2, i))).await
    };
    let (first, later) = tokio::join!(first, later);
    expect_that!(first, each(eq(&200)));
    expect_that!(later, each(eq(&200)));
    let log = system.nodes[1 - owner].log();
    expect_that!(log, not(contains_substring("submit step=spare")));
    expect_that!(log, contains_substring("submit step=handed-over"));
}
