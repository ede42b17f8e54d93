//! The protocol between stewards, and from entries to voters and to the homes of VMs: heartbeats, claims and slots.

use serde::{Deserialize, Serialize};
use thistle_model::{MemberId, Offset, Revision, VmName};
use thistle_request::claim::{AttemptId, Claim, ClaimReply, KeptAnswer, KeyedClaim};
use thistle_request::key::ClaimKey;
use thistle_request::router::DrainAck;
use thistle_request::slot_home::{SlotGrant, SlotWant};

use crate::dial::reconnecting_client;

/// The state of an entry, as reported by the steward on its VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The offset of the view that the entry uses.
    pub offset: Offset,
    /// Whether the entry takes requests.
    pub ready: bool,
    /// The drains that the entry acknowledges.
    pub acks: Vec<DrainAck>,
}

/// A heartbeat from a member to a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: MemberId,
    /// The next offset that the sender will apply.
    pub offset: Offset,
    /// The sender's revision of the voters.
    pub voters: Revision,
    /// The revision of the voters whose claims the sender has merged into its own.
    pub merged: Revision,
    /// Whether the sender can read the log.
    pub log_up: bool,
    /// Members that the sender states to be gone: it has no promise to them outstanding and gives none.
    pub stated: Vec<MemberId>,
    /// The state of the sender's entry.
    pub entry: EntryReport,
    /// VMs that are leaving according to the sender.
    pub leaving: Vec<VmName>,
}

/// A voter's reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The voter.
    pub from: MemberId,
    /// The next offset that the voter will apply.
    pub offset: Offset,
    /// The voter's revision of the voters.
    pub voters: Revision,
    /// Whether the voter promises, for the fence time, not to state that the sender is gone.
    pub promise: bool,
    /// Whether the voter has stated that the sender is gone; the sender must rejoin.
    pub stated: bool,
    /// Whether the voter can read the log.
    pub log_up: bool,
    /// VMs that are leaving according to the voter.
    pub leaving: Vec<VmName>,
}

/// A claim request of an attempt to a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The voter that the request is for. Another voter that now runs at its address must not reply for it.
    pub to: MemberId,
    /// The key.
    pub key: ClaimKey,
    /// The requested claim.
    pub claim: Claim,
    /// The requesting entry's revision of the voters.
    pub voters: Revision,
}

/// Log entries from a peer, for a steward that cannot read the log itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entries {
    /// The entries from the requested offset on.
    Some(Vec<Vec<u8>>),
    /// They are no longer available; the whole state must be fetched.
    Expired,
}

/// A part of the encoded state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImagePart {
    /// The member that replies.
    pub from: MemberId,
    /// The offset of the state.
    pub at: Offset,
    /// The size of the whole state, in bytes.
    pub total: u64,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

/// Calls that a steward serves to its peers.
#[tarpc::service]
pub trait Peer {
    /// Reports that the sender is alive, and requests a promise.
    async fn heartbeat(beat: Heartbeat) -> HeartbeatReply;
    /// Forwards VMs that are leaving, without waiting for a heartbeat.
    async fn leaving(vms: Vec<VmName>);
    /// Returns entries of the log that this steward has read.
    async fn entries(from: Offset) -> Entries;
    /// Returns a part of this steward's encoded state, from a byte offset on.
    async fn image(from_byte: u64) -> ImagePart;
    /// Requests a claim.
    async fn claim(req: ClaimRequest) -> ClaimReply;
    /// Releases the claim of an attempt that sent nothing.
    async fn release(key: ClaimKey, attempt: AttemptId);
    /// Stores the answer to an attempt.
    async fn settle(key: ClaimKey, attempt: AttemptId, answer: KeptAnswer);
    /// Returns the claims of voter `to` after a key, for a voter at this revision; `None` when this
    /// steward is another member or has not reached the revision.
    async fn claims(
        to: MemberId,
        voters: Revision,
        after: Option<ClaimKey>,
    ) -> Option<Vec<KeyedClaim>>;
    /// Requests slots from the home of VMs.
    async fn slots(from: MemberId, wants: Vec<SlotWant>) -> Vec<SlotGrant>;
}

reconnecting_client!(
    /// A connection for a steward's calls for peers, opened on first use and again after a failure.
    PeerConnection,
    PeerClient
);
