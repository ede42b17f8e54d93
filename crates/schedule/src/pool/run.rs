//! The state of a task's run within a pool's schedule.

use crate::Ms;
use crate::crash_history::Crash;
use crate::spec::Step;
use crate::vm::Room;

/// The full speed of a run, in percent.
pub(super) const FULL_SPEED: u32 = 100;

/// The progress, in percent, below which a run's duration cannot be estimated from its progress.
const MIN_PROGRESS: u32 = 5;

/// A run that a VM has, may have, or is about to receive.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub attempt: u32,
    /// The resources reserved on the VM.
    pub reserved: Room,
    /// The resources counted against the workspace's cap, also if the run reserves no CPU on its VM.
    pub charge: Room,
    /// When the VM last answered an order about the run. A report requested after that lists the run if it exists.
    pub confirmed: Option<Ms>,
    /// When the VM confirmed the start, or until then, when the run was assigned to this VM incarnation.
    pub started: Ms,
    /// Whether the VM incarnation to which the run is assigned has listed it as running.
    pub listed: bool,
    /// Whether that incarnation has accepted the run or listed it as running.
    pub reported: bool,
    /// Whether an unanswered copy of the start order may still be executed.
    pub has_copies: bool,
    /// Whether the run counts here only because a copy of its start meant for the VM's previous incarnation may arrive.
    pub of_previous_incarnation: bool,
    /// Whether a copy of the start was refused while an earlier copy may have run or still be in flight.
    pub unclear: bool,
    /// The crash to count against the task if the VM does not list the run: the VM has probably restarted under it.
    pub crash_if_missing: Option<Crash>,
    pub stopping: bool,
    /// Whether the run is being stopped only to move its task to another VM.
    pub moving: bool,
    /// When the run was last ordered to stop.
    pub stop_ordered: Ms,
    /// The target tail latency of a serving task in milliseconds, or 0 for other tasks.
    pub tail_target_ms: u32,
    pub fills: bool,
    pub lasting: bool,
    /// Whether the task saves checkpoints, so that it can be stopped and resumed elsewhere.
    pub checkpointing: bool,
    /// Whether the task is a member of a gang, which ends as a whole.
    pub in_gang: bool,
    /// When this owner ordered the run, if it did.
    pub ordered_at: Option<Ms>,
    /// Whether this owner ordered the run to start without a checkpoint.
    pub from_start: bool,
    /// How long the run must last before it may share its VM, if VMs have crashed under its task.
    pub unproven_for: Option<Ms>,
    /// The progress in percent from the VM's latest report.
    pub progress: u32,
    /// When that report arrived.
    pub progress_at: Ms,
    /// The share of its full speed that was last ordered, in percent, or `None` if only a previous owner may have set it.
    pub speed_percent: Option<u32>,
    pub speed_set_at: Ms,
    /// The latest metric that the run reported; see [`crate::vm::ReportedRun`].
    pub metric: Option<u64>,
    /// The latest checkpoint, from which the task resumes elsewhere if the VM is lost.
    pub checkpoint: String,
}

impl Run {
    /// Creates a run that its VM has not confirmed.
    pub fn new(attempt: u32, step_spec: &Step, now: Ms) -> Self {
        Self {
            attempt,
            reserved: step_spec.room(),
            charge: step_spec.demand,
            confirmed: None,
            started: now,
            listed: false,
            reported: false,
            has_copies: true,
            of_previous_incarnation: false,
            unclear: false,
            crash_if_missing: None,
            stopping: false,
            moving: false,
            stop_ordered: 0,
            tail_target_ms: step_spec.tail_target_ms,
            fills: step_spec.fills,
            lasting: step_spec.lasting,
            checkpointing: step_spec.checkpointing,
            in_gang: step_spec.gang,
            ordered_at: None,
            from_start: false,
            unproven_for: None,
            progress: 0,
            progress_at: now,
            speed_percent: Some(FULL_SPEED),
            speed_set_at: 0,
            metric: None,
            checkpoint: String::new(),
        }
    }

    /// Returns the total duration projected from the progress so far, if it can be estimated.
    pub fn projected_ms(&self) -> Option<Ms> {
        if !self.from_start || self.progress < MIN_PROGRESS {
            return None;
        }
        let elapsed = self.progress_at.saturating_sub(self.started);
        Some(elapsed * 100 / Ms::from(self.progress))
    }

    /// Returns whether the run certainly ends with its VM incarnation: it existed there, and no copy of its start can begin it in
    /// the next one.
    pub const fn ends_with_incarnation(&self) -> bool {
        self.listed && !self.has_copies
    }

    /// Returns the run as it counts in the VM's next incarnation, which has not reported it.
    pub fn in_next_incarnation(self, now: Ms) -> Self {
        Self {
            confirmed: None,
            listed: false,
            reported: false,
            has_copies: true,
            of_previous_incarnation: true,
            unclear: false,
            started: now,
            progress: 0,
            progress_at: now,
            speed_percent: None,
            metric: None,
            ..self
        }
    }

    /// Returns whether the run can be stopped and resumed elsewhere without losing work.
    pub fn can_be_resumed(&self) -> bool {
        self.checkpointing && !self.in_gang && !self.lasting
    }
}
