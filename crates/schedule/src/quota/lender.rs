//! The lender's decision: how each cap is split among the pools.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::{CapUse, LentCap, Share, Splits, kinds, limits, limits_all_of, of_kinds, within};
use crate::vm::Room;
use crate::workspace::Workspace;

/// A split is written anew for a pool that is short only if it gains at least one of so many parts of the cap, or all
/// that it is short of: each record is a call to the store, and what pools want changes with each task.
const LEAST_GAIN_PART: u64 = 32;

/// If so much of a cap as one of so many parts is lent to nobody and could be, it is lent though no pool is short: a pool whose turn
/// begins has something to begin with.
const UNLENT_PART: u64 = 2;

/// Nothing is known of what a pool has running.
const NO_BOUND: Room = Room { cpu: u32::MAX, mem_mb: u32::MAX, gpu: u32::MAX };

/// Splits caps among pools by what each wants.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    pools: Vec<Arc<str>>,
    version: u64,
    /// The version for which all splits hold, as it was written last.
    as_of: u64,
    limited: BTreeMap<Arc<str>, Workspace>,
    lent: BTreeMap<Arc<str>, LentCap>,
    said: HashMap<(Arc<str>, Arc<str>), CapUse>,
}

impl Lender {
    /// Goes on from the records of its predecessors, which hold for a version of the configuration.
    pub fn new(as_of: u64, records: Vec<LentCap>) -> Self {
        let lent = records.into_iter().map(|lent| (lent.workspace.as_str().into(), lent)).collect();
        Self { as_of, lent, ..Self::default() }
    }

    /// Sets the pools that run jobs, and the workspaces, by a version of the configuration.
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

    /// Returns whether a workspace may have been without a limit since its cap was last split, or ever if it was not: what pools
    /// have started meanwhile is known by none of their words.
    fn was_unlimited(&self, workspace: &Workspace, before: Option<&LentCap>) -> bool {
        before.is_none_or(|lent| {
            let held_since = lent.version.max(self.as_of);
            held_since < workspace.limited_since || !limits_all_of(lent.cap, workspace.cap)
        })
    }

    /// Takes in what a pool's owner says; what was said before is no news.
    pub fn take(&mut self, said: CapUse) {
        let key = (Arc::from(said.pool.as_str()), Arc::from(said.workspace.as_str()));
        let known = self.said.get(&key);
        if known.is_none_or(|known| known.said < said.said) {
            self.said.insert(key, said);
        }
    }

    /// Returns how each workspace's cap is lent.
    pub fn lent(&self) -> impl Iterator<Item = &LentCap> {
        self.lent.values()
    }

    /// Decides which caps are split anew. The records are to be written before anything else is asked of the lender.
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

    /// Returns a cap's new split, if there is to be one.
    fn split(&self, workspace: &Workspace) -> Option<LentCap> {
        let (name, cap) = (&workspace.name, workspace.cap);
        let before = self.lent.get(name);
        let unknown = self.was_unlimited(workspace, before);
        let mut pools: Vec<Arc<str>> = self.pools.clone();
        // One that is not configured any more may still run what it has.
        let gone = before.into_iter().flat_map(|lent| &lent.shares);
        pools.extend(gone.map(|s| Arc::from(s.pool.as_str())).filter(|p| !self.pools.contains(p)));
        let stands = |pool: &Arc<str>| match unknown {
            // Each pool says what it has running once it goes by this record.
            true => Standing { bound: NO_BOUND, ..Standing::default() },
            false => self.standing(name, pool, before),
        };
        let standings: Vec<Standing> = pools.iter().map(stands).collect();
        let same_terms = before.is_some_and(|lent| {
            lent.cap == cap && pools.iter().all(|pool| lent.share(pool).is_some())
        });
        let mut shares: Vec<[u32; 3]> = vec![[0; 3]; pools.len()];
        let mut is_due = !same_terms || unknown;
        for kind in 0..3 {
            let column: Vec<OfKind> = standings.iter().map(|s| s.of_kind(kind)).collect();
            let total = u64::from(kinds(cap)[kind]);
            let new = if total == 0 { vec![0; pools.len()] } else { split_kind(total, &column) };
            is_due |= total > 0 && is_worth_it(total, &column, &new);
            for (share, new) in shares.iter_mut().zip(new) {
                share[kind] = u32::try_from(new).unwrap_or(u32::MAX);
            }
        }
        if !is_due {
            return None;
        }
        let share = |((pool, room), standing): ((&Arc<str>, [u32; 3]), &Standing)| {
            let room = of_kinds(room);
            Share { pool: pool.to_string(), room, bound: room.greater_of_each(standing.bound) }
        };
        let shares: Vec<Share> = pools.iter().zip(shares).zip(&standings).map(share).collect();
        let mut wanted = shares.iter().zip(&standings);
        let is_short = wanted.any(|(share, standing)| !within(standing.wanted, share.room, cap));
        let (workspace, number) = (name.to_string(), before.map_or(0, |lent| lent.number) + 1);
        Some(LentCap { workspace, number, version: self.version, cap, shares, is_short })
    }

