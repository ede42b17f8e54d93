//! Jobs whose records were dropped, as they were settled long ago, with real nodes.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{Node, System, job, submit, until, until_state};
use thistle_platform::standin::Fault;

const ID: &str = "5c0e7a21d94b36f8";
const TOPIC: &str = "jobs.desk";
const SUBMISSIONS: u32 = 0;
const SPARE: u32 = 2;
/// What a node tells as it drops the records of settled jobs.
const DROPPED: &str = "jobs step=dropped";
/// So long a partition must not have been read for its newest records to be read, and a little more.
const NOT_READ: Duration = Duration::from_secs(11);

/// Starts nodes that drop settled jobs as soon as they may: half a minute after they were settled.
async fn start(net: u8, nodes: u8) -> System {
    let mut system = System::start(net, 2, 0).await;
    system.further_settings = "keep_settled: 1s\n".to_owned();
    for i in 0..nodes {
        system.add_node(system::ip(net, 10 + i));
    }
    for node in &system.nodes {
        until("a node is ready", || node.is_ready()).await;
    }
    until("the pool has an owner", async || system.owner().is_some()).await;
    let first = "00000000000000ff";
    expect_that!(submit(&system.nodes[0], first, &job(1, 10)).await.status, eq(200));
    until_state(&system.nodes[0], first, "completed").await;
    system
}

async fn until_dropped(node: &Node, times: usize) {
    until("records were dropped", async || node.log().matches(DROPPED).count() >= times).await;
}

/// A job that was completed was run again. It stood in the spare partition, which took no records as its job was dropped: the owner
/// had dropped it in the first partition by then, and whoever reads that forgets the job and its progress, the owner too, so that
/// it did not try again. Once the spare partition had not been read for ten seconds it was read from its newest records, and the
/// submission there was taken for a new one:
///
///     05:20:05.375 INFO end run=JOB.0.0.0#1 vm=i-m-1-1 how=Done number=3
///     05:20:40.650 INFO jobs step=dropped pool=desk count=1
///     05:20:52.336 INFO start step=ordered run=JOB.0.0.0#1 vm=i-m-1-1 queue=r/quotes/ token=1 free_cpu=15500
///     05:20:52.337 INFO start step=refused run=JOB.0.0.0#1 vm=i-m-1-1 answer=Old
///     05:20:52.343 INFO start step=ordered run=JOB.0.0.0#2 vm=i-m-0-1 queue=r/quotes/ token=1 free_cpu=15500
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_settled_job_stays_settled_though_the_spare_partition_does_not_take_its_being_dropped() {
    let system = start(110, 1).await;
    let node = &system.nodes[0];
    until_dropped(node, 1).await;
    system.platform.store.set_part_fault(TOPIC, SUBMISSIONS, Fault::Busy);
    expect_that!(submit(node, ID, &job(2, 100)).await.status, eq(200));
    until_state(node, ID, "completed").await;
    system.platform.store.set_part_fault(TOPIC, SUBMISSIONS, Fault::None);
    tokio::time::sleep(Duration::from_secs(20)).await;
    system.platform.store.set_part_fault(TOPIC, SPARE, Fault::Busy);
    until_dropped(node, 2).await;
    tokio::time::sleep(NOT_READ).await;
    system.platform.store.set_part_fault(TOPIC, SPARE, Fault::None);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}

/// A job that was completed was run again by a node that had read it while it ran and then read nothing until its records were
/// dropped. Such a node reads the newest record of each key, among which there is none of that job any more, and keeps what it knew
/// of it: that its tasks run. When it came to own the pool their VM did not list them, and they were started:
///
///     05:19:39.024 INFO end run=JOB.0.0.0#1 vm=i-m-1-1 how=Done number=3
///     05:20:10.290 INFO jobs step=dropped pool=desk count=1
///     05:20:19.384 INFO owner pool=desk step=took-over token=4 jobs=1 placed=2 took_ms=11
///     05:20:19.390 INFO run step=not-listed run=JOB.0.0.0#1 vm=i-m-1-1
///     05:20:19.397 INFO start step=ordered run=JOB.0.0.0#2 vm=i-m-0-1 queue=r/quotes/ token=4 free_cpu=15500
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_is_settled_and_dropped_while_a_node_stands_still_is_not_run_again_by_it() {
    let mut system = start(111, 2).await;
    let owner = system.owner().expect("the pool has an owner");
    let other = 1 - owner;
    // The other node reads on every four seconds.
    expect_that!(submit(&system.nodes[owner], ID, &job(2, 9_000)).await.status, eq(200));
    until_state(&system.nodes[owner], ID, "running").await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    system.nodes[other].signal("STOP");
    until_state(&system.nodes[owner], ID, "completed").await;
    let owning = &system.nodes[owner];
    let before = owning.log().matches(DROPPED).count();
    let records = || system.platform.store.newest(TOPIC, SUBMISSIONS, &format!("j{ID}"));
    until("its records were dropped", async || records().is_none()).await;
    expect_that!(owning.log().matches(DROPPED).count(), gt(before));
    system.nodes[other].signal("CONT");
    tokio::time::sleep(Duration::from_secs(6)).await;
    system.nodes[owner].kill();
    until("the other node owns the pool", async || system.owner() == Some(other)).await;
    let second = "00000000000000fe";
    expect_that!(submit(&system.nodes[other], second, &job(1, 10)).await.status, eq(200));
    until_state(&system.nodes[other], second, "completed").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}
