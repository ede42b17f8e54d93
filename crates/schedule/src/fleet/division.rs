//! Division of the VMs among the pools.
//!
//! Load pattern: two or more pools need more VMs at once than there are. Work that can finish in time comes first, and all late
//! work after it. With [`Split::MaxMin`] a pool with a small need gets all of it, however large the needs of the others are.

use std::collections::HashMap;
use std::sync::Arc;

use super::Fleet;

/// The target and the current number of VMs of a pool, including VMs that are moving to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub target: usize,
    pub size: usize,
}

/// How VMs are split among pools that together want more than there are.
#[derive(Clone, Copy, Debug)]
enum Split {
    /// All pools get the same part of what they want.
    Proportional { available: usize, wanted: usize },
    /// All pools get what they want up to the same number, the first `one_more` of those that want more get one more.
    MaxMin { level: usize, one_more: usize },
}

impl Split {
    fn proportional(available: usize, wanted: &[usize]) -> Self {
        Self::Proportional { available, wanted: wanted.iter().sum() }
    }

    fn max_min(available: usize, wanted: &[usize]) -> Self {
        let mut rising = wanted.to_vec();
        rising.sort_unstable();
        let (mut left, mut level) = (available, 0);
        for (i, &want) in rising.iter().enumerate() {
            let above = rising.len() - i;
            if (want - level) * above > left {
                return Self::MaxMin { level: level + left / above, one_more: left % above };
            }
            left -= (want - level) * above;
            level = want;
        }
        Self::MaxMin { level, one_more: 0 }
    }

    /// Returns the part for a pool that wants `wanted` VMs.
    fn part(&mut self, wanted: usize) -> usize {
        match self {
            Self::Proportional { available, wanted: all } if *all > *available => {
                wanted * *available / *all
            }
            Self::Proportional { .. } => wanted,
            Self::MaxMin { level, one_more } if wanted > *level && *one_more > 0 => {
                *one_more -= 1;
                *level + 1
            }
            Self::MaxMin { level, .. } => wanted.min(*level),
        }
    }
}

impl Fleet {
    /// Divides the VMs among the pools. Each pool gets what it needs, or its part of the available VMs. Work that will be late
    /// gets the VMs that are left over by work that can finish in time.
    pub(super) fn shares(&self, switched_off: usize) -> HashMap<Arc<str>, Share> {
        let mut sizes: Vec<(Arc<str>, usize)> = self.sizes().into_iter().collect();
        // The same pool gets the VM that is left over by an even split at each step.
        sizes.sort_unstable();
        let total = switched_off + sizes.iter().map(|(_, size)| size).sum::<usize>();
        let floor = self.policy.need.floor_vms;
        let first_need = |(pool, _): &(Arc<str>, usize)| match self.policy.need.late_last {
            true => self.needs.in_time(pool) - floor,
            false => self.needs.current(pool) - floor,
        };
        let last_need = |share: &(Arc<str>, usize)| {
            let (pool, size) = share;
            let all = self.needs.current(pool) - floor;
            // VMs that are moved for work that is late arrive when it is worth little or nothing.
            let held = match self.policy.need.in_time_only {
                true => size.saturating_sub(floor),
                false => all,
            };
            all.min(held).saturating_sub(first_need(share))
        };
        let split = match self.policy.moves.max_min {
            true => Split::max_min,
            false => Split::proportional,
        };
        let available = total.saturating_sub(floor * sizes.len());
        let first: Vec<usize> = sizes.iter().map(first_need).collect();
        let last: Vec<usize> = sizes.iter().map(last_need).collect();
        let mut first_split = split(available, &first);
        let mut last_split = split(available.saturating_sub(first.iter().sum()), &last);
        let parts = first.into_iter().zip(last);
        let share = |((pool, size), (first, last))| {
            let target = floor + first_split.part(first) + last_split.part(last);
            (pool, Share { target, size })
        };
        sizes.into_iter().zip(parts).map(share).collect()
    }
}

/// Returns the pool that has the smallest part of its target.
pub(super) fn neediest(shares: &HashMap<Arc<str>, Share>) -> Option<Arc<str>> {
    shares
        .iter()
        .filter(|(_, share)| share.size < share.target)
        .min_by_key(|(pool, share)| (share.size * 1_000 / share.target.max(1), (*pool).clone()))
        .map(|(pool, _)| pool.clone())
}
