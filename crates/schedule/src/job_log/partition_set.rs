//! Which partitions hold a job's submission.

use std::collections::HashSet;

use super::{JobEntry, JobLog};
use crate::id::JobId;

/// The first partition of submissions. A settled job is dropped there last.
const FIRST: u32 = 0;

/// A set of partitions of submissions. A pool has only a few partitions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartitionSet(u32);

impl PartitionSet {
    pub(super) const fn insert(&mut self, partition: u32) {
        self.0 |= 1 << partition;
    }

    pub(super) const fn remove(&mut self, partition: u32) {
        self.0 &= !(1 << partition);
    }

    pub(super) const fn holds(self, partition: u32) -> bool {
        self.0 & (1 << partition) != 0
    }

    pub(super) const fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl JobEntry {
    /// Returns whether the job's submission was dropped while this node was not reading.
    pub(super) const fn is_gone(&self) -> bool {
        self.missing_from.is_some()
    }
}

impl JobLog {
    /// Records that a partition dropped a submission. The job's entry is removed only once no other partition holds the
    /// submission: otherwise it would be read there as new, and its progress would be lost. The first partition may hold it
    /// unread until its own drop was read; the entry is hidden until then.
    pub(super) fn drop_submission(&mut self, partition: u32, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        entry.partitions.remove(partition);
        entry.dropped_by.insert(partition);
        if !entry.partitions.is_empty() {
            return;
        }
        if entry.dropped_by.holds(FIRST) {
            self.jobs.remove(&id);
        } else {
            entry.missing_from = Some(partition);
        }
    }

    /// Records which submissions a partition holds, after the newest record of each key was read and before these records are
    /// applied. Submissions that no partition holds any more were dropped. Their entries are hidden until the next reload, so
    /// that their progress is not lost if the submission is read after all.
    pub fn record_reload(&mut self, partition: u32, present: &HashSet<JobId>) {
        self.jobs.retain(|id, entry| {
            if present.contains(id) || !entry.partitions.holds(partition) {
                return present.contains(id) || entry.missing_from != Some(partition);
            }
            entry.partitions.remove(partition);
            entry.missing_from = entry.partitions.is_empty().then_some(partition);
            true
        });
    }
}
