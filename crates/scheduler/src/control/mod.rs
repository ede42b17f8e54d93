//! Membership and ownership: heartbeats, claims, and starting and stopping the owners on this node. What a node can own is
//! called a shard: a pool, the fleet or the caps.

mod assignments;
mod claims_end;
mod heartbeat;
mod overflow;
mod release;
mod renewal;
mod send_heartbeats;
mod shard_heartbeats;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;
use thistle_platform::{Appended, Guard, KeyedRecord, Stored};
use thistle_schedule::ownership::Claim;
use tokio::task::AbortHandle;

use crate::caps::CAPS;
use crate::clock::steady_ms;
use crate::fleet_owner::FLEET;
use crate::follow::{ReadMode, Tail, Update, follow};
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::PoolLog;
use crate::{caps, fleet_owner, owner};

pub use assignments::{AssignmentRecord, QUEUE_PREFIX, follow_assigned_pools, write_assignments};
use assignments::{apply_assignment, first_assignments, record_own};
pub use claims_end::ClaimsEnd;
pub use heartbeat::outlook_partition;
use overflow::OVERFLOW_PREFIX;
pub use overflow::announce_overflow;
use release::{hand_over, handover_due, keep_until_claimable, release_all, unreached_pool};
use renewal::{LEASE_PREFIX, apply_renewal};

/// The topic of claims and heartbeats.
pub const TOPIC: &str = "control";
/// The partition of claims.
pub const CLAIMS: u32 = 0;
/// The prefix of the keys of claims.
pub const OWNER_PREFIX: &str = "owner/";
/// How often a node checks for shards without an owner.
const CLAIM_EVERY: Duration = Duration::from_millis(100);

/// The owners that run on this node, by shard (a pool's name, `FLEET` or `CAPS`), with their tokens.
type Running = HashMap<Arc<str>, (u64, AbortHandle)>;

/// Sends heartbeats, and follows and makes claims, until the task is dropped.
pub async fn run(node: Arc<Node>) {
    let follow_claims = follow_claims(node.clone());
    let follow_fleet = fleet_owner::follow_record(node.clone());
    let claim = run_claims(node.clone());
    let follow_lent = caps::follow_lent(node.clone());
    tokio::join!(follow_claims, follow_fleet, follow_lent, heartbeat::run(node.clone()), claim);
}

async fn follow_claims(node: Arc<Node>) {
    let cx = node.clone();
    follow(&node, Tail::new(TOPIC, CLAIMS), ReadMode::Immediate, move |update, tail| {
        let records = match update {
            Update::Reloaded(records) => {
                // Replace all at once, so that a claim made in between misses no announcement.
                lock(&cx.ownership).replace_overflow_partitions(pools_with_overflow(&records));
                records
            }
            Update::Records(records) => records,
        };
        for stored in records {
            if let Some(pool) = stored.record.key.strip_prefix(OVERFLOW_PREFIX) {
                let open = stored.record.value().is_some();
                lock(&cx.ownership).set_overflow_partitions(&pool.into(), open);
            } else if stored.record.key.starts_with(QUEUE_PREFIX) {
                apply_assignment(&cx, &stored);
            } else if stored.record.key.starts_with(LEASE_PREFIX) {
                apply_renewal(&cx, &stored);
            } else {
                apply_claim(&cx, &stored);
            }
        }
        if let Some(next) = tail.next_offset() {
            cx.claims_end.advance_to(next);
        }
        cx.ownership_changed.notify_one();
    })
    .await;
}

/// Returns the pools whose records announce that their progress may be in overflow partitions.
fn pools_with_overflow(records: &[Stored]) -> HashSet<Arc<str>> {
    let open_records = records.iter().filter(|stored| stored.record.value().is_some());
    open_records
        .filter_map(|stored| stored.record.key.strip_prefix(OVERFLOW_PREFIX))
        .map(Arc::from)
        .collect()
}

fn apply_claim(node: &Node, stored: &Stored) {
    let Some(shard) = stored.record.key.strip_prefix(OWNER_PREFIX) else { return };
    let Some(value) = stored.record.value() else { return };
    match serde_json::from_slice::<Claim>(value) {
        Ok(claim) => {
            log::info!(
                "owner pool={shard} step={} node={} token_offset={}",
                if claim.released { "released" } else { "claimed" },
                claim.owner.name,
                stored.offset,
            );
            lock(&node.ownership).record_claim(&shard.into(), claim, stored.offset, steady_ms());
        }
        Err(e) => log::error!("owner step=unreadable offset={} error=\"{e}\"", stored.offset),
    }
}

/// Encodes a record that operators may read.
pub fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Encoding plain structs into memory cannot fail.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Claims shards without an owner, and starts and stops the owners on this node as the claims require.
async fn run_claims(node: Arc<Node>) {
    let mut running = Running::new();
    let mut stopping = node.stopping.subscribe();
    loop {
        tokio::select! {
            () = tokio::time::sleep(CLAIM_EVERY) => (),
            () = node.ownership_changed.notified() => (),
            _ = stopping.wait_for(|&stop| stop) => break,
        }
        for shard in shards_to_claim(&node) {
            claim_shard(&node, &shard).await;
        }
        reconcile_owners(&node, &mut running);
        if let Some(handover) = unreached_pool(&node).or_else(|| handover_due(&node)) {
            hand_over(&node, &mut running, &handover).await;
        }
    }
    keep_until_claimable(&node, &mut running).await;
    release_all(&node, running).await;
    std::future::pending::<()>().await;
}

