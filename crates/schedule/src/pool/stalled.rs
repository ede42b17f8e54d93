//! Work that does not run although its turn has come and its pool has room, and what it waits for.
//!
//! Load pattern: part of the work of a pool stands for seconds beside idle VMs, because leases of lost VMs have not expired, the
//! owner's link is full, or a share of a cap is not lent. Load, queue lengths and waiting times look as they do under high demand.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::incarnation::Vm;
use super::job::{Job, TaskState};
use super::place::ReadyStep;
use super::{JobKey, Pool};
use crate::Ms;
use crate::id::{JobId, TaskId};
use crate::progress::Phase;
use crate::vm::Room;

/// How long a job without running tasks waits beside room before one of its tasks goes before all others, in milliseconds.
pub(super) const OVERDUE_MS: Ms = 1_000;

/// What a task waits for that could run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StallReason {
    /// The record of its job is not written or cannot hold it.
    Record,
    /// It was ordered to start: the start waits for its turn, or its VM has not answered.
    Start,
    /// It may still run on a VM that does not answer, until the VM's lease has expired.
    Lease,
    /// The owner has not read recently enough which jobs are cancelled or which halls are evacuated.
    Reads,
    /// The owner's link is full.
    Link,
    /// The owner is short of processor time.
    Processor,
    /// The share of the workspace's cap that is lent to the pool is in use.
    Cap,
    /// VMs have crashed under it, or it shares no VM with tasks under which VMs have crashed.
    Suspects,
    /// No VM with room meets the step's constraints.
    Place,
    /// None of the VMs that could take work answers.
    Unreachable,
}

impl StallReason {
    /// All reasons.
    pub const ALL: [Self; 10] = [
        Self::Record,
        Self::Start,
        Self::Lease,
        Self::Reads,
        Self::Link,
        Self::Processor,
        Self::Cap,
        Self::Suspects,
        Self::Place,
        Self::Unreachable,
    ];

    /// Returns the name for metrics and log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Start => "start",
            Self::Lease => "lease",
            Self::Reads => "reads",
            Self::Link => "link",
            Self::Processor => "processor",
            Self::Cap => "cap",
            Self::Suspects => "suspects",
            Self::Place => "place",
            Self::Unreachable => "unreachable",
        }
    }
}

/// The work that waits beside room for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stalled {
    /// For how long the first one has waited, in milliseconds.
    pub longest_ms: Ms,
    /// The number of jobs, and of lasting tasks.
    pub count: u32,
    /// The task that has waited longest.
    pub task: TaskId,
}

/// Since when each job or lasting task has waited beside room. A job is represented by its task with number 0.
#[derive(Clone, Debug, Default)]
pub(super) struct StalledSince {
    tasks: HashMap<TaskId, Ms>,
    /// When it was last seen that no VM answered.
    silent_until: Ms,
}

impl StalledSince {
    /// Returns since when a task has waited.
    pub fn of(&self, task: TaskId) -> Option<Ms> {
        self.tasks.get(&task).copied()
    }
}

/// The free room of the VMs that take work.
pub(super) struct FreeRoom {
    rooms: Vec<Room>,
    /// Whether there is room for two tasks of a size.
    for_two: HashMap<Room, bool>,
}

impl FreeRoom {
    /// Returns the room that confirmed runs leave free on some VMs.
    fn of<'a>(vms: impl Iterator<Item = &'a Vm>) -> Self {
        let rooms = vms.map(|vm| vm.room().minus(vm.confirmed_use())).collect();
        Self { rooms, for_two: HashMap::new() }
    }

    /// Returns whether two tasks of this size find room.
    pub fn fits_twice(&mut self, room: Room) -> bool {
        let rooms = &self.rooms;
        *self.for_two.entry(room).or_insert_with(|| {
            let twice = room.times(2);
            rooms.iter().any(|free| free.fits(twice))
                || rooms.iter().filter(|free| free.fits(room)).nth(1).is_some()
        })
    }
}

impl Vm {
    /// Returns the room of the runs that the VM has confirmed. Ordered runs may wait for the owner.
    fn confirmed_use(&self) -> Room {
        let confirmed = self.runs.values().filter(|run| run.confirmed.is_some());
        confirmed.fold(Room::default(), |used, run| used.plus(run.reserved))
    }

