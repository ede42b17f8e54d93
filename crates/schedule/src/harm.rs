//! Which losses of VMs speak against a task that ran there, and when it is given up.
//!
//! A task may crash each VM on which it starts, and a VM that has crashed lists no end. Of the runs that go with
//! a VM one at most has done it, and bad luck looks the same once. So a loss is weighed by what it tells:
//!
//! - Only a crash counts: another incarnation of the VM is there, and it was not leaving. A VM that fell silent may
//!   have been cut off; its loss is kept until it answers again (not counted) or is replaced (counted).
//! - A crash right after the task's start makes it a suspect, and so does a second one at any time. Suspects run with no
//!   other job's tasks beside them, so that the next crash tells more and costs others nothing.
//! - Two crashes right after its start with nothing of other jobs beside it, or four in all, and it is given up.

use serde::{Deserialize, Serialize};

use crate::Ms;

/// A VM that stops answering within this time of a run's start may have been crashed by it, in milliseconds: with the users'
/// VMs it took 10 ms from the start to the crash, and up to 70 ms more until the owner heard that its connections were
/// closed.
pub const AT_START_MS: Ms = 250;
/// Crashes right after its start, with nothing of other jobs beside it, with which a task is given up: one may be bad luck.
const CRASHES_ALONE: u32 = 2;
/// Crashes with which a task is given up whatever ran beside it, if two of them came right after its start.
const CRASHES: u32 = 4;
/// Crashes with which any task is given up: the platform allows two starts after the third.
const CRASHES_AT_ANY_TIME: u32 = 5;
/// How long it may stay unknown whether a VM that fell silent has crashed, in milliseconds; then it counts as crashed, as it
/// is not coming back. The users' VMs are back within seconds, and their cuts last up to 12 s.
const UNCLEAR_MS: u64 = 30_000;
/// The first pause before a suspect is started again, in milliseconds; it doubles with each crash.
const PAUSE_MS: Ms = 250;
/// The longest such pause, in milliseconds: a task that may start and does not for 3 s counts as lost.
pub const MOST_PAUSE_MS: Ms = 2_000;

/// A VM that fell silent under a task until its lease was over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnclearLoss {
    /// The incarnation.
    pub vm: String,
    /// The VM's lasting name, empty if it was not known.
    pub name: String,
    /// When its lease was over, in milliseconds since 1970.
    pub at_ms: u64,
}

/// What the crash of a VM tells of a run that went with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// It came right after the run's start.
    pub at_start: bool,
    /// Nothing of other jobs ran there.
    pub alone: bool,
}

/// What speaks against a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Harm {
    /// VMs that crashed under it.
    pub crashes: u32,
    /// Those among them that crashed right after its start.
    pub at_start: u32,
    /// Those among these on which nothing of other jobs ran.
    pub alone: u32,
    /// VMs of which it is not known whether they crashed.
    pub unclear: Vec<UnclearLoss>,
}

/// How a task is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// As any other.
    Clear,
    /// It is started with nothing of other jobs beside it.
    Suspect,
    /// It is not started until it is known whether the VMs that fell silent under it have crashed.
    Held,
    /// It is not started any more, and its job has failed.
    GivenUp,
}

impl Harm {
    /// Counts a crash.
    pub fn add(&mut self, crash: Crash) {
        self.crashes += 1;
        self.at_start += u32::from(crash.at_start);
        self.alone += u32::from(crash.at_start && crash.alone);
    }

    /// Keeps in mind that a VM fell silent.
    pub fn add_unclear(&mut self, loss: UnclearLoss) {
        if !self.unclear.iter().any(|known| known.vm == loss.vm) {
            self.unclear.push(loss);
        }
    }

    /// Takes in that it is known of a VM whether it crashed; returns whether that is news.
    pub fn resolve(&mut self, vm: &str, crashed: bool) -> bool {
        let before = self.unclear.len();
        self.unclear.retain(|loss| loss.vm != vm);
        let news = self.unclear.len() < before;
        if news && crashed {
            // What else ran there then is not kept.
            self.add(Crash { at_start: false, alone: false });
        }
        news
    }

    /// Returns the VMs that have been silent for so long that they count as crashed.
    pub fn overdue(&self, now_ms: u64) -> Vec<String> {
        let is_over = |loss: &&UnclearLoss| now_ms >= loss.at_ms.saturating_add(UNCLEAR_MS);
        self.unclear.iter().filter(is_over).map(|loss| loss.vm.clone()).collect()
    }

    /// Returns how the task is to be treated.
    pub fn verdict(&self) -> Verdict {
        let unclear = u32::try_from(self.unclear.len()).unwrap_or(u32::MAX);
        let most = if self.at_start >= CRASHES_ALONE { CRASHES } else { CRASHES_AT_ANY_TIME };
        if self.alone >= CRASHES_ALONE || self.crashes >= most {
            Verdict::GivenUp
        } else if self.crashes.saturating_add(unclear) >= most {
            Verdict::Held
        } else if self.at_start > 0 || self.crashes > 1 {
            Verdict::Suspect
        } else {
            Verdict::Clear
        }
    }

    /// Returns how long a suspect waits after a loss before it is started again.
    pub fn pause(&self) -> Ms {
        match self.verdict() {
            Verdict::Clear => 0,
            Verdict::Suspect | Verdict::Held | Verdict::GivenUp => {
                let doubled = PAUSE_MS << self.crashes.saturating_sub(1).min(CRASHES);
                doubled.min(MOST_PAUSE_MS)
            }
        }
    }
}

/// What speaks against one task, as it stands in the record of its job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HarmRecord {
    /// The repetition.
    pub time: u32,
    /// The step.
    pub step: u16,
    /// The task within the step.
    pub index: u32,
    /// What speaks against it.
    pub harm: Harm,
}
