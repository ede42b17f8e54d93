//! The choice among jobs that cannot all finish in time.
//!
//! Load pattern: for some seconds a pool gets more work than its VMs can do. If the jobs that are due first go first, all of them
//! are late together. As few jobs as possible are put behind the others instead, those with the most remaining work, so that most
//! jobs finish in time. A part of all jobs, whatever their size, keeps its place, so that large jobs are served too.

use std::collections::BinaryHeap;

use super::job::Job;
use super::rank::{Rank, scale};
use super::run::Run;
use super::{JobKey, Ms, Pool};
use crate::id::TaskId;
use crate::policy::OverloadPolicy;

/// One in this many jobs keeps its place by due time. Large jobs are mostly served by this part of the capacity.
const KEEPS_PLACE: u64 = 3;

impl Pool {
    /// Changes the ranks of jobs, given in any order, if they cannot all finish in time.
    pub(super) fn rank_in_overload(&self, ranked: &mut [(u32, Rank, Ms, JobKey)], now: Ms) {
        if self.policy.tasks.overload == OverloadPolicy::DueFirst {
            return;
        }
        let mut waiting = Vec::with_capacity(ranked.len());
        for (i, (_, rank, _, key)) in ranked.iter().enumerate() {
            let Some(due) = rank.due() else { continue };
            waiting.push((due, i, self.waiting_work(&self.jobs[*key])));
        }
        waiting.sort_unstable();
        let cpu = self.vms.values().filter(|vm| vm.accepts_work()).map(|vm| vm.room().cpu);
        let cpu: u64 = cpu.map(u64::from).sum::<u64>() * self.policy.need.fill_percent / 100;
        // With the jobs in the order of their due times, leaving out the largest one whenever one would be late leaves out the
        // fewest.
        let mut chosen = BinaryHeap::new();
        let mut left_out = Vec::new();
        // The VMs are free for this work when the running tasks have ended.
        let mut sum = self.running_work(now);
        for (due, i, work) in waiting {
            sum = sum.saturating_add(work);
            let (.., key) = ranked[i];
            if !self.jobs[key].id.0.is_multiple_of(KEEPS_PLACE) {
                chosen.push((work, i));
            }
            while sum > cpu.saturating_mul(due.saturating_sub(now)) {
                let Some((work, i)) = chosen.pop() else { break };
                sum -= work;
                left_out.push((work, i));
            }
        }
        if left_out.is_empty() {
            return;
        }
        for (_, rank, ..) in ranked.iter_mut() {
            *rank = rank.in_overload(None);
        }
        for (work, i) in left_out {
            ranked[i].1 = ranked[i].1.in_overload(Some(work));
        }
    }

    /// Returns the remaining work of the running tasks, in thousandths of a core times milliseconds.
    fn running_work(&self, now: Ms) -> u64 {
        let runs = self.vms.values().filter(|vm| vm.accepts_work()).flat_map(|vm| &vm.runs);
        let left = |(&task, run): (&TaskId, &Run)| {
            u64::from(run.reserved.cpu) * self.time_left(task, run, now)
        };
        runs.filter(|(_, run)| !run.lasting).map(left).sum()
    }

    /// Returns the work of a job's waiting tasks, in thousandths of a core times milliseconds.
    fn waiting_work(&self, job: &Job) -> u64 {
        let steps = job.repetitions.values().flat_map(|r| r.steps.iter().zip(&job.spec.steps));
        let work = steps.map(|(state, step)| {
            let cpu_ms = u64::from(step.room().cpu) * u64::from(step.estimated_ms);
            u64::from(state.waiting) * cpu_ms
        });
        scale(work.sum(), self.estimates.factor(&job.spec.queue))
    }
}
