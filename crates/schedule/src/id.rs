//! Identifiers of jobs, tasks, runs and VM incarnations.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The number of digits in a job ID.
pub(crate) const JOB_ID_DIGITS: usize = 16;

/// The ID of a job: 16 lower-case hexadecimal digits, assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A string that is not a valid job or task ID.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdError(pub String);

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "'{}' is no ID: use 16 hexadecimal digits in lower case", self.0)
    }
}

impl std::error::Error for IdError {}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() != JOB_ID_DIGITS || !s.bytes().all(digit) {
            return Err(IdError(s.to_owned()));
        }
        u64::from_str_radix(s, 16).map(Self).map_err(|_| IdError(s.to_owned()))
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The ID of a task: its job, repetition, step and index within the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The repetition, counted from 0.
    #[serde(rename = "time")]
    pub repetition: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// The task within the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.repetition, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let invalid = || IdError(s.to_owned());
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or_else(invalid);
        let job = next()?.parse()?;
        let repetition = next()?.parse().map_err(|_| invalid())?;
        let step = next()?.parse().map_err(|_| invalid())?;
        let index = next()?.parse().map_err(|_| invalid())?;
        if parts.next().is_some() {
            return Err(invalid());
        }
        Ok(Self { job, repetition, step, index })
    }
}

/// The ID of a run, which is one attempt at a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// The number of the run among the task's runs, counted from 1.
    pub attempt: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}

/// Separates the VM's ID from its start time in the text form of an incarnation.
const START_TIME_SEPARATOR: char = '@';

/// One incarnation of a VM. A VM that crashed, moved or was maintained may restart under the same ID or another one, with
/// nothing running and all of its counters reset. The start time distinguishes incarnations of one ID.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VmIncarnation {
    id: Arc<str>,
    started_at: Option<u64>,
}

impl VmIncarnation {
    /// Creates an incarnation that started at `started_at`, in milliseconds since 1970, or `None` if the start time is not known.
    pub fn new(id: impl Into<Arc<str>>, started_at: Option<u64>) -> Self {
        Self { id: id.into(), started_at }
    }

    /// Returns the VM's ID, which other incarnations may share.
    pub const fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// Returns the start time in milliseconds since 1970, if it is known.
    pub const fn started_at(&self) -> Option<u64> {
        self.started_at
    }

    /// Returns the length of its text form.
    pub fn encoded_len(&self) -> usize {
        let digits = |at: u64| at.checked_ilog10().unwrap_or(0) as usize + 1;
        self.id.len() + self.started_at.map_or(0, |at| START_TIME_SEPARATOR.len_utf8() + digits(at))
    }

    /// Returns the most bytes of the text form of an incarnation of this VM, whatever its start time.
    pub fn max_encoded_len(&self) -> usize {
        const MAX_DIGITS: usize = u64::MAX.ilog10() as usize + 1;
        self.id.len() + START_TIME_SEPARATOR.len_utf8() + MAX_DIGITS
    }

    /// Returns whether both may be the same incarnation: they share an ID, and their start times are equal or one of them is
    /// unknown.
    pub fn may_be_same(&self, other: &Self) -> bool {
        self.id == other.id
            && (self.started_at == other.started_at
                || self.started_at.is_none()
                || other.started_at.is_none())
    }

    /// Returns whether both share an ID but differ in their start time.
    pub fn is_other_incarnation_of(&self, other: &Self) -> bool {
        self.id == other.id && self.started_at != other.started_at
    }
}

impl fmt::Display for VmIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at {
            Some(started_at) => write!(f, "{}{START_TIME_SEPARATOR}{started_at}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// Parses an incarnation as records hold it. Records of older versions hold only the ID.
impl From<&str> for VmIncarnation {
    fn from(text: &str) -> Self {
        let parts = text.rsplit_once(START_TIME_SEPARATOR);
        match parts.and_then(|(id, started_at)| Some((id, started_at.parse().ok()?))) {
            Some((id, started_at)) => Self::new(id, Some(started_at)),
            None => Self::new(text, None),
        }
    }
}
