//! The state of each job of one pool, computed from the pool's records: its submission, its cancellation and its progress.
//!
//! Any node appends submissions and cancellations to a first partition or to its fallback partition. Only the pool's owner
//! appends progress: to another partition, to the fallback partition of that one while it does not accept records, or to
//! overflow partitions while neither does. Records are combined by job and may arrive in any order, so that reading a record
//! twice changes nothing.

mod cancels;
mod origins;
mod partition_set;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::id::JobId;
use crate::lease_bounds;
use crate::progress::{JobState, Phase, Progress};
use crate::spec::JobSpec;
use crate::workspace::Caller;
use cancels::{CANCEL, decode_cancel};
pub use cancels::{
    caller_cancel_key, cancel_key, cancel_received_ms, encode_cancel, encode_received_cancel,
    job_of_cancel_key,
};
use origins::{BOUND_ELSEWHERE, ORIGIN, job_of_origin_key};
pub use origins::{bound_elsewhere_key, encode_bound_elsewhere, encode_origin, origin_key};
pub use partition_set::PartitionSet;

/// The prefixes of record keys.
const SUBMIT: &str = "j";
const PROGRESS: &str = "q";
/// The prefix of progress records without a [`Version`], which older programs wrote. Any record with a [`Version`] is newer.
const UNVERSIONED: &str = "p";

/// Returns the key of a job's submission record.
pub fn submit_key(id: JobId) -> String {
    format!("{SUBMIT}{id}")
}

/// Returns the key of a job's progress record.
pub fn progress_key(id: JobId) -> String {
    format!("{PROGRESS}{id}")
}

/// Returns the job of a submission record's key.
pub fn job_of_submit_key(key: &str) -> Option<JobId> {
    key.strip_prefix(SUBMIT)?.parse().ok()
}

/// Returns the job of a progress record's key.
pub fn job_of_progress_key(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS)?.parse().ok()
}

/// The version of a progress record, which orders the records of one job. Those of a later owner are newer.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Version {
    /// The token of the owner that wrote the record.
    pub token: u64,
    /// The sequence number among that owner's records.
    pub number: u64,
}

/// Encodes a job's progress.
pub fn encode_progress(version: Version, progress: &Progress) -> Vec<u8> {
    let mut record = encode(&(version, progress));
    let is_unanswered = progress.start_ordered && !progress.has_started;
    if is_unanswered || !progress.crash_histories.is_empty() {
        record.extend(encode(&progress.crash_histories));
    }
    if is_unanswered {
        record.extend(encode(&progress.has_started));
    }
    record
}

/// Encodes a submission.
pub fn encode_spec(spec: &JobSpec) -> Vec<u8> {
    let mut record = encode(spec);
    if !spec.workspace.is_empty() {
        record.extend(encode(&(&spec.workspace, spec.admitted_by)));
    }
    record
}

/// Decodes a submission. Older records lack the workspace.
fn decode_spec(value: &[u8]) -> Result<JobSpec, postcard::Error> {
    let (mut spec, rest): (JobSpec, _) = postcard::take_from_bytes(value)?;
    if !rest.is_empty() {
        (spec.workspace, spec.admitted_by) = postcard::from_bytes(rest)?;
    }
    Ok(spec)
}

/// Decodes a job's progress. The record may lack the crash histories of its tasks, and whether the job has started if that follows
/// from the ordered starts, as in all records of older versions.
fn decode_progress(value: &[u8]) -> Result<(Version, Progress), postcard::Error> {
    let ((version, mut progress), mut rest): ((Version, Progress), _) =
        postcard::take_from_bytes(value)?;
    progress.has_started = progress.start_ordered;
    if !rest.is_empty() {
        (progress.crash_histories, rest) = postcard::take_from_bytes(rest)?;
    }
    if !rest.is_empty() {
        progress.has_started = postcard::from_bytes(rest)?;
    }
    Ok((version, progress))
}

/// The error for a record that cannot be decoded, with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadRecord(pub String);

/// Encodes a value for a record.
pub fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Encoding plain structs into memory cannot fail. Readers would skip an empty record.
    postcard::to_allocvec(value).unwrap_or_default()
}

/// The state of a job by the records read so far.
#[derive(Clone, Debug, Default)]
pub struct JobEntry {
    /// The submission, or `None` if only a cancellation or progress has been read so far.
    pub spec: Option<Arc<JobSpec>>,
    /// Whether a caller that may see the job has cancelled it.
    pub cancelled: bool,
    /// The callers that cancelled this ID before its submission was read, at most one for each queue and workspace.
    pub cancelled_by: BTreeSet<Option<Caller>>,
    /// The keys of the cancellations that were read, without the key that all callers share.
    pub cancel_keys: BTreeSet<String>,
    /// The progress.
    pub progress: Progress,
    /// The version of the record that holds the progress.
    pub version: Version,
    /// The partitions that hold its submission, as far as they were read.
    pub partitions: PartitionSet,
    /// The partitions that have dropped its submission.
    pub dropped_by: PartitionSet,
    /// The pools that have passed the submission on.
    pub origins: BTreeSet<Arc<str>>,
    /// Whether another pool has notified this one that the job is bound elsewhere.
    pub is_bound_elsewhere: bool,
    /// The partition that has dropped its submission or that a reload found without it, if no other one is known to hold it.
    pub missing_from: Option<u32>,
}

impl JobEntry {
    /// Applies a progress record unless a newer one was read.
    fn apply_progress(&mut self, version: Version, progress: Progress) {
        if version >= self.version {
            (self.version, self.progress) = (version, progress);
        }
    }

    /// Returns the state to report to callers, if the submission was read and no other pool has the job.
    pub fn state(&self) -> Option<JobState> {
        self.spec.as_ref().filter(|_| !self.is_elsewhere())?;
        Some(self.progress.state(self.cancelled))
    }

