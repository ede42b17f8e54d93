//! The schedule of one pool: its jobs, its VMs, and the assignment of tasks to VMs.
//!
//! The pool's owner passes in every event and calls [`Pool::plan`] for the resulting orders. The records from
//! [`Pool::take_records`] must be written before the orders are sent and before run ends are acknowledged to VMs
//! ([`Pool::take_acks`]), so that the next owner finds every order and every run end in the records.
//!
//! A lasting task runs until its job is cancelled and is restarted however it ends; other tasks end by themselves.

mod abandonment;
mod advice;
mod arrivals;
mod backlog;
mod ends;
mod estimate;
mod evacuation;
mod gang;
mod held_ends;
mod incarnation;
mod job;
mod leaving;
mod losses;
mod need;
mod order;
mod overload;
mod place;
mod quota;
mod rank;
mod record_room;
mod remaining;
mod report;
mod run;
mod stalled;
mod standstill;
mod start_budget;
mod start_rate;
mod start_wait;
mod started_jobs;
mod suspects;
mod takeover;
mod throttle;
mod vms;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use slotmap::{SlotMap, new_key_type};

use crate::Ms;
use crate::halls::Halls;
use crate::id::{JobId, VmIncarnation};
use crate::policy::Policy;
use crate::progress::{Phase, Progress};
use crate::quota::Ledger;
use crate::record_fit::{self, LeftOut};
use crate::spec::JobSpec;
use crate::vm::Room;

pub use abandonment::AbandonedTask;
use advice::Advice;
pub use advice::{AdviceRequest, StepId};
use arrivals::Arrivals;
pub use backlog::LATE_FACTOR;
use estimate::Estimates;
pub use evacuation::EvacuationLoad;
pub use held_ends::HeldEnds;
use incarnation::Vm;
use job::Job;
pub use losses::LostRun;
pub use need::Demand;
pub use order::{Order, StartOrder, StartResult};
pub use report::ReportChanges;
use stalled::StalledSince;
pub use stalled::{StallReason, Stalled};
use standstill::Standstill;
use start_budget::LinkBoundWork;
pub use start_budget::StartBudget;
use start_rate::StartRate;
use start_wait::AnswerTime;
pub use throttle::PollReason;
pub use vms::VmSummary;

new_key_type! {
    /// The key of a job in a pool's arena.
    struct JobKey;
    /// The key of a VM incarnation in a pool's arena.
    struct VmKey;
}

/// The current time on the monotonic and the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Milliseconds of the monotonic clock.
    pub steady: Ms,
    /// Milliseconds since the Unix epoch (1970).
    pub wall: u64,
}

/// The load of a pool, for the report to the fleet's owner and for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// CPU demand of waiting tasks that are ready to start, in thousandths of a core. Jobs that are too late to be of
    /// use are not counted.
    pub waiting_cpu: u64,
    /// CPU in use on VMs that accept work, in thousandths of a core. Runs on other VMs end or move and need no
    /// replacement VM. Tasks that were stopped to be resumed elsewhere count as running, because they do not indicate
    /// that more such tasks will arrive.
    pub used_cpu: u64,
    /// CPU capacity of the VMs that accept work, in thousandths of a core.
    pub cpu: u64,
    /// The number of VMs that accept work.
    pub vms: u32,
    /// The number of VMs required by lasting tasks with anti-affinity: the largest number that any open job requires.
    pub spread: u32,
    /// The number of open jobs.
    pub jobs: u32,
    /// The number of open jobs of which a start was ordered and no VM has reported a run.
    pub unanswered_jobs: u32,
    /// The number of waiting tasks that are ready to start.
    pub waiting: u32,
    /// The number of tasks that are assigned to a VM.
    pub placed: u32,
}

