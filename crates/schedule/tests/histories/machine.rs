//! A simulated VM of the random histories.

use std::collections::BTreeMap;
use std::sync::Arc;

use thistle_schedule::{
    EndKind, Ms, ReportedRun, Room, RunEnd, RunId, Step, TaskId, VmFacts, VmReport,
};

use crate::common::{row, vm};

/// The lease of a VM's runs, in milliseconds.
const LEASE: Ms = 6_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// The VM is down until this time.
    Down(Ms),
    /// The VM reports that it leaves, and is down from this time on.
    Leaving(Ms),
}

#[derive(Debug)]
struct Run {
    attempt: u32,
    started: Ms,
    ends_at: Ms,
    cpu: u32,
}

pub type Ended = RunEnd;

#[derive(Debug)]
pub struct SimVm {
    name: String,
    rack: usize,
    incarnation: u32,
    pub state: State,
    pub cut_until: Ms,
    /// The VM went down without closing its connections.
    pub unresponsive: bool,
    /// When the VM last answered its owner, or when that owner took over.
    pub last_contact: Ms,
    /// The VM was reported as lost to the pool.
    pub is_lost: bool,
    pub crashed_by_task: bool,
    runs: BTreeMap<TaskId, Run>,
    pub ended: Vec<Ended>,
    sequence: u64,
}

impl SimVm {
    pub fn new(number: usize, rack: usize) -> Self {
        Self {
            name: format!("m{number}"),
            rack,
            incarnation: 1,
            state: State::Up,
            cut_until: 0,
            unresponsive: false,
            last_contact: 0,
            is_lost: false,
            crashed_by_task: false,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            sequence: 0,
        }
    }

    pub fn facts(&self) -> Arc<VmFacts> {
        let room = Room { cpu: 16_000, mem_mb: 32_000, gpu: 0 };
        let draining = matches!(self.state, State::Leaving(_));
        let rack = format!("r{}", self.rack).into();
        Arc::new(VmFacts {
            room,
            draining,
            rack,
            ..vm(&self.name, self.incarnation).as_ref().clone()
        })
    }

    /// Returns whether the VM is listed, which it stays for a while after it is gone.
    pub fn is_listed(&self, now: Ms) -> bool {
        self.state == State::Up || now < self.last_contact + 4_500
    }

    pub fn answers(&self, now: Ms) -> bool {
        !matches!(self.state, State::Down(_)) && now >= self.cut_until
    }

    pub fn crash(&mut self, now: Ms, downtime: Ms, unresponsive: bool) {
        if !matches!(self.state, State::Down(_)) {
            self.state = State::Down(now + downtime);
            self.unresponsive = unresponsive;
            self.runs.clear();
            self.ended.clear();
        }
    }

    pub fn leave(&mut self, now: Ms) {
        if self.state == State::Up {
            self.state = State::Leaving(now + 2_000);
        }
    }

    /// Restarts the VM as another incarnation if that is due, and returns whether it did.
    pub fn restart_if_due(&mut self, now: Ms) -> bool {
        if matches!(self.state, State::Leaving(until) if now >= until) {
            self.crash(now, 1_500, false);
        }
        if !matches!(self.state, State::Down(until) if now >= until) {
            return false;
        }
        self.incarnation += 1;
        (self.state, self.last_contact, self.is_lost) = (State::Up, now, false);
        (self.crashed_by_task, self.unresponsive, self.sequence) = (false, false, 0);
        true
    }

    pub fn start(&mut self, run: RunId, task_step: &Step, now: Ms, ends_at: Ms) {
        let cpu = task_step.room().cpu;
        self.runs.insert(run.task, Run { attempt: run.attempt, started: now, ends_at, cpu });
        let used: u32 = self.runs.values().map(|r| r.cpu).sum();
        assert!(used <= self.facts().room.cpu, "{} is over its room at {now}", self.name);
    }

    /// Ends the runs that are done, and all runs once the lease has expired.
    pub fn end_runs(&mut self, now: Ms) {
        if self.cut_until > now && now >= self.last_contact + LEASE {
            let lapsed: Vec<TaskId> = self.runs.keys().copied().collect();
            lapsed.into_iter().for_each(|task| self.end(task, EndKind::Lapsed));
        }
        let finished = self.runs.iter().filter(|(_, run)| run.ends_at <= now);
        let finished: Vec<TaskId> = finished.map(|(&task, _)| task).collect();
        finished.into_iter().for_each(|task| self.end(task, EndKind::Done));
    }

    pub fn end(&mut self, task: TaskId, kind: EndKind) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.sequence += 1;
        let run = RunId { task, attempt: run.attempt };
        let (sequence, checkpoint) = (self.sequence, String::new());
        self.ended.push(RunEnd { sequence, run, kind, checkpoint });
    }

    pub fn report(&self, now: Ms) -> VmReport {
        let row = |(&task, run): (&TaskId, &Run)| -> ReportedRun {
            row(RunId { task, attempt: run.attempt }, 100)
        };
        let running = self.runs.iter().map(row).collect();
        VmReport { requested_at: now, running, ended: self.ended.clone() }
    }

    /// Returns the core-milliseconds that tasks of other jobs have run on the VM.
    pub fn work_of_others(&self, task: TaskId, now: Ms) -> u64 {
        let others = self.runs.iter().filter(|(other, _)| other.job != task.job);
        others.map(|(_, run)| (now - run.started) * u64::from(run.cpu) / 1_000).sum()
    }
}
