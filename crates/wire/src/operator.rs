//! Between the operators' command line and a steward.

use serde::{Deserialize, Serialize};
use thistle_model::{
    JobName, MemberId, Offset, PoolName, Record, RecordId, Revision, TeamName, Template,
    TemplateName, VmFacts, VmName, Workspace,
};

use crate::dial::redialling_client;

/// What became of a submitted record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Submitted {
    /// It was read back, accepted.
    Accepted {
        /// Where it stands in the log.
        offset: Offset,
        /// The revision that it made.
        revision: Revision,
    },
    /// It was read back, rejected.
    Rejected {
        /// Where it stands in the log.
        offset: Offset,
        /// Why, with the remedy.
        reason: String,
        /// Whether another change came first.
        stale: bool,
    },
    /// It was not read back in time: it may still take effect. Ask again with its id.
    Unknown,
}

/// A template for tables and diffs.
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
    /// VMs that belong to it.
    pub size: u32,
    /// VMs that may be sent new work.
    pub available: u32,
}

/// A VM for tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Its name.
    pub name: VmName,
    /// Its revision.
    pub revision: Revision,
    /// What the platform says of it.
    pub facts: VmFacts,
    /// Its pool, or `reserve`.
    pub pool: String,
    /// How far it is on its way out, in words.
    pub stage: String,
    /// Whether an operator forbids new work.
    pub cordoned: bool,
    /// Whether the platform shows it as leaving.
    pub leaving: bool,
    /// The number of the last wave that maintained it.
    pub wave: u32,
}

/// A member for tables.
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
    /// Joined or gone, in words.
    pub state: String,
    /// The offset up to which its entry uses the view; `None` when it was not heard of lately.
    pub entry_offset: Option<Offset>,
    /// Whether its entry takes requests.
    pub ready: bool,
}

/// The wave for tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveInfo {
    /// Its number.
    pub number: u32,
    /// Its revision.
    pub revision: Revision,
    /// Whether it is paused.
    pub paused: bool,
    /// VMs that it has yet to maintain.
    pub left: u64,
    /// VMs that are on their way out or being rebooted for it.
    pub under_way: u64,
    /// All VMs.
    pub total: u64,
}

/// The state of things as one steward sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusInfo {
    /// The steward that answers.
    pub member: MemberId,
    /// The member that plans.
    pub duty: Option<MemberId>,
    /// The next offset to apply.
    pub offset: Offset,
    /// Whether the log can be read.
    pub log_up: bool,
    /// Whether this steward has proof that it is a member.
    pub proof: bool,
    /// Entries of the log that could not be decoded.
    pub malformed: u64,
    /// Snapshots whose digest differed from this steward's own.
    pub digest_mismatches: u64,
    /// Revision of the voters.
    pub voters: Revision,
    /// A change of voters is under way: until it is recorded, a majority of both sets is needed, and
    /// another voter that is lost may cost the quorum.
    pub voters_changing: bool,
    /// Members.
    pub members: Vec<MemberInfo>,
    /// VMs in the reserve that are fit for use.
    pub reserve: u32,
    /// VMs.
    pub vms: u32,
    /// The wave.
    pub wave: WaveInfo,
}

/// Why a VM can or cannot leave now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The VM.
    pub vm: VmName,
    /// Its pool, or `reserve`.
    pub pool: String,
    /// Its stage, in words.
    pub stage: String,
    /// Whether it could leave now.
    pub can_leave: bool,
    /// The reasons, each with its remedy.
    pub reasons: Vec<String>,
}

/// One step that the planner would take now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStep {
    /// The step.
    pub step: String,
    /// The VM.
    pub vm: String,
    /// Why.
    pub why: String,
}

/// A job for tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobInfo {
    /// Its name.
    pub name: JobName,
    /// Its pool.
    pub pool: PoolName,
    /// Its team.
    pub team: TeamName,
    /// Where it stands, in words.
    pub state: String,
    /// Its starts so far.
    pub starts: u32,
    /// Why it can never run, if so.
    pub cannot_run: Option<String>,
}

/// The quota of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaInfo {
    /// Its revision; 0 when there is none.
    pub revision: Revision,
    /// Slots that may be in use at one time.
    pub slots: u32,
    /// Slots in use.
    pub used: u32,
}

/// Calls that a steward serves to operators.
#[tarpc::service]
pub trait Operator {
    /// Appends a record and waits until it is read back.
    async fn submit(record: Record) -> Submitted;
    /// Returns what became of a record, if this steward remembers.
    async fn outcome(id: RecordId) -> Option<Submitted>;
    /// Returns the state of things.
    async fn status() -> StatusInfo;
    /// Returns all templates.
    async fn templates() -> Vec<TemplateInfo>;
    /// Returns all workspaces.
    async fn workspaces() -> Vec<WorkspaceInfo>;
    /// Returns VMs after `after` in the order of names, a page at a time.
    async fn vms(after: Option<VmName>) -> Vec<VmInfo>;
    /// Explains why a VM can or cannot leave now.
    async fn explain(vm: VmName) -> Option<Explanation>;
    /// Returns the steps that the planner would take now.
    async fn plan() -> Vec<PlannedStep>;
    /// Returns jobs after `after` in the order of names, a page at a time.
    async fn jobs(after: Option<JobName>) -> Vec<JobInfo>;
    /// Returns a team's quota.
    async fn quota(team: TeamName) -> QuotaInfo;
}

redialling_client!(
    /// A client of a steward's calls for operators.
    OperatorLine,
    OperatorClient
);
