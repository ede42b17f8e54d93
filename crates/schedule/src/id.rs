//! Names of jobs, tasks, runs and lives of VMs.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Digits of a job's ID.
const JOB_ID_DIGITS: usize = 16;

/// A job's ID: 16 lower-case hexadecimal digits, chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A text that names no job, task or run.
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

/// One task of a job: which repetition, which step, which of the step's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The repetition, from 0.
    pub time: u32,
    /// The step, from 0.
    pub step: u16,
    /// The task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.time, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let wrong = || IdError(s.to_owned());
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or_else(wrong);
        let job = next()?.parse()?;
        let time = next()?.parse().map_err(|_| wrong())?;
        let step = next()?.parse().map_err(|_| wrong())?;
        let index = next()?.parse().map_err(|_| wrong())?;
        if parts.next().is_some() {
            return Err(wrong());
        }
        Ok(Self { job, time, step, index })
    }
}

/// One run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Which of its runs, counted from 1.
    pub attempt: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}

/// Stands between the ID and the start of a life of a VM in text.
const BORN_SIGN: char = '@';

/// One life of a VM. A VM that crashed, moved or was maintained may come back under its ID or under another one, with
/// nothing running and all that it counts beginning anew; when it started tells its lives apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VmLife {
    id: Arc<str>,
    born: Option<u64>,
}

impl VmLife {
    /// Makes the life of a VM that started at a time, in milliseconds since 1970; none if that is not known.
    pub fn new(id: impl Into<Arc<str>>, born: Option<u64>) -> Self {
        Self { id: id.into(), born }
    }

    /// Returns the VM's ID, which other lives of it may share.
    pub const fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// Returns when it started, in milliseconds since 1970, if that is known.
    pub const fn born(&self) -> Option<u64> {
        self.born
    }

    /// Returns whether this and another one may be the same life, as one of them tells no start.
    pub fn may_be(&self, other: &Self) -> bool {
        self.id == other.id
            && (self.born == other.born || self.born.is_none() || other.born.is_none())
    }

    /// Returns whether this and another one are lives of a VM under one ID.
    pub fn is_other_life_of(&self, other: &Self) -> bool {
        self.id == other.id && self.born != other.born
    }
}

impl fmt::Display for VmLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}{BORN_SIGN}{born}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// Reads a life as it stands in records; those of older programs hold the ID only.
impl From<&str> for VmLife {
    fn from(text: &str) -> Self {
        let parts = text.rsplit_once(BORN_SIGN);
        match parts.and_then(|(id, born)| Some((id, born.parse().ok()?))) {
            Some((id, born)) => Self::new(id, Some(born)),
            None => Self::new(text, None),
        }
    }
}
