//! Whether the owner starts nothing at all, so that a job that arrives now would wait as well.
//!
//! Load pattern: VMs hold all starts, the owner's link is full, its reads are too old or no VM answers, while callers go on to
//! submit jobs. There is no rate of starts, so nothing is refused by it, and all accepted jobs wait beside idle VMs. A cause
//! that concerns one VM or one job is no reason to refuse others: they may start at once.

use super::Pool;
use super::incarnation::Vm;
use super::run::Run;
use super::stalled::StallReason;
use crate::Ms;
use crate::id::TaskId;
use crate::order_turns::MAX_ORDERS_IN_FLIGHT;

/// How long a VM must have left a start unconfirmed before it counts as holding it, in milliseconds.
const HELD_MS: Ms = 500;

/// Since when the owner has started nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Standstill {
    /// Since when there has been work that no start got past.
    since: Option<Ms>,
    /// When a task was last seen to have started.
    started_at: Ms,
}

impl Standstill {
    /// Records that a task has started.
    pub fn record_start(&mut self, now: Ms) {
        *self = Self { since: None, started_at: now };
    }

    /// Records since when the oldest work has waited that no other job could get past, if there is any.
    fn record_waiting(&mut self, oldest: Option<Ms>, now: Ms) {
        let since = |oldest: Ms| self.since.unwrap_or(now).max(oldest).max(self.started_at);
        self.since = oldest.map(since);
    }

    /// Returns for how long the owner has started nothing, or 0 if it starts tasks or has none to start.
    pub fn lasts_for(&self, now: Ms) -> Ms {
        self.since.map_or(0, |since| now.saturating_sub(since))
    }
}

impl Vm {
    /// Returns whether so many starts have been left unconfirmed for so long that another one gets no turn.
    fn holds_starts(&self, now: Ms) -> bool {
        let is_held = |run: &&Run| {
            let is_old = run.ordered_at.is_some_and(|at| now >= at + HELD_MS);
            is_old && run.confirmed.is_none() && !run.stopping
        };
        self.runs.values().filter(is_held).nth(MAX_ORDERS_IN_FLIGHT - 1).is_some()
    }
}

impl Pool {
    /// Updates since when nothing starts, by the tasks that wait beside room.
    pub(super) fn update_standstill(&mut self, waiting: &[(TaskId, StallReason)], now: Ms) {
        let all_hold = !self.any_vm_may_start(now);
        let blocks = |reason| match reason {
            StallReason::Reads | StallReason::Link | StallReason::Unreachable => true,
            StallReason::Start => all_hold,
            StallReason::Record
            | StallReason::Lease
            | StallReason::Processor
            | StallReason::Cap
            | StallReason::Suspects
            | StallReason::Place => false,
        };
        let blocking = waiting.iter().filter(|(_, reason)| blocks(*reason));
        let since = blocking.filter_map(|(task, _)| self.stalled_since.of(*task)).min();
        self.standstill.record_waiting(since, now);
    }

    /// Returns whether a VM that does not hold starts has room. However little it is, a job that arrives may need no more.
    fn any_vm_may_start(&self, now: Ms) -> bool {
        self.vms.values().any(|vm| {
            let free = vm.free();
            let accepts = vm.accepts_work() && vm.excluded_until <= now;
            accepts && free.cpu > 0 && free.mem_mb > 0 && !vm.holds_starts(now)
        })
    }
}
