//! Jobs, which are submitted, started under a lease and ended, and the quotas of teams.

use serde::{Deserialize, Serialize};
use thistle_model::job::{JobEnd, JobSpec, JobStart};
use thistle_model::{JobName, MemberId, Revision, VmName};

use crate::reject::Reject;
use crate::state::State;
use crate::vm::TaskRecord;

/// The maximum number of ended jobs whose status is kept.
pub const MAX_ENDED_JOBS: usize = 10_000;

/// The state of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// The job waits for a worker.
    Waiting,
    /// The job was started on a VM.
    Running(VmName),
    /// The job is done.
    Done,
    /// The job may not be repeated, and it failed, was lost or yielded.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the job will not run again.
    pub fn is_ended(&self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The specification that was submitted.
    pub spec: JobSpec,
    /// The state of the job.
    pub state: JobState,
    /// The number of starts.
    pub starts: u32,
    /// The number of starts that the worker reported as failed.
    pub failures: u32,
    /// The revision at which the job was submitted.
    pub submitted: Revision,
    /// Whether a caller cancelled the job while it ran; it is stopped and not started again.
    pub cancelled: bool,
    /// The member that sends the current start to the worker.
    pub by: Option<MemberId>,
}

impl State {
    pub(crate) fn job_submit(&mut self, spec: &JobSpec) -> Result<(), Reject> {
        if self.jobs.contains_key(&spec.name) {
            return Err(Reject::JobExists(spec.name.clone()));
        }
        self.pool_key(&spec.pool)?;
        let submitted = self.next_revision();
        let job = Job {
            spec: spec.clone(),
            state: JobState::Waiting,
            starts: 0,
            failures: 0,
            submitted,
            cancelled: false,
            by: None,
        };
        self.jobs.insert(spec.name.clone(), job);
        self.waiting_jobs.insert((spec.urgency, submitted, spec.name.clone()));
        Ok(())
    }

    pub(crate) fn job_started(&mut self, start: &JobStart) -> Result<(), Reject> {
        let job = self.job(&start.job)?;
        if job.state != JobState::Waiting || start.attempt != job.starts + 1 {
            return Err(Reject::JobState(start.job.clone()));
        }
        let spec = job.spec.clone();
        let key = self.vm_key(&start.vm)?;
        let vm = &self.vms[key];
        let fits = vm.job_slots + u32::from(spec.slots) <= u32::from(vm.facts.slots);
        if !fits || !vm.is_available() || vm.pool != self.pool_key(&spec.pool)? {
            return Err(Reject::NoFreeSlot(start.vm.clone()));
        }
        self.charge_quota(&spec)?;
        let job = self.job_mut(&start.job)?;
        job.starts = start.attempt;
        job.by = Some(start.by);
        job.state = JobState::Running(start.vm.clone());
        let queue_key = (spec.urgency, job.submitted, spec.name.clone());
        self.waiting_jobs.remove(&queue_key);
        self.vms[key].job_slots += u32::from(spec.slots);
        self.running_jobs.insert((start.vm.clone(), spec.name));
        Ok(())
    }

    fn charge_quota(&mut self, spec: &JobSpec) -> Result<(), Reject> {
        let Some(quota) = self.quotas.get_mut(&spec.team) else {
            return Ok(());
        };
        let used = quota.used + u32::from(spec.slots);
        if used > quota.slots {
            return Err(Reject::QuotaSpent { used: quota.used, quota: quota.slots });
        }
        quota.used = used;
        Ok(())
    }

    pub(crate) fn job_ended(
        &mut self,
        name: &JobName,
        attempt: u32,
        end: JobEnd,
    ) -> Result<(), Reject> {
        let job = self.job(name)?;
        let JobState::Running(vm) = job.state.clone() else {
            return Err(Reject::JobState(name.clone()));
        };
        if job.starts != attempt {
            return Err(Reject::JobState(name.clone()));
        }
        self.release_slots(name, &vm)?;
        self.record_task_end(name, &vm, end);
        let job = self.job_mut(name)?;
        job.failures += u32::from(end == JobEnd::Failed);
        let is_repeatable = job.spec.repeatable;
        job.state = match end {
            JobEnd::Done => JobState::Done,
            _ if job.cancelled => JobState::Cancelled,
            JobEnd::Failed | JobEnd::Lost | JobEnd::Yielded if is_repeatable => JobState::Waiting,
            JobEnd::Failed | JobEnd::Lost | JobEnd::Yielded => JobState::Failed,
        };
        let is_waiting = job.state == JobState::Waiting;
        let queue_key = (job.spec.urgency, job.submitted, name.clone());
        if is_waiting {
            self.waiting_jobs.insert(queue_key);
        } else {
            self.record_ended_job(name);
        }
        Ok(())
    }

