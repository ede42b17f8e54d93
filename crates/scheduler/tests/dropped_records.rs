//! Jobs whose records are dropped some time after they were settled, with real nodes.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{Node, System, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::Fault;

const ID: &str = "5c0e7a21d94b36f8";
const TOPIC: &str = "jobs.desk";
const SUBMISSIONS: u32 = 0;
const FALLBACK: u32 = 2;
/// The log line of a node that drops the records of settled jobs.
const DROPPED: &str = "jobs step=dropped";
/// A little longer than the time without reads after which a partition is read from its newest records.
const UNREAD_FOR: Duration = Duration::from_secs(11);

/// Starts nodes that drop settled jobs as soon as allowed, which is half a minute after the jobs were settled.
async fn start(net: u8, nodes: u8) -> System {
    let mut system = System::start(net, 2, 0).await;
    system.extra_settings = "keep_settled: 1s\n".to_owned();
    for i in 0..nodes {
        system.add_node(system::ip(net, 10 + i));
    }
    for node in &system.nodes {
        wait_until("a node is ready", || node.is_ready()).await;
    }
    wait_until("the pool has an owner", async || system.owner().is_some()).await;
    let first = "00000000000000ff";
    expect_that!(submit(&system.nodes[0], first, &job(1, 10)).await.status, eq(200));
    wait_until_state(&system.nodes[0], first, "completed").await;
    system
}

async fn wait_until_dropped(node: &Node, times: usize) {
    wait_until("records were dropped", async || node.log().matches(DROPPED).count() >= times).await;
}

/// Guards against a completed job that runs again. Its submission is in the fallback partition, which refuses writes
/// while the owner drops the job. The owner drops the job in the first partition, and every reader of that record,
/// including the owner, discards the job and its progress, so that no node drops the submission later. After ten seconds
/// without reads the fallback partition is read from its newest records, and the submission there counts as a new one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_settled_job_stays_settled_if_the_fallback_partition_refuses_to_drop_it() {
    let system = start(110, 1).await;
    let node = &system.nodes[0];
    wait_until_dropped(node, 1).await;
    system.platform.store.set_part_fault(TOPIC, SUBMISSIONS, Fault::Busy);
    expect_that!(submit(node, ID, &job(2, 100)).await.status, eq(200));
    wait_until_state(node, ID, "completed").await;
    system.platform.store.set_part_fault(TOPIC, SUBMISSIONS, Fault::None);
    tokio::time::sleep(Duration::from_secs(20)).await;
    system.platform.store.set_part_fault(TOPIC, FALLBACK, Fault::Busy);
    wait_until_dropped(node, 2).await;
    tokio::time::sleep(UNREAD_FOR).await;
    system.platform.store.set_part_fault(TOPIC, FALLBACK, Fault::None);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}

/// Guards against a completed job that runs again on a new owner. The new owner read the job while it ran, and then
/// nothing until the job's records were dropped. It then reads the newest record of each key, which includes no record
/// of the job, and must not keep its old knowledge that the job's tasks run. Otherwise it starts them again, as no VM
/// lists them.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_node_does_not_rerun_a_job_that_was_settled_and_dropped_meanwhile() {
    let mut system = start(111, 2).await;
    let owner = system.owner().expect("the pool has an owner");
    let other = 1 - owner;
    // The other node reads new records every four seconds.
    expect_that!(submit(&system.nodes[owner], ID, &job(2, 9_000)).await.status, eq(200));
    wait_until_state(&system.nodes[owner], ID, "running").await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    system.nodes[other].signal("STOP");
    wait_until_state(&system.nodes[owner], ID, "completed").await;
    let owning = &system.nodes[owner];
    let before = owning.log().matches(DROPPED).count();
    let records = || system.platform.store.newest(TOPIC, SUBMISSIONS, &format!("j{ID}"));
    wait_until("the records of the job were dropped", async || records().is_none()).await;
    expect_that!(owning.log().matches(DROPPED).count(), gt(before));
    system.nodes[other].signal("CONT");
    tokio::time::sleep(Duration::from_secs(6)).await;
    system.nodes[owner].kill();
    wait_until("the other node owns the pool", async || system.owner() == Some(other)).await;
    let second = "00000000000000fe";
    expect_that!(submit(&system.nodes[other], second, &job(1, 10)).await.status, eq(200));
    wait_until_state(&system.nodes[other], second, "completed").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}
