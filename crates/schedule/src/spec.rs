//! The specification of a job that a caller submits: its steps and their tasks.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::vm::Room;

/// The maximum number of steps of a job.
pub const MAX_STEPS: usize = 1_000;
/// The maximum number of tasks of a step.
pub const MAX_STEP_TASKS: u32 = 10_000;
/// The maximum length of the text passed to the tasks, in bytes.
pub const MAX_TEXT: usize = 4_000;

/// The specification of an accepted job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text passed to each task.
    pub text: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// The repetitions by the wall clock, if any.
    pub repeats: Option<Repeats>,
    /// The queue to which the job was submitted.
    pub queue: String,
    /// The objective of its queue when the job was accepted.
    pub objective: Objective,
    /// The advice policy of its queue when the job was accepted, if any.
    pub advice: Option<AdvicePolicy>,
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// The workspace whose key the caller presented; empty for a job of an open queue. It comes last in an encoded record,
    /// so that older versions can read the rest.
    #[serde(skip)]
    pub workspace: String,
    /// The version of the configuration under which the caller was admitted.
    #[serde(skip)]
    pub admitted_by: u64,
}

/// The timing of the replies of the external advice service, which decides which VMs may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// The minimum time for a reply, in milliseconds.
    pub decide_ms: u32,
    /// The additional time for each VM named in the request, in milliseconds.
    pub each_ms: u32,
    /// How long a reply is valid, in milliseconds.
    pub valid_ms: u32,
}

impl AdvicePolicy {
    /// Returns the time that a reply about `vms` VMs takes, in milliseconds.
    pub fn decides_in_ms(&self, vms: usize) -> u64 {
        let vms = u64::try_from(vms).unwrap_or(u64::MAX);
        u64::from(self.decide_ms).saturating_add(u64::from(self.each_ms).saturating_mul(vms))
    }
}

/// The schedule on which all steps of a job repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeats {
    /// The number of repetitions.
    pub count: u32,
    /// The due time of the first repetition, in milliseconds since 1970.
    pub start_at_ms: u64,
    /// The time between due times, in milliseconds.
    pub interval_ms: u64,
}

/// The service objective of a queue's jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// The priority; jobs with 0 go first.
    pub priority: u32,
    /// The number of failed runs of one task at which the job fails.
    pub max_attempts: u32,
    /// The job is to finish within `stretch` times the longest chain of estimated work, plus `target_ms`.
    pub stretch: f32,
    /// The fixed part of the time to finish, in milliseconds; see `stretch`.
    pub target_ms: u32,
}

impl Objective {
    /// Returns the time in which a job is to finish whose longest chain of work takes `chain` milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times of jobs are far below 2^52 ms, and factors are not negative"
    )]
    pub fn time_for(&self, chain: u64) -> u64 {
        (chain as f64 * f64::from(self.stretch)) as u64 + u64::from(self.target_ms)
    }
}

/// One step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The capacity that one task requires.
    pub demand: Room,
    /// The caller's estimate of the run time of one task, in milliseconds.
    pub estimated_ms: u32,
    /// The earlier steps whose tasks must all be done before this step starts.
    pub depends_on: Vec<u16>,
    /// Whether the tasks save checkpoints.
    pub checkpointing: bool,
    /// Whether the tasks form a gang, which runs only as a whole.
    pub gang: bool,
    /// Whether the tasks are slow when spread over several racks.
    pub rack_local: bool,
    /// The labels that a VM must have.
    pub constraints: Vec<String>,
    /// The rack that holds the data. Tasks are slow on other racks.
    pub affinity: Option<String>,
    /// The maximum number of tasks of the step on one VM; 0 means no limit.
    pub anti_affinity: u32,
    /// Whether speculative copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled and are restarted whenever they end.
    pub lasting: bool,
    /// The image that the tasks run. Tasks of one image behave alike.
    pub image: String,
    /// The target tail latency if the tasks are serving tasks, in milliseconds; 0 for other tasks.
    pub tail_target_ms: u32,
    /// Whether the tasks are filling tasks: they use only leftover CPU time, so that their CPU demand reserves no capacity.
    pub fills: bool,
    /// The maximum number of tasks of a lasting step that the scheduler may take down at once; 0 means no limit.
    pub may_miss: u32,
}

impl Step {
    /// Returns the capacity that one task reserves on a VM.
    pub const fn room(&self) -> Room {
        if self.fills { Room { cpu: 0, ..self.demand } } else { self.demand }
    }
}

/// The error for an invalid job specification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpecError {
    /// The job has no steps.
    NoSteps,
    /// The job has too many steps.
    TooManySteps(usize),
    /// A step has no tasks or too many.
    Count(usize, u32),
    /// A step depends on itself or a later step.
    Dependency(usize, u16),
    /// The text is too long.
    Text(usize),
    /// The interval between repetitions is 0.
    Interval,
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSteps => write!(f, "the job has no steps: give at least one"),
            Self::TooManySteps(n) => write!(f, "{n} steps: give at most {MAX_STEPS}"),
            Self::Count(step, n) => {
                write!(f, "step {step} has {n} tasks: give between 1 and {MAX_STEP_TASKS}")
            }
            Self::Dependency(step, on) => {
                write!(f, "step {step} depends on step {on}: name only earlier steps")
            }
            Self::Text(n) => write!(f, "the text has {n} bytes: give at most {MAX_TEXT}"),
            Self::Interval => write!(f, "repetitions need an interval above 0"),
        }
    }
}

impl std::error::Error for SpecError {}

impl JobSpec {
    /// Checks the limits and the order of the steps.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(SpecError::TooManySteps(self.steps.len()));
        }
        if self.text.len() > MAX_TEXT {
            return Err(SpecError::Text(self.text.len()));
        }
        if self.repeats.is_some_and(|r| r.interval_ms == 0 && r.count > 1) {
            return Err(SpecError::Interval);
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_STEP_TASKS {
                return Err(SpecError::Count(i, step.count));
            }
            if let Some(&on) = step.depends_on.iter().find(|&&on| usize::from(on) >= i) {
                return Err(SpecError::Dependency(i, on));
            }
        }
        Ok(())
    }

    /// Returns the number of times that the steps run.
    pub fn repetitions(&self) -> u32 {
        self.repeats.map_or(1, |r| r.count.max(1))
    }

    /// Returns the wall-clock time at which a repetition is due, in milliseconds since 1970.
    pub fn due_ms(&self, repetition: u32) -> u64 {
        self.repeats.map_or(self.accepted_ms, |r| {
            r.start_at_ms.saturating_add(u64::from(repetition).saturating_mul(r.interval_ms))
        })
    }

    /// Returns whether some tasks of the job run until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|s| s.lasting)
    }

    /// Returns, for each step, the longest chain of estimated work from that step to the end of the job, in milliseconds.
    pub fn critical_paths(&self) -> Vec<u64> {
        let own = |i: usize| u64::from(self.steps[i].estimated_ms);
        let mut paths: Vec<u64> = (0..self.steps.len()).map(own).collect();
        for i in (0..self.steps.len()).rev() {
            for &on in &self.steps[i].depends_on {
                let on = usize::from(on);
                paths[on] = paths[on].max(own(on) + paths[i]);
            }
        }
        paths
    }
}
