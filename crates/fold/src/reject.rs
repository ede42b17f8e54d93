//! The reasons for which records are rejected, with messages that name the remedy.

use std::fmt;

use thistle_model::parameters::ParameterError;
use thistle_model::{JobName, MemberId, PoolName, Revision, TemplateName, VmName};

/// The reason for which the fold rejects a record; every reader rejects the record for the same
/// reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reject {
    /// The record's ID was read before.
    Duplicate,
    /// The object changed after the writer read it.
    Stale {
        /// The object that changed.
        what: String,
        /// The revision on which the change is based.
        base: Revision,
        /// The current revision.
        current: Revision,
    },
    /// A parameter is out of range.
    Invalid(ParameterError),
    /// The template does not exist.
    NoSuchTemplate(TemplateName),
    /// The workspace does not exist.
    NoSuchPool(PoolName),
    /// The VM does not exist.
    NoSuchVm(VmName),
    /// The member does not exist.
    NoSuchMember(MemberId),
    /// The job does not exist.
    NoSuchJob(JobName),
    /// The change would make more VMs of a pool unavailable than its availability budget allows.
    BudgetSpent {
        /// The pool.
        pool: PoolName,
        /// The number of available VMs.
        available: u32,
        /// The number of VMs that must stay available.
        floor: u32,
    },
    /// The VM's stage does not allow the step.
    WrongStage {
        /// The VM.
        vm: VmName,
        /// The current stage as text.
        stage: String,
    },
    /// Members have not acknowledged the drain.
    MissingAcks(Vec<MemberId>),
    /// Jobs still run on the VM.
    JobsRunning(VmName, u32),
    /// The statements are not from a quorum of the voters.
    NoQuorum,
    /// The member's state does not allow the step.
    WrongMemberState(MemberId),
    /// The set of voters is empty or too large, or has a duplicate or a member that is not joined;
    /// or no set is proposed.
    BadVoters,
    /// A maintenance wave is under way.
    WaveUnderWay,
    /// No maintenance wave is under way.
    NoWave,
    /// A job of the same name exists.
    JobExists(JobName),
    /// The job's state does not allow the start or end.
    JobState(JobName),
    /// The worker has too few free slots.
    NoFreeSlot(VmName),
    /// The team's quota is used up.
    QuotaSpent {
        /// The number of slots that the team's jobs use.
        used: u32,
        /// The number of slots that the team's jobs may use.
        quota: u32,
    },
}

impl fmt::Display for Reject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Duplicate => {
                write!(f, "the record was taken before; nothing is to be done")
            }
            Self::Stale { what, base, current } => write!(
                f,
                "{what} is at revision {current} and the change was made from {base}: look at it again and repeat the change"
            ),
            Self::Invalid(e) => e.fmt(f),
            Self::NoSuchTemplate(n) => write!(f, "no template '{n}': publish it first"),
            Self::NoSuchPool(n) => write!(f, "no workspace '{n}': set its parameters first"),
            Self::NoSuchVm(n) => write!(f, "no VM '{n}': see 'thistle vm list'"),
            Self::NoSuchMember(n) => write!(f, "no member '{n}': see 'thistle status'"),
            Self::NoSuchJob(n) => write!(f, "no job '{n}': see 'thistle job list'"),
            Self::BudgetSpent { pool, available, floor } => write!(
                f,
                "the availability budget of '{pool}' is spent ({available} VMs available, {floor} must stay): wait for one to come back or raise max_unavailable"
            ),
            Self::WrongStage { vm, stage } => {
                write!(f, "the VM '{vm}' is {stage}: wait, or take the step that fits this stage")
            }
            Self::MissingAcks(ids) => {
                write!(f, "not yet acknowledged by ")?;
                for (i, id) in ids.iter().enumerate() {
                    write!(f, "{}{id}", if i == 0 { "" } else { ", " })?;
                }
                write!(f, ": wait, or see 'thistle status' for silent members")
            }
            Self::JobsRunning(vm, n) => write!(f, "{n} jobs run on '{vm}': wait for them to end"),
            Self::NoQuorum => write!(f, "not a quorum of the present voters: ask them again"),
            Self::WrongMemberState(id) => {
                write!(f, "the member {id} is not in the state for this step: see 'thistle status'")
            }
            Self::BadVoters => write!(
                f,
                "the set of voters is not 1 to {MAX_VOTERS} joined members, each once: pick others",
                MAX_VOTERS = crate::member::MAX_VOTERS
            ),
            Self::WaveUnderWay => write!(f, "a maintenance wave is under way: wait for its end"),
            Self::NoWave => {
                write!(f, "no maintenance wave is under way: start one with 'thistle wave start'")
            }
            Self::JobExists(n) => {
                write!(f, "a job '{n}' is known: choose another name, or see its status")
            }
            Self::JobState(n) => {
                write!(f, "the job '{n}' is not in the state for this step: see 'thistle job list'")
            }
            Self::NoFreeSlot(vm) => {
                write!(f, "the VM '{vm}' has too few free slots: place the job elsewhere")
            }
            Self::QuotaSpent { used, quota } => write!(
                f,
                "the team uses {used} of its {quota} slots: wait for its jobs to end or raise the quota"
            ),
        }
    }
}

impl std::error::Error for Reject {}
