//! Leases of owners while the store is slow and many nodes own nothing.

mod system;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;
use system::{System, ip, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::Fault;
use thistle_platform::{Guard, KeyedRecord, Store};

/// The third part of the addresses of this file's test.
const NET: u8 = 72;
/// The partitions of heartbeats that a node without shards uses.
const HEARTBEATS: [u32; 2] = [1, 4];

/// Sends the heartbeats of a node that owns nothing, as a real one does.
async fn send_idle_heartbeats(store: Store, number: usize) {
    for sequence in 1_u64.. {
        let sent_at = Instant::now();
        let value = json!({
            "life": number, "sequence": sequence, "leaving": false, "reads_owner_heartbeats": true,
        });
        let record = [KeyedRecord::new(format!("member/idle-{number}"), value.to_string())];
        for part in HEARTBEATS {
            if store.append("control", part, Guard::Always, &record).await.is_ok() {
                break;
            }
        }
        while sent_at.elapsed() < Duration::from_millis(2_500) {
            tokio::time::sleep(Duration::from_millis(450)).await;
        }
    }
}

/// The store becomes 50 times as slow and appends one record at a time to each partition. The heartbeats of 35 nodes that own
/// nothing fill the queue of the common partition, so that an owner's heartbeat there is answered or rejected after two
/// seconds. Its lease expired meanwhile, and its orders stopped.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owners_keep_their_leases_while_heartbeats_of_idle_nodes_fill_a_partition() {
    let mut system = System::start(NET, 1, 0).await;
    system.extra_settings = "policy:\n  ownership:\n    owner_heartbeats: true\n".to_owned();
    for host in [10, 11] {
        system.add_node(ip(NET, host));
    }
    wait_until("the pool has an owner", async || system.owner().is_some()).await;
    let fleet = || system.platform.store.offset_of("control", 0, "owner/#fleet");
    wait_until("the fleet has an owner", async || fleet().is_some()).await;
    let owner = system.owner().expect("the pool has an owner");
    // As many appends wait as of 35 nodes with a store 60 times as slow.
    for number in 0..42 {
        let store = Store::new(system.platform.store_addr());
        tokio::spawn(send_idle_heartbeats(store, number));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let claims = (system.platform.store.offset_of("control", 0, "owner/desk"), fleet());
    system.platform.store.set_fault(Fault::Slow);
    let began = Instant::now();
    let (mut samples, mut expired) = (0, 0);
    while began.elapsed() < Duration::from_secs(20) {
        let metrics = system.nodes[owner].metrics().await;
        samples += 1;
        expired += usize::from(!metrics.contains("thistle_lease_valid 1"));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    expect_that!(samples, ge(50));
    expect_that!(expired, eq(0), "of {samples} samples");
    let now = (system.platform.store.offset_of("control", 0, "owner/desk"), fleet());
    expect_that!(now, eq(claims), "a shard has another owner");
    let node = &system.nodes[owner];
    let id = "00000000000000a1";
    expect_that!(submit(node, id, &job(1, 10)).await.status, eq(200));
    wait_until_state(node, id, "completed").await;
}