    /// Returns whether new tasks may be placed on the VM if it answers.
    fn accepts_work_if_it_answers(&self) -> bool {
        let readable = self.facts.as_ref().is_some_and(|f| !f.unreadable);
        self.listed && readable && !self.cordoned && !self.draining() && !self.evacuated
    }
}

impl Pool {
    /// Returns the work that waits although there is room for twice as much and less than half of the pool is in use, by reason.
    /// While no VM answers, the room that the VMs would have counts. The records of all orders have to be written. Times count from
    /// the first of consecutive calls in which the work waits.
    pub fn stalled(&mut self, now: Ms) -> BTreeMap<StallReason, Stalled> {
        let silent = self.silent_vms();
        let is_silent = !silent.is_empty();
        let waiting = if is_silent {
            self.waiting_for_answers(&silent, now)
        } else if self.is_half_used() {
            Vec::new()
        } else {
            self.waiting_beside_room(self.free_room(now), now)
        };
        if is_silent {
            self.stalled_since.silent_until = now;
        }
        let before = std::mem::take(&mut self.stalled_since.tasks);
        let mut stalled: BTreeMap<StallReason, Stalled> = BTreeMap::new();
        for &(task, reason) in &waiting {
            let since = before.get(&task).copied().unwrap_or(now);
            self.stalled_since.tasks.insert(task, since);
            let longest_ms = now.saturating_sub(since);
            let entry = stalled.entry(reason).or_insert(Stalled { longest_ms, count: 0, task });
            entry.count += 1;
            if longest_ms > entry.longest_ms {
                (entry.longest_ms, entry.task) = (longest_ms, task);
            }
        }
        self.update_standstill(&waiting, now);
        stalled
    }

