//! The own partition of each shard, to which only its owner sends heartbeats, and only while those to the common partitions are
//! late. A node that would claim the shard reads it first.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use thistle_platform::{Appended, Guard};
use thistle_schedule::Ms;
use thistle_schedule::ownership::HEARTBEAT_MS;
use tokio::time::{MissedTickBehavior, interval};

use super::heartbeat::{HEARTBEAT_EVERY, decode};
use super::send_heartbeats::heartbeat_record;
use crate::caps::CAPS;
use crate::clock::steady_ms;
use crate::fleet_owner::FLEET;
use crate::follow::{Tail, Update};
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::{OWNER_HEARTBEATS, topic_of};

/// The topic with the own partitions of shards that have no topic for themselves.
const TOPIC: &str = "leases";
/// How often the leases are checked.
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// Returns the topic and the number of a shard's own partition.
fn own_partition(shard: &str) -> (String, u32) {
    match shard {
        FLEET => (TOPIC.to_owned(), 0),
        CAPS => (TOPIC.to_owned(), 1),
        pool => (topic_of(pool), OWNER_HEARTBEATS),
    }
}

/// Sends heartbeats to the own partitions of this node's shards while those to the common partitions are late. An unanswered one
/// delays neither the next one nor those of other shards.
pub(super) async fn send_to_own_partitions(node: &Node, sequence: &AtomicU64) {
    let mut sent: HashMap<Arc<str>, Ms> = HashMap::new();
    let mut in_flight = FuturesUnordered::new();
    let mut ticks = interval(CHECK_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => (),
            Some(()) = in_flight.next() => continue,
        }
        let now = steady_ms();
        sent.retain(|_, at| now.saturating_sub(*at) < HEARTBEAT_MS);
        let shards = node.shards_with_late_heartbeats();
        if shards.is_empty() || !lock(&node.ownership).all_read_shard_heartbeats() {
            continue;
        }
        for shard in shards {
            if !sent.contains_key(&shard) {
                sent.insert(shard.clone(), now);
                in_flight.push(send_own_heartbeat(node, shard, sequence));
            }
        }
    }
}

async fn send_own_heartbeat(node: &Node, shard: Arc<str>, sequence: &AtomicU64) {
    let sent_at = steady_ms();
    let record = heartbeat_record(node, sequence);
    let (topic, part) = own_partition(&shard);
    match node.store.append(&topic, part, Guard::Always, &[record]).await {
        Ok(Appended::Done { .. }) => {
            node.store_health.record_call(true);
            if lock(&node.ownership).all_read_shard_heartbeats() {
                node.renew_by_own_heartbeat(&shard, sent_at);
            }
            let took_ms = steady_ms().saturating_sub(sent_at);
            log::info!("heartbeat step=sent-to-own-partition shard={shard} took_ms={took_ms}");
        }
        Ok(other) => log::error!("heartbeat step=refused shard={shard} answer={other:?}"),
        Err(e) => {
            node.store_health.record_call(false);
            log::info!("heartbeat step=failed shard={shard} error=\"{e}\"");
        }
    }
}

/// Reads the own partitions of shards whose owners are silent.
pub(super) async fn poll_own_partitions(node: &Node) {
    let mut tails: HashMap<Arc<str>, Tail> = HashMap::new();
    loop {
        let shards = lock(&node.ownership).shards_to_read(steady_ms());
        for shard in &shards {
            tails.entry(shard.clone()).or_insert_with(|| {
                let (topic, part) = own_partition(shard);
                Tail::new(topic, part)
            });
        }
        let due = tails.iter_mut().filter(|(shard, _)| shards.contains(shard));
        join_all(due.map(|(shard, tail)| read_own_partition(node, shard, tail))).await;
        tokio::time::sleep(HEARTBEAT_EVERY).await;
    }
}

async fn read_own_partition(node: &Node, shard: &Arc<str>, tail: &mut Tail) {
    let sent_at = steady_ms();
    match tail.read(&node.store, Duration::ZERO).await {
        Ok(update) => {
            let (is_reload, records) = match update {
                Update::Reloaded(records) => (true, records),
                Update::Records(records) => (false, records),
            };
            // The reader has no such time for a reload, and an earlier one for a read that did not reach the end.
            let read_at = if is_reload { Some(sent_at) } else { tail.read_at() };
            let heartbeats = records.iter().filter_map(decode);
            lock(&node.ownership).record_shard_heartbeats(
                shard,
                heartbeats,
                is_reload,
                read_at.unwrap_or(0),
                steady_ms(),
            );
        }
        Err(e) => log::info!("heartbeat step=not-read shard={shard} error=\"{e}\""),
    }
}
