//! The open work of a pool, for the admission of further jobs.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::job::Job;
use super::rank::scale;
use super::{Ms, Now, Pool};
use crate::admission::{Capacity, Class, OpenWork, Outlook};
use crate::id::JobId;
use crate::policy::SharePolicy;
use crate::progress::Phase;
use crate::quota::WorkspaceKey;

/// A job that finishes within this many times its objective still has some value.
pub const LATE_FACTOR: u64 = 3;

/// The runs of one step of a job.
#[derive(Clone, Copy, Debug, Default)]
struct RunningStep {
    /// The time until the last one ends.
    left: Ms,
    work: u64,
    cpu: u64,
}

type RunningSteps = HashMap<(JobId, u32, usize), RunningStep>;

/// The remaining work of a job.
#[derive(Clone, Copy, Debug, Default)]
struct Remaining {
    /// The longest chain of its steps.
    chain: Ms,
    running_work: u64,
    running_cpu: u64,
    waiting_work: u64,
    /// The CPU of waiting tasks that are ready to start.
    ready_cpu: u64,
    /// The CPU of the largest step that is not ready.
    following_cpu: u64,
}

impl Pool {
    /// Returns the CPU of the VMs that accept work, without what lasting tasks reserve, in thousandths of a core.
    pub fn cpu_for_jobs(&self) -> u64 {
        let vms = self.vms.values().filter(|vm| vm.accepts_work());
        vms.map(|vm| {
            let lasting = vm.runs.values().filter(|run| run.lasting);
            let reserved: u32 = lasting.map(|run| run.reserved.cpu).sum();
            u64::from(vm.room().cpu.saturating_sub(reserved))
        })
        .sum()
    }

    /// Returns the outlook of the pool with a given capacity.
    pub fn outlook(&self, capacity: &Capacity, now: Now) -> Outlook {
        let open = self.open_jobs(now);
        let works: Vec<OpenWork> = open.iter().map(|(_, work)| *work).collect();
        let mut beyond_share: HashMap<&str, u64> = HashMap::new();
        let mut slowdown = 1.0_f64;
        for (job, work) in &open {
            slowdown = slowdown.max(self.estimates.factor(&job.spec.queue));
            if work.class.beyond_share {
                *beyond_share.entry(&job.spec.workspace).or_default() += work.work;
            }
        }
        let mut names: Vec<(&str, u64)> = beyond_share.into_iter().collect();
        names.sort_unstable_by_key(|&(name, work)| (Reverse(work), name));
        let percent = u16::try_from(scale(100, slowdown)).unwrap_or(u16::MAX);
        Outlook { slowdown_percent: percent, ..Outlook::new(&works, capacity) }
            .with_beyond_share(names.into_iter().map(|(name, _)| name))
    }

    /// Returns the open jobs that end by themselves and can still be of use, with their remaining work. Jobs with set times are
    /// left out, as their work is due at times of its own.
    fn open_jobs(&self, now: Now) -> Vec<(&Job, OpenWork)> {
        let running = self.running_steps(now.steady);
        let mut cap_left: HashMap<WorkspaceKey, u64> = HashMap::new();
        let mut open = Vec::new();
        for job in self.jobs.values().filter(|job| job.phase == Phase::Open) {
            if job.spec.is_lasting() || job.spec.repeats.is_some() {
                continue;
            }
            let mut left = self.remaining(job, &running);
            if let Some((key, cpu_left)) =
                job.workspace.and_then(|w| Some((w, self.quota.cpu_left(w)?)))
            {
                // Tasks that are held back by the workspace's cap take nothing from other jobs.
                let cpu_left = cap_left.entry(key).or_insert(cpu_left);
                let allowed = left.ready_cpu.min(*cpu_left);
                *cpu_left -= allowed;
                if let Some(work) = (left.waiting_work * allowed).checked_div(left.ready_cpu) {
                    (left.waiting_work, left.ready_cpu) = (work, allowed);
                }
            }
            if let Some(work) = self.open_work(job, &left, now.steady) {
                open.push((job, work));
            }
        }
        open
    }

    /// Returns the work of a job, or `None` if the job can no longer be of use.
    fn open_work(&self, job: &Job, left: &Remaining, now: Ms) -> Option<OpenWork> {
        let factor = self.estimates.factor(&job.spec.queue);
        let whole = scale(job.critical_paths.iter().copied().max().unwrap_or(0), factor);
        let objective = job.spec.objective.time_for(whole);
        let finish = now + left.chain;
        let last = job.accepted + objective * LATE_FACTOR;
        let last_start = last.checked_sub(finish)?;
        let due = Some(job.accepted + objective).filter(|&due| finish <= due);
        let beyond_share = match self.policy.tasks.shares {
            SharePolicy::DueFirst => false,
            SharePolicy::BeyondLast => job.beyond_share,
        };
        Some(OpenWork {
            class: Class { priority: job.spec.objective.priority, beyond_share },
            due_in: due.map(|due| due - now),
            last_in: last - now,
            is_rescued: due.is_none() && last_start < self.policy.tasks.rescue_ms,
            work: left.running_work + left.waiting_work,
            cpu: (left.running_cpu + left.ready_cpu).max(left.following_cpu),
        })
    }

    fn remaining(&self, job: &Job, running: &RunningSteps) -> Remaining {
        let factor = self.estimates.factor(&job.spec.queue);
        let mut left = Remaining::default();
        for (&repetition, state) in &job.repetitions {
            for (i, step) in state.steps.iter().enumerate().filter(|(_, step)| !step.is_done()) {
                let spec = &job.spec.steps[i];
                let (own, path) = (Ms::from(spec.estimated_ms), job.critical_paths[i]);
                if let Some(runs) = running.get(&(job.id, repetition, i)) {
                    left.running_work += runs.work;
                    left.running_cpu += runs.cpu;
                    left.chain = left.chain.max(runs.left + scale(path - own, factor));
                }
                if step.waiting == 0 || !self.fits_somewhere(spec.room()) {
                    continue;
                }
                left.chain = left.chain.max(scale(path, factor));
                let cpu = u64::from(spec.room().cpu) * u64::from(step.waiting);
                left.waiting_work += cpu * scale(own, factor);
                let is_ready =
                    spec.depends_on.iter().all(|&on| state.steps[usize::from(on)].is_done());
                match is_ready {
                    true => left.ready_cpu += cpu,
                    false => left.following_cpu = left.following_cpu.max(cpu),
                }
            }
        }
        left
    }

    fn running_steps(&self, now: Ms) -> RunningSteps {
        let mut steps = RunningSteps::new();
        for vm in self.vms.values() {
            for (&task, run) in vm.runs.iter().filter(|(_, run)| !run.lasting) {
                let left = self.time_left(task, run, now);
                let cpu = u64::from(run.reserved.cpu);
                let step = (task.job, task.repetition, usize::from(task.step));
                let runs = steps.entry(step).or_default();
                runs.left = runs.left.max(left);
                runs.work += cpu * left;
                runs.cpu += cpu;
            }
        }
        steps
    }
}
