//! Tasks under which VMs crash: counting the crashes and isolating the tasks.

use super::incarnation::Vm;
use super::job::TaskState;
use super::place::ReadyStep;
use super::run::Run;
use super::{JobKey, Now, Pool, VmKey};
use crate::Ms;
use crate::crash_history::{CRASH_AT_START_MS, Crash, CrashHistory, UnclearLoss, Verdict};
use crate::id::{JobId, TaskId, VmIncarnation};
use crate::progress::Phase;
use crate::spec::Step;
use crate::vm::VmLoss;

/// The run time for each recorded crash after which a suspect may share its VM again, in milliseconds: four times the period
/// that counts as soon after the start.
const PROVEN_MS: Ms = 4 * CRASH_AT_START_MS;
/// The run time after which a working lasting task is cleared, in milliseconds. Over a day, VMs also crash under such a task by
/// chance.
const CLEARED_MS: Ms = 10_000;
/// How long a suspect waits for a VM of its own, in milliseconds. After that it may share one with tasks that end by themselves,
/// and after twice this time with any task. A task that could start but does not for 3 s counts as lost.
const ALONE_WAIT_MS: Ms = 1_000;
/// Unproven suspects occupy at most one VM in this many, but always may occupy one.
const VMS_PER_SUSPECT: usize = 4;
/// The same limit for suspects that have waited for twice [`ALONE_WAIT_MS`].
const VMS_PER_LATE_SUSPECT: usize = 2;
/// How long after a crash tasks that end by themselves are kept off VMs with lasting tasks if possible, in milliseconds. A lost
/// lasting task takes longer to replace, and its step counts as absent meanwhile.
const RECENT_CRASH_MS: Ms = 30_000;

/// How strictly a task is isolated from other tasks on its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Isolation {
    /// Shares a VM with all tasks except suspects of other jobs.
    FromSuspects,
    /// Shares a VM only with tasks of its own job.
    OwnJobOnly,
    /// Shares a VM only with tasks of its own job, and only where a suspect of that job already runs.
    WithOwnSuspect,
    /// Shares a VM with tasks that end by themselves, except suspects of other jobs.
    FromLasting,
}

impl Run {
    /// Returns whether the run may still crash its VM soon after its start.
    fn is_unproven(&self, now: Ms) -> bool {
        self.unproven_for.is_some_and(|ms| now < self.started + ms)
    }
}

impl Vm {
    /// Returns whether a task of the job may share the VM, regardless of free room.
    pub fn may_share(&self, job: JobId, isolation: Isolation, now: Ms) -> bool {
        let mut others = self.runs.iter().filter(|(task, _)| task.job != job);
        match isolation {
            Isolation::FromSuspects => !others.any(|(_, run)| run.is_unproven(now)),
            Isolation::OwnJobOnly => others.next().is_none(),
            Isolation::WithOwnSuspect => {
                others.next().is_none() && self.is_occupied_by_suspect(now)
            }
            Isolation::FromLasting => !others.any(|(_, run)| run.lasting || run.is_unproven(now)),
        }
    }

    /// Returns whether a suspect occupies the VM: one that is unproven or may have crashed the VM.
    pub(super) fn is_occupied_by_suspect(&self, now: Ms) -> bool {
        self.runs
            .values()
            .any(|r| r.is_unproven(now) || (r.unproven_for.is_some() && !self.reachable))
    }

    /// Returns the crash to count against a run's task if the VM ended at `ended`, or `None` if the run may not have existed.
    fn crash_under(&self, task: TaskId, run: &Run, ended: Ms) -> Option<Crash> {
        let ordered_after = run.confirmed.is_none() && run.ordered_at.is_some_and(|at| at > ended);
        if ordered_after || run.of_previous_incarnation && !run.listed {
            // The run was ordered after the VM ended, or it may never have existed there. A crash of an earlier incarnation
            // that was not counted yet counts.
            return run.crash_if_missing;
        }
        // The answer to the start may arrive after the end of the VM.
        let soon = ended.saturating_sub(run.started) <= CRASH_AT_START_MS;
        let at_start = run.ordered_at.is_some() && (soon || run.confirmed.is_none());
        // A start without an answer may have reached the VM after its end.
        let has_run = run.listed || run.confirmed.is_some() && !run.unclear;
        let alone = has_run && self.runs.keys().all(|other| other.job == task.job);
        Some(Crash { at_start, alone })
    }
}

impl Pool {
    /// Returns the crashes to count against tasks if the VM is lost; empty if the VM was leaving.
    pub(super) fn crashes_under(&self, key: VmKey, now: Now) -> Vec<(TaskId, Crash)> {
        let vm = &self.vms[key];
        if vm.draining() || vm.leaving_unannounced {
            return Vec::new();
        }
        let ended = vm.unresponsive_since.unwrap_or(now.steady);
        let crash = |(&task, run): (&TaskId, &Run)| Some((task, vm.crash_under(task, run, ended)?));
        vm.runs.iter().filter_map(crash).collect()
    }

