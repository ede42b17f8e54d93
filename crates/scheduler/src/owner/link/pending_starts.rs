//! The starts of a link whose outcome the owner has not handled yet.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use thistle_schedule::pool::{StartOrder, StartResult};
use thistle_schedule::{RunId, VmReport, Withheld};

use crate::locks::lock;

/// Whether a start still has to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartState {
    /// The start was neither cancelled nor listed yet.
    Unknown,
    /// The start was cancelled.
    Cancelled,
    /// The VM has listed the run.
    Listed,
}

/// A start whose outcome the owner has not handled yet.
#[derive(Clone, Debug)]
struct PendingStart {
    order: Arc<StartOrder>,
    state: StartState,
    /// Whether the VM may have executed the start, or may yet execute it.
    maybe_executed: bool,
    /// Whether the result is known, which the owner has not handled yet.
    has_result: bool,
}

/// The starts whose outcome the owner has not handled yet.
///
/// A start that is dropped because of a loss before it was sent stays here until the owner handles that loss: its run cannot
/// have crashed the VM.
#[derive(Debug, Default)]
pub(super) struct PendingStarts(Mutex<HashMap<RunId, PendingStart>>);

impl PendingStarts {
    pub fn add(&self, order: Arc<StartOrder>) {
        let run = order.run;
        let pending = PendingStart {
            order,
            state: StartState::Unknown,
            maybe_executed: false,
            has_result: false,
        };
        lock(&self.0).insert(run, pending);
    }

    pub fn remove(&self, run: RunId) {
        lock(&self.0).remove(&run);
    }

    /// Cancels the start of a run that is to stop.
    pub fn cancel(&self, run: RunId) {
        if let Some(pending) = lock(&self.0).get_mut(&run) {
            pending.state = StartState::Cancelled;
        }
    }

    /// Records the runs that a VM has listed.
    pub fn record_listed(&self, report: &VmReport) {
        let mut starts = lock(&self.0);
        if starts.is_empty() {
            return;
        }
        let listed = report.running.iter().map(|r| r.run).chain(report.ended.iter().map(|e| e.run));
        for run in listed {
            if let Some(pending) = starts.get_mut(&run).filter(|p| p.state == StartState::Unknown) {
                pending.state = StartState::Listed;
            }
        }
    }

    /// Withdraws the starts that the VM can't have executed, so that they are never sent, and returns their runs.
    pub fn withdraw_unsent(&self) -> Vec<RunId> {
        let mut starts = lock(&self.0);
        starts.extract_if(|_, pending| !pending.maybe_executed).map(|(run, _)| run).collect()
    }

    /// Withdraws the starts that were not sent and have no result yet, so that they are never sent, and returns their runs.
    pub fn withdraw_waiting(&self) -> Vec<RunId> {
        let mut starts = lock(&self.0);
        let waiting =
            starts.extract_if(|_, pending| !pending.maybe_executed && !pending.has_result);
        waiting.map(|(run, _)| run).collect()
    }

    /// Withdraws the unsent starts for which `check` returns a reason, and returns their runs with it.
    pub fn withdraw_withheld(
        &self,
        check: impl Fn(&StartOrder) -> Option<Withheld>,
    ) -> Vec<(RunId, Withheld)> {
        let mut starts = lock(&self.0);
        let mut withdrawn = Vec::new();
        starts.retain(|&run, pending| {
            let reason = if pending.maybe_executed { None } else { check(&pending.order) };
            withdrawn.extend(reason.map(|reason| (run, reason)));
            reason.is_none()
        });
        withdrawn
    }

    /// Records that a start is about to be sent. Returns false if it was withdrawn and must not be sent.
    pub fn begin_send(&self, run: RunId) -> bool {
        let mut starts = lock(&self.0);
        let Some(pending) = starts.get_mut(&run) else { return false };
        pending.maybe_executed = true;
        true
    }

    /// Records the result of a start. An executed or unclear start needs no entry any more. One that was not executed keeps
    /// its entry until the owner has handled the result, as a loss of the VM may be handled first.
    pub fn record_result(&self, run: RunId, result: StartResult) {
        match result {
            StartResult::Started | StartResult::StartedWithCopies | StartResult::Unclear => {
                self.remove(run);
            }
            StartResult::NotTaken
            | StartResult::Withheld
            | StartResult::NoRoom
            | StartResult::Unhealthy => {
                if let Some(pending) = lock(&self.0).get_mut(&run) {
                    (pending.maybe_executed, pending.has_result) = (false, true);
                }
            }
        }
    }

    /// Records that the VM can't have executed a start. Its entry stays until the owner has handled the loss of the VM.
    pub fn record_not_executed(&self, run: RunId) {
        if let Some(pending) = lock(&self.0).get_mut(&run) {
            pending.maybe_executed = false;
        }
    }

    /// Returns the state of a start, or `None` if it was withdrawn.
    pub fn get(&self, run: RunId) -> Option<StartState> {
        lock(&self.0).get(&run).map(|pending| pending.state)
    }
}
