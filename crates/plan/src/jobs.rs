//! Plans where jobs start and which jobs yield, and explains which jobs can never run.

use std::collections::BTreeMap;

use thistle_fold::{Job, JobState, State, VmKey};
use thistle_model::job::Urgency;
use thistle_model::{JobName, VmName};

/// The number of failed starts after which a repeatable job is not started again, so that an
/// operator can check it.
pub const MAX_FAILURES: u32 = 5;

/// The number of consecutive failures of different jobs on a VM after which no job is started
/// there.
pub const MAX_FAILED_IN_ROW: u32 = 3;
/// The maximum number of starts in a planning step.
const MAX_STARTS: usize = 128;

/// A planned start of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStart {
    /// The job.
    pub job: JobName,
    /// The VM.
    pub vm: VmName,
    /// The number of the start.
    pub attempt: u32,
}

/// The planned starts and yields of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobPlan {
    /// Starts to record.
    pub starts: Vec<PlannedStart>,
    /// Night jobs that must yield to urgent jobs.
    pub yields: Vec<JobName>,
}

/// Plans starts, urgent jobs first, then by age. Night jobs yield if an urgent job has no free
/// slots.
pub fn plan_jobs(state: &State) -> JobPlan {
    let mut free_slots = FreeSlots::new(state);
    let mut plan = JobPlan::default();
    for (urgency, _, name) in &state.waiting_jobs {
        if plan.starts.len() >= MAX_STARTS {
            break;
        }
        let job = &state.jobs[name];
        if job.failures >= MAX_FAILURES || !free_slots.charge_quota(state, job) {
            continue;
        }
        if let Some(vm) = free_slots.allocate(state, job) {
            let attempt = job.starts + 1;
            plan.starts.push(PlannedStart { job: name.clone(), vm, attempt });
        } else if *urgency == Urgency::Urgent {
            free_slots.plan_yields(state, job, &mut plan.yields);
        }
    }
    plan
}

/// Returns the reason why a job can never run on a worker of its pool, or `None` if it can.
pub fn cannot_run(state: &State, job: &Job) -> Option<String> {
    if job.state != JobState::Waiting {
        return None;
    }
    if job.failures >= MAX_FAILURES {
        return Some(format!(
            "it failed {} times on different workers: look at the job",
            job.failures
        ));
    }
    let pool = state.pool_key(&job.spec.pool).ok()?;
    let sizes = state.vms.values().filter(|vm| vm.pool == pool).map(|vm| vm.facts.slots);
    let largest = sizes.max()?;
    if job.spec.slots > largest {
        return Some(format!(
            "it declares {} slots and the largest worker of '{}' has {largest}: split it",
            job.spec.slots, job.spec.pool
        ));
    }
    let quota = state.quotas.get(&job.spec.team)?;
    (u32::from(job.spec.slots) > quota.slots).then(|| {
        format!(
            "it declares {} slots and the quota of '{}' is {}: raise it or split the job",
            job.spec.slots, job.spec.team, quota.slots
        )
    })
}

/// The free slots of VMs and the planned use of quotas during a planning step.
struct FreeSlots {
    free: BTreeMap<VmKey, u32>,
    quota_used: BTreeMap<thistle_model::TeamName, u32>,
}

impl FreeSlots {
    fn new(state: &State) -> Self {
        let usable = state
            .vms
            .iter()
            .filter(|(_, vm)| vm.is_available() && vm.tasks.failed_in_row < MAX_FAILED_IN_ROW);
        let free =
            usable.map(|(key, vm)| (key, u32::from(vm.facts.slots).saturating_sub(vm.job_slots)));
        Self { free: free.collect(), quota_used: BTreeMap::new() }
    }

    /// Adds a job to the planned use of its team's quota; returns `false` if the quota is exceeded.
    fn charge_quota(&mut self, state: &State, job: &Job) -> bool {
        let Some(quota) = state.quotas.get(&job.spec.team) else {
            return true;
        };
        let planned = self.quota_used.entry(job.spec.team.clone()).or_default();
        let used = quota.used + *planned + u32::from(job.spec.slots);
        if used > quota.slots {
            return false;
        }
        *planned += u32::from(job.spec.slots);
        true
    }

    /// Allocates slots for a job on the VM of its pool with the most free slots.
    fn allocate(&mut self, state: &State, job: &Job) -> Option<VmName> {
        let pool = state.pool_key(&job.spec.pool).ok()?;
        let slots = u32::from(job.spec.slots);
        let candidates = self
            .free
            .iter_mut()
            .filter(|(key, free)| state.vms[**key].pool == pool && **free >= slots);
        let (key, free) = candidates.max_by_key(|(_, free)| **free)?;
        *free -= slots;
        Some(state.vms[*key].name.clone())
    }

    /// Selects night jobs on one VM that must yield to make room for an urgent job.
    fn plan_yields(&mut self, state: &State, job: &Job, yields: &mut Vec<JobName>) {
        let Ok(pool) = state.pool_key(&job.spec.pool) else {
            return;
        };
        let need = u32::from(job.spec.slots);
        let vms = self.free.iter().filter(|(key, _)| state.vms[**key].pool == pool);
        let best = vms
            .map(|(&key, &free)| {
                (select_night_jobs(state, key, need.saturating_sub(free), yields), key)
            })
            .filter_map(|(jobs, key)| jobs.map(|jobs| (jobs, key)))
            .min_by_key(|(jobs, _)| jobs.len());
        if let Some((jobs, key)) = best {
            yields.extend(jobs);
            self.free.remove(&key);
        }
    }
}

/// Returns night jobs on a VM that together free `need` slots, or `None` if there are too few.
fn select_night_jobs(
    state: &State,
    key: VmKey,
    need: u32,
    yielding: &[JobName],
) -> Option<Vec<JobName>> {
    let vm = &state.vms[key].name;
    let on_vm = state.running_jobs.iter().filter(|(v, _)| v == vm).map(|(_, job)| job);
    let mut freed = 0;
    let mut jobs = Vec::new();
    for name in on_vm {
        let spec = &state.jobs[name].spec;
        if freed >= need {
            break;
        }
        if spec.urgency == Urgency::Night && spec.repeatable && !yielding.contains(name) {
            freed += u32::from(spec.slots);
            jobs.push(name.clone());
        }
    }
    (freed >= need).then_some(jobs)
}