    /// Returns whether the job belongs to another pool, according to this pool's owner.
    pub const fn is_elsewhere(&self) -> bool {
        matches!(self.progress.phase, Phase::Moved(_) | Phase::Copy)
    }

    /// Returns whether the job is bound to the pool: its owner has written progress of it, and it is not elsewhere.
    pub fn is_bound(&self) -> bool {
        self.has_progress() && !self.is_elsewhere()
    }

    fn has_progress(&self) -> bool {
        self.version != Version::default() || self.progress != Progress::default()
    }

    /// Returns the queue of the submission, or else those of the cancellations that were read before it.
    pub fn queues(&self) -> BTreeSet<&str> {
        match &self.spec {
            Some(spec) => BTreeSet::from([spec.queue.as_str()]),
            None => self.cancelled_by.iter().flatten().map(|by| by.queue.as_str()).collect(),
        }
    }
}

/// A change that the pool's owner acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogChange {
    /// A new job was submitted.
    Submitted(JobId),
    /// A job was cancelled.
    Cancelled(JobId),
    /// Another pool has passed a job on to this one.
    PassedOn(JobId),
    /// Another pool has notified this one that a job is bound elsewhere.
    BoundElsewhere(JobId),
}

/// The jobs of one pool by the records read so far.
#[derive(Debug, Default)]
pub struct JobLog {
    jobs: BTreeMap<JobId, JobEntry>,
}

impl JobLog {
    /// Returns the entry of a job.
    pub fn get(&self, id: JobId) -> Option<&JobEntry> {
        self.jobs.get(&id).filter(|entry| !entry.is_gone())
    }

    /// Returns the entries of all jobs.
    pub fn iter(&self) -> impl Iterator<Item = (JobId, &JobEntry)> {
        self.jobs.iter().filter(|(_, entry)| !entry.is_gone()).map(|(&id, entry)| (id, entry))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of jobs of a queue that were accepted and have not started.
    pub fn pending(&self, queue: &str) -> usize {
        let is_pending = |e: &&JobEntry| {
            e.state() == Some(JobState::Queued) && e.spec.as_ref().is_some_and(|s| s.queue == queue)
        };
        self.iter().map(|(_, entry)| entry).filter(is_pending).count()
    }

    /// Returns whether starts of some open job were ordered though its submission has not been read.
    pub fn has_start_without_submission(&self) -> bool {
        let start_without_submission = |e: &JobEntry| {
            e.spec.is_none() && e.progress.start_ordered && e.progress.phase == Phase::Open
        };
        self.jobs.values().any(start_without_submission)
    }

    /// Applies one record whose partition does not matter.
    pub fn apply(
        &mut self,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Option<LogChange>, BadRecord> {
        self.apply_from(0, key, value)
    }

    /// Applies one record of a partition. A record without a value marks that the partition dropped the key.
    pub fn apply_from(
        &mut self,
        partition: u32,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Option<LogChange>, BadRecord> {
        if key == lease_bounds::KEY {
            return Ok(None);
        }
        let bad = || BadRecord(key.to_owned());
        let (kind, id) = key.split_at_checked(1).ok_or_else(bad)?;
        let job = match kind {
            ORIGIN => job_of_origin_key(id),
            CANCEL => job_of_cancel_key(key),
            _ => id.parse().ok(),
        };
        let id: JobId = job.ok_or_else(bad)?;
        let Some(value) = value else {
            match kind {
                SUBMIT => self.drop_submission(partition, id),
                CANCEL => self.drop_cancel(id, key),
                _ => (),
            }
            return Ok(None);
        };
        match kind {
            SUBMIT => {
                let spec = decode_spec(value).map_err(|_| bad())?;
                // An invalid job would make one owner after another fail on it.
                spec.check().map_err(|e| BadRecord(format!("{key}: {e}")))?;
                Ok(self.submit(partition, id, spec))
            }
            CANCEL => {
                let caller = decode_cancel(value).map_err(|_| bad())?;
                Ok(self.cancel(id, key, caller))
            }
            ORIGIN => self.add_origin(id, value).map_err(|_| bad()),
            BOUND_ELSEWHERE => Ok(self.record_bound_elsewhere(id)),
            PROGRESS => {
                let (version, progress) = decode_progress(value).map_err(|_| bad())?;
                self.jobs.entry(id).or_default().apply_progress(version, progress);
                Ok(None)
            }
            UNVERSIONED => {
                let mut progress: Progress = postcard::from_bytes(value).map_err(|_| bad())?;
                progress.has_started = progress.start_ordered;
                self.jobs.entry(id).or_default().apply_progress(Version::default(), progress);
                Ok(None)
            }
            _ => Err(bad()),
        }
    }

    /// Applies a submission. The first one of an ID is kept; later ones are copies.
    fn submit(&mut self, partition: u32, id: JobId, spec: JobSpec) -> Option<LogChange> {
        let entry = self.jobs.entry(id).or_default();
        entry.partitions.insert(partition);
        entry.dropped_by.remove(partition);
        let was_gone = entry.missing_from.take().is_some();
        if entry.spec.is_some() {
            return was_gone.then_some(LogChange::Submitted(id));
        }
        let early = std::mem::take(&mut entry.cancelled_by);
        entry.cancelled |= early.iter().any(|by| by.as_ref().is_none_or(|c| c.may_see(&spec)));
        entry.spec = Some(Arc::new(spec));
        Some(LogChange::Submitted(id))
    }

    /// Sets the progress that the owner has just written.
    pub fn set_progress(&mut self, id: JobId, version: Version, progress: Progress) {
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.apply_progress(version, progress);
        }
    }
}
