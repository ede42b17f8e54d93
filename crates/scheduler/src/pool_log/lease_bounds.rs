//! The record of lease bounds, as this node has read it from a pool's partitions and from claims.

use thistle_platform::KeyedRecord;
use thistle_schedule::lease_bounds::LeaseRecord;
use thistle_schedule::{LeaseBounds, Ms};

use super::PoolLog;
use crate::clock::steady_ms;
use crate::journal::AppendPosition;
use crate::locks::lock;

impl PoolLog {
    /// Applies a record that was read from a partition.
    pub(super) fn apply_lease_bounds(&self, part: u32, record: &KeyedRecord) {
        let Some(value) = record.value() else { return };
        if let Err(e) = lock(&self.lease_bounds).apply(part, value, steady_ms()) {
            log::error!("jobs step=unreadable pool={} part={part} key={}", self.pool, e.0);
        }
    }

    /// Applies a record that was read with a claim.
    pub fn apply_claimed_lease_bounds(&self, record: &LeaseRecord, read_at: Ms) {
        lock(&self.lease_bounds).apply_record(record, read_at);
    }

    /// Applies a record that this node has just appended as owner.
    pub async fn apply_own_lease_bounds(&self, record: &KeyedRecord, position: AppendPosition) {
        self.apply_lease_bounds(position.part, record);
        self.advance(position).await;
    }

    /// Returns the newest record.
    pub fn lease_bounds(&self) -> LeaseBounds {
        lock(&self.lease_bounds).clone()
    }

    /// Returns the partition that holds the newest record.
    pub fn lease_bounds_part(&self) -> u32 {
        lock(&self.lease_bounds).part()
    }
}
