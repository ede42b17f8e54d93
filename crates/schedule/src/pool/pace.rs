//! Keeping filling tasks from disturbing serving tasks on the same VM.
//!
//! A serving task reports the tail of its answer times. While it is near its target, the tasks that
//! fill beside it are slowed down, fast; once it is well below, they are let go again, slowly.

use super::vms::Run;
use super::{Now, Order, Pool, VmKey};
use crate::Ms;
use crate::id::{RunId, TaskId, VmId};

/// Share of the target, in percent, above which filling tasks are slowed down.
const SLOW_ABOVE_PERCENT: u64 = 85;
/// Share of the target, in percent, below which they are let go.
const LET_GO_BELOW_PERCENT: u64 = 60;
/// What a filling task's share is divided by at each slowing.
const SLOW_BY: u32 = 4;
/// Shares below this are cut to nothing, in percent.
const LEAST_SHARE: u32 = 10;
/// What is added to its share when it is let go, in percent.
const LET_GO_BY: u32 = 20;
/// Pause between two changes: the figures are of the last half second.
const CHANGE_EVERY_MS: Ms = 500;

/// How the serving tasks of a VM are doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tail {
    Near,
    Between,
    Below,
}

impl Pool {
    /// Returns whether a VM runs serving and filling tasks, so that it is to be looked at often.
    pub fn is_mixed(&self, vm: &VmId) -> bool {
        let vm = self.vm_keys.get(vm).and_then(|&key| self.vms.get(key));
        vm.is_some_and(|vm| {
            vm.runs.values().any(|r| r.fills) && vm.runs.values().any(|r| r.tail_target_ms > 0)
        })
    }

    /// Paces the filling tasks of a VM by what its serving tasks have just reported.
    pub(super) fn pace(&mut self, key: VmKey, now: Now) {
        let vm = &mut self.vms[key];
        let Some(tail) = tail(vm.runs.values()) else { return };
        let id = vm.id.clone();
        for (&task, run) in vm.runs.iter_mut().filter(|(_, run)| run.fills && !run.stopping) {
            if now.steady < run.paced_at + CHANGE_EVERY_MS {
                continue;
            }
            let percent = next_share(run.pace, tail);
            if percent != run.pace {
                (run.pace, run.paced_at) = (percent, now.steady);
                let run = run_id(task, run);
                self.orders.push(Order::Pace { vm: id.clone(), run, percent });
            }
        }
    }
}

const fn run_id(task: TaskId, run: &Run) -> RunId {
    RunId { task, attempt: run.attempt }
}

/// Returns how the serving task that is worst off is doing; none if none has reported.
fn tail<'a>(runs: impl Iterator<Item = &'a Run>) -> Option<Tail> {
    let serving = runs.filter(|run| run.tail_target_ms > 0);
    let percent = |run: &Run| run.figure.map(|ms| ms * 100 / u64::from(run.tail_target_ms));
    let worst = serving.filter_map(percent).max()?;
    Some(match worst {
        SLOW_ABOVE_PERCENT.. => Tail::Near,
        LET_GO_BELOW_PERCENT.. => Tail::Between,
        _ => Tail::Below,
    })
}

const fn next_share(share: u32, tail: Tail) -> u32 {
    match tail {
        Tail::Near if share / SLOW_BY < LEAST_SHARE => 0,
        Tail::Near => share / SLOW_BY,
        Tail::Between => share,
        Tail::Below if share + LET_GO_BY > 100 => 100,
        Tail::Below => share + LET_GO_BY,
    }
}
