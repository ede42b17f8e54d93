//! The lender, which decides how each cap is split among the pools.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::{CapUse, LentCap, Share, Splits, amounts, from_amounts, limits, limits_all_of, within};
use crate::vm::Room;
use crate::workspace::Workspace;

/// A cap is split again for a pool that is short only if the pool gains at least the cap divided by this number, or all that
/// it lacks. Each record is a call to the store, and the pools' demand changes with each task.
const MIN_GAIN_DIVISOR: u64 = 32;

/// A cap is also split again if no pool is short but at least the cap divided by this number is not lent and could be. A pool
/// whose demand rises then already has a share to start with.
const UNLENT_DIVISOR: u64 = 2;

/// The bound of a pool whose use is not known.
const NO_BOUND: Room = Room { cpu: u32::MAX, mem_mb: u32::MAX, gpu: u32::MAX };

/// Splits caps among pools by their demand.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    pools: Vec<Arc<str>>,
    version: u64,
    /// The version of the configuration for which all splits hold, as last written.
    as_of: u64,
    limited: BTreeMap<Arc<str>, Workspace>,
    lent: BTreeMap<Arc<str>, LentCap>,
    reports: HashMap<(Arc<str>, Arc<str>), CapUse>,
}

impl Lender {
    /// Continues from the records of its predecessors, which hold for a version of the configuration.
    pub fn new(as_of: u64, records: Vec<LentCap>) -> Self {
        let lent = records.into_iter().map(|lent| (lent.workspace.as_str().into(), lent)).collect();
        Self { as_of, lent, ..Self::default() }
    }

    /// Sets the pools that run jobs, and the workspaces, of a version of the configuration.
    pub fn set_config(
        &mut self,
        version: u64,
        pools: impl Iterator<Item = Arc<str>>,
        workspaces: &[Workspace],
    ) {
        self.version = version;
        self.pools = pools.collect();
        let limited = workspaces.iter().filter(|workspace| limits(workspace.cap));
        self.limited = limited.map(|w| (w.name.clone(), w.clone())).collect();
    }

    /// Returns whether a workspace may have been unlimited since its cap was last split, or at any time if it never was. The
    /// pools' reports then do not cover the tasks that started meanwhile.
    fn was_unlimited(&self, workspace: &Workspace, before: Option<&LentCap>) -> bool {
        before.is_none_or(|lent| {
            let held_since = lent.version.max(self.as_of);
            held_since < workspace.limited_since || !limits_all_of(lent.cap, workspace.cap)
        })
    }

    /// Records the report of a pool's owner, unless a later one is known.
    pub fn record_use(&mut self, report: CapUse) {
        let key = (Arc::from(report.pool.as_str()), Arc::from(report.workspace.as_str()));
        let known = self.reports.get(&key);
        if known.is_none_or(|known| known.sequence < report.sequence) {
            self.reports.insert(key, report);
        }
    }

    /// Returns the current record of each workspace's cap.
    pub fn lent(&self) -> impl Iterator<Item = &LentCap> {
        self.lent.values()
    }

    /// Decides which caps are split again. The records must be written before the lender is called again.
    pub fn plan(&mut self) -> Splits {
        let limited: Vec<Workspace> = self.limited.values().cloned().collect();
        let mut splits = Splits::default();
        for workspace in limited {
            if let Some(lent) = self.split(&workspace) {
                self.lent.insert(workspace.name, lent.clone());
                splits.lent.push(lent);
            }
        }
        if self.version > self.as_of {
            self.as_of = self.version;
            splits.as_of = Some(self.version);
        }
        splits
    }

    /// Returns a cap's new split, if it needs one.
    fn split(&self, workspace: &Workspace) -> Option<LentCap> {
        let (name, cap) = (&workspace.name, workspace.cap);
        let before = self.lent.get(name);
        let use_unknown = self.was_unlimited(workspace, before);
        let mut pools: Vec<Arc<str>> = self.pools.clone();
        // A pool that is no longer configured may still have running tasks.
        let gone = before.into_iter().flat_map(|lent| &lent.shares);
        pools.extend(gone.map(|s| Arc::from(s.pool.as_str())).filter(|p| !self.pools.contains(p)));
        let status_of = |pool: &Arc<str>| match use_unknown {
            // Each pool reports its use once it follows this record.
            true => PoolStatus { bound: NO_BOUND, ..PoolStatus::default() },
            false => self.pool_status(name, pool, before),
        };
        let statuses: Vec<PoolStatus> = pools.iter().map(status_of).collect();
        let same_terms = before.is_some_and(|lent| {
            lent.cap == cap && pools.iter().all(|pool| lent.share(pool).is_some())
        });
        let mut shares: Vec<[u32; 3]> = vec![[0; 3]; pools.len()];
        let mut is_due = !same_terms || use_unknown;
        for resource in 0..3 {
            let column: Vec<ResourceStatus> =
                statuses.iter().map(|s| s.of_resource(resource)).collect();
            let total = u64::from(amounts(cap)[resource]);
            let new =
                if total == 0 { vec![0; pools.len()] } else { split_resource(total, &column) };
            is_due |= total > 0 && is_worth_it(total, &column, &new);
            for (share, new) in shares.iter_mut().zip(new) {
                share[resource] = u32::try_from(new).unwrap_or(u32::MAX);
            }
        }
        if !is_due {
            return None;
        }
        let share = |((pool, room), status): ((&Arc<str>, [u32; 3]), &PoolStatus)| {
            let room = from_amounts(room);
            Share { pool: pool.to_string(), room, bound: room.greater_of_each(status.bound) }
        };
        let shares: Vec<Share> = pools.iter().zip(shares).zip(&statuses).map(share).collect();
        let mut wanted = shares.iter().zip(&statuses);
        let is_short = wanted.any(|(share, status)| !within(status.wanted, share.room, cap));
        let (workspace, number) = (name.to_string(), before.map_or(0, |lent| lent.number) + 1);
        Some(LentCap { workspace, number, version: self.version, cap, shares, is_short })
    }

