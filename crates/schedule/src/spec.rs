//! What a caller submits: a job of steps, each of some tasks.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::vm::Room;

/// Most steps of a job.
pub const MAX_STEPS: usize = 1_000;
/// Most tasks of a step.
pub const MAX_STEP_TASKS: u32 = 10_000;
/// Longest text handed to the tasks, in bytes.
pub const MAX_TEXT: usize = 4_000;

/// A job as it was accepted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text handed to each task.
    pub text: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// Repetitions by the wall clock, if any.
    pub repeats: Option<Repeats>,
    /// The queue that it was submitted to.
    pub queue: String,
    /// What its queue asked for when it was accepted.
    pub objective: Objective,
    /// Whose advice its queue asked for when it was accepted, if anyone's.
    pub advice: Option<AdvicePolicy>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// The workspace whose key its caller showed; empty for a job of an open queue. In a record it follows all else, so
    /// that programs from before it read the rest.
    #[serde(skip)]
    pub workspace: String,
    /// The version of the configuration by which its caller was let in.
    #[serde(skip)]
    pub admitted_by: u64,
}

/// How a queue's policy is asked which VMs may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// How long an answer takes at least, in milliseconds.
    pub decide_ms: u32,
    /// How much longer for each VM named, in milliseconds.
    pub each_ms: u32,
    /// How long an answer is good, in milliseconds.
    pub valid_ms: u32,
}

impl AdvicePolicy {
    /// Returns how long an answer about some VMs takes, in milliseconds.
    pub fn decides_in_ms(&self, vms: usize) -> u64 {
        let vms = u64::try_from(vms).unwrap_or(u64::MAX);
        u64::from(self.decide_ms).saturating_add(u64::from(self.each_ms).saturating_mul(vms))
    }
}

/// Repetitions of all steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeats {
    /// How many times the steps run.
    pub count: u32,
    /// When the first is due, in milliseconds since 1970.
    pub start_at_ms: u64,
    /// Milliseconds between due times.
    pub interval_ms: u64,
}

/// What a queue asks for its jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// 0 goes first.
    pub priority: u32,
    /// Runs of one task that may fail before the job is given up.
    pub max_attempts: u32,
    /// The longest chain of work times this, plus `target_ms`, is the time in which to finish.
    pub stretch: f32,
    /// See `stretch`.
    pub target_ms: u32,
}

/// One step: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What one task takes of a VM.
    pub demand: Room,
    /// The caller's guess of one task's time, in milliseconds.
    pub estimated_ms: u32,
    /// Earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u16>,
    /// The tasks save their progress.
    pub checkpointing: bool,
    /// The tasks work only together.
    pub gang: bool,
    /// The tasks are slow when spread over racks.
    pub rack_local: bool,
    /// Labels that a VM must have.
    pub constraints: Vec<String>,
    /// The rack that holds the data; elsewhere a task is slow.
    pub affinity: Option<String>,
    /// Most tasks of the step on one VM; 0 is no bound.
    pub anti_affinity: u32,
    /// Copies may run side by side.
    pub speculative: bool,
    /// The tasks run until the job is cancelled and are started again however they end.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Tail of answer times that serving tasks are to keep, in milliseconds; 0 is none.
    pub tail_target_ms: u32,
    /// The tasks use what others leave: their processor demand takes no room.
    pub fills: bool,
    /// Tasks of a lasting step that may be away at once through our doing; 0 is no bound.
    pub may_miss: u32,
}

impl Step {
    /// Returns the room that one task takes from a VM.
    pub const fn room(&self) -> Room {
        if self.fills { Room { cpu: 0, ..self.demand } } else { self.demand }
    }
}

/// Why a job is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpecError {
    /// No steps.
    NoSteps,
    /// Too many steps.
    TooManySteps(usize),
    /// A step with no tasks, or too many.
    Count(usize, u32),
    /// A step that waits for itself or a later one.
    Dependency(usize, u16),
    /// A text that is too long.
    Text(usize),
    /// Repetitions without a time between them.
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
    /// Checks bounds and the order of the steps.
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

    /// Returns how many times the steps run.
    pub fn times(&self) -> u32 {
        self.repeats.map_or(1, |r| r.count.max(1))
    }

    /// Returns the wall-clock time at which repetition `time` is due.
    pub fn due_ms(&self, time: u32) -> u64 {
        self.repeats.map_or(self.accepted_ms, |r| {
            r.start_at_ms.saturating_add(u64::from(time).saturating_mul(r.interval_ms))
        })
    }

    /// Returns whether tasks of the job run until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|s| s.lasting)
    }

    /// Returns the longest chain of estimated work from each step to the job's end, in
    /// milliseconds.
    pub fn chains(&self) -> Vec<u64> {
        let own = |i: usize| u64::from(self.steps[i].estimated_ms);
        let mut chains: Vec<u64> = (0..self.steps.len()).map(own).collect();
        for i in (0..self.steps.len()).rev() {
            for &on in &self.steps[i].depends_on {
                let on = usize::from(on);
                chains[on] = chains[on].max(own(on) + chains[i]);
            }
        }
        chains
    }
}
