//! The agreed state and the application of records to it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use thistle_model::job::Urgency;
use thistle_model::record::decode;
use thistle_model::view::Voters;
use thistle_model::{
    Change, JobName, MemberId, Offset, PoolName, Record, RecordId, Revision, TeamName, Template,
    TemplateName, VmName,
};

use crate::invariants::InvariantGuard;
use crate::job::Job;
use crate::member::Member;
use crate::pool::{Pool, PoolKey};
use crate::reject::Reject;
use crate::vm::{Vm, VmKey};
use crate::wave::Wave;

/// The number of records for which an inactive writer's mark is kept; no copy of its record can
/// arrive later than that.
pub const WRITER_MARK_RECORDS: u64 = 200_000;
/// The number of records between two drops of inactive writers' marks, with a check of all
/// invariants.
const CLEANUP_INTERVAL: u64 = 1_024;

/// A template with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TemplateEntry {
    /// The revision at which the template was last published.
    pub revision: Revision,
    /// The content of the template.
    pub template: Arc<Template>,
}

/// The slots that a team's jobs may use and do use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// The revision at which the quota was last set.
    pub revision: Revision,
    /// The number of slots that may be in use at a time.
    pub slots: u32,
    /// The number of slots in use.
    pub used: u32,
}

/// The last record that was read from a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterMark {
    /// The sequence number of the record.
    pub seq: u64,
    /// The position of the record among all records that were read.
    pub at: u64,
}

/// The outcome of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The ID of the record.
    pub id: RecordId,
    /// The offset of the record's log entry.
    pub offset: Offset,
    /// The revision of the change, or the reason for its rejection.
    pub result: Result<Revision, Reject>,
}

/// The agreed state after all log entries before [`State::next`].
#[derive(Clone, Debug)]
pub struct State {
    /// The offset of the next log entry to apply.
    pub next: Offset,
    /// The number of accepted changes.
    pub accepted: u64,
    /// The number of records that were read.
    pub records: u64,
    /// The number of log entries that could not be decoded.
    pub malformed: u64,
    /// The number of assignments of VMs to a workspace's pool.
    pub moves: u64,
    /// Templates by name.
    pub templates: BTreeMap<TemplateName, TemplateEntry>,
    /// The arena of pools.
    pub pools: SlotMap<PoolKey, Pool>,
    /// Pools of workspaces by name.
    pub pool_keys: BTreeMap<PoolName, PoolKey>,
    /// The pool of VMs that belong to no workspace.
    pub reserve: PoolKey,
    /// The arena of VMs.
    pub vms: SlotMap<VmKey, Vm>,
    /// VMs by name.
    pub vm_keys: BTreeMap<VmName, VmKey>,
    /// Members by ID.
    pub members: BTreeMap<MemberId, Member>,
    /// The voters.
    pub voters: Voters,
    /// The maintenance wave.
    pub wave: Wave,
    /// Quotas by team.
    pub quotas: BTreeMap<TeamName, Quota>,
    /// Jobs by name.
    pub jobs: BTreeMap<JobName, Job>,
    /// Waiting jobs: urgent ones first, then by age.
    pub waiting_jobs: BTreeSet<(Urgency, Revision, JobName)>,
    /// Running jobs by VM.
    pub running_jobs: BTreeSet<(VmName, JobName)>,
    /// Ended jobs whose status is kept, the oldest first.
    pub ended_jobs: VecDeque<JobName>,
    /// The last record of each writer.
    pub writers: BTreeMap<u64, WriterMark>,
}