/// The schedule of one pool.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    policy: Policy,
    jobs: SlotMap<JobKey, Job>,
    job_keys: HashMap<JobId, JobKey>,
    vms: SlotMap<VmKey, Vm>,
    vm_keys: HashMap<VmIncarnation, VmKey>,
    /// The VMs that get no lease for now.
    without_lease: Vec<VmKey>,
    /// The stable names, which are the same in all incarnations, of VMs that are to be emptied.
    cordoned: HashSet<Arc<str>>,
    /// The stable names of cordoned VMs that another pool needs now.
    urgent: HashSet<Arc<str>>,
    /// The stable names of VMs that maintenance will soon take down.
    due_for_maintenance: HashSet<Arc<str>>,
    /// The state of the data halls, which may be evacuated.
    halls: Arc<Halls>,
    /// Whether more halls may be evacuated than this owner knows of.
    halls_unknown: bool,
    /// Whether jobs may have been cancelled whose cancellations this owner has not read.
    cancels_unknown: bool,
    /// The bytes of starts that the owner's link can take, if it is limited.
    start_budget: Option<StartBudget>,
    /// How many starts the owner's processor can take, if it is short of time.
    start_limit: Option<u64>,
    /// Whether the last step left tasks waiting for the owner's processor.
    is_bound_by_processor: bool,
    /// The jobs whose starts no standby can send.
    jobs_without_relay: BTreeSet<JobId>,
    /// What was placed while tasks waited for the owner's link.
    link_bound: LinkBoundWork,
    /// The starts that VMs have confirmed.
    start_rate: StartRate,
    /// How long VMs usually take to answer a start.
    answer_time: AnswerTime,
    /// Since when work has waited beside room.
    stalled_since: StalledSince,
    /// Since when nothing starts although tasks could.
    standstill: Standstill,
    /// The earliest time at which a lasting task may be stopped to be moved.
    moves_allowed_from: Ms,
    /// Whether the VM listing is believed complete. After an outage of the store, entries that expired during the
    /// outage take time to reappear.
    listing_is_complete: bool,
    orders: Vec<Order>,
    dirty: Vec<JobKey>,
    /// The ends that VMs have reported, in ascending order.
    ends: Vec<(VmIncarnation, Vec<(u64, JobId)>)>,
    /// The reported ends that are not acknowledged.
    held_ends: BTreeMap<VmIncarnation, HeldEnds>,
    /// The largest size of a job's progress record, in bytes.
    max_record_bytes: Option<usize>,
    /// The most bytes that a start adds to a progress record.
    start_record_bytes: usize,
    /// The most bytes of a VM's name in a progress record.
    longest_vm_name: usize,
    /// What the last records of jobs leave out, as it does not fit.
    left_out: BTreeMap<JobId, LeftOut>,
    /// Jobs whose progress is too long to be written.
    unrecorded: BTreeSet<JobId>,
    /// Jobs with tasks that have a crash history.
    jobs_with_crash_history: BTreeSet<JobKey>,
    abandoned: Vec<AbandonedTask>,
    /// When the last crash of a VM with runs was detected.
    last_crash_at: Option<Ms>,
    estimates: Estimates,
    arrivals: Arrivals,
    /// The advice received for steps whose queue's policy restricts their VMs.
    advice: Advice,
    /// The capacity in use by each workspace, and the workspaces' caps.
    quota: Ledger,
}

impl Pool {
    /// Creates an empty schedule.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty schedule with the given policy.
    pub fn with_policy(policy: Policy) -> Self {
        Self { policy, arrivals: Arrivals::new(policy.need.arrivals), ..Self::default() }
    }

    /// Adds an accepted job. A job that is already known is ignored.
    pub fn submit(&mut self, id: JobId, spec: Arc<JobSpec>, now: Now) {
        if self.job_keys.contains_key(&id) {
            return;
        }
        self.record_arrival(&spec, now.steady, now.steady);
        let job = self.new_job(id, spec, now);
        let key = self.jobs.insert(job);
        self.job_keys.insert(id, key);
    }

    /// Returns whether the schedule has a job.
    pub fn contains(&self, id: JobId) -> bool {
        self.job_keys.contains_key(&id)
    }

    /// Cancels a job: its runs are stopped and no more are started.
    pub fn cancel(&mut self, id: JobId, now: Now) {
        if let Some(&key) = self.job_keys.get(&id) {
            self.settle(key, Phase::Cancelled, now);
        }
    }

    /// Returns the orders to be sent now.
    pub fn plan(&mut self, now: Now) -> Vec<Order> {
        self.open_due_repetitions(now);
        self.expire_unclear_losses(now);
        self.cancel_starts_beyond_room(now);
        self.move_tasks_off_leaving_vms(now);
        self.begin_link_step();
        if !self.halls_unknown && !self.cancels_unknown {
            self.place_waiting(now);
        }
        self.finish_link_step(now.steady);
        std::mem::take(&mut self.orders)
    }

