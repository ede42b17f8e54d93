//! Selects the VMs that a maintenance wave drains.

use thistle_fold::{PoolKey, Vm, VmKey};
use thistle_model::{Change, DrainReason, HallName, RackName};

use crate::context::{PlanContext, is_out_for_maintenance};
use crate::proposal::{PlanConfig, Proposal, WavePolicy};
use crate::reserve::reserve_target;

/// Proposes drains for the wave, rack by rack across pools, within the slack and the maintenance
/// window of each pool and one data hall at a time.
pub(crate) fn drain_for_wave(
    context: &mut PlanContext<'_>,
    cfg: &PlanConfig,
    minute: u16,
    proposals: &mut Vec<Proposal>,
) {
    let wave = &context.state.wave;
    if wave.paused || wave.number == 0 {
        return;
    }
    let mut width = remaining_width(context, cfg);
    let mut reserve_left = reserve_slack(context, cfg);
    for key in candidates(context, cfg, minute) {
        if width == 0 {
            return;
        }
        let vm = &context.state.vms[key];
        if vm.pool == context.state.reserve {
            if reserve_left == 0 {
                continue;
            }
            reserve_left -= 1;
        } else if !pool_allows(context, cfg, vm, minute) {
            continue;
        }
        width -= 1;
        propose(context, key, proposals);
    }
}

/// Returns how many more VMs may be out of service under the policy.
fn remaining_width(context: &PlanContext<'_>, cfg: &PlanConfig) -> usize {
    match cfg.wave {
        WavePolicy::ByRack => usize::MAX,
        WavePolicy::OneAtATime => {
            let out = context.state.vms.values().filter(|vm| is_out_for_maintenance(vm)).count();
            1usize.saturating_sub(out)
        }
    }
}

/// Returns how many VMs of the reserve may be drained now. At least half of the reserve, or of its
/// target if that is smaller, stays available, unless the reserve has only one VM.
fn reserve_slack(context: &PlanContext<'_>, cfg: &PlanConfig) -> u32 {
    let reserve = &context.state.pools[context.state.reserve];
    let keep = reserve_target(context.state, cfg).min(reserve.size).div_ceil(2);
    reserve.available.saturating_sub(keep).max(u32::from(reserve.size == 1))
}

/// Returns the VMs that the wave may drain now: those of racks that the wave has started first,
/// then by hall and rack.
///
/// VMs that their pool does not allow now are excluded before the sorting, as they are the majority
/// during a wave.
fn candidates(context: &PlanContext<'_>, cfg: &PlanConfig, minute: u16) -> Vec<VmKey> {
    let state = context.state;
    let is_started = |vm: &&Vm| is_out_for_maintenance(vm) || vm.wave == state.wave.number;
    let started_racks: std::collections::BTreeSet<&RackName> =
        state.vms.values().filter(is_started).map(|vm| &vm.facts.rack).collect();
    let is_candidate = |key: &VmKey| {
        let vm = &state.vms[*key];
        let allowed = vm.pool == state.reserve || pool_allows(context, cfg, vm, minute);
        vm.wave < state.wave.number && vm.is_available() && allowed && !context.used.contains(key)
    };
    let mut keys: Vec<_> = state.vm_keys.values().copied().filter(is_candidate).collect();
    let order = |key: &VmKey| -> (bool, &HallName, &RackName) {
        let facts = &state.vms[*key].facts;
        (!started_racks.contains(&facts.rack), &facts.hall, &facts.rack)
    };
    keys.sort_by(|a, b| order(a).cmp(&order(b)));
    keys
}

/// Returns whether a pool allows the drain of one more of its VMs now.
fn pool_allows(context: &PlanContext<'_>, cfg: &PlanConfig, vm: &Vm, minute: u16) -> bool {
    let pool = &context.state.pools[vm.pool];
    let open = pool.workspace.as_ref().is_none_or(|w| w.window_open(minute));
    open && has_slack(context, cfg, vm.pool) && hall_allows(context, vm)
}

fn has_slack(context: &PlanContext<'_>, cfg: &PlanConfig, pool: PoolKey) -> bool {
    let slack = context.slack[pool];
    let full_slack = context.state.pools[pool].target() - context.state.pools[pool].floor();
    slack > cfg.slack_to_keep(full_slack)
}

/// Returns whether no VM of the pool is out for maintenance in another data hall.
///
/// If a hall fails during a wave, the failure then either hits the hall whose VMs are already out,
/// or leaves VMs out in only one other hall.
pub(crate) fn hall_allows(context: &PlanContext<'_>, vm: &Vm) -> bool {
    context.halls_out[vm.pool].iter().all(|hall| *hall == vm.facts.hall)
}

fn propose(context: &mut PlanContext<'_>, key: VmKey, proposals: &mut Vec<Proposal>) {
    let vm = &context.state.vms[key];
    context.used.insert(key);
    context.slack[vm.pool] = context.slack[vm.pool].saturating_sub(1);
    context.halls_out[vm.pool].insert(vm.facts.hall.clone());
    let reason = DrainReason::Maintenance;
    let change = Change::Drain { vm: vm.name.clone(), base: vm.revision, reason };
    let why = format!("maintenance wave {} at rack '{}'", context.state.wave.number, vm.facts.rack);
    proposals.push(Proposal { change, vm: vm.name.clone(), step: "drain", why });
}
