//! Measures how long operators' changes take to reach every entry.

use std::collections::VecDeque;
use std::time::Duration;

use thistle_model::clock::Instant;
use thistle_model::{Change, Offset};

/// The maximum number of changes that are tracked at a time.
const MAX_TRACKED: usize = 256;

/// Operators' changes that some entry does not use yet.
#[derive(Debug, Default)]
pub struct Rollouts {
    pending: VecDeque<(Offset, Instant)>,
}

impl Rollouts {
    /// Starts to track the change at `offset` if an operator made it.
    pub fn track(&mut self, change: &Change, offset: Offset, now: Instant) {
        let is_operator_change = matches!(
            change,
            Change::PublishTemplate { .. } | Change::SetWorkspace { .. } | Change::SetQuota { .. }
        );
        if is_operator_change && self.pending.len() < MAX_TRACKED {
            self.pending.push_back((offset, now));
        }
    }

    /// Removes the changes that all entries use now and returns how long each took; `min_offset` is
    /// the smallest offset that an entry uses.
    pub fn take_completed(&mut self, min_offset: Offset, now: Instant) -> Vec<Duration> {
        let mut durations = Vec::new();
        while let Some(&(offset, since)) = self.pending.front() {
            if offset >= min_offset {
                break;
            }
            self.pending.pop_front();
            durations.push(now.since(since));
        }
        durations
    }
}