    fn standing(&self, workspace: &Arc<str>, pool: &Arc<str>, lent: Option<&LentCap>) -> Standing {
        let Some(lent) = lent else { return Standing::default() };
        let share = lent.share(pool).cloned().unwrap_or_default();
        let said = self.said.get(&(pool.clone(), workspace.clone()));
        let (used, wanted) = said.map(|s| (s.used, s.wanted)).unwrap_or_default();
        // What it said under an older record does not bind it to this one.
        let bound = match said {
            Some(said) if said.number == lent.number => share.room.greater_of_each(used),
            _ => share.bound,
        };
        Standing { share: share.room, bound, wanted: wanted.greater_of_each(used) }
    }
}

/// How a pool stands with a workspace's cap.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    share: Room,
    bound: Room,
    wanted: Room,
}

impl Standing {
    const fn of_kind(&self, kind: usize) -> OfKind {
        OfKind {
            share: kinds(self.share)[kind] as u64,
            bound: kinds(self.bound)[kind] as u64,
            wanted: kinds(self.wanted)[kind] as u64,
        }
    }
}

/// The same of one kind of room.
#[derive(Clone, Copy, Debug, Default)]
struct OfKind {
    share: u64,
    bound: u64,
    wanted: u64,
}

/// Splits one kind of a cap: what is taken from a pool counts as its own until it has said that it goes by it.
fn split_kind(total: u64, pools: &[OfKind]) -> Vec<u64> {
    let wanted: Vec<u64> = pools.iter().map(|p| p.wanted).collect();
    let target = divide(total, &wanted);
    let mut shares = vec![0; pools.len()];
    // A cap that was lowered may lie below what runs and what pools may start yet. Nothing starts until they have said what
    // they really use.
    let Some(mut free) = total.checked_sub(pools.iter().map(|p| p.bound).sum()) else {
        return shares;
    };
    // What pools are short of goes first; what nobody wants is split as it comes.
    for short in [true, false] {
        for (i, pool) in pools.iter().enumerate() {
            if (pool.wanted > pool.share) != short {
                continue;
            }
            let more = target[i].saturating_sub(pool.bound).min(free);
            free -= more;
            shares[i] = target[i].min(pool.bound + more);
        }
    }
    shares
}

/// Returns whether a new split helps a pool that is short, now or once others have given up what they are lent.
fn is_worth_it(total: u64, pools: &[OfKind], new: &[u64]) -> bool {
    let is_over = pools.iter().map(|p| p.bound).sum::<u64>() > total;
    if is_over {
        return pools.iter().any(|pool| pool.share > 0);
    }
    let lent: u64 = pools.iter().map(|pool| pool.share).sum();
    if new.iter().sum::<u64>() >= lent + total / UNLENT_PART {
        return true;
    }
    let least = (total / LEAST_GAIN_PART).max(1);
    let gains = |(pool, &new): (&OfKind, &u64)| {
        let short = pool.wanted.saturating_sub(pool.share);
        short > 0 && new.saturating_sub(pool.share) >= short.min(least)
    };
    if pools.iter().zip(new).any(gains) {
        return true;
    }
    let wanted: Vec<u64> = pools.iter().map(|p| p.wanted).collect();
    let target = divide(total, &wanted);
    let waits = pools.iter().zip(&target).any(|(pool, &target)| {
        pool.wanted > pool.share && target >= pool.share + least.min(pool.wanted - pool.share)
    });
    // Lowering helps only if there is anything to be given up that was not asked for yet.
    let gives = pools.iter().zip(new).any(|(pool, &new)| pool.share >= new + least);
    waits && gives
}

/// Divides an amount: nobody gets more than it wants before all have what they want, as equally as can be; what is left is
/// split equally, so that a pool whose turn begins has something to begin with.
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
