//! Heartbeats of owners in a partition of their own: while the store is slow, while the partition is down, and beside nodes
//! that do not read it.

mod idle_nodes;
mod system;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;
use system::{System, ip, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::Fault;

/// The settings of a node that uses the partition.
const WITH_PARTITION: &str = "policy:\n  ownership:\n    owner_heartbeats: true\n";
/// The partition of the heartbeats of owners.
const OWNER_HEARTBEATS: u32 = 7;

/// Two nodes, of which one owns the pool, beside as many heartbeats of nodes that own nothing as of 35 nodes with a store 60
/// times as slow.
async fn start_beside_idle_nodes(net: u8) -> (System, usize) {
    let mut system = System::start(net, 1, 0).await;
    system.extra_settings = WITH_PARTITION.to_owned();
    for host in [10, 11] {
        system.add_node(ip(net, host));
    }
    wait_until("the pool has an owner", async || system.owner().is_some()).await;
    let fleet = || system.platform.store.offset_of("control", 0, "owner/#fleet");
    wait_until("the fleet has an owner", async || fleet().is_some()).await;
    let owner = system.owner().expect("the pool has an owner");
    let reads = json!({ "reads_owner_heartbeats": true });
    idle_nodes::add(system.platform.store_addr(), 42, &reads);
    tokio::time::sleep(Duration::from_secs(3)).await;
    (system, owner)
}

/// Returns how many of the samples taken until a time show an owner whose lease has expired, and the number of samples.
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

/// Returns the lines of a node's log about its heartbeats and what it owns.
fn ownership_log(system: &System, node: usize) -> String {
    let log = system.nodes[node].log();
    let lines = log.lines().filter(|l| l.contains(" heartbeat ") || l.contains(" owner "));
    lines.collect::<Vec<_>>().join("\n")
}

/// The store becomes 50 times as slow and appends one record at a time to each partition. The heartbeats of 35 nodes that own
/// nothing fill the queue of the common partition, so that an owner's heartbeat there is answered or rejected after two
/// seconds. Its lease expired meanwhile, and its orders stopped.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owners_keep_their_leases_while_heartbeats_of_idle_nodes_fill_a_partition() {
    let (system, owner) = start_beside_idle_nodes(72).await;
    let claims = || {
        let offset = |key: &str| system.platform.store.offset_of("control", 0, key);
        (offset("owner/desk"), offset("owner/#fleet"))
    };
    let before = claims();
    system.platform.store.set_fault(Fault::Slow);
    let until = Instant::now() + Duration::from_secs(20);
    let (expired, samples) = expired_samples(&system, owner, until).await;
    expect_that!(samples, ge(50));
    expect_that!(expired, eq(0), "of {samples} samples; {}", ownership_log(&system, owner));
    expect_that!(claims(), eq(before), "a shard has another owner");
    let node = &system.nodes[owner];
    let id = "00000000000000a1";
    expect_that!(submit(node, id, &job(1, 10)).await.status, eq(200));
    wait_until_state(node, id, "completed").await;
}

/// A heartbeat that the owners' partition rejects is sent to the fallback partition, where it waits behind those of idle nodes.
/// The next one to the owners' partition waited for its answer, and the lease expired.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rejected_heartbeat_does_not_delay_the_next_one_of_an_owner() {
    let (system, owner) = start_beside_idle_nodes(82).await;
    let store = &system.platform.store;
    store.set_fault(Fault::Slow);
    let (mut expired, mut samples) = (0, 0);
    for _ in 0..4 {
        let rejected = || ownership_log(&system, owner).matches("step=failed part=7").count();
        let before = rejected();
        store.set_part_fault("control", OWNER_HEARTBEATS, Fault::Busy);
        wait_until("a heartbeat is rejected", async || rejected() > before).await;
        store.set_part_fault("control", OWNER_HEARTBEATS, Fault::None);
        let until = Instant::now() + Duration::from_secs(4);
        let (e, s) = expired_samples(&system, owner, until).await;
        (expired, samples) = (expired + e, samples + s);
    }
    expect_that!(expired, eq(0), "of {samples} samples; {}", ownership_log(&system, owner));
}

/// Starts a node that owns the pool, and then another one. `settings` are their additional settings.
async fn start_two(net: u8, settings: [&str; 2]) -> System {
    let mut system = System::start(net, 2, 0).await;
    for (i, settings) in settings.into_iter().enumerate() {
        system.extra_settings = settings.to_owned();
        system.add_node(ip(net, 10 + u8::try_from(i).expect("small")));
        wait_until("a node is ready", || system.nodes[i].is_ready()).await;
    }
    assert_eq!(system.owner(), Some(0));
    system
}

/// An older node reads only the common partition, to which owners send few heartbeats. It would take an owner for unresponsive
/// 2.7 s after its own start, unless the owner notices it and sends all heartbeats there. When the owner is killed, either
/// takes over from the other.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_without_the_partition_takes_no_shard_from_a_live_owner() {
    for (net, settings) in [(75, [WITH_PARTITION, ""]), (76, ["", WITH_PARTITION])] {
        let mut system = start_two(net, settings).await;
        let claim = |system: &System| system.platform.store.offset_of("control", 0, "owner/desk");
        let first = claim(&system);
        tokio::time::sleep(Duration::from_secs(4)).await;
        // At the interval of other nodes, heartbeats would now be read 2.9 s after each other.
        system.platform.store.set_part_fault("control", 1, Fault::Slow);
        tokio::time::sleep(Duration::from_secs(10)).await;
        expect_that!(claim(&system), eq(first), "{settings:?}");
        system.platform.store.set_part_fault("control", 1, Fault::None);
        tokio::time::sleep(Duration::from_secs(3)).await;
        system.nodes[0].kill();
        let killed_at = Instant::now();
        wait_until("the other node owns the pool", async || system.owner() == Some(1)).await;
        // The owner's last heartbeat is read up to 0.9 s after it was sent. The rest is for a busy machine.
        expect_that!(killed_at.elapsed(), lt(Duration::from_secs(10)), "{settings:?}");
    }
}

