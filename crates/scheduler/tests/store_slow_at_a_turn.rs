//! Owners while the store is slow as the demand on their pool rises, with real nodes.
//!
//! Too little was served of a queue whose demand rises to five times its mean for some seconds. The store became slow at that
//! moment and appends one record at a time to each partition. An owner's heartbeats waited behind those of all nodes, and its lease
//! ended while the store answered its other appends, so that nothing started until that queue was empty.

mod idle_nodes;
mod system;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use idle_nodes::HEARTBEATS;
use serde_json::json;
use system::{System, ip, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::Fault;

/// How long an append takes while the store is slow: 46 times as long as usual.
const SLOW_TIME: Duration = Duration::from_millis(184);
/// The number of heartbeats in flight of nodes that own nothing, which fill the queues of both partitions.
const IDLE_NODES: usize = 42;

/// Two nodes, of which one owns the pool.
async fn start(net: u8) -> (System, usize) {
    let mut system = System::start(net, 2, 0).await;
    for host in [10, 11] {
        system.add_node(ip(net, host));
    }
    wait_until("the pool has an owner", async || system.owner().is_some()).await;
    let fleet = || system.platform.store.offset_of("control", 0, "owner/#fleet");
    wait_until("the fleet has an owner", async || fleet().is_some()).await;
    let owner = system.owner().expect("the pool has an owner");
    wait_until("the owner is ready", || system.nodes[owner].is_ready()).await;
    system.platform.store.set_slow_time(SLOW_TIME);
    (system, owner)
}

fn add_idle_nodes(system: &System, reads_shard_heartbeats: bool) {
    let reads = json!({ "reads_shard_heartbeats": reads_shard_heartbeats });
    idle_nodes::add(system.platform.store_addr(), IDLE_NODES, &reads);
}

/// Returns the lines of a node's log about its heartbeats and what it owns.
fn ownership_log(system: &System, node: usize) -> String {
    let log = system.nodes[node].log();
    let lines = log.lines().filter(|l| l.contains(" heartbeat ") || l.contains(" owner "));
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns how many of the samples taken until a time show an owner without a valid lease, and the number of samples.
async fn expired_samples(system: &System, owner: usize, until: Instant) -> (usize, usize) {
    let (mut samples, mut expired) = (0, 0);
    while Instant::now() < until {
        let metrics = system.nodes[owner].metrics().await;
        samples += 1;
        expired += usize::from(!metrics.contains("thistle_lease_valid 1"));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    (expired, samples)
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owners_serve_on_while_heartbeats_of_all_nodes_wait() {
    let (system, owner) = start(142).await;
    add_idle_nodes(&system, true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let claim = || system.platform.store.offset_of("control", 0, "owner/desk");
    let before = claim();
    system.platform.store.set_fault(Fault::Slow);
    let until = Instant::now() + Duration::from_secs(9);
    let demand = async {
        let mut ids = Vec::new();
        // The demand of a turn: several jobs a second.
        for number in 0..24 {
            let id = format!("{:016x}", 0x100 + number);
            let answer = submit(&system.nodes[number % 2], &id, &job(1, 10)).await;
            if answer.status == 200 {
                ids.push(id);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        ids
    };
    let ((expired, samples), ids) = tokio::join!(expired_samples(&system, owner, until), demand);
    expect_that!(samples, ge(50));
    expect_that!(expired, eq(0), "of {samples} samples; {}", ownership_log(&system, owner));
    expect_that!(claim(), eq(before), "the pool has another owner");
    expect_that!(ids, not(is_empty()));
    // The store is still slow.
    for id in &ids {
        expect_that!(system.starts_of(id).len(), eq(1), "{id}");
    }
    system.platform.store.set_fault(Fault::None);
    for id in &ids {
        wait_until_state(&system.nodes[owner], id, "completed").await;
    }
}

/// A store that is lost in part: the common partitions of heartbeats accept nothing for longer than leases last. Other nodes read the
/// own partition of a pool before they claim it. Once the owner is killed, the other node takes over, although those partitions
/// still accept nothing.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pool_keeps_its_owner_while_no_common_partition_accepts_heartbeats() {
    let (mut system, owner) = start(143).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let claim = |system: &System| system.platform.store.offset_of("control", 0, "owner/desk");
    let before = claim(&system);
    for part in HEARTBEATS {
        system.platform.store.set_part_fault("control", part, Fault::RejectsAppends);
    }
    let until = Instant::now() + Duration::from_secs(10);
    let (expired, samples) = expired_samples(&system, owner, until).await;
    expect_that!(expired, eq(0), "of {samples} samples; {}", ownership_log(&system, owner));
    expect_that!(claim(&system), eq(before), "the pool has another owner");
    system.nodes[owner].kill();
    wait_until("the other node owns the pool", async || system.owner() == Some(1 - owner)).await;
}

/// Nodes of an older build read only the common partitions. They would claim the pool of an owner that renews its lease elsewhere.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_owner_relies_on_its_own_partition_beside_nodes_of_an_older_build() {
    let (system, owner) = start(144).await;
    add_idle_nodes(&system, false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for part in HEARTBEATS {
        system.platform.store.set_part_fault("control", part, Fault::RejectsAppends);
    }
    let is_expired = async || !system.nodes[owner].metrics().await.contains("lease_valid 1");
    wait_until("the lease has ended", is_expired).await;
    let own = system.platform.store.keys("jobs.desk", 6);
    expect_that!(own, is_empty());
}
