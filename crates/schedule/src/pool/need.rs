//! Forecast of a pool's demand at the time when VMs ordered now become available.
//!
//! A VM takes about two seconds to become available, and the load can change completely within that time: many current runs end,
//! and much of the new load has not arrived yet. With this forecast instead of the current load of running and waiting tasks, the
//! two worst spans of two seconds of a calm day serve 0.89 in place of 0.84 of the work due (means of four and five runs with 49
//! VMs).

use std::collections::{HashMap, HashSet};

use super::incarnation::Vm;
use super::job::{Job, RepetitionState};
use super::{Ms, Now, Pool};
use crate::id::{JobId, TaskId};
use crate::progress::Phase;
use crate::quota::WorkspaceKey;

/// The forecast CPU demand of a pool by component, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Tasks that run now on VMs that accept work and will still be running.
    pub staying: u64,
    /// Waiting tasks that are ready to start, of jobs that can still be of use.
    pub waiting: u64,
    /// Tasks that become ready when the steps they depend on have ended.
    pub following: u64,
    /// Tasks of jobs that have not arrived yet, at the recent arrival rate.
    pub arriving: u64,
    /// Tasks of jobs that can no longer finish in time, which are not included in the other components.
    pub late: u64,
}

impl Demand {
    /// Returns the demand of jobs that can finish in time, in thousandths of a core.
    pub const fn in_time(&self) -> u64 {
        self.staying + self.waiting + self.following + self.arriving
    }
}

/// The weight of the CPU demand of a waiting lasting task. Lasting tasks are placed first, so one that waits lacks memory or a VM
/// without another task of its step, which its CPU demand does not show. With a weight of 1, such tasks waited for 12 s in a
/// pool that used half of its CPU.
const LASTING_WAIT_WEIGHT: u64 = 3;

/// The remaining time of each step with runs, until the last of its tasks ends.
type RemainingTimes = HashMap<(JobId, u32, usize), Ms>;

impl Pool {
    /// Returns the forecast demand in `lead` milliseconds.
    pub fn demand(&self, lead: Ms, now: Now) -> Demand {
        let mut demand =
            Demand { arriving: self.arrivals.arriving(lead, now.steady), ..Demand::default() };
        let late = self.late_jobs(now.steady);
        let mut remaining = RemainingTimes::new();
        for vm in self.vms.values() {
            for (&task, run) in vm.runs.iter().filter(|(_, run)| !run.lasting) {
                let left = self.time_left(task, run, now.steady);
                let end = remaining.entry(step_of(task)).or_default();
                *end = left.max(*end);
                if left > lead && vm.accepts_work() {
                    let cpu = u64::from(run.reserved.cpu);
                    match late.contains(&task.job) {
                        true => demand.late += cpu,
                        false => demand.staying += cpu,
                    }
                }
            }
            if vm.accepts_work() {
                let lasting = vm.runs.values().filter(|run| run.lasting);
                demand.staying += lasting.map(|run| u64::from(run.reserved.cpu)).sum::<u64>();
                if vm.is_occupied_by_suspect(now.steady) {
                    // Tasks of other jobs are not placed there.
                    demand.staying += u64::from(vm.free().cpu);
                }
            }
        }
        demand.waiting += self.cpu_occupied_by_suspects(now.steady);
        let largest = self.largest_cpu();
        let mut capped: HashMap<WorkspaceKey, u64> = HashMap::new();
        for job in self.jobs.values().filter(|job| job.phase == Phase::Open) {
            let mut waiting = Demand::default();
            self.add_waiting(job, (lead, largest), &remaining, now, &mut waiting);
            if let Some((key, left)) =
                job.workspace.and_then(|w| Some((w, self.quota.cpu_left(w)?)))
            {
                // Tasks that are held back by the workspace's cap need no VMs.
                let left = capped.entry(key).or_insert(left);
                waiting.waiting = waiting.waiting.min(*left);
                *left -= waiting.waiting;
            }
            let arrival = now.steady + lead;
            let late_on_arrival = self.policy.need.in_time_only
                && job.ready_steps().next().is_some()
                && self.rank(job, arrival).is_late();
            if late_on_arrival || late.contains(&job.id) {
                demand.late += waiting.in_time();
            } else {
                demand.waiting += waiting.waiting;
                demand.following += waiting.following;
            }
        }
        demand
    }

    /// Returns the CPU of the VMs that waiting suspects will occupy beyond their own demand, as each runs alone. At most as many
    /// VMs are added as the pool has now, so that many suspects do not claim all VMs at once.
    fn cpu_occupied_by_suspects(&self, now: Ms) -> u64 {
        let vms: Vec<&Vm> = self.vms.values().filter(|vm| vm.accepts_work()).collect();
        let cpu: u64 = vms.iter().map(|vm| u64::from(vm.room().cpu)).sum();
        let waiting = self.waiting_suspects(now).min(vms.len());
        let occupied = cpu * u64::try_from(waiting).unwrap_or(u64::MAX);
        occupied.checked_div(u64::try_from(vms.len()).unwrap_or(u64::MAX)).unwrap_or(0)
    }

