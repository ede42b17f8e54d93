//! Processing of VM reports on their runs.

use std::collections::HashSet;

use super::job::TaskState;
use super::run::Run;
use super::{JobKey, Now, Pool, VmKey};
use crate::Ms;
use crate::id::{JobId, RunId, TaskId, VmIncarnation};
use crate::vm::{ReportedRun, RunEnd, VmReport};

/// The maximum number of run ends in one report. A longer list comes in parts, so a run that is missing from one part may be
/// in the next.
const MAX_ENDS: usize = 500;
/// The delay before the stop order for a run that is still listed is repeated, in milliseconds. It is longer than the 900 ms that
/// a VM takes at most to stop a run.
const STOP_RETRY_MS: Ms = 1_000;
/// The progress, in percent, at which a lasting task has completed its start and is working.
const WORKING_PERCENT: u32 = 100;

/// Unexpected changes found in a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportChanges {
    /// Runs that were released because the report does not list them.
    pub not_listed: Vec<RunId>,
    /// Ends, reported for the first time, of runs that were already abandoned, as when their VM counted as lost. Their work was
    /// wasted or done twice.
    pub of_abandoned: Vec<RunEnd>,
}

impl Pool {
    /// Applies a VM's report that was requested under this owner's token.
    pub fn apply_report(
        &mut self,
        vm: &VmIncarnation,
        report: &VmReport,
        now: Now,
    ) -> ReportChanges {
        self.resolve_unclear_loss(vm, false, now);
        self.end_previous_incarnations(vm, now);
        let key = self.vm_key(vm);
        let mut changes = ReportChanges::default();
        for end in &report.ended {
            let vm = &self.vms[key];
            let is_new = end.sequence > vm.last_end_sequence && !vm.has_run(end.run);
            let run = vm.runs.get(&end.run.task).filter(|run| run.attempt == end.run.attempt);
            if run.is_some_and(|run| run.confirmed.is_none()) {
                self.standstill.record_start(now.steady);
            }
            self.apply_end(key, end, now);
            if is_new && self.is_of_abandoned_run(end) {
                changes.of_abandoned.push(end.clone());
            }
        }
        if !report.ended.is_empty() {
            let end = |e: &RunEnd| (e.sequence, e.run.task.job);
            let mut ends: Vec<(u64, JobId)> = report.ended.iter().map(end).collect();
            ends.sort_unstable();
            self.ends.push((vm.clone(), ends));
        }
        let complete = report.ended.len() < MAX_ENDS;
        let listed: HashSet<RunId> = report.running.iter().map(|r| r.run).collect();
        for reported in &report.running {
            self.apply_reported_run(key, reported, report.requested_at, now);
        }
        if complete {
            changes.not_listed = self.release_missing(key, report, &listed, now);
        }
        self.throttle(key, now);
        let listing_is_complete = self.listing_is_complete;
        let vm = &mut self.vms[key];
        vm.record_answer(report.requested_at, listing_is_complete, now.steady);
        vm.token_confirmed |= complete;
        vm.unknown_runs.retain(|run, _| listed.contains(run));
        self.remove_vm_if_unused(key);
        changes
    }

    /// Returns whether an unexpected end belongs to an abandoned run that did not complete its task.
    fn is_of_abandoned_run(&self, end: &RunEnd) -> bool {
        let job = self.job_key(end.run.task).and_then(|key| self.jobs.get(key));
        let Some(task) = job.and_then(|job| job.task(end.run.task)) else { return false };
        task.attempt != end.run.attempt || task.state != TaskState::Done
    }

