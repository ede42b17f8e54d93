//! Renews the lease of an owner after it has ended, by a record in the partition of claims.

use std::time::Duration;

use thistle_platform::{Appended, Guard, KeyedRecord, Stored};
use thistle_schedule::ownership::{LeaseRenewals, NodeIncarnation};

use super::{CLAIMS, TOPIC, to_json};
use crate::clock::steady_ms;
use crate::locks::lock;
use crate::node::Node;

/// The prefix of the keys of renewals. Older builds ignore these records.
pub(super) const LEASE_PREFIX: &str = "lease/";
/// The maximum number of attempts after a heartbeat.
const RENEWAL_TRIES: u32 = 10;
/// Pause before each further attempt, in which the claims that rejected the last one are applied.
const RENEWAL_PAUSE: Duration = Duration::from_millis(20);

/// Renews the lease of this node each time that a heartbeat was accepted after the lease had ended.
pub(super) async fn renew_expired_leases(node: &Node) {
    let mut renewals = LeaseRenewals::default();
    loop {
        node.lease_expired.notified().await;
        for _ in 0..RENEWAL_TRIES {
            if !is_to_renew(node, &renewals) || renew(node, &mut renewals).await {
                break;
            }
            tokio::time::sleep(RENEWAL_PAUSE).await;
        }
    }
}

fn is_to_renew(node: &Node, renewals: &LeaseRenewals) -> bool {
    let is_expired = !node.lease_valid() && !node.has_given_up_lease();
    is_expired && renewals.is_due(steady_ms()) && lock(&node.ownership).owns_any()
}

/// Appends a renewal and returns whether this was the last attempt after the current heartbeat.
async fn renew(node: &Node, renewals: &mut LeaseRenewals) -> bool {
    // All claims before this end are applied. Any other one rejects the append.
    let Some(end) = node.claims_end.get() else { return false };
    let record = KeyedRecord::new(format!("{LEASE_PREFIX}{}", node.me.name), to_json(&node.me));
    let sent_at = steady_ms();
    match node.store.append(TOPIC, CLAIMS, Guard::EndsAt(end), &[record]).await {
        Ok(Appended::Done { end, .. }) => {
            renewals.record(sent_at);
            node.claims_end.advance_to(end);
            node.renew_lease(sent_at);
            log::info!("owner step=lease-renewed node={} end={end}", node.me.name);
            true
        }
        Ok(other) => {
            log::info!("owner step=lease-not-renewed answer={other:?}");
            false
        }
        Err(e) => {
            if !e.was_not_executed() {
                renewals.record(sent_at);
            }
            log::info!("owner step=lease-not-renewed error=\"{e}\"");
            true
        }
    }
}

/// Applies a renewal that was read.
pub(super) fn apply_renewal(node: &Node, stored: &Stored) {
    let Some(value) = stored.record.value() else { return };
    match serde_json::from_slice::<NodeIncarnation>(value) {
        Ok(owner) => lock(&node.ownership).record_renewal(&owner, steady_ms()),
        Err(e) => log::error!("owner step=unreadable offset={} error=\"{e}\"", stored.offset),
    }
}
