//! The view: the part of the agreed state that a steward serves to the entry on its VM.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{HallName, MemberId, Offset, PoolName, Revision, Template, Tier, VmFacts, VmName};

/// A VM that may receive work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewVm {
    /// Its name.
    pub name: VmName,
    /// Its properties in the platform's list.
    pub facts: VmFacts,
}

/// A VM that gets no new work; the entry acknowledges the drain once it has nothing in flight there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDrain {
    /// Its name.
    pub name: VmName,
    /// The revision of the drain.
    pub revision: Revision,
}

/// A pool with what an entry needs to route requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewPool {
    /// The name of its workspace.
    pub name: PoolName,
    /// Its tier.
    pub tier: Tier,
    /// The template with its services.
    pub template: Arc<Template>,
    /// The VMs that may receive work.
    pub vms: Vec<ViewVm>,
    /// The VMs that are drained.
    pub drains: Vec<ViewDrain>,
}

/// A member with what an entry needs to request claims of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewMember {
    /// Its identity.
    pub id: MemberId,
    /// The address on which it serves peers.
    pub peer_addr: std::net::SocketAddr,
    /// Its data hall.
    pub hall: HallName,
}

/// The sets of voters. Claims and promises need a majority of each set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// The revision at which the sets last changed.
    pub revision: Revision,
    /// The current set.
    pub current: Vec<MemberId>,
    /// The proposed set, while a change of voters is in progress.
    pub next: Option<Vec<MemberId>>,
    /// The wall-clock time, in milliseconds, before which claims may have been lost by a reset.
    pub claims_from_ms: u64,
}

impl Voters {
    /// Returns whether `ids` hold a majority of the current set, and of the proposed set if there is one.
    pub fn is_quorum(&self, ids: &[MemberId]) -> bool {
        is_majority(&self.current, ids) && self.next.as_ref().is_none_or(|n| is_majority(n, ids))
    }

    /// Returns whether `id` is a voter of either set.
    pub fn contains(&self, id: MemberId) -> bool {
        self.current.contains(&id) || self.next.as_ref().is_some_and(|n| n.contains(&id))
    }

    /// Returns the voters of both sets, each once.
    pub fn all(&self) -> Vec<MemberId> {
        let mut ids = self.current.clone();
        let next = self.next.iter().flatten();
        ids.extend(next.filter(|id| !self.current.contains(id)));
        ids
    }
}

/// Returns whether `ids` hold a majority of `set`; always true for an empty set.
pub fn is_majority(set: &[MemberId], ids: &[MemberId]) -> bool {
    let held = set.iter().filter(|id| ids.contains(id)).count();
    set.is_empty() || held * 2 > set.len()
}

/// The changes of the view since the last request of the entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// The log offset up to which the view is folded.
    pub offset: Offset,
    /// The pools that changed.
    pub pools: Vec<ViewPool>,
    /// VMs that are known to be leaving although the log does not record it yet.
    pub leaving: Vec<VmName>,
    /// The sets of voters.
    pub voters: Voters,
    /// The addresses of the voters.
    pub voter_addrs: Vec<ViewMember>,
    /// The members that grant slots.
    pub members: Vec<ViewMember>,
}
