//! Sends the heartbeats of this node.

use std::sync::atomic::{AtomicU64, Ordering};

use thistle_platform::{Appended, Guard, KeyedRecord};
use thistle_schedule::Ms;
use thistle_schedule::ownership::Heartbeat;
use tokio::sync::watch;

use super::heartbeat::{
    FALLBACK_HEARTBEATS, HEARTBEAT_EVERY, HEARTBEATS, MEMBER_PREFIX, OWNER_HEARTBEATS,
};
use super::renewal::renew_expired_leases;
use super::shard_heartbeats::send_to_own_partitions;
use super::{TOPIC, to_json};
use crate::clock::steady_ms;
use crate::locks::lock;
use crate::node::Node;

/// The number of heartbeats after which the first partition is tried first again.
const RETRY_FIRST_EVERY: u64 = 8;
/// The time between two heartbeats of a node that owns nothing, in milliseconds.
const IDLE_HEARTBEAT_MS: Ms = 2_500;

/// Sends heartbeats to the common partition, and those of an owner to the owners' partition at the same time. An unanswered
/// one does not delay those to the other partitions.
pub(super) async fn send_heartbeats(node: &Node) {
    let sequence = AtomicU64::new(0);
    let failing = watch::Sender::new(false);
    tokio::join!(
        send_to_common_partition(node, &sequence),
        send_as_owner(node, &sequence, &failing),
        send_as_owner_to_fallback(node, &sequence, failing.subscribe()),
        send_to_own_partitions(node, &sequence),
        renew_expired_leases(node),
    );
}

async fn send_to_common_partition(node: &Node, sequence: &AtomicU64) {
    let mut route = Route::new(HEARTBEATS);
    let mut was_beside_older = false;
    loop {
        let sent_at = steady_ms();
        let leaving = *node.stopping.borrow();
        let is_beside_older = sends_as_owner(node) && must_send_to_common_partition(node);
        if std::mem::replace(&mut was_beside_older, is_beside_older) != is_beside_older {
            log::info!("heartbeat step=common-partition-renews on={is_beside_older}");
        }
        // An owner uses the fallback partition for the heartbeats that its own partition does not accept, unless other nodes
        // do not read that one.
        let is_read_elsewhere = sends_as_owner(node) && !is_beside_older;
        let tries = if is_read_elsewhere { 1 } else { 2 };
        route.send(node, sequence, tries).await;
        wait_for_next_heartbeat(node, sent_at, leaving).await;
    }
}

/// Sends an owner's heartbeats to the owners' partition. `failing` tells whether that did not accept the last one.
async fn send_as_owner(node: &Node, sequence: &AtomicU64, failing: &watch::Sender<bool>) {
    loop {
        let fails = sends_as_owner(node) && !send_heartbeat(node, OWNER_HEARTBEATS, sequence).await;
        failing.send_replace(fails);
        tokio::time::sleep(HEARTBEAT_EVERY).await;
    }
}

/// Sends an owner's heartbeats to the fallback partition too while the owners' partition does not accept them. There they may wait
/// for up to two seconds behind those of nodes that own nothing.
async fn send_as_owner_to_fallback(
    node: &Node,
    sequence: &AtomicU64,
    mut failing: watch::Receiver<bool>,
) {
    while failing.wait_for(|&fails| fails).await.is_ok() {
        send_heartbeat(node, FALLBACK_HEARTBEATS, sequence).await;
        tokio::time::sleep(HEARTBEAT_EVERY).await;
    }
}

/// Returns whether this node sends heartbeats to the owners' partition.
fn sends_as_owner(node: &Node) -> bool {
    node.settings.policy.ownership.owner_heartbeats && lock(&node.ownership).owns_any()
}

/// Returns whether a node may run that reads only the common and the fallback partition.
fn must_send_to_common_partition(node: &Node) -> bool {
    lock(&node.ownership).must_send_to_common_partition()
}

/// The partitions to which heartbeats are sent, in the order in which they are tried.
struct Route {
    first: u32,
    parts: [u32; 2],
    sent: u64,
}

impl Route {
    const fn new(first: u32) -> Self {
        Self { first, parts: [first, FALLBACK_HEARTBEATS], sent: 0 }
    }

    /// Sends one heartbeat to the first of up to `tries` partitions that accepts it.
    async fn send(&mut self, node: &Node, sequence: &AtomicU64, tries: usize) {
        self.sent += 1;
        if self.sent.is_multiple_of(RETRY_FIRST_EVERY) || tries == 1 {
            self.parts = [self.first, FALLBACK_HEARTBEATS];
        }
        for i in 0..tries.min(self.parts.len()) {
            if send_heartbeat(node, self.parts[i], sequence).await {
                // The partition that accepted the heartbeat is tried first next time.
                self.parts.swap(0, i);
                break;
            }
        }
    }
}

/// Sends one heartbeat and returns whether the store accepted it.
async fn send_heartbeat(node: &Node, part: u32, sequence: &AtomicU64) -> bool {
    let sent_at = steady_ms();
    let record = heartbeat_record(node, sequence);
    match node.store.append(TOPIC, part, Guard::Always, &[record]).await {
        Ok(Appended::Done { .. }) => {
            node.store_health.record_call(true);
            // A node that does not read the owners' partition may claim what this one owns.
            if part != OWNER_HEARTBEATS || !must_send_to_common_partition(node) {
                node.renew_by_heartbeat(sent_at);
            }
            return true;
        }
        Ok(other) => log::error!("heartbeat step=refused part={part} answer={other:?}"),
        Err(e) => {
            node.store_health.record_call(false);
            log::info!("heartbeat step=failed part={part} error=\"{e}\"");
        }
    }
    false
}

/// Returns the record of the next heartbeat. To be called after the time from which it renews a lease.
pub(super) fn heartbeat_record(node: &Node, sequence: &AtomicU64) -> KeyedRecord {
    // Drawn for each attempt, and after `sent_at`: readers ignore a heartbeat if they know one with a higher number, which was
    // then appended after the time from which this one renews the lease.
    let sequence = sequence.fetch_add(1, Ordering::Relaxed) + 1;
    let leaving = *node.stopping.borrow();
    let relay = node.settings.relay_listen;
    let heartbeat = Heartbeat {
        incarnation: node.me.incarnation,
        sequence,
        leaving,
        relay,
        speed: node.speed,
        means: node.means(),
        reads_owner_heartbeats: node.settings.policy.ownership.owner_heartbeats,
        reads_shard_heartbeats: true,
    };
    KeyedRecord::new(format!("{MEMBER_PREFIX}{}", node.me.name), to_json(&heartbeat))
}

/// Waits until the next heartbeat to the common partition is due. A node that owns nothing sends fewer, because the partition
/// appends one at a time, and so does an owner whose heartbeats are all read elsewhere. A node that begins to stop sends one at
/// once, so that no other node names it as a successor; `leaving` tells whether the last one said so.
async fn wait_for_next_heartbeat(node: &Node, sent_at: Ms, leaving: bool) {
    let mut stopping = node.stopping.subscribe();
    loop {
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT_EVERY) => (),
            _ = stopping.wait_for(|&stop| stop), if !leaving => return,
        }
        let is_often = {
            let ownership = lock(&node.ownership);
            ownership.owns_any() && ownership.must_send_to_common_partition()
        };
        if is_often || steady_ms().saturating_sub(sent_at) >= IDLE_HEARTBEAT_MS {
            return;
        }
    }
}
