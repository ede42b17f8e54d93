//! Builds the view that an entry needs from the state.

use thistle_model::view::{ViewDrain, ViewMember, ViewPool, ViewUpdate, ViewVm};
use thistle_model::{MemberId, PoolName, Revision};

use crate::member::MemberState;
use crate::pool::{Pool, PoolKey};
use crate::state::State;
use crate::vm::Stage;

/// Returns the changes of the view since `revision`, or the whole view if `revision` is 0.
///
/// Hints of leaving VMs are not part of the state and are left empty.
pub fn changed_since(state: &State, revision: Revision) -> ViewUpdate {
    let changed: Vec<_> =
        state.pool_keys.iter().filter(|&(_, &key)| state.pools[key].touched > revision).collect();
    ViewUpdate {
        offset: state.next,
        pools: view_pools(state, &changed),
        leaving: Vec::new(),
        voters: state.voters.clone(),
        voter_addrs: state.voters.all().iter().filter_map(|&id| view_member(state, id)).collect(),
        members: joined_members(state),
    }
}

fn joined_members(state: &State) -> Vec<ViewMember> {
    let joined = state.members.iter().filter(|(_, m)| m.state == MemberState::Joined);
    joined.filter_map(|(&id, _)| view_member(state, id)).collect()
}

fn view_member(state: &State, id: MemberId) -> Option<ViewMember> {
    let facts = &state.members.get(&id)?.facts;
    Some(ViewMember { id, peer_addr: facts.peer_addr, hall: facts.hall.clone() })
}

fn view_pools(state: &State, changed: &[(&PoolName, &PoolKey)]) -> Vec<ViewPool> {
    let mut pools: Vec<ViewPool> =
        changed.iter().filter_map(|(_, key)| view_pool(state, &state.pools[**key])).collect();
    let index = |key: PoolKey| changed.iter().position(|(_, k)| **k == key);
    for vm in state.vm_keys.values().map(|&key| &state.vms[key]) {
        let Some(pool) = index(vm.pool).and_then(|i| pools.get_mut(i)) else {
            continue;
        };
        if vm.is_available() {
            pool.vms.push(ViewVm { name: vm.name.clone(), facts: vm.facts.clone() });
        }
        if let Stage::Draining(_) = vm.stage {
            pool.drains.push(ViewDrain { name: vm.name.clone(), revision: vm.revision });
        }
    }
    pools
}

fn view_pool(state: &State, pool: &Pool) -> Option<ViewPool> {
    let workspace = pool.workspace.as_ref()?;
    let template = state.templates.get(&workspace.template)?.template.clone();
    Some(ViewPool {
        name: pool.name.clone()?,
        tier: workspace.tier,
        template,
        vms: Vec::new(),
        drains: Vec::new(),
    })
}