impl Default for State {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        let mut pools = SlotMap::with_key();
        let reserve = pools.insert(Pool::reserve());
        Self {
            next: Offset(0),
            accepted: 0,
            records: 0,
            malformed: 0,
            moves: 0,
            templates: BTreeMap::new(),
            pools,
            pool_keys: BTreeMap::new(),
            reserve,
            vms: SlotMap::with_key(),
            vm_keys: BTreeMap::new(),
            members: BTreeMap::new(),
            voters: Voters::default(),
            wave: Wave::default(),
            quotas: BTreeMap::new(),
            jobs: BTreeMap::new(),
            waiting_jobs: BTreeSet::new(),
            running_jobs: BTreeSet::new(),
            ended_jobs: VecDeque::new(),
            writers: BTreeMap::new(),
        }
    }

    /// Applies the log entry at `offset` and returns the verdicts on its records.
    ///
    /// # Panics
    ///
    /// Panics if `offset` is not the next one or if an invariant is broken.
    pub fn apply_entry(&mut self, offset: Offset, entry: &[u8]) -> Vec<Verdict> {
        assert_eq!(offset, self.next, "log entries must be applied in order without gaps");
        let verdicts = match decode(entry) {
            Some(records) => records.iter().map(|r| self.apply(offset, r)).collect(),
            None => {
                self.malformed += 1;
                Vec::new()
            }
        };
        self.next = offset.next();
        verdicts
    }

    /// Applies a record of the log entry at `offset`.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        self.records += 1;
        let result = self.try_apply(record);
        if self.records.is_multiple_of(CLEANUP_INTERVAL) {
            self.drop_inactive_writers();
            self.assert_all();
        }
        Verdict { id: record.id, offset, result }
    }

    fn try_apply(&mut self, record: &Record) -> Result<Revision, Reject> {
        self.mark_writer(record.id)?;
        let guard = InvariantGuard::new(self, &record.change);
        self.dispatch(record)?;
        self.accepted += 1;
        guard.assert_held(self);
        Ok(Revision(self.accepted))
    }

    /// Records the sequence number of a writer's record; rejects one that was read before.
    fn mark_writer(&mut self, id: RecordId) -> Result<(), Reject> {
        let at = self.records;
        let mark = self.writers.entry(id.writer).or_insert(WriterMark { seq: 0, at });
        if id.seq <= mark.seq {
            return Err(Reject::Duplicate);
        }
        *mark = WriterMark { seq: id.seq, at };
        Ok(())
    }

    fn drop_inactive_writers(&mut self) {
        let oldest = self.records.saturating_sub(WRITER_MARK_RECORDS);
        self.writers.retain(|_, mark| mark.at >= oldest);
    }

    /// Returns the revision that the change in progress gets if it is accepted.
    pub(crate) fn next_revision(&self) -> Revision {
        Revision(self.accepted + 1)
    }

    fn dispatch(&mut self, record: &Record) -> Result<(), Reject> {
        match &record.change {
            Change::PublishTemplate { name, base, template } => {
                self.publish_template(name, *base, template)
            }
            Change::SetWorkspace { name, base, workspace } => {
                self.set_workspace(name, *base, workspace)
            }
            Change::SetQuota { team, base, slots } => self.set_quota(team, *base, *slots),
            Change::VmSeen { vm, facts, status } => self.vm_seen(vm, facts, *status),
            Change::VmGone { vm, base } => self.vm_gone(vm, *base),
            Change::Cordon { vm, base, on, force } => self.cordon(vm, *base, *on, *force),
            Change::Drain { vm, base, reason } => self.drain(vm, *base, reason),
            Change::GiveBack { vm, base } => self.give_back(vm, *base),
            Change::Drained { vm, base, acks } => self.drained(vm, *base, acks),
            Change::Assign { vm, base, to } => self.assign(vm, *base, to.as_ref()),
            Change::MaintenanceStarted { vm, base } => self.maintenance_started(vm, *base),
            Change::MaintenanceDone { vm, base } => self.maintenance_done(vm, *base),
            Change::WaveStart { base } => self.wave_start(*base),
            Change::WavePause { base, on } => self.wave_pause(*base, *on),
            Change::MemberJoin { member, facts } => self.member_join(*member, facts),
            Change::MemberLeave { member } | Change::MemberForget { member } => {
                self.member_remove(*member)
            }
            Change::MemberGone { member, voters, statements } => {
                self.member_gone(*member, *voters, statements)
            }
            Change::MemberFenced { member } => self.member_fenced(*member),
            Change::VotersProposed { base, voters } => self.voters_proposed(*base, voters),
            Change::VotersCommitted { base, adopted } => self.voters_committed(*base, adopted),
            Change::VotersReset { base, voters } => self.voters_reset(*base, voters, record.at_ms),
            Change::JobSubmit { spec } => self.job_submit(spec),
            Change::JobStarted { start } => self.job_started(start),
            Change::JobEnded { job, attempt, end } => self.job_ended(job, *attempt, *end),
            Change::JobCancel { jobs } => self.job_cancel(jobs),
            Change::SnapshotChunk { .. } => Ok(()),
        }
    }
}
