//! Sends heartbeats and receives those of other nodes.

use std::sync::Arc;
use std::time::Duration;

use thistle_platform::{Appended, Guard, KeyedRecord, Stored};
use thistle_schedule::Ms;
use thistle_schedule::ownership::Heartbeat;

use super::{CLAIMS, TOPIC, to_json};
use crate::clock::steady_ms;
use crate::follow::{Tail, Update};
use crate::locks::lock;
use crate::node::Node;
use crate::outlook;

/// The partition of heartbeats, and of the outlooks of pools.
pub const HEARTBEATS: u32 = 1;
/// The fallback partition, for heartbeats that the first one does not accept.
const FALLBACK_HEARTBEATS: u32 = 4;
/// The prefix of the keys of heartbeats.
const MEMBER_PREFIX: &str = "member/";
/// The time between two heartbeats of a node: four of them fit in an owner's lease.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(450);
/// The number of heartbeats after which the first partition is tried first again.
const RETRY_FIRST_EVERY: u64 = 8;
/// The maximum number of checks whether all claims were applied.
const CLAIMS_TRIES: u32 = 10;
/// Pause before each further check.
const CLAIMS_PAUSE: Duration = Duration::from_millis(20);
/// The time between two heartbeats of a node that owns nothing, in milliseconds.
const IDLE_HEARTBEAT_MS: Ms = 2_500;

/// Sends heartbeats and reads those of other nodes, concurrently: a heartbeat that a slow store leaves unanswered
/// takes seconds, and a node that receives no heartbeats meanwhile claims no pool. With a store 46 times slower than
/// usual and no concurrency, a released pool had no owner for 1.5 s after all nodes knew of its release.
pub async fn run(node: Arc<Node>) {
    tokio::join!(send_heartbeats(&node), follow_heartbeats(&node), poll_fallback_partition(&node));
}

/// Follows the heartbeats of other nodes.
async fn follow_heartbeats(node: &Node) {
    let mut tail = Tail::new(TOPIC, HEARTBEATS);
    loop {
        let previous_read_at = tail.read_at();
        if let Ok(update) = tail.read(&node.store, Duration::ZERO).await {
            // This is the most regular of all calls, so its lack of answers shows an unresponsive store.
            node.store_health.record_call(true);
            outlook::apply_records(node, &update, previous_read_at);
            apply_heartbeats(node, update);
        }
        tokio::time::sleep(HEARTBEAT_EVERY).await;
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
        Ok(update) => {
            let now = steady_ms();
            let mut ownership = lock(&node.ownership);
            apply_each(update, |name, heartbeat| {
                ownership.record_fallback_heartbeat(name, heartbeat, now);
            });
        }
        Err(e) => {
            log::info!("heartbeat step=not-read part={FALLBACK_HEARTBEATS} error=\"{e}\"");
            lock(&node.ownership).reset_timeouts(steady_ms());
        }
    }
}

async fn send_heartbeats(node: &Node) {
    let mut parts = [HEARTBEATS, FALLBACK_HEARTBEATS];
    let mut sequence = 0;
    loop {
        let sent_at = steady_ms();
        sequence += 1;
        if sequence % RETRY_FIRST_EVERY == 0 {
            parts = [HEARTBEATS, FALLBACK_HEARTBEATS];
        }
        for i in 0..parts.len() {
            if send_heartbeat(node, parts[i], sequence).await {
                // The partition that accepted the heartbeat is tried first next time.
                parts.swap(0, i);
                break;
            }
        }
        wait_for_next_heartbeat(node, sent_at).await;
    }
}

/// Sends one heartbeat and returns whether the store accepted it.
async fn send_heartbeat(node: &Node, part: u32, sequence: u64) -> bool {
    let sent_at = steady_ms();
    let leaving = *node.stopping.borrow();
    let relay = node.settings.relay_listen;
    let speed = node.speed;
    let heartbeat = Heartbeat { incarnation: node.me.incarnation, sequence, leaving, relay, speed };
    let key = format!("{MEMBER_PREFIX}{}", node.me.name);
    let record = KeyedRecord::new(key, to_json(&heartbeat));
    match node.store.append(TOPIC, part, Guard::Always, &[record]).await {
        Ok(Appended::Done { .. }) => {
            node.store_health.record_call(true);
            // A node that owns nothing, as far as it knows, may renew its lease without knowing all claims.
            let owns_nothing = !lock(&node.ownership).owns_any();
            if !leaving && (node.lease_valid() || owns_nothing || claims_are_known(node).await) {
                node.renew_lease(sent_at);
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

/// Returns whether this node has applied all current claims. After its lease ended, another node may have claimed
/// what this one owned, so a heartbeat alone does not renew the lease.
async fn claims_are_known(node: &Node) -> bool {
    for _ in 0..CLAIMS_TRIES {
        let Some(end) = node.claims_end.get() else { return false };
        match node.store.read(TOPIC, CLAIMS, end, Duration::ZERO).await {
            Ok(batch) if batch.records.is_empty() => return true,
            // The task that follows the claims applies them.
            Ok(_) => tokio::time::sleep(CLAIMS_PAUSE).await,
            Err(e) => {
                log::info!("owner step=claims-not-known error=\"{e:?}\"");
                return false;
            }
        }
    }
    log::info!("owner step=claims-not-known tries={CLAIMS_TRIES}");
    false
}

/// Waits until the next heartbeat is due. A node that owns nothing sends fewer: all heartbeats share one partition,
/// which appends one at a time.
async fn wait_for_next_heartbeat(node: &Node, sent_at: Ms) {
    loop {
        tokio::time::sleep(HEARTBEAT_EVERY).await;
        let waited = steady_ms().saturating_sub(sent_at);
        if lock(&node.ownership).owns_any() || waited >= IDLE_HEARTBEAT_MS {
            return;
        }
    }
}

fn apply_heartbeats(node: &Node, update: Update) {
    let now = steady_ms();
    let mut ownership = lock(&node.ownership);
    if ownership.record_read(now) {
        log::info!("heartbeat step=listening-again");
    }
    let any = !update.is_empty();
    apply_each(update, |name, heartbeat| ownership.record_heartbeat(name, heartbeat, now));
    if any {
        node.store.set_peers(ownership.relays(now));
    }
}

fn apply_each(update: Update, mut apply: impl FnMut(&str, &Heartbeat)) {
    let records = match update {
        Update::Reloaded(records) | Update::Records(records) => records,
    };
    for Stored { record, offset } in records {
        let Some(name) = record.key.strip_prefix(MEMBER_PREFIX) else { continue };
        let Some(value) = record.value() else { continue };
        match serde_json::from_slice::<Heartbeat>(value) {
            Ok(heartbeat) => apply(name, &heartbeat),
            Err(e) => log::error!("heartbeat step=unreadable offset={offset} error=\"{e}\""),
        }
    }
}