    /// Returns the jobs that have nothing running and have waited beside room for long, those that have waited longest first. By
    /// rank, late jobs go after all that arrive in time, however long they wait.
    pub(super) fn overdue_jobs(&self, now: Ms) -> Vec<JobKey> {
        let StalledSince { tasks, silent_until } = &self.stalled_since;
        // Where no VM answered, no other job has gone before them either.
        let overdue = tasks.iter().filter(|&(_, &at)| now >= at.max(*silent_until) + OVERDUE_MS);
        let mut jobs: Vec<(Ms, JobKey)> = overdue
            .filter_map(|(task, &since)| Some((since, *self.job_keys.get(&task.job)?)))
            .filter(|&(_, key)| {
                let job = &self.jobs[key];
                job.phase == Phase::Open && !job.spec.is_lasting() && !self.has_assigned(job)
            })
            .collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, key)| key).collect()
    }

    fn has_assigned(&self, job: &Job) -> bool {
        let steps = job.repetitions.values().flat_map(|repetition| &repetition.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| matches!(task.state, TaskState::Assigned(_)))
    }

    /// Returns whether at least half of the pool's CPU is used by runs that VMs have confirmed.
    pub(super) fn is_half_used(&self) -> bool {
        are_half_used(self.vms.values().filter(|vm| vm.accepts_work()))
    }

    /// Returns the room that confirmed runs leave free.
    pub(super) fn free_room(&self, now: Ms) -> FreeRoom {
        let takes = |vm: &&Vm| vm.accepts_work() && vm.excluded_until <= now;
        FreeRoom::of(self.vms.values().filter(takes))
    }

    /// Returns the VMs that could take work if none of them answers, and no VMs otherwise.
    fn silent_vms(&self) -> Vec<&Vm> {
        let usable = self.vms.values().filter(|vm| vm.accepts_work_if_it_answers());
        let usable: Vec<&Vm> = usable.collect();
        let any_answers = usable.iter().any(|vm| vm.reachable && vm.token_confirmed);
        if any_answers { Vec::new() } else { usable }
    }

    fn waiting_for_answers(&self, silent: &[&Vm], now: Ms) -> Vec<(TaskId, StallReason)> {
        let vms = silent.iter().copied();
        if are_half_used(vms.clone()) {
            return Vec::new();
        }
        let waiting = self.waiting_beside_room(FreeRoom::of(vms), now).into_iter();
        waiting.map(|(task, _)| (task, StallReason::Unreachable)).collect()
    }

    fn waiting_beside_room(&self, mut free: FreeRoom, now: Ms) -> Vec<(TaskId, StallReason)> {
        let working = self.working_jobs();
        let mut waiting = Vec::new();
        for (key, job) in self.jobs.iter().filter(|(_, job)| job.phase == Phase::Open) {
            let is_working = working.contains(&job.id);
            if is_working && !job.spec.is_lasting() {
                continue;
            }
            self.add_stalled(key, job, &mut free, now, &mut waiting);
        }
        waiting
    }

    /// Returns the jobs with tasks that run on VMs which answer.
    pub(super) fn working_jobs(&self) -> HashSet<JobId> {
        let answering = self.vms.values().filter(|vm| vm.reachable);
        let runs = answering.flat_map(|vm| &vm.runs);
        runs.filter(|(_, run)| run.confirmed.is_some()).map(|(task, _)| task.job).collect()
    }

    /// Adds what waits of a job: each lasting task, or the first task that could run of a job of which nothing runs.
    fn add_stalled(
        &self,
        key: JobKey,
        job: &Job,
        free: &mut FreeRoom,
        now: Ms,
        waiting: &mut Vec<(TaskId, StallReason)>,
    ) {
        for (&repetition, state) in &job.repetitions {
            for (step, step_state) in state.steps.iter().enumerate() {
                let spec = &job.spec.steps[step];
                let is_ready =
                    spec.depends_on.iter().all(|&on| state.steps[usize::from(on)].is_done());
                if !is_ready || step_state.is_done() || !free.fits_twice(spec.room()) {
                    continue;
                }
                let ready = ReadyStep { job_key: key, job_id: job.id, repetition, step };
                for index in 0..step_state.tasks.len() {
                    let Some(reason) = self.stall_reason(ready, index, now) else { continue };
                    if spec.lasting {
                        waiting.push((ready.task(index), reason));
                        continue;
                    }
                    let first = TaskId { job: job.id, repetition: 0, step: 0, index: 0 };
                    waiting.push((first, reason));
                    return;
                }
            }
        }
    }

    /// Returns what a task of a ready step waits for, or `None` if it runs, is done or will be placed in the next step.
    fn stall_reason(&self, ready: ReadyStep, index: usize, now: Ms) -> Option<StallReason> {
        let job = &self.jobs[ready.job_key];
        let step_spec = &job.spec.steps[ready.step];
        let task = job.task(ready.task(index))?;
        match task.state {
            TaskState::Done => return None,
            TaskState::Assigned(vm) => {
                let vm = self.vms.get(vm)?;
                let run = vm.runs.get(&ready.task(index))?;
                return match (vm.reachable, run.confirmed) {
                    (false, _) => Some(StallReason::Lease),
                    (true, None) if run.ordered_at.is_none() => Some(StallReason::Lease),
                    (true, None) => Some(StallReason::Start),
                    (true, Some(_)) => None,
                };
            }
            TaskState::Waiting if task.abandoned || now < task.not_before => return None,
            TaskState::Waiting => (),
        }
        if self.halls_unknown || self.cancels_unknown {
            return Some(StallReason::Reads);
        }
        let starts = if step_spec.gang {
            job.repetitions[&ready.repetition].steps[ready.step].tasks.len()
        } else {
            1
        };
        if !self.record_has_room(ready, starts) {
            return Some(StallReason::Record);
        }
        let Some(isolation) = self.isolation(ready, index, now) else {
            return Some(StallReason::Suspects);
        };
        if !self.quota.allows(job.workspace, step_spec.demand) {
            let is_half_used = self.quota.is_half_used(job.workspace);
            return (!is_half_used).then_some(StallReason::Cap);
        }
        if self.is_bound_by_link() {
            return Some(StallReason::Link);
        }
        if self.is_bound_by_processor() {
            return Some(StallReason::Processor);
        }
        let chosen = self.choose_vm(ready, step_spec, index, None, isolation, now);
        if chosen.is_some() {
            return None;
        }
        let has_suspects = self.vms.values().any(|vm| vm.is_occupied_by_suspect(now));
        Some(if has_suspects { StallReason::Suspects } else { StallReason::Place })
    }
}

/// Returns whether at least half of the CPU of some VMs is used by runs that they have confirmed.
fn are_half_used<'a>(vms: impl Iterator<Item = &'a Vm>) -> bool {
    let (used, cpu) = vms.fold((0, 0), |(used, cpu), vm| {
        (used + u64::from(vm.confirmed_use().cpu), cpu + u64::from(vm.room().cpu))
    });
    used * 2 >= cpu
}
