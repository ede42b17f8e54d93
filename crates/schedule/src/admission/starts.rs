//! Whether a job is accepted, by how long its first start would wait beside room.
//!
//! Load pattern: a burst asks for more starts a second than the owner of the pool can make, and half of the pool is idle. All
//! jobs are accepted, each waits for seconds, and none is in time. More VMs do not help; callers that are refused can come
//! back when the waiting tasks have started. If the owner starts nothing at all, no rate is known, and what waits would wait
//! however few the tasks are.

use serde::{Deserialize, Serialize};

use super::load::{OUTLOOK_INTERVAL_MS, Verdict};
use crate::Ms;

/// How long an accepted job takes to its pool's owner, in milliseconds.
const HANDOVER_MS: Ms = 250;
/// The part of the longest wait, in percent, from which the outlook is published. Below it, no job would be refused before the
/// next outlook is made.
const FILLING_PERCENT: Ms = 25;

/// The tasks that wait beside room, and what the owner starts meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartQueue {
    /// The number of tasks.
    pub waiting: u64,
    /// The rate at which VMs confirm starts.
    pub per_second: u64,
    /// For how long nothing has started although tasks could, in milliseconds.
    pub stands_ms: Ms,
}

/// When a job that arrives at a pool now would have its first start. The pool's owner makes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOutlook {
    /// The token of the pool's owner.
    pub token: u64,
    /// The number of the outlook under this token.
    pub number: u64,
    /// The rate at which the owner starts tasks, per second.
    pub per_second: u64,
    /// The time after which the tasks that wait are started, in milliseconds.
    pub wait_ms: Ms,
}

/// The starts that submissions at all nodes ask for, and which part of them one submission stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartCompetition {
    /// The starts that arriving jobs ask for, in thousandths per millisecond.
    pub offered: u64,
    /// The position of the job among those that compete with it, in thousandths: the first ones are accepted.
    pub position: u64,
}

impl StartOutlook {
    /// Creates the outlook, or returns `None` if the waiting tasks are too few for a refusal before the next one. While nothing
    /// starts, the next start is expected after as long again.
    pub fn new(queue: &StartQueue, start_within: Ms) -> Option<Self> {
        if queue.stands_ms > longest_wait(start_within) {
            return Some(Self { wait_ms: queue.stands_ms, ..Self::default() });
        }
        let wait_ms = (queue.waiting * 1_000).checked_div(queue.per_second)?;
        let is_filling = wait_ms * 100 >= longest_wait(start_within) * FILLING_PERCENT;
        let outlook = Self { wait_ms, per_second: queue.per_second, ..Self::default() };
        is_filling.then_some(outlook)
    }

    /// Decides on an arriving job. `age` is the age of the outlook. Of the jobs that arrive until the next outlook, only the part
    /// is accepted whose tasks are started in time.
    pub fn judge(&self, age: Ms, competition: &StartCompetition, start_within: Ms) -> Verdict {
        let longest = longest_wait(start_within);
        let begins_in = self.wait_ms.saturating_sub(age);
        let competing = competition.offered.saturating_mul(OUTLOOK_INTERVAL_MS) / 1_000;
        let before = competing.saturating_mul(competition.position);
        let before = before.checked_div(self.per_second).unwrap_or(0);
        if begins_in <= longest && self.wait_ms + before <= longest + OUTLOOK_INTERVAL_MS {
            return Verdict::Accept;
        }
        let drains_in = (begins_in + before).saturating_sub(longest);
        Verdict::Refuse { begins_in, drains_in }
    }
}

/// Returns the longest wait for which a job is accepted: what is accepted by an outlook while the next one is on its way, and
/// the way of the job to the owner, come on top.
const fn longest_wait(start_within: Ms) -> Ms {
    start_within.saturating_sub(OUTLOOK_INTERVAL_MS + HANDOVER_MS)
}
