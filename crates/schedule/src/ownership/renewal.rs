//! When an owner whose lease has ended asks for a new one.
//!
//! A heartbeat doesn't renew a lease that has ended, as another node may have decided to claim the shard by then. The owner appends a
//! record to the partition of claims instead, at the end up to which it has applied that partition: a claim that was decided on
//! before is rejected, and one that is decided on later has read the record.
//!
//! Load pattern: the store answers heartbeats late, and leases of all owners end every few seconds. Each renewal rejects the
//! guarded appends of other nodes that are in flight.

use super::{NodeIncarnation, Ownership};
use crate::Ms;

/// The least time between the first two renewals, in milliseconds. It doubles with each consecutive one.
const RENEWAL_PAUSE_MS: Ms = 1_000;
/// How often [`RENEWAL_PAUSE_MS`] doubles at most.
const MAX_PAUSE_DOUBLINGS: u32 = 2;
/// The time after which a renewal is not consecutive to the last one, in milliseconds.
const CONSECUTIVE_WITHIN_MS: Ms = 10_000;

/// The renewals by which a node regained its lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseRenewals {
    last_at: Option<Ms>,
    /// The number of consecutive renewals before the last one.
    earlier: u32,
}

impl LeaseRenewals {
    /// Returns whether a renewal may be appended now.
    pub fn is_due(&self, now: Ms) -> bool {
        let pause = RENEWAL_PAUSE_MS << self.earlier.min(MAX_PAUSE_DOUBLINGS);
        self.last_at.is_none_or(|at| now.saturating_sub(at) >= pause)
    }

    /// Records a renewal that was sent at `sent_at` and that the store may have written.
    pub fn record(&mut self, sent_at: Ms) {
        let is_consecutive =
            self.last_at.is_some_and(|at| sent_at.saturating_sub(at) < CONSECUTIVE_WITHIN_MS);
        self.earlier = if is_consecutive { self.earlier + 1 } else { 0 };
        self.last_at = Some(sent_at);
    }
}

impl Ownership {
    /// Records that a node's renewal of its lease was read from the partition of claims. It counts as contact with the owner of
    /// each of its shards, as a claim does.
    pub fn record_renewal(&mut self, owner: &NodeIncarnation, now: Ms) {
        if *owner == self.me {
            return;
        }
        for newest in self.claims.values_mut().filter(|o| o.claim.owner == *owner) {
            newest.seen_at = now;
        }
    }
}
