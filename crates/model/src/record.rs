//! Records of the platform's log. All agreed state is computed by folding them in order.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::job::{JobEnd, JobSpec, JobStart};
use crate::{
    DrainReason, JobName, MemberFacts, MemberId, PlatformStatus, PoolName, TeamName, Template,
    TemplateName, VmFacts, VmName, Workspace,
};

/// The largest entry that is appended to the log, in bytes.
pub const MAX_ENTRY_BYTES: usize = 64 * 1024;

/// The position of an entry in the log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The revision of an object: the count of accepted changes when it last changed; 0 means never.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision of an object that does not exist yet.
    pub const NONE: Self = Self(0);
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The identity of a record: its writer and the writer's sequence number.
///
/// A writer resends a record under the same id until it has read it back, and only then uses the
/// next number, so a reader applies each id once and in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// A random number that the writer draws at startup.
    pub writer: u64,
    /// The writer's sequence number, from 1.
    pub seq: u64,
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.writer, self.seq)
    }
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its identity.
    pub id: RecordId,
    /// The writer's wall clock in milliseconds, for display and for the age of maintenance.
    pub at_ms: u64,
    /// The proposed change; the fold decides whether it takes effect.
    pub change: Change,
}

/// A change that a record proposes; `base` is the revision of the object it was computed from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// An operator publishes a template.
    PublishTemplate {
        /// Its name.
        name: TemplateName,
        /// Its revision as the operator saw it.
        base: Revision,
        /// Its content.
        template: Template,
    },
    /// An operator sets a workspace's parameters.
    SetWorkspace {
        /// The workspace.
        name: PoolName,
        /// Its revision as the operator saw it.
        base: Revision,
        /// Its parameters.
        workspace: Workspace,
    },
    /// An operator sets the slots that a team's jobs may use at one time.
    SetQuota {
        /// The team.
        team: TeamName,
        /// Its revision as the operator saw it.
        base: Revision,
        /// The number of slots that may be in use at one time.
        slots: u32,
    },
    /// The VM list shows a new VM, or a change of one.
    VmSeen {
        /// The VM.
        vm: VmName,
        /// Its properties in the list.
        facts: VmFacts,
        /// Live or leaving.
        status: PlatformStatus,
    },
    /// The VM list no longer shows a VM.
    VmGone {
        /// The VM.
        vm: VmName,
        /// Its revision.
        base: Revision,
    },
    /// An operator forbids or allows new work on a VM.
    Cordon {
        /// The VM.
        vm: VmName,
        /// Its revision.
        base: Revision,
        /// Forbidden when true.
        on: bool,
        /// Whether the operator overrides the availability budget.
        force: bool,
    },
    /// A VM gets no new work and finishes what it has.
    Drain {
        /// The VM.
        vm: VmName,
        /// Its revision.
        base: Revision,
        /// Why.
        reason: DrainReason,
    },
    /// A drain is cancelled and the VM returns to service.
    GiveBack {
        /// The VM.
        vm: VmName,
        /// Its revision.
        base: Revision,
    },
    /// Every member's entry sends nothing to the VM and has nothing in flight there.
    Drained {
        /// The VM.
        vm: VmName,
        /// Its revision, that of the drain.
        base: Revision,
        /// The members that acknowledged.
        acks: Vec<MemberId>,
    },
    /// A drained VM, or one of the reserve, joins a pool.
    Assign {
        /// The VM.
        vm: VmName,
        /// Its revision.
        base: Revision,
        /// The pool; `None` for the reserve.
        to: Option<PoolName>,
    },
    /// A drained VM is handed over to the platform for its reboot.
    MaintenanceStarted {
        /// The VM.
        vm: VmName,
        /// Its revision.
        base: Revision,
    },
    /// A VM is back from its reboot.
    MaintenanceDone {
        /// The VM.
        vm: VmName,
        /// Its revision.
        base: Revision,
    },
    /// An operator starts a maintenance wave over the whole fleet.
    WaveStart {
        /// The wave's revision as the operator saw it.
        base: Revision,
    },
    /// An operator pauses or resumes the wave.
    WavePause {
        /// The wave's revision.
        base: Revision,
        /// Paused when true.
        on: bool,
    },
    /// A steward joins.
    MemberJoin {
        /// Its identity.
        member: MemberId,
        /// Its own description of itself.
        facts: MemberFacts,
    },
    /// A steward reports that its entry has stopped permanently.
    MemberLeave {
        /// Its identity.
        member: MemberId,
    },
    /// A quorum of voters states that no promise of theirs to a member is outstanding.
    MemberGone {
        /// The unresponsive member.
        member: MemberId,
        /// The revision of the set of voters that state it.
        voters: Revision,
        /// The voters that state it.
        statements: Vec<MemberId>,
    },
    /// The fence time has passed since a `MemberGone` was read.
    MemberFenced {
        /// The member.
        member: MemberId,
    },
    /// An operator confirms that a member's VM is switched off permanently.
    MemberForget {
        /// The member.
        member: MemberId,
    },
    /// A new set of voters is proposed; until it is committed, both sets must agree.
    VotersProposed {
        /// The revision of the current voters.
        base: Revision,
        /// The new set.
        voters: Vec<MemberId>,
    },
    /// A quorum of both sets has adopted the proposal and merged the claims.
    VotersCommitted {
        /// The revision of the proposal.
        base: Revision,
        /// The voters that adopted it.
        adopted: Vec<MemberId>,
    },
    /// An operator appoints new voters after a quorum is lost permanently, together with its claims.
    VotersReset {
        /// The revision of the current voters.
        base: Revision,
        /// The new set.
        voters: Vec<MemberId>,
    },
    /// A caller submits a job.
    JobSubmit {
        /// The declared properties of the job.
        spec: JobSpec,
    },
    /// A job starts; recorded before the start is sent to the worker.
    JobStarted {
        /// The start.
        start: JobStart,
    },
    /// A start of a job has ended.
    JobEnded {
        /// The job.
        job: JobName,
        /// The number of the start.
        attempt: u32,
        /// How it ended.
        end: JobEnd,
    },
    /// A caller cancels jobs.
    JobCancel {
        /// The jobs.
        jobs: Vec<JobName>,
    },
    /// A part of a snapshot of the state at an earlier offset.
    SnapshotChunk {
        /// The last offset that the snapshot covers.
        at: Offset,
        /// The digest of the state, in hexadecimal.
        digest: String,
        /// The number of this chunk, from 0.
        index: u32,
        /// The number of chunks of the snapshot.
        count: u32,
        /// The bytes of the chunk in base64.
        data: String,
    },
}

/// Encodes a batch of records as one entry of the log.
pub fn encode(records: &[Record]) -> Vec<u8> {
    serde_json::to_vec(records).unwrap_or_default()
}

/// Decodes an entry of the log; `None` when it is malformed.
pub fn decode(entry: &[u8]) -> Option<Vec<Record>> {
    if entry.len() > MAX_ENTRY_BYTES {
        return None;
    }
    serde_json::from_slice(entry).ok()
}
