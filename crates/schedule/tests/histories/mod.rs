//! A pool of VMs over simulated time, with random faults.

mod machine;

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use thistle_schedule::job_log::{Version, encode, encode_progress, progress_key, submit_key};
use thistle_schedule::pool::{Order, StartOrder, StartResult};
use thistle_schedule::{
    EndKind, JobId, JobLog, JobSpec, LogChange, Ms, Phase, Policy, Pool, Step, TaskId,
    VmIncarnation, VmLoss,
};

use crate::common::{at, job, lasting_step, step};
use machine::{Ended, Machine, State};

/// The simulated milliseconds of one tick.
const TICK: Ms = 50;
/// Jobs are submitted and faults are injected until this time.
const FAULT_FREE_AT: Ms = 30_000;
/// All jobs must have ended by this time.
const END: Ms = 75_000;
const VMS: usize = 12;
const VMS_PER_RACK: usize = 4;
/// The downtime of a VM that crashed.
const DOWNTIME: Ms = 3_300;
/// The time after the last contact with a VM when its lease has expired for certain.
const LEASE: Ms = 6_300;

/// The parameters of a history.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// The percentage of jobs that have a task that crashes its VMs.
    pub faulty_percent: u32,
    /// Whether suspects are kept apart.
    pub suspects_apart: bool,
}

/// The results of one history, or the sum over many.
#[derive(Clone, Copy, Debug, Default)]
pub struct HistoryResults {
    /// Starts of faulty tasks beyond the two that are allowed after the third crash.
    pub started_too_often: u32,
    /// Jobs without a faulty task that failed.
    pub failed_wrongly: u32,
    /// Jobs without a faulty task that had not settled at the end.
    pub unfinished: u32,
    /// Crashes by faulty tasks.
    pub crashes: u32,
    /// The largest number of VMs that faulty tasks kept down at once.
    pub max_down: usize,
    /// Core-milliseconds of tasks of other jobs that were lost with those VMs.
    pub lost_work_of_others: u64,
    /// Jobs without a faulty task that were completed.
    pub done: u32,
    /// The sum over these jobs of the milliseconds from acceptance to completion.
    pub total_ms: u64,
}

impl HistoryResults {
    pub fn add(&mut self, other: Self) {
        self.started_too_often += other.started_too_often;
        self.failed_wrongly += other.failed_wrongly;
        self.unfinished += other.unfinished;
        self.crashes += other.crashes;
        self.max_down = self.max_down.max(other.max_down);
        self.lost_work_of_others += other.lost_work_of_others;
        self.done += other.done;
        self.total_ms += other.total_ms;
    }
}

/// One random history.
pub struct History {
    rng: StdRng,
    setting: Setting,
    now: Ms,
    machines: Vec<Machine>,
    pool: Pool,
    log: JobLog,
    token: u64,
    records_written: u64,
    steps: BTreeMap<JobId, Vec<Step>>,
    accepted: BTreeMap<JobId, Ms>,
    faulty_tasks: BTreeSet<TaskId>,
    /// The number of VM crashes under each faulty task, and of its starts since the third crash.
    crash_counts: BTreeMap<TaskId, (u32, u32)>,
    /// Lasting jobs and the times at which their callers cancel them.
    cancel_times: BTreeMap<JobId, Ms>,
    settled: BTreeSet<JobId>,
    /// VMs that are gone and on which a new owner knows of runs, and when their leases have expired for certain.
    orphans: BTreeMap<VmIncarnation, Ms>,
    results: HistoryResults,
}

impl History {
    pub fn new(seed: u64, setting: Setting) -> Self {
        let machines = (0..VMS).map(|i| Machine::new(i, i / VMS_PER_RACK)).collect();
        let mut history = Self {
            rng: StdRng::seed_from_u64(seed),
            setting,
            now: 0,
            machines,
            pool: Pool::new(),
            log: JobLog::default(),
            token: 0,
            records_written: 0,
            steps: BTreeMap::new(),
            accepted: BTreeMap::new(),
            faulty_tasks: BTreeSet::new(),
            crash_counts: BTreeMap::new(),
            cancel_times: BTreeMap::new(),
            settled: BTreeSet::new(),
            orphans: BTreeMap::new(),
            results: HistoryResults::default(),
        };
        history.replace_owner();
        history
    }

