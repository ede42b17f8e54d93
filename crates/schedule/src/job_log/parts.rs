//! In which partitions a job's submission stands.

use std::collections::HashSet;

use super::{JobEntry, JobLog};
use crate::id::JobId;

/// Partitions in which a submission stands, as far as they were read; a pool has a few.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Parts(u32);

impl Parts {
    pub(super) const fn insert(&mut self, part: u32) {
        self.0 |= 1 << part;
    }

    pub(super) const fn remove(&mut self, part: u32) {
        self.0 &= !(1 << part);
    }

    pub(super) const fn holds(self, part: u32) -> bool {
        self.0 & (1 << part) != 0
    }

    pub(super) const fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl JobEntry {
    /// Returns whether its submission was dropped while this node did not read.
    pub(super) const fn is_gone(&self) -> bool {
        self.gone_from.is_some()
    }
}

impl JobLog {
    /// Takes in that a submission was dropped in a partition. Its job is forgotten once it stands in no other one: there it would be
    /// read as new, with nothing known of how far it is.
    pub(super) fn drop_submission(&mut self, part: u32, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        entry.stands_in.remove(part);
        if entry.stands_in.is_empty() {
            self.jobs.remove(&id);
        }
    }

    /// Takes in which submissions stand in a partition, of which the newest record of each key was read; to be called before
    /// these are applied. Those that stand in none any more were dropped. They are kept out of sight until the next time, in case
    /// one is read all the same: what is known of its progress must not be lost.
    pub fn reloaded(&mut self, part: u32, there: &HashSet<JobId>) {
        self.jobs.retain(|id, entry| {
            if there.contains(id) || !entry.stands_in.holds(part) {
                return there.contains(id) || entry.gone_from != Some(part);
            }
            entry.stands_in.remove(part);
            entry.gone_from = entry.stands_in.is_empty().then_some(part);
            true
        });
    }
}