    fn pool_status(
        &self,
        workspace: &Arc<str>,
        pool: &Arc<str>,
        lent: Option<&LentCap>,
    ) -> PoolStatus {
        let Some(lent) = lent else { return PoolStatus::default() };
        let share = lent.share(pool).cloned().unwrap_or_default();
        let report = self.reports.get(&(pool.clone(), workspace.clone()));
        let (used, wanted) = report.map(|r| (r.used, r.wanted)).unwrap_or_default();
        // A report on an older record does not lower the bound of this one.
        let bound = match report {
            Some(report) if report.number == lent.number => share.room.greater_of_each(used),
            _ => share.bound,
        };
        PoolStatus { share: share.room, bound, wanted: wanted.greater_of_each(used) }
    }
}

/// The status of a pool with respect to a workspace's cap.
#[derive(Clone, Copy, Debug, Default)]
struct PoolStatus {
    share: Room,
    bound: Room,
    wanted: Room,
}

impl PoolStatus {
    const fn of_resource(&self, resource: usize) -> ResourceStatus {
        ResourceStatus {
            share: amounts(self.share)[resource] as u64,
            bound: amounts(self.bound)[resource] as u64,
            wanted: amounts(self.wanted)[resource] as u64,
        }
    }
}

/// The status of a pool for one resource.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceStatus {
    share: u64,
    bound: u64,
    wanted: u64,
}

/// Splits one resource of a cap. An amount that is taken from a pool still counts for that pool until the pool reports that it
/// follows the new record.
fn split_resource(total: u64, pools: &[ResourceStatus]) -> Vec<u64> {
    let wanted: Vec<u64> = pools.iter().map(|p| p.wanted).collect();
    let target = divide(total, &wanted);
    let mut shares = vec![0; pools.len()];
    // A lowered cap may be below what runs and what pools may still start. Nothing starts until they have reported their
    // actual use.
    let Some(mut free) = total.checked_sub(pools.iter().map(|p| p.bound).sum()) else {
        return shares;
    };
    // Pools that are short come first. What no pool wants is split in the order of the pools.
    for short in [true, false] {
        for (i, pool) in pools.iter().enumerate() {
            if (pool.wanted > pool.share) != short {
                continue;
            }
            let added = target[i].saturating_sub(pool.bound).min(free);
            free -= added;
            shares[i] = target[i].min(pool.bound + added);
        }
    }
    shares
}

/// Returns whether a new split helps a pool that is short, now or once other pools have returned parts of their shares.
fn is_worth_it(total: u64, pools: &[ResourceStatus], new: &[u64]) -> bool {
    let is_over = pools.iter().map(|p| p.bound).sum::<u64>() > total;
    if is_over {
        return pools.iter().any(|pool| pool.share > 0);
    }
    let lent: u64 = pools.iter().map(|pool| pool.share).sum();
    if new.iter().sum::<u64>() >= lent + total / UNLENT_DIVISOR {
        return true;
    }
    let min_gain = (total / MIN_GAIN_DIVISOR).max(1);
    let gains = |(pool, &new): (&ResourceStatus, &u64)| {
        let short = pool.wanted.saturating_sub(pool.share);
        short > 0 && new.saturating_sub(pool.share) >= short.min(min_gain)
    };
    if pools.iter().zip(new).any(gains) {
        return true;
    }
    let wanted: Vec<u64> = pools.iter().map(|p| p.wanted).collect();
    let target = divide(total, &wanted);
    let needed = |(pool, &target): (&ResourceStatus, &u64)| {
        let needed = pool.wanted.saturating_sub(pool.share).min(min_gain);
        (needed > 0 && target >= pool.share + needed).then_some(needed)
    };
    let least_needed = pools.iter().zip(&target).filter_map(needed).min();
    // Lowering shares helps only if pools can return more than was requested so far, and enough for a pool that waits.
    let returned: u64 = pools.iter().zip(new).map(|(p, &new)| p.share.saturating_sub(new)).sum();
    least_needed.is_some_and(|needed| returned >= needed)
}

/// Divides an amount by max-min fairness: no pool gets more than it wants before all have what they want. The rest is split
/// equally, so that a pool whose demand rises has a share to start with.
pub fn divide(total: u64, wanted: &[u64]) -> Vec<u64> {
    let mut shares = vec![0; wanted.len()];
    let mut left = total;
    let mut open: Vec<usize> = (0..wanted.len()).collect();
    open.sort_by_key(|&i| wanted[i]);
    let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
    for (done, &i) in open.iter().enumerate() {
        shares[i] = wanted[i].min(left / count(open.len() - done));
        left -= shares[i];
    }
    let each = left / count(wanted.len().max(1));
    for share in &mut shares {
        *share += each;
    }
    shares
}
