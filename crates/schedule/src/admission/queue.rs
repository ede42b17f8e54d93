//! The open work of a pool in the order in which it is done, and the time that it takes.

use crate::Ms;

/// The rank class of a job: a smaller class goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// The priority of its queue; jobs with 0 go first.
    pub priority: u32,
    /// Whether the job exceeds its workspace's share.
    pub beyond_share: bool,
}

/// The remaining work of an open job that can still be of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenWork {
    /// The rank class.
    pub class: Class,
    /// When it is due, in milliseconds from now; `None` if it will be late.
    pub due_in: Option<Ms>,
    /// Its last useful moment, in milliseconds from now.
    pub last_in: Ms,
    /// Whether the job is late and goes before jobs that can be in time, because it must begin soon to be of any use.
    pub is_rescued: bool,
    /// The remaining work, in thousandths of a core times milliseconds.
    pub work: u64,
    /// The largest CPU that its tasks can use at once, in thousandths of a core.
    pub cpu: u64,
}

/// The CPU capacity of a pool, now and as the largest that it may reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// The capacity now, in thousandths of a core.
    pub cpu: u64,
    /// The largest capacity that the pool may reach, in thousandths of a core.
    pub reachable_cpu: u64,
    /// After how long additional VMs accept work, in milliseconds.
    pub reachable_in: Ms,
}

impl Capacity {
    /// Returns the time in which the pool does some work, in milliseconds.
    pub fn time_for(&self, work: u64) -> Ms {
        let largest = self.reachable_cpu.max(self.cpu);
        let done_before = self.cpu.saturating_mul(self.reachable_in);
        if work <= done_before {
            return work.checked_div(self.cpu).unwrap_or(0);
        }
        (work - done_before).checked_div(largest).map_or(Ms::MAX, |ms| ms + self.reachable_in)
    }
}

/// A job's work in a queue, with the time by which it must end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Queued {
    pub ends_by: Ms,
    pub work: u64,
    pub cpu: u64,
}

impl Queued {
    /// Returns the part of the work that can be done within a time. Long tasks on a few cores leave the other cores free.
    fn work_within(&self, time: Ms) -> u64 {
        self.work.min(self.cpu.saturating_mul(time))
    }
}

/// Returns the part of the jobs' work that can be done within a time.
pub(super) fn work_within<'a>(jobs: impl IntoIterator<Item = &'a Queued>, time: Ms) -> u64 {
    jobs.into_iter().map(|job| job.work_within(time)).sum()
}

/// Returns the jobs that the pool does after the jobs `ahead`, in the order in which they must end. A job that would end too
/// late is left out, as it then goes after the others or is of no use any more.
pub(super) fn jobs_done(
    mut jobs: Vec<Queued>,
    ahead: &[Queued],
    capacity: &Capacity,
) -> Vec<Queued> {
    jobs.sort_by_key(|job| job.ends_by);
    let horizon = jobs.last().map_or(0, |job| job.ends_by);
    let mut done = work_within(ahead, horizon);
    jobs.retain(|job| {
        let with_job = done + job.work_within(horizon);
        let in_time = capacity.time_for(with_job) <= job.ends_by;
        done = if in_time { with_job } else { done };
        in_time
    });
    jobs
}
