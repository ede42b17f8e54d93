//! Moving VMs to the pools that need them.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Fleet, PoolReport, Purpose, Stage, VmState, VmWork};
use crate::Ms;

/// Over how long a pool's need is averaged, in milliseconds: long enough to span the users' turns
/// of load (16 s a round), so that VMs do not follow each turn.
const AVERAGE_MS: f64 = 8_000.0;
/// Moves that are under way at once.
const MOVES_AT_ONCE: usize = 8;

/// How much of its room each pool needs, averaged over some seconds.
#[derive(Debug, Default)]
pub(super) struct Pressure {
    pools: HashMap<Arc<str>, Need>,
}

#[derive(Clone, Copy, Debug)]
struct Need {
    /// Processor wanted, in use or waited for, as a share of what there is, in thousandths.
    permille: f64,
    at: Ms,
}

impl Pressure {
    #[expect(clippy::cast_precision_loss, reason = "thousandths of cores are far below 2^52")]
    pub fn note(&mut self, pool: &Arc<str>, report: &PoolReport, now: Ms) {
        let wanted = (report.waiting_cpu + report.used_cpu) as f64;
        let sample = 1_000.0 * wanted / (report.cpu as f64).max(1_000.0);
        let need = self.pools.entry(pool.clone()).or_insert(Need { permille: sample, at: now });
        let passed = now.saturating_sub(need.at) as f64;
        let weight = (passed / AVERAGE_MS).min(1.0);
        need.permille += weight * (sample - need.permille);
        need.at = now;
    }

    /// Returns a pool's need in thousandths of its room.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share that is never negative; a cast saturates"
    )]
    pub fn of(&self, pool: &str, _now: Ms) -> u64 {
        self.pools.get(pool).map_or(0, |n| n.permille as u64)
    }
}

impl Fleet {
    /// Brings switched-off VMs into the pools that need them most.
    pub(super) fn begin_moves(&mut self, now: Ms) {
        let Some(off) = self.off_pool.clone() else { return };
        let is_move = |w: &&VmWork| matches!(w.purpose, Purpose::Move { .. });
        let under_way = self.record.work.iter().filter(is_move).count();
        let free: Vec<Arc<str>> = self
            .vms
            .values()
            .filter(|vm| vm.pool == off && vm.state == VmState::Up)
            .filter(|vm| self.record.work_on(&vm.name).is_none())
            .filter(|vm| !self.unsettled.contains_key(&*vm.name))
            .map(|vm| vm.name.clone())
            .collect();
        for vm in free.into_iter().take(MOVES_AT_ONCE.saturating_sub(under_way)) {
            let Some(to) = self.neediest(now) else { return };
            let purpose = Purpose::Move { to: to.as_ref().to_owned() };
            let vm = vm.as_ref().to_owned();
            self.record.work.push(VmWork { vm, purpose, stage: Stage::Emptying });
        }
    }

    /// Returns the pool with the highest need for each VM that it has or is getting.
    fn neediest(&self, now: Ms) -> Option<Arc<str>> {
        let size = |pool: &Arc<str>| {
            let there = self.vms.values().filter(|vm| vm.pool == *pool).count();
            let coming = |w: &&VmWork| w.purpose == Purpose::Move { to: pool.as_ref().to_owned() };
            there + self.record.work.iter().filter(coming).count()
        };
        let score = |pool: &&Arc<str>| {
            let there = self.vms.values().filter(|vm| vm.pool == **pool).count() as u64;
            let size = size(pool).max(1) as u64;
            // What is wanted, shared among the VMs that there will be; equal pools by their size.
            ((self.pressure.of(pool, now).max(1) * there.max(1)) / size, std::cmp::Reverse(size))
        };
        self.working_pools.iter().max_by_key(score).cloned()
    }
}
