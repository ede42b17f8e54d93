//! Releases shards: all of them when the node stops, and one at a time to a node that owns none, is stronger or may reach the VMs.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use thistle_platform::store::MAX_APPEND_TIMEOUT;
use thistle_platform::{Appended, Guard, KeyedRecord};
use thistle_schedule::ownership::{Claim, Handover, HandoverReason};

use super::{
    CLAIM_EVERY, CLAIMS, OWNER_PREFIX, Running, TOPIC, reconcile_owners, to_json, with_lease_bounds,
};
use crate::caps::CAPS;
use crate::clock::steady_ms;
use crate::fleet_owner::FLEET;
use crate::locks::lock;
use crate::node::Node;
use crate::run;

/// How long to wait for orders that are in flight when the owner of the fleet stops: the machine service answers
/// within about 20 ms.
const LAST_ORDERS_WAIT: Duration = Duration::from_millis(150);
/// The maximum number of attempts to release shards. If all fail, other nodes claim the shards after the lease ends.
const RELEASE_TRIES: u32 = 10;

/// Returns the shard that this node hands over now, if any, and the end of the claims by which it does.
pub(super) fn handover_due(node: &Node) -> Option<(Handover, u64)> {
    // All claims before this end are applied already.
    let end = node.claims_end.get()?;
    let fleet = node.settings.machine_service.map(|_| Arc::from(FLEET));
    let pools = node.pool_logs().into_iter().map(|log| log.pool.clone());
    let shards: Vec<Arc<str>> = pools.chain(fleet).collect();
    let is_healthy = node.store_health.listing_is_complete() && !node.store.is_slow();
    let handover = lock(&node.ownership).to_hand_over(&shards, is_healthy, steady_ms())?;
    Some((handover, end))
}

/// Returns the pool that this node releases now because it reaches none of its VMs, if any, and the end of the claims by which it
/// does.
pub(super) fn unreached_pool(node: &Node) -> Option<(Handover, u64)> {
    let end = node.claims_end.get()?;
    if !node.lease_valid() || !node.store_health.is_reachable() {
        return None;
    }
    let pools: Vec<Arc<str>> = node.pool_logs().into_iter().map(|log| log.pool.clone()).collect();
    let handover = lock(&node.ownership).to_release_unreached(&pools, steady_ms())?;
    Some((handover, end))
}

/// Stops the owner of a shard and releases the shard to another node. The append is rejected if any claim follows those that
/// this node has read, so that of all nodes only one hands over a shard at a time. If it is not accepted, this node claims the
/// shard again under a new token.
pub(super) async fn hand_over(
    node: &Arc<Node>,
    running: &mut Running,
    (handover, end): &(Handover, u64),
) {
    let Handover { shard, successor, owned, reason } = handover;
    let unreached = matches!(reason, HandoverReason::Unreachable)
        .then(|| lock(&node.ownership).unreached_after_release(shard));
    let reason = reason.name();
    let Some(&(token, _)) = running.get(shard) else {
        log::info!("owner pool={shard} step=not-handed-over to={successor} reason=not-running");
        return;
    };
    log::info!(
        "owner pool={shard} step=handing-over to={successor} reason={reason} owned={owned} token={token}"
    );
    lock(&node.ownership).record_owner_end(shard, token, steady_ms());
    reconcile_owners(node, running);
    if &**shard == FLEET {
        tokio::time::sleep(LAST_ORDERS_WAIT).await;
    }
    let claim = Claim::released(node.me.clone(), Some(successor.clone()));
    let claim = claim.with_unreached(unreached);
    let claim = with_lease_bounds(node, shard, claim);
    let record = KeyedRecord::new(format!("{OWNER_PREFIX}{shard}"), to_json(&claim));
    match node.store.append(TOPIC, CLAIMS, Guard::EndsAt(*end), &[record]).await {
        Ok(Appended::Done { offset, end }) => {
            node.claims_end.advance_to(end);
            log::info!(
                "owner pool={shard} step=handed-over to={successor} reason={reason} owned={owned} token={token}"
            );
            counter!("thistle_handovers", "reason" => reason).increment(1);
            lock(&node.ownership).record_claim(shard, claim, offset, steady_ms());
        }
        Ok(other) => log::info!("owner pool={shard} step=not-released answer={other:?}"),
        Err(e) => log::warn!("owner pool={shard} step=not-released error=\"{e}\""),
    }
}

/// Keeps the shards of this node, which is stopping, while no other node can claim them, but leaves time for an unanswered release
/// and another one before the exit. Load pattern: restarts that overlap, so that all nodes are stopping for a while.
pub(super) async fn keep_until_claimable(node: &Arc<Node>, running: &mut Running) {
    let began = steady_ms();
    let stop_time = run::stop_time(node.settings.stop_grace.0);
    let max_kept = stop_time.saturating_sub(MAX_APPEND_TIMEOUT + CLAIM_EVERY);
    let release_at = began + u64::try_from(max_kept.as_millis()).unwrap_or(0);
    while !running.is_empty()
        && steady_ms() < release_at
        && !lock(&node.ownership).has_successor(began, steady_ms())
    {
        tokio::time::sleep(CLAIM_EVERY).await;
        reconcile_owners(node, running);
    }
    let kept_ms = steady_ms().saturating_sub(began);
    log::info!("owner step=releasing shards={} kept_ms={kept_ms}", running.len());
}

/// Stops all owners and releases their shards, so that other nodes can claim them immediately.
pub(super) async fn release_all(node: &Arc<Node>, running: Running) {
    node.end_lease();
    // Includes shards whose owners on this node have ended by themselves.
    let (shards, successors) = {
        let ownership = lock(&node.ownership);
        let shards = ownership.own_shards();
        let names: Vec<Arc<str>> = shards.iter().map(|(shard, _)| shard.clone()).collect();
        let successors = ownership.successors(&names, steady_ms());
        (shards, successors)
    };
    for (shard, (_, task)) in running {
        task.abort();
        if &*shard != FLEET && &*shard != CAPS {
            drop(node.ensure_pool_log(&shard).connect_owner(None));
        }
    }
    let mut records = Vec::new();
    for ((shard, token), successor) in shards.into_iter().zip(successors) {
        let to = successor.as_deref().unwrap_or("any");
        log::info!("owner pool={shard} step=given-up token={token} to={to}");
        counter!("thistle_handovers", "reason" => "stop").increment(1);
        let claim = with_lease_bounds(node, &shard, Claim::released(node.me.clone(), successor));
        records.push(KeyedRecord::new(format!("{OWNER_PREFIX}{shard}"), to_json(&claim)));
    }
    let fleet = format!("{OWNER_PREFIX}{FLEET}");
    let (fleet, others): (Vec<_>, Vec<_>) = records.into_iter().partition(|r| r.key == fleet);
    // Orders to the machine service that are in flight are answered within this time.
    let release_fleet = async {
        tokio::time::sleep(LAST_ORDERS_WAIT).await;
        release(node, &fleet).await;
    };
    tokio::join!(release(node, &others), release_fleet);
}

/// Writes records that release what this node owns.
async fn release(node: &Node, records: &[KeyedRecord]) {
    if records.is_empty() {
        return;
    }
    for _ in 0..RELEASE_TRIES {
        match node.store.append(TOPIC, CLAIMS, Guard::Always, records).await {
            Ok(_) => return,
            Err(e) => log::warn!("owner step=release-failed error=\"{e}\""),
        }
        tokio::time::sleep(CLAIM_EVERY).await;
    }
}
