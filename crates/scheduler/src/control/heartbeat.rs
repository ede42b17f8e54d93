//! Receives the heartbeats of other nodes.

use std::sync::Arc;
use std::time::Duration;

use thistle_platform::Stored;
use thistle_schedule::Ms;
use thistle_schedule::ownership::{HEARTBEAT_MS, Heartbeat, HeartbeatPartition};
use tokio::sync::Notify;

use super::TOPIC;
use super::send_heartbeats::send_heartbeats;
use super::shard_heartbeats::poll_own_partitions;
use crate::clock::steady_ms;
use crate::follow::{Tail, Update};
use crate::locks::lock;
use crate::node::Node;
use crate::outlook;

/// The common partition of heartbeats.
pub(super) const HEARTBEATS: u32 = 1;
/// The fallback partition, for heartbeats that the first one does not accept.
pub(super) const FALLBACK_HEARTBEATS: u32 = 4;
/// The partition of the heartbeats of owners.
pub(super) const OWNER_HEARTBEATS: u32 = 7;
/// The prefix of the keys of heartbeats.
pub(super) const MEMBER_PREFIX: &str = "member/";
/// The time between two heartbeats of an owner, and between two reads of heartbeats.
pub(super) const HEARTBEAT_EVERY: Duration = Duration::from_millis(HEARTBEAT_MS);
/// How long a read of heartbeats takes at least when the store counts as slow, in milliseconds.
const SLOW_READ_MS: Ms = 100;

/// Returns the partition of the pools' outlooks: the one with heartbeats that all nodes read most often.
pub fn outlook_partition(node: &Node) -> u32 {
    match node.settings.policy.ownership.owner_heartbeats {
        true => OWNER_HEARTBEATS,
        false => HEARTBEATS,
    }
}

/// Sends heartbeats and reads those of other nodes, concurrently: a heartbeat that a slow store leaves unanswered
/// takes seconds, and a node that receives no heartbeats meanwhile claims no pool. With a store 46 times slower than
/// usual and no concurrency, a released pool had no owner for 1.5 s after all nodes knew of its release.
pub async fn run(node: Arc<Node>) {
    let common_due = Notify::new();
    tokio::join!(
        send_heartbeats(&node),
        follow_heartbeats(&node, &common_due),
        follow_common_partition(&node, &common_due),
        poll_fallback_partition(&node),
        poll_own_partitions(&node),
    );
}

/// Follows the heartbeats of other nodes. Of the two partitions, this task reads the owners' one, and has the common one read
/// when it is due, so that an unanswered read of one does not delay those of the other.
async fn follow_heartbeats(node: &Node, common_due: &Notify) {
    if !node.settings.policy.ownership.owner_heartbeats {
        return;
    }
    let mut tail = Tail::new(TOPIC, OWNER_HEARTBEATS);
    let mut is_slow = false;
    for count in 0.. {
        let due = lock(&node.ownership).partitions_to_read(
            count,
            is_slow || node.store.is_slow(),
            steady_ms(),
        );
        if due.contains(&HeartbeatPartition::Common) {
            common_due.notify_one();
        }
        if due.contains(&HeartbeatPartition::Owners) {
            let sent_at = steady_ms();
            read_heartbeats(node, &mut tail, HeartbeatPartition::Owners).await;
            is_slow = steady_ms().saturating_sub(sent_at) >= SLOW_READ_MS;
        }
        tokio::time::sleep(HEARTBEAT_EVERY).await;
    }
}

/// Reads the common partition of heartbeats each time it is due; without an owners' partition, regularly.
async fn follow_common_partition(node: &Node, due: &Notify) {
    let mut tail = Tail::new(TOPIC, HEARTBEATS);
    loop {
        if node.settings.policy.ownership.owner_heartbeats {
            due.notified().await;
        }
        read_heartbeats(node, &mut tail, HeartbeatPartition::Common).await;
        if !node.settings.policy.ownership.owner_heartbeats {
            tokio::time::sleep(HEARTBEAT_EVERY).await;
        }
    }
}

async fn read_heartbeats(node: &Node, tail: &mut Tail, partition: HeartbeatPartition) {
    let previous_read_at = tail.read_at();
    match tail.read(&node.store, Duration::ZERO).await {
        Ok(update) => {
            // These are the most regular of all calls, so their lack of answers shows an unresponsive store.
            node.store_health.record_call(true);
            outlook::apply_records(node, &update, previous_read_at);
            apply_heartbeats(node, update, tail, partition);
        }
        Err(e) => log::debug!("heartbeat step=not-read partition={partition:?} error=\"{e}\""),
    }
}

/// Reads the fallback partition of heartbeats while no heartbeat of some owner has arrived for a while.
async fn poll_fallback_partition(node: &Node) {
    let mut fallback = Tail::new(TOPIC, FALLBACK_HEARTBEATS);
    loop {
        if lock(&node.ownership).has_overdue_owner(steady_ms()) {
            read_fallback_partition(node, &mut fallback).await;
        }
        tokio::time::sleep(HEARTBEAT_EVERY).await;
    }
}

async fn read_fallback_partition(node: &Node, fallback: &mut Tail) {
    match fallback.read(&node.store, Duration::ZERO).await {
        Ok(update) => apply_heartbeats(node, update, fallback, HeartbeatPartition::Fallback),
        Err(e) => {
            log::info!("heartbeat step=not-read part={FALLBACK_HEARTBEATS} error=\"{e}\"");
            lock(&node.ownership).reset_timeouts(steady_ms());
        }
    }
}

fn apply_heartbeats(node: &Node, update: Update, tail: &Tail, partition: HeartbeatPartition) {
    let now = steady_ms();
    let mut ownership = lock(&node.ownership);
    if ownership.record_partition_read(partition, tail.read_at(), now) {
        match node.settings.policy.ownership.owner_heartbeats {
            true => log::info!("heartbeat step=listening-again partition={partition:?}"),
            false => log::info!("heartbeat step=listening-again"),
        }
    }
    let any = !update.is_empty();
    // With two partitions, the newest record of a node in one may be older than those in the other.
    let is_outdated =
        node.settings.policy.ownership.owner_heartbeats && matches!(update, Update::Reloaded(_));
    apply_each(update, |name, heartbeat| match partition {
        HeartbeatPartition::Owners => ownership.record_owner_heartbeat(name, heartbeat, now),
        HeartbeatPartition::Fallback => ownership.record_fallback_heartbeat(name, heartbeat, now),
        HeartbeatPartition::Common if is_outdated => {
            ownership.record_fallback_heartbeat(name, heartbeat, now);
        }
        HeartbeatPartition::Common => ownership.record_heartbeat(name, heartbeat, now),
    });
    // While the common partition is not read, most members seem to be gone.
    if any && partition == HeartbeatPartition::Common {
        node.store.set_peers(ownership.relays(now));
    }
}

fn apply_each(update: Update, mut apply: impl FnMut(&str, &Heartbeat)) {
    let records = match update {
        Update::Reloaded(records) | Update::Records(records) => records,
    };
    for (name, heartbeat) in records.iter().filter_map(decode) {
        apply(name, &heartbeat);
    }
}

/// Decodes a heartbeat; `None` for other records.
pub(super) fn decode(Stored { record, offset }: &Stored) -> Option<(&str, Heartbeat)> {
    let name = record.key.strip_prefix(MEMBER_PREFIX)?;
    match serde_json::from_slice::<Heartbeat>(record.value()?) {
        Ok(heartbeat) => Some((name, heartbeat)),
        Err(e) => {
            log::error!("heartbeat step=unreadable offset={offset} error=\"{e}\"");
            None
        }
    }
}