    /// Counts the loss of a VM against the tasks that were lost with it.
    pub(super) fn count_loss(
        &mut self,
        vm: &UnclearLoss,
        crashes: Vec<(TaskId, Crash)>,
        loss: VmLoss,
        now: Now,
    ) {
        match loss {
            VmLoss::Replaced => self.count_crashes(crashes, now),
            VmLoss::LeaseOver => {
                for (task, _) in crashes {
                    self.update_crash_history(task, now, |history| history.add_unclear(vm.clone()));
                }
            }
        }
    }

    /// Counts crashes against the tasks that were lost with their VMs.
    pub(super) fn count_crashes(&mut self, crashes: Vec<(TaskId, Crash)>, now: Now) {
        if !crashes.is_empty() {
            self.last_crash_at = Some(now.steady);
        }
        for (task, crash) in crashes {
            self.update_crash_history(task, now, |history| history.add_crash(crash));
        }
    }

    /// Resolves whether a VM that was lost while unresponsive has crashed.
    pub(super) fn resolve_unclear_loss(&mut self, id: &VmIncarnation, crashed: bool, now: Now) {
        if self.jobs_with_crash_history.is_empty() {
            return;
        }
        let vm = id.to_string();
        self.resolve_matching_losses(
            now,
            |history| {
                if history.unclear.iter().any(|loss| loss.vm == vm) {
                    vec![vm.clone()]
                } else {
                    Vec::new()
                }
            },
            crashed,
        );
    }

    /// Counts VMs that have been unresponsive for too long as crashed.
    pub(super) fn expire_unclear_losses(&mut self, now: Now) {
        self.resolve_matching_losses(now, |history| history.overdue(now.wall), true);
    }

    fn resolve_matching_losses(
        &mut self,
        now: Now,
        vms: impl Fn(&CrashHistory) -> Vec<String>,
        crashed: bool,
    ) {
        let mut matching = Vec::new();
        for &key in &self.jobs_with_crash_history {
            let Some(job) = self.jobs.get(key) else { continue };
            for (&task, history) in &job.crash_histories {
                matching.extend(vms(history).into_iter().map(|vm| (task, vm)));
            }
        }
        for (task, vm) in matching {
            self.update_crash_history(task, now, |history| {
                let _ = history.resolve(&vm, crashed);
            });
        }
    }

    /// Returns the VMs that became unresponsive while tasks ran there and may have crashed, with their stable names if known.
    pub fn unclear_losses(&self) -> Vec<(VmIncarnation, String)> {
        let with_history =
            self.jobs_with_crash_history.iter().filter_map(|&key| self.jobs.get(key));
        let losses = with_history
            .flat_map(|job| job.crash_histories.values())
            .flat_map(|history| &history.unclear);
        losses.map(|loss| (VmIncarnation::from(loss.vm.as_str()), loss.name.clone())).collect()
    }

    /// Returns the crash history of a task, if it has one.
    pub fn crash_history_of(&self, task: TaskId) -> Option<&CrashHistory> {
        self.jobs.get(self.job_key(task)?)?.crash_histories.get(&task)
    }

    /// Returns the highest number of crashes under one of a job's suspects. Jobs with fewer crashes go first, as their tasks are
    /// less likely to be the cause.
    pub(super) fn max_crashes(&self, key: JobKey) -> u32 {
        let histories = self.jobs.get(key).into_iter().flat_map(|job| job.crash_histories.values());
        let is_suspect = |history: &&CrashHistory| match history.verdict() {
            Verdict::Suspect | Verdict::Held => true,
            // An abandoned task is not started again, so it tells nothing against the other tasks.
            Verdict::Clear | Verdict::GivenUp => false,
        };
        let suspects = histories.filter(is_suspect);
        suspects.map(|history| history.crashes).max().unwrap_or(0)
    }

    fn update_crash_history(
        &mut self,
        task: TaskId,
        now: Now,
        change: impl FnOnce(&mut CrashHistory),
    ) {
        let Some(key) = self.job_key(task) else { return };
        let Some(job) = self.jobs.get_mut(key).filter(|job| job.phase == Phase::Open) else {
            return;
        };
        let crash_history = job.crash_histories.entry(task).or_default();
        change(crash_history);
        let (verdict, crash_history) = (crash_history.verdict(), crash_history.clone());
        if crash_history == CrashHistory::default() {
            job.crash_histories.remove(&task);
        }
        job.crash_history_changed_at = now.steady;
        self.update_jobs_with_crash_history(key);
        self.mark_changed(key);
        if verdict == Verdict::GivenUp {
            self.abandon(task, crash_history, now);
        }
    }