    pub fn run(mut self) -> HistoryResults {
        while self.now < END {
            self.now += TICK;
            if self.now < FAULT_FREE_AT {
                self.submit_jobs();
                self.inject_faults();
            }
            self.cancel_lasting();
            self.advance_machines();
            self.report();
            self.expire_orphans();
            self.plan();
        }
        for id in self.steps.keys() {
            let has_no_faulty_task = !self.faulty_tasks.iter().any(|task| task.job == *id);
            self.results.unfinished += u32::from(has_no_faulty_task && !self.settled.contains(id));
        }
        self.results
    }

    fn submit_jobs(&mut self) {
        if !self.rng.random_bool(0.1) {
            return;
        }
        let id = JobId(u64::try_from(self.steps.len()).unwrap_or(0) + 1);
        let is_lasting = self.rng.random_bool(0.08);
        let width = self.rng.random_range(2..9);
        let steps = match (is_lasting, self.rng.random_bool(0.4)) {
            (true, _) => vec![lasting_step(3, 1)],
            (false, true) => {
                vec![step(width, 900), Step { depends_on: vec![0], ..step(width, 900) }]
            }
            (false, false) => vec![step(width, 900)],
        };
        if self.rng.random_range(0..100) < self.setting.faulty_percent {
            let index = self.rng.random_range(0..steps[0].count);
            self.faulty_tasks.insert(TaskId { job: id, time: 0, step: 0, index });
        }
        if is_lasting {
            self.cancel_times.insert(id, self.now + self.rng.random_range(10_000..40_000));
        }
        let spec =
            JobSpec { accepted_ms: at(self.now).wall, ..job(steps.clone()).as_ref().clone() };
        self.steps.insert(id, steps);
        self.accepted.insert(id, self.now);
        let change = self.log.apply(&submit_key(id), Some(&encode(&spec)));
        assert_eq!(change, Ok(Some(LogChange::Submitted(id))));
        let entry = self.log.get(id).expect("it was submitted");
        self.pool.adopt(id, entry, at(self.now));
    }

    fn cancel_lasting(&mut self) {
        let due: Vec<JobId> = self
            .cancel_times
            .iter()
            .filter(|(_, end)| **end <= self.now)
            .map(|(&id, _)| id)
            .collect();
        for id in due {
            self.cancel_times.remove(&id);
            self.settled.insert(id);
            self.pool.cancel(id, at(self.now));
        }
    }

    /// Replaces the owner by another node, which knows only the records.
    fn replace_owner(&mut self) {
        self.token += 1;
        let mut policy = Policy::default();
        policy.tasks.keep_suspects_apart = self.setting.suspects_apart;
        self.pool = Pool::with_policy(policy);
        for (id, entry) in self.log.iter().filter(|(id, _)| !self.settled.contains(id)) {
            self.pool.adopt(id, entry, at(self.now));
        }
        for machine in &mut self.machines {
            machine.last_contact = self.now;
            if machine.is_listed(self.now) {
                self.pool.list_vm(machine.facts());
            }
        }
        self.pool.set_listing_is_complete(true);
    }

