//! Serves the calls of peers and entries.

use std::sync::Arc;

use tarpc::context::Context;
use thistle_fold::{MemberState, image};
use thistle_model::clock::Instant;
use thistle_model::{MemberId, Offset, Revision, VmName, rendezvous};
use thistle_request::claim::{AttemptId, ClaimReply, KeptAnswer, KeyedClaim};
use thistle_request::key::ClaimKey;
use thistle_request::slot_home::{SLOT_LEASE, SlotGrant, SlotWant};
use thistle_wire::peer::{ClaimRequest, Entries, Heartbeat, HeartbeatReply, ImagePart, Peer};

use crate::core::{Core, PeerReport};
use crate::heartbeat;
use crate::shared::Shared;

/// The maximum number of bytes in a part of the encoded state.
const PART_BYTES: usize = 256 * 1024;

/// The server for peers and entries.
#[derive(Clone)]
pub struct PeerServer {
    shared: Arc<Shared>,
}

impl PeerServer {
    /// Creates the server.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Adds hints and sends the new ones to the other voters.
    fn add_hints(&self, vms: Vec<VmName>) {
        let new = self.shared.core().hints.add(vms, Instant::now());
        if new.is_empty() {
            return;
        }
        log::info!("hint vms={new:?} state=leaving");
        self.shared.notify();
        heartbeat::broadcast_hints(&self.shared, &new);
    }
}

impl Peer for PeerServer {
    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> HeartbeatReply {
        self.add_hints(heartbeat.leaving.clone());
        let now = Instant::now();
        let mut core = self.shared.core();
        let from = heartbeat.from;
        let is_voter = core.state.voters.contains(core.me);
        let is_known = core.state.members.contains_key(&from);
        let promise = is_voter && is_known && core.promises.on_heartbeat(from, now);
        if is_known {
            core.peers.insert(from, PeerReport { last_contact: now, heartbeat });
        }
        HeartbeatReply {
            from: core.me,
            offset: core.state.next,
            voters: core.state.voters.revision,
            promise,
            stated: core.promises.is_refused(from),
            log_up: core.log_up,
            leaving: core.hints.all(),
        }
    }

    async fn leaving(self, _: Context, vms: Vec<VmName>) {
        self.add_hints(vms);
    }

    async fn entries(self, _: Context, from: Offset) -> Entries {
        let core = self.shared.core();
        core.recent.page_from(from).map_or(Entries::Expired, Entries::Some)
    }

    async fn image(self, _: Context, from_byte: u64) -> ImagePart {
        let core = self.shared.core();
        let at = core.state.next;
        if from_byte == u64::MAX {
            return ImagePart { from: core.me, at, total: 0, bytes: Vec::new() };
        }
        let encoded = image::encode(&core.state);
        let from = usize::try_from(from_byte).unwrap_or(usize::MAX).min(encoded.len());
        let to = (from + PART_BYTES).min(encoded.len());
        ImagePart {
            from: core.me,
            at,
            total: encoded.len() as u64,
            bytes: encoded[from..to].to_vec(),
        }
    }

    async fn claim(self, _: Context, req: ClaimRequest) -> ClaimReply {
        let core = self.shared.core();
        let current = core.state.voters.revision;
        if req.to != core.me || !core.state.voters.contains(core.me) {
            return ClaimReply::WrongRevision(current);
        }
        let mut claims = self.shared.claims();
        claims.claim(req.key, &req.claim, req.voters, current, Instant::now())
    }

    async fn release(self, _: Context, key: ClaimKey, attempt: AttemptId) {
        self.shared.claims().release(key, attempt);
    }

    async fn settle(self, _: Context, key: ClaimKey, attempt: AttemptId, answer: KeptAnswer) {
        self.shared.claims().store_answer(key, attempt, answer);
    }

    async fn claims(
        self,
        _: Context,
        to: MemberId,
        voters: Revision,
        after: Option<ClaimKey>,
    ) -> Option<Vec<KeyedClaim>> {
        let core = self.shared.core();
        if to != core.me || core.state.voters.revision < voters {
            return None;
        }
        Some(self.shared.claims().page(after))
    }

    async fn slots(self, _: Context, from: MemberId, wants: Vec<SlotWant>) -> Vec<SlotGrant> {
        let core = self.shared.core();
        let now = Instant::now();
        let grants_from = core.members_changed + self.shared.settings.fence.0 + SLOT_LEASE;
        let joined = joined_members(&core);
        let mut slot_home = self.shared.slot_home();
        slot_home.retain(|vm| is_home(&core, &joined, vm));
        let mut grant = |want: &SlotWant| {
            let slots = slots_for_requests(&core, &want.vm)?;
            if !is_home(&core, &joined, &want.vm) {
                return None;
            }
            slot_home.become_home(&want.vm, grants_from);
            slot_home.grant(from, want, slots, now)
        };
        wants.iter().filter_map(&mut grant).collect()
    }
}

/// Returns the members that are joined.
fn joined_members(core: &Core) -> Vec<MemberId> {
    let members = core.state.members.iter();
    members.filter(|(_, m)| m.state == MemberState::Joined).map(|(&id, _)| id).collect()
}

/// Returns whether this steward is the home of a VM, which grants its slots.
fn is_home(core: &Core, joined: &[MemberId], vm: &VmName) -> bool {
    let home = rendezvous::pick(vm.as_str().as_bytes(), joined.iter().copied(), |id| id.0);
    home == Some(core.me)
}

/// Returns the number of a VM's slots that are not used by jobs, or `None` if the VM is unknown.
fn slots_for_requests(core: &Core, vm: &VmName) -> Option<u16> {
    let key = core.state.vm_key(vm).ok()?;
    let vm = &core.state.vms[key];
    let jobs = u16::try_from(vm.job_slots).unwrap_or(u16::MAX);
    Some(vm.facts.slots.saturating_sub(jobs))
}
