//! The schedule of one pool: its jobs, its VMs, and which task is ordered to run where.
//!
//! The owner feeds in what it learns and asks [`Pool::plan`] for orders. Orders may be sent only
//! after the records of [`Pool::take_records`] were written, and ends may be acknowledged to VMs
//! ([`Pool::take_acks`]) only then: a successor finds every order and every end in the records.

mod advice;
mod arrivals;
mod ends;
mod estimate;
mod evacuate;
mod gang;
mod incarnation;
mod job;
mod losses;
mod need;
mod order;
mod pace;
mod place;
mod quota;
mod rank;
mod remaining;
mod report;
mod run;
mod suspects;
mod takeover;
mod vms;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};

use crate::Ms;
use crate::halls::Halls;
use crate::id::{JobId, VmLife};
use crate::policy::Policy;
use crate::progress::{Phase, Progress};
use crate::quota::Ledger;
use crate::spec::JobSpec;
use crate::vm::Room;

use advice::Advised;
pub use advice::{Question, StepId};
use arrivals::Arrivals;
use estimate::Estimates;
use incarnation::Vm;
use job::Job;
pub use losses::LostRun;
pub use need::Demand;
pub use order::{Order, StartOrder, StartResult};
pub use pace::Watch;
pub use report::ReportNews;
pub use suspects::GivenUp;
pub use vms::VmSummary;

new_key_type! {
    /// A job in a pool's arena.
    struct JobKey;
    /// A VM incarnation in a pool's arena.
    struct VmKey;
}

/// The present by both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Milliseconds of the steady clock.
    pub steady: Ms,
    /// Milliseconds since 1970.
    pub wall: u64,
}

/// How many tasks wait and how much room is free, for the planner of VMs and for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Processor that waiting tasks whose turn has come ask for, in thousandths of a core; those
    /// of jobs that are too late to be of use are not counted.
    pub waiting_cpu: u64,
    /// Processor in use on VMs that take work, in thousandths of a core; what runs on others ends
    /// or moves and needs no VM to replace it. Tasks that were stopped to be resumed elsewhere
    /// count as running: more of their kind do not come with them.
    pub used_cpu: u64,
    /// Processor of VMs that take work, in thousandths of a core.
    pub cpu: u64,
    /// VMs that take work.
    pub vms: u32,
    /// VMs that lasting tasks need, which may not share one.
    pub spread: u32,
    /// Open jobs.
    pub jobs: u32,
    /// Tasks that wait and whose turn has come.
    pub waiting: u32,
    /// Tasks ordered to run.
    pub placed: u32,
}

/// The schedule of one pool.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    policy: Policy,
    jobs: SlotMap<JobKey, Job>,
    job_keys: HashMap<JobId, JobKey>,
    vms: SlotMap<VmKey, Vm>,
    vm_keys: HashMap<VmLife, VmKey>,
    /// VMs, by lasting name, that are to be emptied.
    cordoned: HashSet<Arc<str>>,
    /// VMs among them that another pool needs now.
    hurried: HashSet<Arc<str>>,
    /// VMs, by lasting name, that maintenance will take down before long.
    due: HashSet<Arc<str>>,
    /// Data halls that are evacuated.
    halls: Arc<Halls>,
    /// More halls may be evacuated than this owner knows.
    halls_unknown: bool,
    /// Before this no lasting task is stopped to be moved.
    moves_from: Ms,
    /// The list of VMs is whole, as far as is known: after an outage of the store entries that
    /// lapsed meanwhile are not back at once.
    listing_is_sound: bool,
    orders: Vec<Order>,
    dirty: Vec<JobKey>,
    acks: Vec<(VmLife, u64)>,
    /// Jobs with tasks under which VMs were lost.
    harmed: BTreeSet<JobKey>,
    given_up: Vec<GivenUp>,
    /// When a VM on which something ran was last found to have crashed.
    crashed_at: Option<Ms>,
    estimates: Estimates,
    arrivals: Arrivals,
    /// What is known of the policies of steps that need advice.
    advice: BTreeMap<StepId, Advised>,
    /// What workspaces have running, and what they may.
    quota: Ledger,
}

impl Pool {
    /// Makes an empty schedule.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes an empty schedule with other parameters of decisions than the usual ones.
    pub fn with_policy(policy: Policy) -> Self {
        Self { policy, arrivals: Arrivals::new(policy.need.arrivals), ..Self::default() }
    }

    /// Takes in a job that was accepted.
    pub fn submit(&mut self, id: JobId, spec: Arc<JobSpec>, now: Now) {
        if self.job_keys.contains_key(&id) {
            return;
        }
        self.note_arrival(&spec, now.steady);
        let job = self.new_job(id, spec, now);
        let key = self.jobs.insert(job);
        self.job_keys.insert(id, key);
    }