    pub(crate) fn job_cancel(&mut self, names: &[JobName]) -> Result<(), Reject> {
        for name in names {
            let Ok(job) = self.job(name) else { continue };
            if matches!(job.state, JobState::Running(_)) {
                self.job_mut(name)?.cancelled = true;
                continue;
            }
            if job.state != JobState::Waiting {
                continue;
            }
            let queue_key = (job.spec.urgency, job.submitted, name.clone());
            self.waiting_jobs.remove(&queue_key);
            self.job_mut(name)?.state = JobState::Cancelled;
            self.record_ended_job(name);
        }
        Ok(())
    }

    /// Marks the jobs on a VM that is gone as lost.
    pub(crate) fn record_jobs_lost(&mut self, vm: &VmName) {
        let on_vm = |(v, _): &&(VmName, JobName)| v == vm;
        let names: Vec<_> =
            self.running_jobs.iter().filter(on_vm).map(|(_, j)| j.clone()).collect();
        for name in names {
            let starts = self.jobs[&name].starts;
            let lost = self.job_ended(&name, starts, JobEnd::Lost);
            assert!(lost.is_ok(), "a running job can always be recorded as lost");
        }
    }

    /// Returns how many jobs run on a VM.
    pub fn running_job_count(&self, vm: &VmName) -> u32 {
        let on_vm = self.running_jobs.iter().filter(|(v, _)| v == vm);
        u32::try_from(on_vm.count()).unwrap_or(u32::MAX)
    }

    fn release_slots(&mut self, name: &JobName, vm: &VmName) -> Result<(), Reject> {
        let spec = self.job(name)?.spec.clone();
        self.running_jobs.remove(&(vm.clone(), name.clone()));
        if let Ok(key) = self.vm_key(vm) {
            self.vms[key].job_slots -= u32::from(spec.slots);
        }
        if let Some(quota) = self.quotas.get_mut(&spec.team) {
            quota.used = quota.used.saturating_sub(u32::from(spec.slots));
        }
        Ok(())
    }

    /// Counts consecutive failures of different jobs on a VM, to distinguish a worker that fails
    /// every task from a job that fails everywhere.
    fn record_task_end(&mut self, job: &JobName, vm: &VmName, end: JobEnd) {
        let Ok(key) = self.vm_key(vm) else { return };
        let tasks = &mut self.vms[key].tasks;
        match end {
            JobEnd::Done => *tasks = TaskRecord::default(),
            JobEnd::Failed if tasks.last_failed.as_ref() != Some(job) => {
                tasks.failed_in_row += 1;
                tasks.last_failed = Some(job.clone());
            }
            JobEnd::Failed | JobEnd::Lost | JobEnd::Yielded => {}
        }
    }

    /// Keeps the status of the last [`MAX_ENDED_JOBS`] ended jobs and removes older ones.
    fn record_ended_job(&mut self, name: &JobName) {
        self.ended_jobs.push_back(name.clone());
        if self.ended_jobs.len() > MAX_ENDED_JOBS
            && let Some(old) = self.ended_jobs.pop_front()
        {
            self.jobs.remove(&old);
        }
    }

    fn job(&self, name: &JobName) -> Result<&Job, Reject> {
        self.jobs.get(name).ok_or_else(|| Reject::NoSuchJob(name.clone()))
    }

    fn job_mut(&mut self, name: &JobName) -> Result<&mut Job, Reject> {
        self.jobs.get_mut(name).ok_or_else(|| Reject::NoSuchJob(name.clone()))
    }
}