/// A node without the partition reads only the common one and the fallback one. An owner whose lease is renewed by its own
/// partition, while the common one rejects its heartbeats, keeps its lease, but that node hears nothing and claims its shards.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_uses_the_fallback_partition_beside_a_node_without_the_partition() {
    let system = start_two(79, [WITH_PARTITION, ""]).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let claim = || system.platform.store.offset_of("control", 0, "owner/desk");
    let first = claim();
    for fault in [Fault::RejectsAppends, Fault::Busy] {
        system.platform.store.set_part_fault("control", 1, fault);
        tokio::time::sleep(Duration::from_secs(6)).await;
        expect_that!(claim(), eq(first), "{fault:?}");
        system.platform.store.set_part_fault("control", 1, Fault::None);
        tokio::time::sleep(Duration::from_secs(4)).await;
        expect_that!(claim(), eq(first), "after {fault:?}");
    }
}

/// A heartbeat that the owners' partition leaves unanswered is sent to the fallback partition. With the sequence number of the
/// first attempt, readers that know later heartbeats from the common partition ignore it, but it renews the lease, which then
/// ends up to two seconds after the time that they assume.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_heartbeat_sent_to_another_partition_has_a_later_sequence_number() {
    // Beside a node without the partition, an owner sends all heartbeats to the common one too.
    let system = start_two(80, [WITH_PARTITION, ""]).await;
    let store = &system.platform.store;
    let key = format!("member/{}", system.nodes[0].name);
    let sequence = |part| {
        let value = store.newest("control", part, &key)?;
        serde_json::from_slice::<serde_json::Value>(&value).expect("JSON")["sequence"].as_u64()
    };
    store.set_part_fault("control", OWNER_HEARTBEATS, Fault::Unresponsive);
    let began = Instant::now();
    let mut in_common = Vec::new();
    let (mut last, mut count) = (sequence(4), 0);
    while began.elapsed() < Duration::from_secs(12) {
        // Two heartbeats may be in flight at the same time.
        let before = Instant::now() - Duration::from_millis(100);
        let known = in_common.iter().rev().find(|(at, _)| *at <= before).and_then(|(_, s)| *s);
        let newest = sequence(4);
        if newest != last {
            expect_that!(newest, gt(known));
            (last, count) = (newest, count + 1);
        }
        in_common.push((Instant::now(), sequence(1)));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    expect_that!(count, ge(2), "heartbeats in the fallback partition");
}

/// Owners that depend on their partition of heartbeats lose their right to act within 2.2 s while it is down.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owners_keep_their_pools_while_their_partition_of_heartbeats_is_down() {
    let system = start_two(77, [WITH_PARTITION, WITH_PARTITION]).await;
    for (i, fault) in [Fault::Busy, Fault::Unresponsive].into_iter().enumerate() {
        system.platform.store.set_part_fault("control", OWNER_HEARTBEATS, fault);
        tokio::time::sleep(Duration::from_secs(4)).await;
        let id = format!("{:016x}", i + 1);
        expect_that!(submit(&system.nodes[0], &id, &job(2, 100)).await.status, eq(200));
        wait_until_state(&system.nodes[1], &id, "completed").await;
        expect_that!(system.owner(), eq(Some(0)), "{fault:?}");
        system.platform.store.set_part_fault("control", OWNER_HEARTBEATS, Fault::None);
        tokio::time::sleep(Duration::from_secs(4)).await;
        expect_that!(system.owner(), eq(Some(0)), "after {fault:?}");
    }
}

/// Without the partition, a node writes and logs what older nodes do. Otherwise each deployment would store more bytes, and
/// those who read the log would find another line.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heartbeats_and_log_lines_without_the_partition_are_as_before() {
    let system = start_two(81, ["", WITH_PARTITION]).await;
    for (node, uses_partition) in system.nodes.iter().zip([false, true]) {
        // A node may be ready before its first heartbeat is stored and before it has logged the line.
        let key = format!("member/{}", node.name);
        let newest = || system.platform.store.newest("control", 1, &key);
        wait_until("the node sends heartbeats", async || newest().is_some()).await;
        let value = newest().expect("a heartbeat");
        let value = String::from_utf8_lossy(&value);
        expect_that!(value.contains("reads_owner_heartbeats"), eq(uses_partition), "{value}");
        let heard = || {
            let log = node.log();
            let line = log.split_inclusive('\n').find(|l| l.contains("step=listening-again"))?;
            line.ends_with('\n').then(|| line.to_owned())
        };
        wait_until("the line is logged", async || heard().is_some()).await;
        let line = heard().expect("logged");
        expect_that!(line.contains("partition="), eq(uses_partition), "{line}");
    }
}
