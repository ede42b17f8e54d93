//! The expected wait of a start for its turn behind others to the same VM.
//!
//! Load pattern: a hundred small tasks fit on one VM, which takes a tenth of a second for each start. Placed on the fullest VM,
//! they wait for their turns for seconds beside idle VMs. A VM that answers within milliseconds takes hundreds of starts sooner,
//! and packing them keeps the other VMs empty.

use std::time::Duration;

use super::Pool;
use super::incarnation::Vm;
use super::run::Run;
use crate::id::VmIncarnation;
use crate::order_turns::MAX_ORDERS_IN_FLIGHT;

/// The expected wait up to which placement ignores the starts that wait for a VM: a tenth of the time within which accepted
/// work starts.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// The answer time assumed until a VM has answered a start. It is long, so that a new owner shares its first burst among VMs.
const ASSUMED_ANSWER_TIME: Duration = Duration::from_millis(100);
/// The weight of the former mean against that of a new answer.
const MEAN_WEIGHT: u32 = 3;

/// How long VMs usually take to answer a start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerTime(Option<Duration>);

impl AnswerTime {
    fn record(&mut self, took: Duration) {
        let mean = self.0.map_or(took, |mean| (mean * MEAN_WEIGHT + took) / (MEAN_WEIGHT + 1));
        self.0 = Some(mean);
    }
}

impl Pool {
    /// Records how long a VM took to answer a start, from the first copy on.
    pub fn record_start_answer(&mut self, vm: &VmIncarnation, took: Duration) {
        let Some(vm) = self.vm_keys.get(vm).and_then(|&key| self.vms.get_mut(key)) else { return };
        vm.answer_time.record(took);
        self.answer_time.record(took);
    }

    /// Counts the starts that VMs have not answered. Placement keeps the counts up to date within a step.
    pub(super) fn count_unanswered_starts(&mut self) {
        for vm in self.vms.values_mut() {
            let is_unanswered =
                |run: &&Run| run.ordered_at.is_some() && run.confirmed.is_none() && !run.stopping;
            vm.unanswered_starts = vm.runs.values().filter(is_unanswered).count();
        }
    }

    /// Returns the expected wait of a further start to a VM for its turn, or zero if it is short.
    pub(super) fn long_start_wait(&self, vm: &Vm) -> Duration {
        if vm.unanswered_starts < MAX_ORDERS_IN_FLIGHT {
            return Duration::ZERO;
        }
        let usual = vm.answer_time.0.or(self.answer_time.0).unwrap_or(ASSUMED_ANSWER_TIME);
        let before = u32::try_from(vm.unanswered_starts / MAX_ORDERS_IN_FLIGHT).unwrap_or(u32::MAX);
        let wait = usual.saturating_mul(before);
        if wait < MAX_WAIT { Duration::ZERO } else { wait }
    }
}
