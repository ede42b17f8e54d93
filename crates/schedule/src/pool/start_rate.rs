//! The rate at which the owner is observed to start tasks while work waits beside room.
//!
//! Load pattern: a burst asks for more starts a second than the owner can make, because its link, its processor or the writes
//! of its records are slow. Accepted jobs then wait for seconds beside idle VMs. What VMs confirm in that time is what the
//! owner can start, whatever limits it. While VMs are full or few tasks wait, the same number shows only the load.

use std::collections::{HashMap, VecDeque};

use super::incarnation::Vm;
use super::job::{Job, RepetitionState, TaskState};
use super::rank::scale;
use super::stalled::OVERDUE_MS;
use super::{Now, Pool};
use crate::Ms;
use crate::admission::StartQueue;
use crate::progress::Phase;
use crate::quota::WorkspaceKey;
use crate::spec::Step;

/// The time over which confirmed starts are counted, in milliseconds.
const WINDOW_MS: Ms = 1_000;
/// The shortest time over which they are counted, in milliseconds.
const MIN_WINDOW_MS: Ms = 300;
/// By how much a start that was ordered earlier may be confirmed later than others, in milliseconds. One that is overtaken by
/// more waits for its VM and not for the owner.
const OVERTAKEN_MS: Ms = 500;
/// The mean time from order to confirmation from which the owner limits the starts, in milliseconds. VMs answer much sooner.
const SLOW_START_MS: Ms = 200;
/// The time without any start after which the rate is observed anew, in milliseconds. It would count into the rate otherwise.
const STANDSTILL_MS: Ms = 2_000;
/// How long the rate is assumed not to have changed, in milliseconds.
const KNOWN_MS: Ms = 5_000;

/// The tasks that wait to be started.
#[derive(Clone, Copy, Debug, Default)]
struct Waiting {
    /// Those of jobs that have tasks running.
    of_working_jobs: u64,
    /// All others, and those that were ordered.
    others: u64,
}

impl Waiting {
    const fn all(self) -> u64 {
        self.of_working_jobs + self.others
    }

    /// Returns the tasks that start before the first one of a job that arrives now. Jobs with running tasks go before it only
    /// until it is overdue.
    fn before_first_start(self, per_second: u64) -> u64 {
        self.of_working_jobs.min(per_second * OVERDUE_MS / 1_000) + self.others
    }
}

/// The state of the starts at one time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Ms,
    /// The tasks that waited to be started.
    waiting: u64,
    /// The count of confirmed starts.
    confirmed: u64,
    /// The time that they took from their orders, in milliseconds.
    took: Ms,
    /// Whether tasks wait for the owner's link or processor.
    is_bound: bool,
}

/// The starts that VMs have confirmed.
#[derive(Clone, Debug, Default)]
pub(super) struct StartRate {
    /// The count of confirmed starts.
    confirmed: u64,
    /// The time that they took from their orders, in milliseconds.
    took: Ms,
    /// When the latest of them was ordered.
    latest_order: Ms,
    /// The rate that was observed last, per second, and when.
    known: Option<(u64, Ms)>,
    /// The tasks that waited at the last observation.
    waiting: Waiting,
    /// The samples since there is room, oldest first.
    samples: VecDeque<Sample>,
}

impl StartRate {
    /// Records that a VM has confirmed a start.
    pub fn record_confirmed(&mut self, ordered_at: Option<Ms>, now: Ms) {
        let Some(ordered_at) = ordered_at else { return };
        self.confirmed += 1;
        self.took += now.saturating_sub(ordered_at);
        self.latest_order = self.latest_order.max(ordered_at);
    }

    fn add_sample(&mut self, at: Ms, is_bound: bool) {
        let (waiting, confirmed, took) = (self.waiting.all(), self.confirmed, self.took);
        self.samples.push_back(Sample { at, waiting, confirmed, took, is_bound });
        while self.samples.front().is_some_and(|s| at.saturating_sub(s.at) > WINDOW_MS) {
            self.samples.pop_front();
        }
    }

    /// Returns the rate in starts per second. It counts from a time at which all tasks that were started since were already
    /// waiting, so that more would have been started if the owner could. A few tasks that wait for their VMs show no limit.
    fn per_second(&self) -> Option<u64> {
        let last = self.samples.back()?;
        let started = |first: &Sample| last.confirmed - first.confirmed;
        let first = self.samples.iter().find(|first| first.waiting >= started(first))?;
        let elapsed = last.at.saturating_sub(first.at);
        let is_slow = last.took - first.took >= started(first) * SLOW_START_MS;
        let since_first = self.samples.iter().filter(|sample| sample.at >= first.at);
        let bound = since_first.clone().filter(|sample| sample.is_bound).count();
        if !is_slow && bound * 2 < since_first.count() {
            return None;
        }
        (elapsed >= MIN_WINDOW_MS).then(|| started(first) * 1_000 / elapsed)
    }
}