fn shards_to_claim(node: &Node) -> Vec<Arc<str>> {
    let logs = node.pool_logs();
    if !node.store_health.is_reachable() {
        return Vec::new();
    }
    let fleet: Arc<str> = FLEET.into();
    let fleet = node.settings.machine_service.map(|_| &fleet);
    let caps: Arc<str> = CAPS.into();
    let caps = caps::in_force(node).then_some(&caps);
    let shards = logs.iter().map(|log| &log.pool).chain(fleet).chain(caps);
    lock(&node.ownership).to_claim(shards, steady_ms())
}

/// Returns whether a shard that was found to claim is still to be claimed after the claims that were applied meanwhile.
fn is_still_to_claim(node: &Node, shard: &Arc<str>) -> bool {
    !lock(&node.ownership).to_claim(std::iter::once(shard), steady_ms()).is_empty()
}

/// Adds what this node knows of a pool's record of lease bounds to its claim or release of the pool.
fn with_lease_bounds(node: &Node, shard: &str, claim: Claim) -> Claim {
    let (since, claimed) = {
        let ownership = lock(&node.ownership);
        let claimed = ownership.claimed_lease_bounds(shard);
        (ownership.lease_bounds_since(shard), claimed.map(|(record, at)| (record.clone(), at)))
    };
    let record = node.pool_log_of(shard).and_then(|log| {
        if let Some((record, read_at)) = claimed {
            log.apply_claimed_lease_bounds(&record, read_at);
        }
        log.lease_bounds().to_record(since, steady_ms())
    });
    claim.with_lease_bounds(since, record)
}

async fn claim_shard(node: &Arc<Node>, shard: &Arc<str>) {
    // The end is taken first, so that any claim that follows the check rejects this one.
    let Some(end) = node.claims_end.get() else { return };
    if !is_still_to_claim(node, shard) {
        return;
    }
    let sent_at = steady_ms();
    let unreached = lock(&node.ownership).unreached_to_claim(shard);
    let claim = Claim::new(node.me.clone()).with_unreached(unreached);
    let claim = with_lease_bounds(node, shard, claim);
    let (assignments, more) = first_assignments(node, shard);
    let mut records = vec![KeyedRecord::new(format!("{OWNER_PREFIX}{shard}"), to_json(&claim))];
    records.extend(more);
    match node.store.append(TOPIC, CLAIMS, Guard::EndsAt(end), &records).await {
        Ok(Appended::Done { offset, end }) => {
            let standing = {
                let mut ownership = lock(&node.ownership);
                ownership.record_claim(shard, claim, offset, steady_ms());
                ownership.standing()
            };
            log::info!(
                "owner pool={shard} step=chosen strength={} weak={} strong_members={} means={:?}",
                standing.strength,
                standing.is_weak,
                standing.strong_members,
                node.means(),
            );
            record_own(node, &assignments, offset + 1);
            // Comes last: whoever appends at this end relies on all records before it.
            node.claims_end.advance_to(end);
            node.renew_lease(sent_at);
        }
        // Another node claimed the shard first, or the claim will be read when the partition is followed.
        Ok(other) => log::debug!("owner pool={shard} step=not-claimed answer={other:?}"),
        Err(e) => log::debug!("owner pool={shard} step=claim-failed error=\"{e}\""),
    }
}

fn reconcile_owners(node: &Arc<Node>, running: &mut Running) {
    for log in node.pool_logs() {
        reconcile_owner(node, running, &log.pool.clone(), Some(&log));
    }
    reconcile_owner(node, running, &FLEET.into(), None);
    reconcile_owner(node, running, &CAPS.into(), None);
    node.is_owner.set(!running.is_empty());
    gauge!("thistle_owned_shards").set(running.len() as f64);
}

/// Starts or stops the owner of a shard. `log` is the pool's log; the fleet and the caps have none.
fn reconcile_owner(
    node: &Arc<Node>,
    running: &mut Running,
    shard: &Arc<str>,
    log: Option<&Arc<PoolLog>>,
) {
    if let Some((token, _)) = running.get(shard).filter(|(_, task)| task.is_finished()) {
        // Restarted under the same token, the owner would number its records from the start again, and earlier orders
        // would not be fenced.
        lock(&node.ownership).record_owner_end(shard, *token, steady_ms());
    }
    let token = lock(&node.ownership).my_token(shard);
    if running.get(shard).is_some_and(|(t, _)| Some(*t) == token) {
        return;
    }
    if let Some((old, task)) = running.remove(shard) {
        log::info!("owner pool={shard} step=ended token={old}");
        task.abort();
        if let Some(log) = log {
            drop(log.connect_owner(None));
        }
    }
    let Some(token) = token else { return };
    let task = match log {
        Some(log) => tokio::spawn(owner::run(node.clone(), log.clone(), token)),
        None if &**shard == CAPS => tokio::spawn(caps::run(node.clone(), token)),
        None => tokio::spawn(fleet_owner::run(node.clone(), token)),
    };
    running.insert(shard.clone(), (token, task.abort_handle()));
}