    fn apply_reported_run(
        &mut self,
        key: VmKey,
        reported: &ReportedRun,
        requested_at: Ms,
        now: Now,
    ) {
        let vm = &mut self.vms[key];
        let task = reported.run.task;
        if let Some(run) = vm.runs.get_mut(&task).filter(|r| r.attempt == reported.run.attempt) {
            run.metric = reported.metric;
            (run.progress, run.progress_at) = (reported.percent, now.steady);
            // A listed run exists, even if this owner did not order it and never received an answer about it.
            run.confirmed.get_or_insert(requested_at);
            (run.unclear, run.crash_if_missing) = (false, None);
            if !reported.checkpoint.is_empty() {
                run.checkpoint.clone_from(&reported.checkpoint);
            }
            let is_first_listing = !std::mem::replace(&mut run.listed, true);
            run.reported = true;
            // A run that is being stopped no longer counts as working.
            if !run.stopping {
                let (lasting, started) = (run.lasting, run.started);
                self.update_working(reported);
                if lasting
                    && reported.percent >= WORKING_PERCENT
                    && self.is_cleared_by_work(task, started, now.steady)
                {
                    self.clear_crash_history(task);
                }
            } else if now.steady >= run.stop_ordered + STOP_RETRY_MS {
                // The stop order may have been issued while there was no connection to the VM.
                run.stop_ordered = now.steady;
                if !run.moving || !self.is_move_withheld(key, task) {
                    self.order_stop(key, task, reported.run.attempt);
                }
            }
            if is_first_listing {
                self.standstill.record_start(now.steady);
                self.record_reported_run(task);
            }
            return;
        }
        self.record_unknown_run(task);
        let vm = &mut self.vms[key];
        let last_stop = vm.unknown_runs.entry(reported.run).or_insert(0);
        if *last_stop == 0 || now.steady >= *last_stop + STOP_RETRY_MS {
            *last_stop = now.steady;
            self.order_stop(key, task, reported.run.attempt);
        }
    }

    fn update_working(&mut self, reported: &ReportedRun) {
        let Some(job) = self.job_mut(reported.run.task) else { return };
        let lasting =
            job.spec.steps.get(usize::from(reported.run.task.step)).is_some_and(|s| s.lasting);
        let Some((step, index)) = job.step_mut(reported.run.task) else { return };
        if lasting {
            step.tasks[index].working = reported.percent >= WORKING_PERCENT;
        }
    }

    /// Releases the runs that a complete report would list if they existed, and returns them. A report does not show whether a
    /// copy of a start is still to arrive: only a stop prevents that, so such a run counts until its stop is answered.
    fn release_missing(
        &mut self,
        key: VmKey,
        report: &VmReport,
        listed: &HashSet<RunId>,
        now: Now,
    ) -> Vec<RunId> {
        let vm = &self.vms[key];
        let is_first_report = !vm.token_confirmed;
        let missing = |(&task, run): (&TaskId, &Run)| {
            let id = RunId { task, attempt: run.attempt };
            let confirmed_before = run.confirmed.is_some_and(|at| report.requested_at > at);
            ((is_first_report || confirmed_before) && !listed.contains(&id)).then_some(id)
        };
        let missing: Vec<RunId> = vm.runs.iter().filter_map(missing).collect();
        let (unclear, gone): (Vec<RunId>, Vec<RunId>) =
            missing.into_iter().partition(|run| !is_first_report && vm.runs[&run.task].unclear);
        let crash = |run: &RunId| Some((run.task, vm.runs[&run.task].crash_if_missing?));
        let crashes = gone.iter().filter_map(crash).collect();
        for run in unclear {
            self.block_start(key, run, now);
        }
        for &run in &gone {
            self.release(key, run, now);
        }
        self.count_crashes(crashes, now);
        gone
    }

    /// Orders the stop of a run that does not exist, so that no late copy of its start can begin it.
    fn block_start(&mut self, vm: VmKey, id: RunId, now: Now) {
        let Some(run) = self.vms[vm].runs.get_mut(&id.task) else { return };
        (run.unclear, run.confirmed) = (false, None);
        (run.stopping, run.stop_ordered) = (true, now.steady);
        self.order_stop(vm, id.task, id.attempt);
    }

    pub(super) fn job_mut(&mut self, task: TaskId) -> Option<&mut super::Job> {
        let key = self.job_key(task)?;
        self.jobs.get_mut(key)
    }

    pub(super) fn job_key(&self, task: TaskId) -> Option<JobKey> {
        self.job_keys.get(&task.job).copied()
    }
}
