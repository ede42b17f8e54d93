//! Submissions that a pool's owner appends for all nodes, as more come than a partition takes well one by one, with real nodes.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, until, until_state};

/// Jobs a second over all nodes: more than from which on they are gathered.
const PER_S: u64 = 160;
/// How long they come.
const ROUNDS: u64 = 4;

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Submits jobs to all nodes in turn at an even rate for a second, and returns the statuses.
async fn submit_for_a_second(system: &System, from: u64) -> Vec<(u64, u16)> {
    let submitted = (0..PER_S).map(|i| async move {
        tokio::time::sleep(Duration::from_millis(i * 1_000 / PER_S)).await;
        let number = from + i;
        let node = &system.nodes[usize::try_from(number).unwrap_or(0) % system.nodes.len()];
        (number, submit(node, &id(number), &job(1, 10)).await.status)
    });
    futures::future::join_all(submitted).await
}

fn handed_over(system: &System) -> usize {
    let count = |node: &system::Node| node.log().matches("submit step=handed-over").count();
    system.nodes.iter().map(count).sum()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn jobs_that_come_fast_are_appended_by_the_owner_and_kept_though_it_dies() {
    let mut system = System::start(208, 6, 3).await;
    until("the pool has an owner", async || system.owner().is_some()).await;
    let mut kept = Vec::new();
    for round in 0..ROUNDS {
        for (number, status) in submit_for_a_second(&system, round * PER_S).await {
            expect_that!(status, eq(200), "job {number}");
            kept.push(number);
        }
    }
    expect_that!(handed_over(&system), ge(100), "most are handed over");
    // The owner dies while it gathers: each node is deaf for one call, and appends by itself then.
    let owner = system.owner().expect("an owner");
    let left: Vec<usize> = (0..3).filter(|&node| node != owner).collect();
    system.nodes[owner].kill();
    for number in 10_000..10_040 {
        let node = &system.nodes[left[usize::try_from(number).unwrap_or(0) % 2]];
        let status = submit(node, &id(number), &job(1, 10)).await.status;
        expect_that!(status, eq(200), "job {number}");
        kept.push(number);
    }
    for number in kept {
        until_state(&system.nodes[left[0]], &id(number), "completed").await;
    }
    for (task, starts) in system.starts_of("") {
        expect_that!(starts, eq(1), "{task}");
    }
}
