//! What the owner of a shard waits for between two steps of its schedule, for logs and metrics.

use std::sync::Arc;

use metrics::histogram;
use thistle_schedule::Ms;

use crate::clock::steady_ms;

/// The shortest wait that is logged, in milliseconds: several times the usual append.
const LOGGED_MS: Ms = 100;

/// What an owner waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// The right to act: its lease has ended, or another node owns the shard.
    Lease,
    /// The append of the records of its orders.
    Record,
    /// The assignments of queues.
    Queues,
    /// Copying progress back to the first partition, and dropping settled jobs.
    Upkeep,
}

impl Wait {
    const fn name(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::Record => "record",
            Self::Queues => "queues",
            Self::Upkeep => "upkeep",
        }
    }
}

/// The waits of one owner.
#[derive(Debug)]
pub struct Waits {
    shard: Arc<str>,
    /// Since when the owner may not act.
    stopped_at: Option<Ms>,
}

impl Waits {
    /// Creates the record of an owner that has not waited yet.
    pub const fn new(shard: Arc<str>) -> Self {
        Self { shard, stopped_at: None }
    }

    /// Records whether the owner may take a step now, which it returns, and whether it has a valid lease: without one it may not,
    /// and with one only while no other node owns the shard.
    pub fn may_act(&mut self, may_act: bool, lease_valid: bool) -> bool {
        match (may_act, self.stopped_at) {
            (false, None) => {
                self.stopped_at = Some(steady_ms());
                log::info!("owner pool={} step=stopped lease_valid={lease_valid}", self.shard);
            }
            (true, Some(since)) => {
                self.stopped_at = None;
                self.record(Wait::Lease, since);
            }
            _ => (),
        }
        may_act
    }

    /// Records a wait that began at `since` and ends now.
    pub fn record(&self, what: Wait, since: Ms) {
        let waited = steady_ms().saturating_sub(since);
        if waited == 0 {
            return;
        }
        let labels = [("pool", self.shard.to_string()), ("for", what.name().to_owned())];
        histogram!("thistle_owner_wait_seconds", &labels).record(waited as f64 / 1_000.0);
        if waited >= LOGGED_MS {
            log::info!(
                "owner pool={} step=waited for={} waited_ms={waited}",
                self.shard,
                what.name()
            );
        }
    }
}
