//! Throttling of filling tasks that share a VM with serving tasks.
//!
//! Filling tasks use CPU that others leave idle. A serving task has a target tail latency and reports its tail latency. While the
//! latency is near its target, filling tasks on the same VM are slowed down quickly; once it is well below the target, they are
//! sped up again slowly.

use super::run::{FULL_SPEED, Run};
use super::{Now, Order, Pool, VmKey};
use crate::Ms;
use crate::id::{RunId, TaskId, VmIncarnation};

/// The share of the target, in percent, from which filling tasks are slowed down.
const SLOW_DOWN_ABOVE_PERCENT: u64 = 85;
/// The share of the target, in percent, below which filling tasks are sped up.
const SPEED_UP_BELOW_PERCENT: u64 = 60;
/// The divisor of a filling task's speed at each slowdown.
const SLOW_DOWN_DIVISOR: u32 = 4;
/// The lowest speed of a filling task that is not paused, in percent.
const MIN_SPEED: u32 = 10;
/// The increase of a filling task's speed at each speed-up, in percent of the full speed.
const SPEED_UP_STEP: u32 = 20;
/// The minimum time between two changes, in milliseconds. The reported metrics cover the last half second.
const MIN_CHANGE_INTERVAL_MS: Ms = 500;

/// The reason for polling a VM, which determines how often it is polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollReason {
    /// The metrics of serving tasks that share the VM with filling tasks.
    Metrics,
    /// The ends of tasks that end by themselves.
    Ends,
    /// The lease of its present or future runs.
    Lease,
}

/// The highest tail latency of a VM's serving tasks, relative to their targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tail {
    /// Near or above the target: filling tasks are slowed down.
    Near,
    /// Neither near nor well below the target, or unknown.
    Between,
    /// Well below the target: filling tasks are sped up.
    Below,
}

impl Pool {
    /// Returns the reason for polling a VM.
    pub fn poll_reason(&self, vm: &VmIncarnation) -> PollReason {
        let vm = self.vm_keys.get(vm).and_then(|&key| self.vms.get(key));
        let Some(vm) = vm else { return PollReason::Lease };
        let any = |is: fn(&Run) -> bool| vm.runs.values().any(is);
        if any(|run| run.fills) && any(|run| run.tail_target_ms > 0) {
            PollReason::Metrics
        } else if any(|run| !run.lasting) {
            PollReason::Ends
        } else {
            PollReason::Lease
        }
    }

    /// Adjusts the speed of a VM's filling tasks to the latest metrics of its serving tasks.
    pub(super) fn throttle(&mut self, key: VmKey, now: Now) {
        if !self.policy.tasks.pacing {
            return;
        }
        let vm = &mut self.vms[key];
        let tail = tail(vm.runs.values());
        let id = vm.id.clone();
        for (&task, run) in vm.runs.iter_mut().filter(|(_, run)| run.fills && !run.stopping) {
            // A new owner's first order is not delayed.
            if run.speed_percent.is_some() && now.steady < run.speed_set_at + MIN_CHANGE_INTERVAL_MS
            {
                continue;
            }
            let percent = next_speed(run.speed_percent, tail);
            if percent != run.speed_percent {
                (run.speed_percent, run.speed_set_at) = (percent, now.steady);
                let run = run_id(task, run);
                let order = |percent| Order::Throttle { vm: id.clone(), run, percent };
                self.orders.extend(percent.map(order));
            }
        }
    }
}

const fn run_id(task: TaskId, run: &Run) -> RunId {
    RunId { task, attempt: run.attempt }
}

/// Returns the worst tail latency of the serving tasks, which counts as below the target if there are none.
fn tail<'a>(runs: impl Iterator<Item = &'a Run>) -> Tail {
    let mut serving = runs.filter(|run| run.tail_target_ms > 0).peekable();
    if serving.peek().is_none() {
        return Tail::Below;
    }
    let percent = |run: &Run| run.metric.map(|ms| ms * 100 / u64::from(run.tail_target_ms));
    match serving.filter_map(percent).max() {
        // No metric has been reported yet.
        None => Tail::Between,
        Some(SLOW_DOWN_ABOVE_PERCENT..) => Tail::Near,
        Some(SPEED_UP_BELOW_PERCENT..) => Tail::Between,
        Some(_) => Tail::Below,
    }
}

/// Returns the next speed of a filling task, in percent, given its current speed. Returns `None` if the current speed is unknown
/// and need not change.
const fn next_speed(speed: Option<u32>, tail: Tail) -> Option<u32> {
    let Some(speed) = speed else {
        return match tail {
            Tail::Near => Some(0),
            Tail::Between => None,
            Tail::Below => Some(FULL_SPEED),
        };
    };
    Some(match tail {
        Tail::Near if speed / SLOW_DOWN_DIVISOR < MIN_SPEED => 0,
        Tail::Near => speed / SLOW_DOWN_DIVISOR,
        Tail::Between => speed,
        Tail::Below if speed + SPEED_UP_STEP > FULL_SPEED => FULL_SPEED,
        Tail::Below => speed + SPEED_UP_STEP,
    })
}