    /// Returns the progress of all changed jobs, which must be written before orders are sent.
    pub fn take_records(&mut self) -> Vec<(JobId, Progress)> {
        let dirty = std::mem::take(&mut self.dirty);
        let mut records = Vec::with_capacity(dirty.len());
        for key in dirty {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            job.dirty = false;
            let vms = &self.vms;
            let mut progress = job.progress(|vm| vms.get(vm).map(|v| v.id.clone()));
            let left_out = match self.max_record_bytes {
                Some(max) => record_fit::fit(&mut progress, max),
                None => LeftOut::default(),
            };
            match left_out.is_nothing() {
                true => self.left_out.remove(&job.id),
                false => self.left_out.insert(job.id, left_out),
            };
            records.push((job.id, progress));
        }
        self.remove_settled();
        records
    }

    /// Returns, by job, what the last records leave out.
    pub const fn left_out(&self) -> &BTreeMap<JobId, LeftOut> {
        &self.left_out
    }

    /// Returns the next time, on the monotonic clock, at which a repetition is due.
    pub fn next_due(&self, now: Now) -> Option<Ms> {
        self.jobs.values().filter_map(|j| j.next_due(now)).min()
    }

    /// Returns the current load.
    pub fn load(&self, now: Now) -> Load {
        let mut load = Load::default();
        for vm in self.vms.values().filter(|vm| vm.accepts_work()) {
            load.vms += 1;
            load.cpu += u64::from(vm.room().cpu);
            load.used_cpu += u64::from(vm.used.cpu);
        }
        for vm in self.vms.values() {
            load.placed += u32::try_from(vm.runs.len()).unwrap_or(u32::MAX);
        }
        for job in self.jobs.values().filter(|j| j.phase == Phase::Open) {
            load.jobs += 1;
            load.unanswered_jobs += u32::from(job.start_ordered && !job.has_started);
            load.spread = load.spread.max(job.spread());
            for (repetition, step, waiting) in job.ready_steps() {
                if !self.fits_somewhere(job.spec.steps[step].room()) {
                    continue;
                }
                load.waiting += waiting;
                if self.rank(job, now.steady).is_too_late() {
                    continue;
                }
                let cpu = u64::from(job.spec.steps[step].room().cpu);
                let resumed = job.repetitions[&repetition].steps[step].waiting_to_resume();
                load.waiting_cpu += cpu * u64::from(waiting - resumed);
                load.used_cpu += cpu * u64::from(resumed);
            }
        }
        load
    }

    /// Returns whether some VM is large enough for a task. Returns `true` while no VM's size is known.
    fn fits_somewhere(&self, room: Room) -> bool {
        let mut known = self.vms.values().filter_map(|vm| vm.facts.as_ref()).peekable();
        known.peek().is_none() || known.any(|facts| facts.room.fits(room))
    }

    /// Marks a job as changed so that its progress is written.
    fn mark_changed(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if !job.dirty {
            job.dirty = true;
            self.dirty.push(key);
        }
    }

    /// Settles an open job in the given phase and stops its runs.
    fn settle(&mut self, key: JobKey, phase: Phase, now: Now) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.phase != Phase::Open {
            return;
        }
        job.phase = phase;
        job.settled_ms = now.wall;
        let id = job.id;
        self.mark_changed(key);
        let mut stops = Vec::new();
        for (vm_key, vm) in &mut self.vms {
            let of_job = vm.runs.iter_mut().filter(|(task, _)| task.job == id);
            for (&task, run) in of_job.filter(|(_, run)| !run.stopping || run.moving) {
                (run.stopping, run.moving) = (true, false);
                run.stop_ordered = now.steady;
                stops.push((vm_key, task, run.attempt));
            }
        }
        for (vm, task, attempt) in stops {
            self.order_stop(vm, task, attempt);
        }
    }

    /// Removes jobs that are settled, written and have no runs left.
    fn remove_settled(&mut self) {
        let vms = &self.vms;
        let runs = |id| vms.values().any(|vm| vm.runs.keys().any(|t| t.job == id));
        let removable = |j: &Job| j.phase != Phase::Open && !j.dirty && !runs(j.id);
        let ids: Vec<JobId> = self.jobs.values().filter(|j| removable(j)).map(|j| j.id).collect();
        for id in ids {
            if let Some(key) = self.job_keys.remove(&id) {
                self.jobs.remove(key);
                self.jobs_with_crash_history.remove(&key);
            }
            self.left_out.remove(&id);
            self.advice.remove_job(id);
        }
    }
}
