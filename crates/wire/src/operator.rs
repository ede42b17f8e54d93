//! The protocol between the operators' command line and a steward.

use serde::{Deserialize, Serialize};
use thistle_model::{
    JobName, MemberId, Offset, PoolName, Record, RecordId, Revision, TeamName, Template,
    TemplateName, VmFacts, VmName, Workspace,
};

use crate::dial::reconnecting_client;

/// The outcome of a submitted record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Submitted {
    /// It was read back and accepted.
    Accepted {
        /// Its offset in the log.
        offset: Offset,
        /// The revision that it created.
        revision: Revision,
    },
    /// It was read back and rejected.
    Rejected {
        /// Its offset in the log.
        offset: Offset,
        /// The reason, with a remedy.
        reason: String,
        /// Whether the reason is that another change came first.
        stale: bool,
    },
    /// It was not read back in time and may still take effect; query the outcome by its id.
    Unknown,
}

/// A template, as shown in tables and diffs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TemplateInfo {
    /// Its name.
    pub name: TemplateName,
    /// Its revision.
    pub revision: Revision,
    /// Its content.
    pub template: Template,
}

/// A workspace with its pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceInfo {
    /// Its name.
    pub name: PoolName,
    /// Its revision.
    pub revision: Revision,
    /// Its parameters.
    pub workspace: Workspace,
    /// The number of VMs that belong to it.
    pub size: u32,
    /// The number of VMs that may receive new work.
    pub available: u32,
}

/// A VM, as shown in tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Its name.
    pub name: VmName,
    /// Its revision.
    pub revision: Revision,
    /// Its properties in the platform's list.
    pub facts: VmFacts,
    /// Its pool, or `reserve`.
    pub pool: String,
    /// Its stage of leaving service, in words.
    pub stage: String,
    /// Whether an operator forbids new work.
    pub cordoned: bool,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
    /// The number of the last wave that maintained it.
    pub wave: u32,
}

/// A member, as shown in tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its identity.
    pub id: MemberId,
    /// The name of its entry VM.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Whether it votes.
    pub voter: bool,
    /// Its state, joined or gone, in words.
    pub state: String,
    /// The offset of the view that its entry uses; `None` without recent contact.
    pub entry_offset: Option<Offset>,
    /// Whether its entry takes requests.
    pub ready: bool,
}

/// The wave, as shown in tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveInfo {
    /// Its number.
    pub number: u32,
    /// Its revision.
    pub revision: Revision,
    /// Whether it is paused.
    pub paused: bool,
    /// The number of VMs that are not maintained yet.
    pub left: u64,
    /// The number of VMs that are being drained or rebooted for it.
    pub under_way: u64,
    /// The number of all VMs.
    pub total: u64,
}

/// The state of the system as one steward sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusInfo {
    /// The steward that replies.
    pub member: MemberId,
    /// The member on duty, which runs the planner.
    pub duty: Option<MemberId>,
    /// The next offset to apply.
    pub offset: Offset,
    /// Whether the log can be read.
    pub log_up: bool,
    /// Whether this steward has proof that it is a member.
    pub proof: bool,
    /// The number of log entries that could not be decoded.
    pub malformed: u64,
    /// The number of snapshots whose digest differed from this steward's own.
    pub digest_mismatches: u64,
    /// The revision of the voters.
    pub voters: Revision,
    /// Whether a change of voters is in progress. Until it is recorded, a majority of both sets is needed, and
    /// the loss of another voter may cost the quorum.
    pub voters_changing: bool,
    /// The members.
    pub members: Vec<MemberInfo>,
    /// The number of VMs in the reserve that are fit for use.
    pub reserve: u32,
    /// The number of VMs.
    pub vms: u32,
    /// The wave.
    pub wave: WaveInfo,
}

/// The explanation why a VM can or cannot leave service now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The VM.
    pub vm: VmName,
    /// Its pool, or `reserve`.
    pub pool: String,
    /// Its stage, in words.
    pub stage: String,
    /// Whether it can leave service now.
    pub can_leave: bool,
    /// The reasons, each with a remedy.
    pub reasons: Vec<String>,
}

/// A step that the planner would take now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStep {
    /// The step.
    pub step: String,
    /// The VM.
    pub vm: String,
    /// The reason.
    pub why: String,
}

/// A job, as shown in tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobInfo {
    /// Its name.
    pub name: JobName,
    /// Its pool.
    pub pool: PoolName,
    /// Its team.
    pub team: TeamName,
    /// Its state, in words.
    pub state: String,
    /// The number of its starts so far.
    pub starts: u32,
    /// The reason why it can never run, if there is one.
    pub cannot_run: Option<String>,
}

/// The quota of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaInfo {
    /// Its revision; 0 when there is none.
    pub revision: Revision,
    /// The number of slots that may be in use at one time.
    pub slots: u32,
    /// The number of slots in use.
    pub used: u32,
}

/// Calls that a steward serves to operators.
#[tarpc::service]
pub trait Operator {
    /// Appends a record and waits until it is read back.
    async fn submit(record: Record) -> Submitted;
    /// Returns the outcome of a record, if this steward still has it.
    async fn outcome(id: RecordId) -> Option<Submitted>;
    /// Returns the state of the system.
    async fn status() -> StatusInfo;
    /// Returns all templates.
    async fn templates() -> Vec<TemplateInfo>;
    /// Returns all workspaces.
    async fn workspaces() -> Vec<WorkspaceInfo>;
    /// Returns a page of the VMs after `after`, ordered by name.
    async fn vms(after: Option<VmName>) -> Vec<VmInfo>;
    /// Explains why a VM can or cannot leave service now.
    async fn explain(vm: VmName) -> Option<Explanation>;
    /// Returns the steps that the planner would take now.
    async fn plan() -> Vec<PlannedStep>;
    /// Returns a page of the jobs after `after`, ordered by name.
    async fn jobs(after: Option<JobName>) -> Vec<JobInfo>;
    /// Returns a team's quota.
    async fn quota(team: TeamName) -> QuotaInfo;
}

reconnecting_client!(
    /// A connection for a steward's calls for operators, opened on first use and again after a failure.
    OperatorConnection,
    OperatorClient
);