impl Pool {
    /// Observes what the owner starts. It is called several times a second.
    pub fn observe_starts(&mut self, now: Now) {
        // A pool that is half used lacks room for a part of its work.
        if self.is_half_used() {
            self.start_rate.samples.clear();
            self.start_rate.waiting = Waiting::default();
            return;
        }
        self.start_rate.waiting = self.waiting_starts(now.steady);
        // Nothing is placed while reads are too old.
        let stands = self.standstill.lasts_for(now.steady) > STANDSTILL_MS;
        if self.halls_unknown || self.cancels_unknown || stands {
            self.start_rate.samples.clear();
            return;
        }
        let is_bound = self.is_bound_by_link() || self.is_bound_by_processor();
        self.start_rate.add_sample(now.steady, is_bound);
        if let Some(rate) = self.start_rate.per_second().filter(|&rate| rate > 0) {
            self.start_rate.known = Some((rate, now.steady));
        }
    }

    /// Returns the tasks that wait beside room and the rate at which the owner starts them, if that rate is known or the owner
    /// starts nothing.
    pub fn start_queue(&self, now: Now) -> Option<StartQueue> {
        let stands_ms = self.standstill.lasts_for(now.steady);
        let known = self.start_rate.known;
        let known = known.filter(|(_, at)| now.steady.saturating_sub(*at) < KNOWN_MS);
        let per_second = known.map_or(0, |(per_second, _)| per_second);
        let waiting = self.start_rate.waiting.before_first_start(per_second);
        let is_known = known.is_some() && waiting > 0;
        (is_known || stands_ms > 0).then_some(StartQueue { waiting, per_second, stands_ms })
    }

    /// Returns the number of tasks that have room, and those that will have their turn soon, and are not started.
    fn waiting_starts(&self, now: Ms) -> Waiting {
        let mut free = self.free_room(now);
        let mut cap_left: HashMap<WorkspaceKey, u64> = HashMap::new();
        let working = self.working_jobs();
        let mut waiting = Waiting { others: self.unconfirmed_starts(), ..Waiting::default() };
        for (key, job) in self.jobs.iter().filter(|(_, job)| job.phase == Phase::Open) {
            if job.spec.advice.is_some() || self.jobs_with_crash_history.contains(&key) {
                continue;
            }
            for repetition in job.repetitions.values() {
                for (i, step) in job.spec.steps.iter().enumerate() {
                    let count = repetition.steps[i].waiting;
                    if count > 0
                        && needs_only_room(step)
                        && self.is_soon(job, repetition, step)
                        && free.fits_twice(step.room())
                    {
                        let count = self.within_cap(job, step, count, &mut cap_left);
                        match working.contains(&job.id) {
                            true => waiting.of_working_jobs += count,
                            false => waiting.others += count,
                        }
                    }
                }
            }
        }
        waiting
    }

    /// Returns the number of starts that no VM has confirmed and that wait for the owner.
    fn unconfirmed_starts(&self) -> u64 {
        let overtaken = self.start_rate.latest_order.saturating_sub(OVERTAKEN_MS);
        let vms = self.vms.values().filter(|vm| vm.reachable && vm.accepts_work());
        let runs = vms.flat_map(|vm: &Vm| vm.runs.values());
        let waits = runs.filter(|run| {
            let ordered = run.ordered_at.is_some_and(|at| at >= overtaken);
            ordered && run.confirmed.is_none() && !run.stopping && !run.lasting
        });
        waits.count() as u64
    }

    /// Returns whether a step is ready, or will be as soon as the steps that run now have ended.
    fn is_soon(&self, job: &Job, repetition: &RepetitionState, step: &Step) -> bool {
        let factor = self.estimates.factor(&job.spec.queue);
        step.depends_on.iter().map(|&on| usize::from(on)).all(|on| {
            let before = &repetition.steps[on];
            let is_assigned = |state: TaskState| matches!(state, TaskState::Assigned(_));
            before.is_done()
                || before.waiting == 0
                    && before.tasks.iter().any(|task| is_assigned(task.state))
                    && scale(job.spec.steps[on].estimated_ms.into(), factor) <= WINDOW_MS
        })
    }

    /// Returns how many tasks the cap of their workspace allows beside those counted before.
    fn within_cap(
        &self,
        job: &Job,
        step: &Step,
        count: u32,
        cap_left: &mut HashMap<WorkspaceKey, u64>,
    ) -> u64 {
        let count = u64::from(count);
        let cpu = u64::from(step.demand.cpu);
        if !self.quota.allows(job.workspace, step.demand) {
            return 0;
        }
        let Some((key, left)) = job.workspace.and_then(|w| Some((w, self.quota.cpu_left(w)?)))
        else {
            return count;
        };
        let left = cap_left.entry(key).or_insert(left);
        let allowed = left.checked_div(cpu).map_or(count, |fit| fit.min(count));
        *left -= allowed * cpu;
        allowed
    }
}

/// Returns whether any VM with room can take the tasks of a step.
const fn needs_only_room(step: &Step) -> bool {
    !step.lasting && !step.gang && step.anti_affinity == 0 && step.constraints.is_empty()
}
