//! The crash history of a task: which VM losses count against it, and when it is abandoned.
//!
//! A task may crash every VM on which it starts, and a crashed VM does not report how its runs ended. At most one of the
//! runs that were lost with a VM caused the crash, and a single crash may be a coincidence. The rules are:
//!
//! - Only a crash counts: the VM has a new incarnation and was not leaving. An unresponsive VM may only be
//!   disconnected, so its loss is unclear until the VM answers again (not counted) or is replaced (counted).
//! - A crash soon after the task's start makes the task a suspect, and so does a second crash at any time. A suspect does
//!   not share a VM with tasks of other jobs, so that its next crash is conclusive and affects no other job.
//! - A task is abandoned after two crashes soon after its start on a VM where it has certainly run and that had no tasks of
//!   other jobs, after four crashes of which two came soon after its start, or after five crashes in all.

use serde::{Deserialize, Serialize};

use crate::Ms;

/// The time after a run's start within which the run may have crashed a VM that stops answering, in milliseconds. A VM may
/// crash 10 ms after the start, and its owner may notice the closed connections up to 70 ms later.
pub const CRASH_AT_START_MS: Ms = 250;
/// The number of crashes soon after its start, on VMs without tasks of other jobs, at which a task is abandoned. One may be
/// a coincidence.
const MAX_CRASHES_ALONE: u32 = 2;
/// The number of crashes at which a task is abandoned whatever else ran on the VMs, if two of them came soon after its start.
const MAX_CRASHES_WITH_STARTS: u32 = 4;
/// The number of crashes at which any task is abandoned. The platform allows two starts after the third crash.
const MAX_CRASHES: u32 = 5;
/// How long a VM may be unresponsive before it counts as crashed, in milliseconds. VMs restart within seconds, and network
/// partitions last up to 12 s, so that a VM that is unresponsive for longer will not respond again.
const UNCLEAR_TIMEOUT_MS: u64 = 30_000;
/// The delay before a suspect is started again after its first crash, in milliseconds. It doubles with each crash.
const FIRST_RESTART_DELAY_MS: Ms = 250;
/// The longest such delay, in milliseconds. A task that may start and does not for 3 s counts as lost.
pub const MAX_RESTART_DELAY_MS: Ms = 2_000;

/// A VM that ran a task and was unresponsive until its lease expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnclearLoss {
    /// The incarnation of the VM.
    pub vm: String,
    /// The VM's name over all of its incarnations, empty if it was not known.
    pub name: String,
    /// When the VM's lease expired, in milliseconds since 1970.
    pub at_ms: u64,
}

/// How the crash of a VM relates to a run that was lost with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The crash came soon after the run's start.
    pub at_start: bool,
    /// The run has certainly existed, and the VM ran no tasks of other jobs.
    pub alone: bool,
}

/// The crash history of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory {
    /// The number of VMs that crashed while they ran the task.
    pub crashes: u32,
    /// The number of these that crashed soon after the task's start.
    pub at_start: u32,
    /// The number of those in `at_start` under which the task has certainly run, without tasks of other jobs.
    pub alone: u32,
    /// VMs that became unresponsive and may have crashed.
    pub unclear: Vec<UnclearLoss>,
}

/// How the scheduler treats a task, by its crash history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The task is not restricted.
    Clear,
    /// The task starts only on VMs without tasks of other jobs.
    Suspect,
    /// The task does not start until it is known whether the VMs in `unclear` have crashed.
    Held,
    /// The task is abandoned.
    GivenUp,
}

impl CrashHistory {
    /// Counts a crash.
    pub fn add_crash(&mut self, crash: Crash) {
        self.crashes += 1;
        self.at_start += u32::from(crash.at_start);
        self.alone += u32::from(crash.at_start && crash.alone);
    }

    /// Records that a VM became unresponsive.
    pub fn add_unclear(&mut self, loss: UnclearLoss) {
        if !self.unclear.iter().any(|known| known.vm == loss.vm) {
            self.unclear.push(loss);
        }
    }

    /// Records whether an unresponsive VM crashed, and returns whether its loss was unclear before.
    pub fn resolve(&mut self, vm: &str, crashed: bool) -> bool {
        let before = self.unclear.len();
        self.unclear.retain(|loss| loss.vm != vm);
        let was_unclear = self.unclear.len() < before;
        if was_unclear && crashed {
            // An unclear loss does not record what else ran on the VM.
            self.add_crash(Crash { at_start: false, alone: false });
        }
        was_unclear
    }

    /// Returns the VMs that have been unresponsive for so long that they count as crashed.
    pub fn overdue(&self, now_ms: u64) -> Vec<String> {
        let is_over = |loss: &&UnclearLoss| now_ms >= loss.at_ms.saturating_add(UNCLEAR_TIMEOUT_MS);
        self.unclear.iter().filter(is_over).map(|loss| loss.vm.clone()).collect()
    }

    /// Returns how the scheduler treats the task.
    pub fn verdict(&self) -> Verdict {
        let unclear = u32::try_from(self.unclear.len()).unwrap_or(u32::MAX);
        let max =
            if self.at_start >= MAX_CRASHES_ALONE { MAX_CRASHES_WITH_STARTS } else { MAX_CRASHES };
        if self.alone >= MAX_CRASHES_ALONE || self.crashes >= max {
            Verdict::GivenUp
        } else if self.crashes.saturating_add(unclear) >= max {
            Verdict::Held
        } else if self.at_start > 0 || self.crashes > 1 {
            Verdict::Suspect
        } else {
            Verdict::Clear
        }
    }

    /// Returns the delay after a loss before a suspect is started again.
    pub fn restart_delay(&self) -> Ms {
        match self.verdict() {
            Verdict::Clear => 0,
            Verdict::Suspect | Verdict::Held | Verdict::GivenUp => {
                let doubled = FIRST_RESTART_DELAY_MS
                    << self.crashes.saturating_sub(1).min(MAX_CRASHES_WITH_STARTS);
                doubled.min(MAX_RESTART_DELAY_MS)
            }
        }
    }
}

/// The crash history of one task within its job's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistoryRecord {
    /// The repetition.
    #[serde(rename = "time")]
    pub repetition: u32,
    /// The step.
    pub step: u16,
    /// The task within the step.
    pub index: u32,
    /// The task's crash history.
    #[serde(rename = "harm")]
    pub crash_history: CrashHistory,
}
