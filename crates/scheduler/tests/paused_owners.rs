//! Starts that wait while their owner's node is held up and loses its pool, with real nodes.
//!
//! A node is held up for longer than its right to act lasts, while starts that it has ordered to a VM wait for their turn. Another node takes the pool; it does not
//! reach that VM, waits until its lease is over, and starts the tasks elsewhere. The first node goes on: the store takes its heartbeat, which
//! gives it its right to act back before it has read that its pool was claimed. It was told of no loss of the VM, so the starts that waited go out, with a
//! lease given anew, to a VM that has seen no higher token. Its other VM would have told it of the higher token, and the store by refusing its
//! next record, but the owner took in nothing while it waited for the store:
//!
//!     05:36:22.467 INFO end run=OTHER.0.0.0#1 vm=i-m-0-1 how=Done number=2
//!     05:36:32.756 INFO store step=regained
//!     05:36:32.828 INFO start step=refused run=JOB.0.0.0#1 vm=i-m-0-1 answer=Late
//!     05:36:32.828 INFO start step=had-its-turn run=JOB.0.0.3#1 vm=i-m-0-1 waited_ms=10906
//!     05:36:32.855 INFO owner pool=desk step=claimed node=node-10 token_offset=2
//!     05:36:32.856 INFO owner pool=desk step=ended token=1

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, submit, until, until_state};
use thistle_platform::standin::{Fault, bodies};

const ID: &str = "5c0e7a21d94b36f8";
/// Tasks that fill the VM: two starts are under way to it and as many wait.
const TASKS: usize = 4;
/// Where the pool's progress may be written.
const PROGRESS: [u32; 4] = [1, 3, 5, 7];
/// So long after an end was heard its record is being written.
const HELD_UP_BEFORE: Duration = Duration::from_millis(150);
/// How long a start takes to arrive when the node is back, a little longer than the question that renews the lease.
const START_TAKES: Duration = Duration::from_millis(20);
/// Within this time what waits has gone out.
const SETTLED: Duration = Duration::from_millis(2_000);

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_waits_while_its_node_loses_the_pool_is_not_sent() {
    let system = System::start(114, 1, 2).await;
    until("the pool has an owner", async || system.owner().is_some()).await;
    let first = system.owner().expect("an owner");
    let (node, next) = (&system.nodes[first], &system.nodes[1 - first]);
    let vm = system.platform.machines.vms().remove(0);
    let warm_up = "00000000000000b1";
    expect_that!(submit(node, warm_up, &system::job(1, 10)).await.status, eq(200));
    until_state(node, warm_up, "completed").await;
    let ending = "00000000000000b2";
    expect_that!(submit(node, ending, &system::job(1, 600)).await.status, eq(200));
    until("its task runs", async || system.starts_of(ending).len() == 1).await;
    vm.lose_starts(true);
    let step = serde_json::json!({"count": TASKS, "cpu": 3_500, "memMb": 256, "estimatedMs": 100});
    expect_that!(submit(node, ID, &bodies::job_of("ms=100", &[step])).await.status, eq(200));
    let ordered = format!("start step=ordered run={ID}");
    until("all were ordered", async || node.log().matches(&ordered).count() == TASKS).await;
    // It waits for the store with the end of another task.
    let progress_fails = |fault| {
        for part in PROGRESS {
            system.platform.store.set_part_fault("jobs.desk", part, fault);
        }
    };
    progress_fails(Fault::Unresponsive);
    let end = format!("end run={ending}");
    until("it has heard the end", async || node.log().contains(&end)).await;
    tokio::time::sleep(HELD_UP_BEFORE).await;
    node.signal("STOP");
    progress_fails(Fault::None);
    let claim = system.platform.store.offset_of("control", 0, "owner/desk").expect("a claim");
    // Tokens follow the offsets of claims.
    vm.lose_tokens_from(claim + 2);
    let late = system::ip(114, 120);
    system.platform.machines.add("m-late", system::POOL, late).await.expect("the VM starts");
    until_state(next, ID, "completed").await;
    vm.lose_starts(false);
    progress_fails(Fault::Unresponsive);
    vm.delay_starts(START_TAKES);
    node.signal("CONT");
    tokio::time::sleep(SETTLED).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.len(), eq(TASKS));
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}
