//! Refills pools from the reserve, and releases surplus VMs of pools.

use std::cmp::Reverse;

use thistle_fold::{Pool, PoolKey, Stage, VmKey};
use thistle_model::{Change, DrainReason, Tier};

use crate::context::PlanContext;
use crate::proposal::{PlanConfig, Proposal, RefillPolicy};
use crate::spread::Spread;

/// Proposes to refill pools that are below their target, the furthest below its floor first, then
/// by tier.
pub(crate) fn refill(
    context: &mut PlanContext<'_>,
    cfg: &PlanConfig,
    proposals: &mut Vec<Proposal>,
) {
    let counted = context.target_counts();
    let count = |key: PoolKey| counted.get(&key).copied().unwrap_or(0);
    let mut below_target: Vec<_> = context
        .state
        .pools
        .iter()
        .filter(|(key, p)| count(*key) < p.target())
        .map(|(key, p)| (refill_key(p), key, p.target() - count(key)))
        .collect();
    below_target.sort();
    let mut spares = spare_vms(context);
    let mut spreads: Vec<_> = below_target.iter().map(|s| Spread::of(context.state, s.1)).collect();
    // Each pool gets one VM per round, so that the last pool is not left with VMs of one rack only.
    while !spares.is_empty() && below_target.iter().any(|s| s.2 > 0) {
        for ((_, pool, missing), spread) in below_target.iter_mut().zip(&mut spreads) {
            if *missing > 0 && assign_one(context, cfg, *pool, spread, &mut spares, proposals) {
                *missing -= 1;
            }
        }
    }
}

/// Returns the sort key for refilling pools; the pool with the least key is refilled first.
fn refill_key(pool: &Pool) -> (Reverse<u32>, Option<Tier>) {
    let below = pool.floor().saturating_sub(pool.available);
    (Reverse(below), pool.workspace.as_ref().map(|w| w.tier))
}

/// Returns the available VMs of the reserve that have no proposal yet.
fn spare_vms(context: &PlanContext<'_>) -> Vec<VmKey> {
    let state = context.state;
    let is_usable = |key: &VmKey| {
        let vm = &state.vms[*key];
        vm.pool == state.reserve && vm.is_available() && !context.used.contains(key)
    };
    state.vm_keys.values().copied().filter(is_usable).collect()
}

/// Proposes to assign the best spare VM to a pool; returns `false` if there is none.
fn assign_one(
    context: &mut PlanContext<'_>,
    cfg: &PlanConfig,
    pool: PoolKey,
    spread: &mut Spread,
    spares: &mut Vec<VmKey>,
    proposals: &mut Vec<Proposal>,
) -> bool {
    let Some(index) = best_spare(context, cfg, spread, spares) else {
        return false;
    };
    let key = spares.swap_remove(index);
    let vm = &context.state.vms[key];
    spread.add(vm);
    context.used.insert(key);
    let to = context.state.pools[pool].name.clone();
    let why = format!("'{}' is short of VMs", context.state.pools[pool].label());
    let change = Change::Assign { vm: vm.name.clone(), base: vm.revision, to };
    proposals.push(Proposal { change, vm: vm.name.clone(), step: "assign", why });
    true
}

fn best_spare(
    context: &PlanContext<'_>,
    cfg: &PlanConfig,
    spread: &Spread,
    spares: &[VmKey],
) -> Option<usize> {
    let indexes = 0..spares.len();
    match cfg.refill {
        RefillPolicy::Greedy => indexes.min_by_key(|&i| spares[i]),
        RefillPolicy::Spread => indexes.min_by_key(|&i| {
            let vm = &context.state.vms[spares[i]];
            (spread.hall_and_rack_counts(vm), vm.wave < context.state.wave.number, spares[i])
        }),
    }
}

/// Proposes to drain surplus VMs of pools, from the most crowded halls and racks first.
pub(crate) fn release_surplus(context: &mut PlanContext<'_>, proposals: &mut Vec<Proposal>) {
    let counted = context.target_counts();
    let state = context.state;
    for (key, pool) in &state.pools {
        let Some(_) = &pool.workspace else { continue };
        let count = counted.get(&key).copied().unwrap_or(0);
        let surplus = count.saturating_sub(pool.target()).min(context.slack[key]);
        for _ in 0..surplus {
            release_one(context, key, proposals);
        }
    }
}

fn release_one(context: &mut PlanContext<'_>, pool: PoolKey, proposals: &mut Vec<Proposal>) {
    let state = context.state;
    let spread = Spread::of(state, pool);
    let is_movable = |key: &VmKey| {
        let vm = &state.vms[*key];
        vm.pool == pool && vm.is_available() && vm.stage == Stage::InService
    };
    let candidates = state.vm_keys.values().copied().filter(is_movable);
    let unused = candidates.filter(|key| !context.used.contains(key));
    let Some(key) = unused.max_by_key(|&key| spread.hall_and_rack_counts(&state.vms[key])) else {
        return;
    };
    let vm = &state.vms[key];
    context.used.insert(key);
    context.slack[pool] -= 1;
    let reason = DrainReason::Surplus;
    let change = Change::Drain { vm: vm.name.clone(), base: vm.revision, reason };
    let why = format!("'{}' has more VMs than it should", state.pools[pool].label());
    proposals.push(Proposal { change, vm: vm.name.clone(), step: "drain", why });
}
