//! Queued starts of an owner whose node is paused and loses its pool, with real nodes.
//!
//! A node is paused for longer than its right to act lasts, while starts to a VM wait in its queue. Another node claims the
//! pool, cannot reach that VM, waits until its lease ends and starts the tasks elsewhere. The first node resumes: the store
//! accepts its heartbeat, which renews its right to act, before it has read the new claim. The owner handles nothing while it
//! waits for the store, so it learns of its loss neither from another VM, which has seen the higher token, nor from a refused
//! record. The queued starts must not go out then: their VM has seen no higher token and would accept them with a new lease.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, submit, wait_until, wait_until_state};
use thistle_platform::standin::{Fault, bodies};

const ID: &str = "5c0e7a21d94b36f8";
/// Tasks that fill the VM: two starts are in flight to it and as many wait.
const TASKS: usize = 4;
/// The partitions that may hold the pool's progress.
const PROGRESS_PARTITIONS: [u32; 4] = [1, 3, 5, 7];
/// The delay from the receipt of an end to the pause of the node: the record of the end is being written then.
const PAUSE_DELAY: Duration = Duration::from_millis(150);
/// How long a start takes to arrive after the node has resumed: slightly longer than the query that renews the lease.
const START_DELAY: Duration = Duration::from_millis(20);
/// Queued starts have gone out within this time.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_queued_while_its_node_loses_the_pool_is_not_sent() {
    let system = System::start(114, 1, 2).await;
    wait_until("the pool has an owner", async || system.owner().is_some()).await;
    let first = system.owner().expect("an owner");
    let (node, next) = (&system.nodes[first], &system.nodes[1 - first]);
    let vm = system.platform.machines.vms().remove(0);
    let warm_up = "00000000000000b1";
    expect_that!(submit(node, warm_up, &system::job(1, 10)).await.status, eq(200));
    wait_until_state(node, warm_up, "completed").await;
    let ending = "00000000000000b2";
    expect_that!(submit(node, ending, &system::job(1, 600)).await.status, eq(200));
    wait_until("the task of the ending job runs", async || system.starts_of(ending).len() == 1)
        .await;
    vm.lose_starts(true);
    let step = serde_json::json!({"count": TASKS, "cpu": 3_500, "memMb": 256, "estimatedMs": 100});
    expect_that!(submit(node, ID, &bodies::job_of("ms=100", &[step])).await.status, eq(200));
    let ordered = format!("start step=ordered run={ID}");
    wait_until("all starts were ordered", async || node.log().matches(&ordered).count() == TASKS)
        .await;
    // The owner waits for the store to record the end of another task.
    let set_progress_fault = |fault| {
        for part in PROGRESS_PARTITIONS {
            system.platform.store.set_part_fault("jobs.desk", part, fault);
        }
    };
    set_progress_fault(Fault::Unresponsive);
    let end = format!("end run={ending}");
    wait_until("the owner has received the end", async || node.log().contains(&end)).await;
    tokio::time::sleep(PAUSE_DELAY).await;
    node.signal("STOP");
    set_progress_fault(Fault::None);
    let claim = system.platform.store.offset_of("control", 0, "owner/desk").expect("a claim");
    // Tokens are derived from the offsets of claims.
    vm.lose_tokens_from(claim + 2);
    let late = system::ip(114, 120);
    system.platform.machines.add("m-late", system::POOL, late).await.expect("the VM starts");
    wait_until_state(next, ID, "completed").await;
    vm.lose_starts(false);
    set_progress_fault(Fault::Unresponsive);
    vm.delay_starts(START_DELAY);
    node.signal("CONT");
    tokio::time::sleep(SETTLE_TIME).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.len(), eq(TASKS));
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}
