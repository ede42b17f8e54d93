//! Ranking of jobs for placement.

use super::{Job, Ms, Pool};
use crate::policy::SharePolicy;

/// A job that finishes within this many times its objective still has some value.
const LATE_FACTOR: u64 = 3;

/// Set in the tie-break of jobs that are ranked by their work, so that they come after those that are ranked by due times.
const BY_WORK: u64 = 1 << 63;

/// The order in which jobs are placed: smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Whether the job has no lasting tasks. Lasting tasks go first because they earn value by the second while they run.
    not_lasting: bool,
    priority: u32,
    /// Whether the job exceeds its workspace's share. Such jobs go last because nothing is promised for them. While one workspace
    /// sends twenty times its share for 6 s, 48 of 48 jobs of the others finish in time, but only 24 if jobs are ranked by due
    /// times alone (20 cores, with a demand of 2.4 times as much).
    beyond_share: bool,
    /// 1: can finish in time; 0: late and must begin now to be of use; 2: late but can still be of use; 3: too late.
    lateness: u8,
    /// The due time or the latest start time of the job, or its remaining work if it is late and need not begin now.
    tie_break: u64,
}

impl Rank {
    /// Returns whether the job can no longer finish in time or exceeds its workspace's share.
    pub const fn is_late(&self) -> bool {
        self.not_lasting && (self.lateness != 1 || self.beyond_share)
    }

    /// Returns whether the job can no longer finish early enough to be of any value.
    pub const fn is_too_late(&self) -> bool {
        self.not_lasting && self.lateness > 2
    }

    /// Returns when the job is due if it can still finish in time and does not go last anyway.
    pub fn due(&self) -> Option<Ms> {
        (self.not_lasting && self.lateness == 1 && !self.beyond_share).then_some(self.tie_break)
    }

    /// Returns the rank while the jobs of the pool cannot all finish in time. A job that goes after the others is ranked by `work`.
    /// Late jobs go after all jobs in time, as they are worth less.
    #[must_use]
    pub fn in_overload(self, work: Option<u64>) -> Self {
        match (self.lateness, work) {
            (0, _) => Self { lateness: 2, ..self },
            (1, Some(work)) => Self { tie_break: BY_WORK | work, ..self },
            _ => self,
        }
    }
}

impl Pool {
    pub(super) fn rank(&self, job: &Job, now: Ms) -> Rank {
        let factor = self.estimates.factor(&job.spec.queue);
        let whole = scale(job.critical_paths.iter().copied().max().unwrap_or(0), factor);
        let ready =
            job.ready_steps().map(|(_, step, _)| job.critical_paths[step]).max().unwrap_or(0);
        let left = scale(ready, factor);
        let objective = scale(whole, f64::from(job.spec.objective.stretch))
            + u64::from(job.spec.objective.target_ms);
        let due = job.accepted + objective;
        let finish = now + left;
        let last = job.accepted + objective * LATE_FACTOR;
        let (lateness, tie_break) = if finish <= due {
            (1, due)
        } else if finish <= last && last - finish < self.policy.tasks.rescue_ms {
            (0, last - left)
        } else if finish <= last {
            (2, left)
        } else {
            (3, left)
        };
        let not_lasting = !job.spec.is_lasting();
        let beyond_share = match self.policy.tasks.shares {
            SharePolicy::DueFirst => false,
            SharePolicy::BeyondLast => job.beyond_share,
        };
        let priority = job.spec.objective.priority;
        Rank { not_lasting, priority, beyond_share, lateness, tie_break }
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of jobs are far below 2^52 ms, and factors are not negative"
)]
pub(super) fn scale(ms: u64, factor: f64) -> u64 {
    (ms as f64 * factor) as u64
}
