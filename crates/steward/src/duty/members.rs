//! Proposes the removal of unresponsive members and changes of the set of voters.

use std::collections::{BTreeMap, BTreeSet};

use thistle_fold::MemberState;
use thistle_model::clock::Instant;
use thistle_model::{Change, HallName, MemberId};

use crate::core::Core;
use crate::shared::Shared;

/// The number of voters if there are enough members.
const WANTED_VOTERS: usize = 5;

/// Returns the removals of members that are due; if there are none, the next change of voters.
pub fn proposals(shared: &Shared) -> Vec<Change> {
    let core = shared.core();
    let now = Instant::now();
    let mut changes = gone_changes(&core, now);
    changes.extend(fenced_changes(shared, &core, now));
    if changes.is_empty() {
        changes.extend(voters_change(shared, &core, now));
    }
    changes
}

/// Returns a change for each member that a quorum of voters states to be gone.
fn gone_changes(core: &Core, now: Instant) -> Vec<Change> {
    let voters = &core.state.voters;
    let joined = core.state.members.iter().filter(|(_, m)| m.state == MemberState::Joined);
    let mut changes = Vec::new();
    for (&member, _) in joined.filter(|(id, _)| **id != core.me) {
        let statements = voters_stating_gone(core, member, now);
        if !voters.current.is_empty() && voters.is_quorum(&statements) {
            log::info!("decision step=member-gone member={member} statements={}", statements.len());
            changes.push(Change::MemberGone { member, voters: voters.revision, statements });
        }
    }
    changes
}

/// Returns the members that state that `member` is gone: they have no outstanding promise to it and will give none.
fn voters_stating_gone(core: &Core, member: MemberId, now: Instant) -> Vec<MemberId> {
    let has_stated = |id: &&MemberId| {
        core.peers.get(id).is_some_and(|p| {
            p.heartbeat.voters == core.state.voters.revision && p.heartbeat.stated.contains(&member)
        })
    };
    let mut ids: Vec<_> = core.peers.keys().filter(has_stated).copied().collect();
    if core.promises.stated_gone(now).contains(&member) {
        ids.push(core.me);
    }
    ids
}

/// Returns a change for each gone member whose fence time has passed by this steward's clock.
fn fenced_changes(shared: &Shared, core: &Core, now: Instant) -> Vec<Change> {
    let fence = shared.settings.fence.0;
    let past_fence = core.gone_read_at.iter().filter(|&(_, &read)| now.since(read) > fence);
    past_fence.map(|(&member, _)| Change::MemberFenced { member }).collect()
}

/// Returns the next change towards the wanted set of voters.
fn voters_change(shared: &Shared, core: &Core, now: Instant) -> Option<Change> {
    let base = core.state.voters.revision;
    if core.state.voters.next.is_some() {
        let adopted = adopting_members(core);
        if core.state.voters.is_quorum(&adopted) {
            log::info!("decision step=voters-committed adopted={}", adopted.len());
            return Some(Change::VotersCommitted { base, adopted });
        }
    }
    let wanted = wanted_voters(shared, core, now);
    let target = core.state.voters.next.as_ref().unwrap_or(&core.state.voters.current);
    let target: BTreeSet<_> = target.iter().copied().collect();
    if wanted == target || wanted.is_empty() {
        return None;
    }
    log::info!("decision step=voters-proposed voters={wanted:?}");
    Some(Change::VotersProposed { base, voters: wanted.into_iter().collect() })
}

/// Returns the members that have applied the proposed set and taken over the claims.
fn adopting_members(core: &Core) -> Vec<MemberId> {
    let revision = core.state.voters.revision;
    let has_adopted = |id: &&MemberId| {
        let peer = core.peers.get(id);
        peer.is_some_and(|p| p.heartbeat.voters == revision && p.heartbeat.merged == revision)
    };
    let mut ids: Vec<_> = core.peers.keys().filter(has_adopted).copied().collect();
    if core.merged == revision {
        ids.push(core.me);
    }
    ids
}

/// Returns the wanted set of voters: the current voters that are joined, and more live members from
/// the data halls with the fewest voters, up to an odd number where possible.
fn wanted_voters(shared: &Shared, core: &Core, now: Instant) -> BTreeSet<MemberId> {
    let contact_timeout = shared.settings.silence.0;
    let is_live = |id: MemberId| {
        let member = core.state.members.get(&id);
        member.is_some_and(|m| m.state == MemberState::Joined)
            && (id == core.me || core.promises.had_contact_within(id, contact_timeout, now))
    };
    let members = &core.state.members;
    let mut live: Vec<_> = members.keys().copied().filter(|&id| is_live(id)).collect();
    let voters = &core.state.voters;
    // An unresponsive voter keeps its vote until it is gone, so that a short pause changes nothing.
    let kept = voters
        .current
        .iter()
        .filter(|id| members.get(id).is_some_and(|m| m.state == MemberState::Joined));
    let mut set: BTreeSet<MemberId> = kept.copied().collect();
    live.retain(|id| !set.contains(id));
    let total = set.len() + live.len();
    let size =
        WANTED_VOTERS.min(if total.is_multiple_of(2) { total.saturating_sub(1) } else { total });
    while set.len() < size.max(1) {
        let voters_per_hall = members_per_hall(core, &set);
        let hall = |id: &MemberId| &members[id].facts.hall;
        let count = |id: &MemberId| voters_per_hall.get(hall(id)).copied().unwrap_or(0);
        let Some(at) = (0..live.len()).min_by_key(|&i| (count(&live[i]), live[i])) else {
            break;
        };
        set.insert(live.swap_remove(at));
    }
    set
}

fn members_per_hall<'a>(core: &'a Core, set: &BTreeSet<MemberId>) -> BTreeMap<&'a HallName, usize> {
    let mut counts = BTreeMap::new();
    for member in set.iter().filter_map(|id| core.state.members.get(id)) {
        *counts.entry(&member.facts.hall).or_default() += 1;
    }
    counts
}