    fn inject_faults(&mut self) {
        let i = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..1_000) {
            0..2 => self.crash(i, DOWNTIME),
            2 if self.rng.random_bool(0.5) => {
                let rack = i / VMS_PER_RACK;
                (0..VMS)
                    .filter(|i| i / VMS_PER_RACK == rack)
                    .for_each(|i| self.crash(i, 2 * DOWNTIME));
            }
            3..5 => self.machines[i].cut_until = self.now + self.rng.random_range(500..12_000),
            5 => self.machines[i].leave(self.now),
            6..9 => self.replace_owner(),
            _ => (),
        }
    }

    fn crash(&mut self, i: usize, downtime: Ms) {
        let unresponsive = self.rng.random_bool(0.3);
        self.machines[i].crash(self.now, downtime, unresponsive);
    }

    /// Restarts VMs that are due and ends runs that are done or whose lease has expired.
    fn advance_machines(&mut self) {
        for i in 0..VMS {
            let before = self.machines[i].facts().id.clone();
            if self.machines[i].restart_if_due(self.now) {
                let facts = self.machines[i].facts();
                self.pool.list_vm(facts);
                self.pool.vm_lost(&before, VmLoss::Replaced, at(self.now));
                self.pool.unlist_vm(&before);
            }
            self.machines[i].end_runs(self.now);
        }
        let down =
            self.machines.iter().filter(|m| m.crashed_by_task && m.state != State::Up).count();
        self.results.max_down = self.results.max_down.max(down);
    }

    fn report(&mut self) {
        let now = self.now;
        for machine in &mut self.machines {
            let id = machine.facts().id.clone();
            if !machine.answers(now) {
                // A closed connection is noticed at once, unresponsiveness after a while.
                if !machine.unresponsive || now >= machine.last_contact + 600 {
                    self.pool.set_reachable(&id, false, at(now));
                }
                if now >= machine.last_contact + LEASE && !machine.is_lost {
                    machine.is_lost = true;
                    self.pool.vm_lost(&id, VmLoss::LeaseOver, at(now));
                }
                continue;
            }
            machine.last_contact = now;
            machine.is_lost = false;
            self.pool.set_reachable(&id, true, at(now));
            self.pool.apply_report(&id, &machine.report(now), at(now));
        }
    }

    fn expire_orphans(&mut self) {
        let present: Vec<VmIncarnation> =
            self.machines.iter().map(|m| m.facts().id.clone()).collect();
        for id in self.pool.unlisted_with_runs().into_iter().filter(|id| !present.contains(id)) {
            self.orphans.entry(id).or_insert(self.now + LEASE);
        }
        let now = self.now;
        for (id, _) in self.orphans.extract_if(.., |_, over_at| now >= *over_at) {
            self.pool.vm_lost(&id, VmLoss::LeaseOver, at(now));
        }
    }

    fn plan(&mut self) {
        let orders = self.pool.plan(at(self.now));
        for (id, progress) in self.pool.take_records() {
            self.records_written += 1;
            let version = Version { token: self.token, number: self.records_written };
            let record = encode_progress(version, &progress);
            assert!(self.log.apply(&progress_key(id), Some(&record)).is_ok());
            if progress.phase != Phase::Open && self.settled.insert(id) {
                self.record_settled(id, progress.phase);
            }
        }
        for (id, sequence) in self.pool.take_acks() {
            for machine in self.machines.iter_mut().filter(|m| m.facts().id == id) {
                machine.ended.retain(|end: &Ended| end.sequence > sequence);
            }
        }
        for order in orders {
            match order {
                Order::Start(start) => self.start(&start),
                Order::Stop { vm, run } => {
                    for machine in self.machines.iter_mut().filter(|m| m.facts().id == vm) {
                        machine.end(run.task, EndKind::Stopped);
                    }
                    self.pool.record_stop_answer(&vm, run, at(self.now));
                }
                Order::Throttle { .. } | Order::RequestAdvice(_) => (),
            }
        }
    }

    fn record_settled(&mut self, id: JobId, phase: Phase) {
        if self.faulty_tasks.iter().any(|task| task.job == id) {
            return;
        }
        match phase {
            Phase::Completed => {
                self.results.done += 1;
                self.results.total_ms += self.now - self.accepted[&id];
            }
            Phase::Failed => self.results.failed_wrongly += 1,
            Phase::Open | Phase::Cancelled => (),
        }
    }

    fn start(&mut self, start: &StartOrder) {
        let now = self.now;
        let Some(i) = self.machines.iter().position(|m| m.facts().id == start.vm) else { return };
        if !self.machines[i].answers(now) {
            let result = StartResult::Unhealthy;
            self.pool.apply_start_result(&start.vm, start.run, result, at(now));
            return;
        }
        let task = start.run.task;
        let shape = &self.steps[&task.job][usize::from(task.step)];
        let duration = if shape.lasting { Ms::MAX } else { self.rng.random_range(300..1_500) };
        let machine = &mut self.machines[i];
        machine.start(start.run, shape, now, now.saturating_add(duration));
        if !self.faulty_tasks.contains(&task) {
            self.pool.apply_start_result(&start.vm, start.run, StartResult::Started, at(now));
            return;
        }
        let (crashes, starts) = self.crash_counts.entry(task).or_default();
        *starts += u32::from(*crashes >= 3);
        self.results.started_too_often += u32::from(*starts > 2);
        *crashes += 1;
        self.results.crashes += 1;
        self.results.lost_work_of_others += machine.work_of_others(task, now);
        self.crash(i, DOWNTIME);
        self.machines[i].crashed_by_task = true;
    }
}
