//! Ends that a VM lists again and again, as they are not acknowledged.
//!
//! Load pattern: the progress of a job is too long to be written while hundreds of its tasks end. A VM lists a limited number of ends
//! at once, in order, so that ends of other jobs may stay unread behind them.

use std::collections::BTreeMap;

use super::Pool;
use crate::id::{JobId, VmIncarnation};

/// The ends of a VM that are not acknowledged because of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldEnds {
    /// The job whose progress is not written.
    pub job: JobId,
    /// The number of ends from its first one on.
    pub listed: usize,
    /// How many of them are of other jobs.
    pub of_other_jobs: usize,
}

impl Pool {
    /// Returns, per VM, the last run end to acknowledge once the records are written. It comes before the ends of jobs whose progress
    /// is too long to be written.
    pub fn take_acks(&mut self) -> Vec<(VmIncarnation, u64)> {
        let ends = std::mem::take(&mut self.ends);
        let mut acks = Vec::with_capacity(ends.len());
        for (vm, ends) in ends {
            let is_recorded = |(_, job): &(u64, JobId)| !self.unrecorded.contains(job);
            let recorded = ends.iter().position(|end| !is_recorded(end)).unwrap_or(ends.len());
            self.record_held_ends(&vm, &ends[recorded..]);
            if let Some((last, _)) = ends[..recorded].last() {
                acks.push((vm, *last));
            }
        }
        acks
    }

    /// Returns, per VM, the ends of its last report that are not acknowledged.
    pub const fn held_ends(&self) -> &BTreeMap<VmIncarnation, HeldEnds> {
        &self.held_ends
    }

    /// Records which of a VM's ends are not acknowledged; `ends` begins with the first of them, if there are any.
    fn record_held_ends(&mut self, vm: &VmIncarnation, ends: &[(u64, JobId)]) {
        let Some(&(_, job)) = ends.first() else {
            self.held_ends.remove(vm);
            return;
        };
        let of_other_jobs = ends.iter().filter(|(_, other)| *other != job).count();
        self.held_ends.insert(vm.clone(), HeldEnds { job, listed: ends.len(), of_other_jobs });
    }
}