    /// Updates whether a job is among those with a crash history.
    pub(super) fn update_jobs_with_crash_history(&mut self, key: JobKey) {
        if self.jobs.get(key).is_some_and(|job| !job.crash_histories.is_empty()) {
            self.jobs_with_crash_history.insert(key);
        } else {
            self.jobs_with_crash_history.remove(&key);
        }
    }

    /// Clears the crash history of a task that is done, or of a lasting task that has worked for long enough.
    pub(super) fn clear_crash_history(&mut self, task: TaskId) {
        let Some(key) = self.job_key(task) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.crash_histories.remove(&task).is_some() {
            self.set_abandoned(task, false);
            self.update_jobs_with_crash_history(key);
            self.mark_changed(key);
        }
    }

    /// Returns whether a working lasting task has a crash history and has run for long enough to be cleared.
    pub(super) fn is_cleared_by_work(&self, task: TaskId, started: Ms, now: Ms) -> bool {
        now >= started + CLEARED_MS && self.crash_history_of(task).is_some()
    }

    /// Returns how long a run of a suspect must last before it may share its VM, or `None` if the task is not a suspect.
    pub(super) fn unproven_for(&self, task: TaskId) -> Option<Ms> {
        let history =
            self.crash_history_of(task).filter(|history| history.verdict() == Verdict::Suspect)?;
        Some(PROVEN_MS * Ms::from(history.crashes))
    }

    pub(super) fn verdict(&self, task: TaskId) -> Verdict {
        self.crash_history_of(task).map_or(Verdict::Clear, CrashHistory::verdict)
    }

    /// Returns the isolation of a waiting task, or `None` while it may not be started.
    pub(super) fn isolation(&self, ready: ReadyStep, index: usize, now: Ms) -> Option<Isolation> {
        let task = ready.task(index);
        let Some(history) = self.crash_history_of(task) else {
            return Some(Isolation::FromSuspects);
        };
        let lost_at = self
            .job_key(task)
            .and_then(|key| self.jobs.get(key))
            .map_or(0, |j| j.crash_history_changed_at);
        let waited = now.checked_sub(lost_at + history.restart_delay());
        match (history.verdict(), waited) {
            (Verdict::Clear, _) => Some(Isolation::FromSuspects),
            (Verdict::Held | Verdict::GivenUp, _) | (Verdict::Suspect, None) => None,
            (Verdict::Suspect, Some(_)) if !self.policy.tasks.keep_suspects_apart => {
                Some(Isolation::FromSuspects)
            }
            (Verdict::Suspect, Some(waited)) if waited < ALONE_WAIT_MS => {
                Some(Isolation::OwnJobOnly)
            }
            (Verdict::Suspect, Some(waited)) if waited < 2 * ALONE_WAIT_MS => {
                Some(Isolation::FromLasting)
            }
            (Verdict::Suspect, Some(_)) => Some(Isolation::FromSuspects),
        }
    }

    /// Returns whether suspects may occupy one more VM; their share of the VMs is limited. Lasting tasks and gangs are exempt
    /// after a short wait, as they may need many VMs.
    pub(super) fn may_occupy_one_more_vm(
        &self,
        step_spec: &Step,
        isolation: Isolation,
        now: Ms,
    ) -> bool {
        if !self.policy.tasks.keep_suspects_apart
            || (step_spec.lasting || step_spec.gang) && isolation == Isolation::FromSuspects
        {
            return true;
        }
        let vms_per_suspect = if isolation == Isolation::FromSuspects {
            VMS_PER_LATE_SUSPECT
        } else {
            VMS_PER_SUSPECT
        };
        let occupied = self.vms.values().filter(|vm| vm.is_occupied_by_suspect(now)).count();
        occupied < (self.vms.len() / vms_per_suspect).max(1)
    }

    /// Returns the number of waiting suspects, leaving out jobs that are too late to be of use.
    pub(super) fn waiting_suspects(&self, now: Ms) -> usize {
        if !self.policy.tasks.keep_suspects_apart {
            return 0;
        }
        let jobs = self.jobs_with_crash_history.iter().filter_map(|&key| self.jobs.get(key));
        let open = jobs.filter(|job| job.phase == Phase::Open);
        let of_use = open.filter(|job| !self.rank(job, now).is_too_late());
        let count_waiting = |job: &&super::Job| {
            let suspects = job
                .crash_histories
                .iter()
                .filter(|(_, history)| history.verdict() == Verdict::Suspect);
            let waits =
                |task: TaskId| job.task(task).is_some_and(|t| t.state == TaskState::Waiting);
            suspects.filter(|(task, _)| waits(**task)).count()
        };
        of_use.map(|job| count_waiting(&job)).sum()
    }

    /// Returns whether a VM has crashed recently.
    pub(super) fn has_recent_crash(&self, now: Ms) -> bool {
        self.last_crash_at.is_some_and(|at| now < at + RECENT_CRASH_MS)
    }
}
