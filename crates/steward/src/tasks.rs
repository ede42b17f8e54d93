//! Starts, renews and ends tasks on the workers of which this steward is the home.
//!
//! A start is recorded in the log before it is sent to the worker, and the record names the one member
//! that sends it. The worker ends a task whose lease is not renewed, by its own clock; the start is
//! recorded as lost only after that.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use thistle_fold::{JobState, State};
use thistle_model::clock::Instant;
use thistle_model::job::JobEnd;
use thistle_model::{Change, MemberId, VmName, rendezvous};
use thistle_wire::platform::tasks::{TaskCall, TaskId, TaskState, WorkerTasks};

use crate::shared::Shared;

/// The longest time between two checks of the tasks; each change of the state triggers one too.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between two renewals of a task's lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// How long a worker runs a task without a renewal.
const TASK_LEASE: Duration = Duration::from_secs(8);
/// Time without a renewal after which a start is recorded as lost; longer than the lease.
const LOST_AFTER: Duration = Duration::from_secs(10);

/// A task that this steward tracks.
struct TrackedTask {
    vm: VmName,
    addr: SocketAddr,
    sends_start: bool,
    stop: bool,
    last_renewal: Instant,
    last_call: Option<Instant>,
}

/// Tracks the tasks until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut tracked: BTreeMap<TaskId, TrackedTask> = BTreeMap::new();
    let mut started: BTreeSet<TaskId> = BTreeSet::new();
    let mut changed = shared.changed.subscribe();
    loop {
        let _ = tokio::time::timeout(CHECK_INTERVAL, changed.changed()).await;
        update_tracked(&shared, &mut tracked);
        started.retain(|id| tracked.contains_key(id));
        let ends = call_workers(&mut tracked, &mut started).await;
        if !ends.is_empty() {
            for end in &ends {
                log::info!("decision step=job-ended change={end:?}");
            }
            shared.propose(ends);
            // The next check sees these ends if they have been read back; a repeated record is safe.
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Updates the tracked tasks to match the state.
fn update_tracked(shared: &Shared, tracked: &mut BTreeMap<TaskId, TrackedTask>) {
    let core = shared.core();
    let now = Instant::now();
    let mut current = BTreeSet::new();
    let contact_timeout = shared.settings.silence.0;
    let on_duty = core.planner_on_duty(shared.settings.heartbeat.0 * 3, now) == Some(core.me);
    let members: Vec<MemberId> = core.state.members.keys().copied().collect();
    for (vm, name) in &core.state.running_jobs {
        let job = &core.state.jobs[name];
        let home = rendezvous::pick(vm.as_str().as_bytes(), members.iter().copied(), |m| m.0);
        let sends_start = job.by == Some(core.me);
        let is_own = home == Some(core.me) || sends_start;
        // The planner on duty tracks the tasks of an unresponsive home.
        let is_orphan = || {
            on_duty
                && home.is_some_and(|h| !core.promises.had_contact_within(h, contact_timeout, now))
        };
        if !is_own && !is_orphan() {
            continue;
        }
        let Some(addr) = vm_addr(&core.state, vm) else { continue };
        let id = TaskId { job: name.clone(), attempt: job.starts };
        let task = tracked.entry(id.clone()).or_insert_with(|| TrackedTask {
            vm: vm.clone(),
            addr,
            sends_start,
            stop: false,
            last_renewal: now,
            last_call: None,
        });
        task.stop = job.cancelled;
        current.insert(id);
    }
    tracked.retain(|id, _| current.contains(id));
}

fn vm_addr(state: &State, vm: &VmName) -> Option<SocketAddr> {
    Some(state.vms[state.vm_key(vm).ok()?].facts.addr)
}

/// Starts, renews or stops the tasks that are due, and returns the ends that were found.
async fn call_workers(
    tracked: &mut BTreeMap<TaskId, TrackedTask>,
    started: &mut BTreeSet<TaskId>,
) -> Vec<Change> {
    let now = Instant::now();
    let due = |task: &TrackedTask| task.last_call.is_none_or(|t| now.since(t) >= RENEWAL_INTERVAL);
    let mut calls: BTreeMap<(SocketAddr, TaskCommand), Vec<TaskId>> = BTreeMap::new();
    for (id, task) in tracked.iter_mut().filter(|(_, task)| due(task) || task.stop) {
        // A start is sent once, even when its answer is lost: the worker may have started the task.
        let command = match (task.stop, task.sends_start && started.insert(id.clone())) {
            (true, _) => TaskCommand::Yield,
            (false, true) => TaskCommand::Start,
            (false, false) => TaskCommand::Renew,
        };
        task.last_call = Some(now);
        calls.entry((task.addr, command)).or_default().push(id.clone());
    }
    let answers =
        join_all(calls.into_iter().map(|((addr, command), ids)| call_worker(addr, command, ids)));
    let mut ends = Vec::new();
    for (id, state) in answers.await.into_iter().flatten() {
        let Some(task) = tracked.get_mut(&id) else { continue };
        match state {
            Some(TaskState::Running) => task.last_renewal = now,
            Some(TaskState::Done) => ends.push(job_ended(&id, JobEnd::Done)),
            Some(TaskState::Failed) => ends.push(job_ended(&id, JobEnd::Failed)),
            Some(TaskState::Yielded) => ends.push(job_ended(&id, JobEnd::Yielded)),
            Some(TaskState::Unknown) | None => {}
        }
    }
    let lost = tracked.iter().filter(|(_, task)| now.since(task.last_renewal) > LOST_AFTER);
    for (id, task) in lost {
        log::warn!("job={} attempt={} vm={} state=lost", id.job, id.attempt, task.vm);
        ends.push(job_ended(id, JobEnd::Lost));
    }
    ends
}

/// A command to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskCommand {
    /// Starts tasks.
    Start,
    /// Renews the leases of tasks.
    Renew,
    /// Makes tasks yield their slots.
    Yield,
}

/// Sends a command to a worker; returns no state for a task if the worker's answer has none.
pub async fn call_worker(
    addr: SocketAddr,
    command: TaskCommand,
    ids: Vec<TaskId>,
) -> Vec<(TaskId, Option<TaskState>)> {
    let worker = WorkerTasks::new(addr);
    let lease_ms = u64::try_from(TASK_LEASE.as_millis()).unwrap_or(u64::MAX);
    let call = TaskCall { tasks: ids.clone(), lease_ms };
    let answer = match command {
        TaskCommand::Start => worker.start(&call).await,
        TaskCommand::Renew => worker.renew(&call).await,
        TaskCommand::Yield => worker.yield_tasks(&call).await,
    };
    let states = answer.unwrap_or_else(|e| {
        log::warn!("tasks worker={addr} step={command:?} result=unknown reason=\"{e}\"");
        Vec::new()
    });
    let state = |i: usize| states.get(i).copied();
    ids.into_iter().enumerate().map(|(i, id)| (id, state(i))).collect()
}

/// Returns the change that records a task's end.
pub fn job_ended(id: &TaskId, end: JobEnd) -> Change {
    Change::JobEnded { job: id.job.clone(), attempt: id.attempt, end }
}

/// Returns the task of a job with its worker's address, or `None` if the job does not run.
pub fn running_task(state: &State, job: &thistle_model::JobName) -> Option<(SocketAddr, TaskId)> {
    let known = state.jobs.get(job)?;
    let JobState::Running(vm) = &known.state else { return None };
    let id = TaskId { job: job.clone(), attempt: known.starts };
    Some((vm_addr(state, vm)?, id))
}