    /// Returns the jobs that can no longer finish in time.
    fn late_jobs(&self, now: Ms) -> HashSet<JobId> {
        let open = self.jobs.values().filter(|job| job.phase == Phase::Open);
        open.filter(|job| self.rank(job, now).is_late()).map(|job| job.id).collect()
    }

    fn add_waiting(
        &self,
        job: &Job,
        (lead, largest): (Ms, u32),
        remaining: &RemainingTimes,
        now: Now,
        demand: &mut Demand,
    ) {
        let ready: Vec<(u32, usize)> =
            job.ready_steps().map(|(repetition, step, _)| (repetition, step)).collect();
        let of_use = ready.is_empty() || !self.rank(job, now.steady).is_too_late();
        for (&repetition, repetition_state) in &job.repetitions {
            let spans = self.expected_spans(job, repetition, repetition_state, remaining);
            for (i, step) in
                repetition_state.steps.iter().enumerate().filter(|(_, step)| step.waiting > 0)
            {
                let step_spec = &job.spec.steps[i];
                let weight = if step_spec.lasting { LASTING_WAIT_WEIGHT } else { 1 };
                let each = counted_cpu(step_spec.room().cpu, largest);
                let cpu = each * u64::from(step.waiting) * weight;
                if ready.contains(&(repetition, i)) {
                    if of_use && self.fits_somewhere(job.spec.steps[i].room()) {
                        demand.waiting += cpu;
                    }
                } else if spans[i].is_some_and(|span| span.begins <= lead && lead < span.ends) {
                    demand.following += cpu;
                }
            }
        }
    }

    /// Returns the CPU capacity of the largest VM that accepts work.
    fn largest_cpu(&self) -> u32 {
        let rooms = self.vms.values().filter(|vm| vm.accepts_work()).map(|vm| vm.room().cpu);
        rooms.max().unwrap_or(0)
    }

    /// Returns when each step of a repetition is expected to run, or `None` for a step that has no expected time yet because the
    /// step itself or one that it depends on waits for room.
    fn expected_spans(
        &self,
        job: &Job,
        repetition: u32,
        repetition_state: &RepetitionState,
        remaining: &RemainingTimes,
    ) -> Vec<Option<ExpectedSpan>> {
        let mut spans: Vec<Option<ExpectedSpan>> = Vec::with_capacity(repetition_state.steps.len());
        for (i, step) in repetition_state.steps.iter().enumerate() {
            let before = &job.spec.steps[i].depends_on;
            let ends = |&on: &u16| spans.get(usize::from(on)).copied().flatten().map(|t| t.ends);
            let begins =
                before.iter().map(ends).try_fold(0, |latest, ends| Some(latest.max(ends?)));
            let is_ready =
                before.iter().all(|&on| repetition_state.steps[usize::from(on)].is_done());
            let span = match begins {
                _ if step.is_done() => Some(ExpectedSpan::default()),
                _ if step.waiting == 0 => {
                    let left = remaining.get(&(job.id, repetition, i)).copied();
                    left.map(|ends| ExpectedSpan { begins: 0, ends })
                }
                // A step that waits for room has no expected time, nor have the steps that depend on it.
                None => None,
                Some(_) if is_ready => None,
                Some(begins) => {
                    Some(ExpectedSpan { begins, ends: self.expected_end(job, i, begins) })
                }
            };
            spans.push(span);
        }
        spans
    }

    /// Returns the expected end of a step that begins at `begins`.
    fn expected_end(&self, job: &Job, step: usize, begins: Ms) -> Ms {
        if !self.policy.need.leaves_out_ended || job.spec.steps[step].lasting {
            return Ms::MAX;
        }
        let factor = self.estimates.factor(&job.spec.queue);
        let takes = super::rank::scale(Ms::from(job.spec.steps[step].estimated_ms), factor);
        begins.saturating_add(takes)
    }
}

/// The expected time span of a step, in milliseconds from now.
#[derive(Clone, Copy, Debug, Default)]
struct ExpectedSpan {
    begins: Ms,
    ends: Ms,
}

/// Returns the CPU that a waiting task is counted as using. A task that needs more than half of the largest VM counts as that
/// whole VM: it fits only on a nearly empty VM and leaves little room for others.
fn counted_cpu(cpu: u32, largest: u32) -> u64 {
    let takes_whole_vm = u64::from(cpu) * 2 > u64::from(largest);
    u64::from(if takes_whole_vm { cpu.max(largest) } else { cpu })
}

fn step_of(task: TaskId) -> (JobId, u32, usize) {
    (task.job, task.repetition, usize::from(task.step))
}