    /// Cancels a job: what runs is stopped, nothing more starts.
    pub fn cancel(&mut self, id: JobId, now: Now) {
        if let Some(&key) = self.job_keys.get(&id) {
            self.settle(key, Phase::Cancelled, now);
        }
    }

    /// Decides what to order now.
    pub fn plan(&mut self, now: Now) -> Vec<Order> {
        self.begin_due_times(now);
        self.end_silences(now);
        self.call_off_starts(now);
        self.evacuate(now);
        if !self.halls_unknown {
            self.place_waiting(now);
        }
        std::mem::take(&mut self.orders)
    }

    /// Returns the progress of the jobs that have changed, to be written before orders go out.
    pub fn take_records(&mut self) -> Vec<(JobId, Progress)> {
        let dirty = std::mem::take(&mut self.dirty);
        let mut records = Vec::with_capacity(dirty.len());
        for key in dirty {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            job.dirty = false;
            let vms = &self.vms;
            records.push((job.id, job.progress(|vm| vms.get(vm).map(|v| v.id.clone()))));
        }
        self.forget_settled();
        records
    }

    /// Returns which ends each VM may forget, once the records are written.
    pub fn take_acks(&mut self) -> Vec<(VmLife, u64)> {
        std::mem::take(&mut self.acks)
    }

    /// Returns the next steady time at which a repetition falls due.
    pub fn next_due(&self, now: Now) -> Option<Ms> {
        self.jobs.values().filter_map(|j| j.next_due(now)).min()
    }

    /// Counts what waits and what is in use.
    pub fn load(&self, now: Now) -> Load {
        let mut load = Load::default();
        for vm in self.vms.values().filter(|vm| vm.takes_work()) {
            load.vms += 1;
            load.cpu += u64::from(vm.room().cpu);
            load.used_cpu += u64::from(vm.used.cpu);
        }
        for vm in self.vms.values() {
            load.placed += u32::try_from(vm.runs.len()).unwrap_or(u32::MAX);
        }
        for job in self.jobs.values().filter(|j| j.phase == Phase::Open) {
            load.jobs += 1;
            load.spread = load.spread.max(job.spread());
            for (time, step, waiting) in job.ready_steps() {
                if !self.fits_somewhere(job.spec.steps[step].room()) {
                    continue;
                }
                load.waiting += waiting;
                if self.rank(job, now.steady).is_too_late() {
                    continue;
                }
                let cpu = u64::from(job.spec.steps[step].room().cpu);
                let resumed = job.times[&time].steps[step].to_resume();
                load.waiting_cpu += cpu * u64::from(waiting - resumed);
                load.used_cpu += cpu * u64::from(resumed);
            }
        }
        load
    }

    /// Returns whether some VM is large enough for a task, as far as VMs are known.
    fn fits_somewhere(&self, room: Room) -> bool {
        let mut known = self.vms.values().filter_map(|vm| vm.facts.as_ref()).peekable();
        known.peek().is_none() || known.any(|facts| facts.room.holds(room))
    }

    /// Marks a job as changed, so that its progress is written.
    fn touch(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if !job.dirty {
            job.dirty = true;
            self.dirty.push(key);
        }
    }

    /// Settles a job and stops what runs of it.
    fn settle(&mut self, key: JobKey, phase: Phase, now: Now) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.phase != Phase::Open {
            return;
        }
        job.phase = phase;
        job.settled_ms = now.wall;
        let id = job.id;
        self.touch(key);
        let mut stops = Vec::new();
        for (vm_key, vm) in &mut self.vms {
            let of_job = vm.runs.iter_mut().filter(|(task, run)| task.job == id && !run.stopping);
            for (&task, run) in of_job {
                run.stopping = true;
                run.stop_ordered = now.steady;
                stops.push((vm_key, task, run.attempt));
            }
        }
        for (vm, task, attempt) in stops {
            self.order_stop(vm, task, attempt);
        }
    }

    /// Drops jobs that are settled, written and have nothing running.
    fn forget_settled(&mut self) {
        let vms = &self.vms;
        let runs = |id| vms.values().any(|vm| vm.runs.keys().any(|t| t.job == id));
        let gone = |j: &Job| j.phase != Phase::Open && !j.dirty && !runs(j.id);
        let ids: Vec<JobId> = self.jobs.values().filter(|j| gone(j)).map(|j| j.id).collect();
        for id in ids {
            if let Some(key) = self.job_keys.remove(&id) {
                self.jobs.remove(key);
                self.harmed.remove(&key);
            }
            self.advice.retain(|step, _| step.job != id);
        }
    }
}
