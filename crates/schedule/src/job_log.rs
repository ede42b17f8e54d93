//! The fold of one pool's records: what was submitted, what was cancelled, how far each job is.
//!
//! Any node appends submissions and cancels, to one of two partitions. Only the pool's owner appends
//! to a third: progress, and to a fourth while the third does not take it. All are folded by job,
//! newest record first come or last, so that a record that is read twice changes nothing.

mod parts;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::id::JobId;
use crate::progress::{JobState, Phase, Progress};
use crate::spec::JobSpec;
use crate::workspace::Caller;
pub use parts::Parts;

/// What a record's key starts with.
const SUBMIT: &str = "j";
const CANCEL: &str = "c";
const PROGRESS: &str = "q";
/// Progress as it was written before it was numbered; any numbered record is newer.
const UNNUMBERED: &str = "p";

/// Returns the key of a job's submission.
pub fn submit_key(id: JobId) -> String {
    format!("{SUBMIT}{id}")
}

/// Returns the key of a job's cancel.
pub fn cancel_key(id: JobId) -> String {
    format!("{CANCEL}{id}")
}

/// Returns the key of a job's progress.
pub fn progress_key(id: JobId) -> String {
    format!("{PROGRESS}{id}")
}

/// Returns the job whose submission a key is about.
pub fn job_of_submit_key(key: &str) -> Option<JobId> {
    key.strip_prefix(SUBMIT)?.parse().ok()
}

/// Returns the job whose progress a key is about.
pub fn job_of_progress_key(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS)?.parse().ok()
}

/// The order of one job's progress records: those of a later owner are newer.
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
    /// The owner's token.
    pub token: u64,
    /// The count of the owner's records.
    pub number: u64,
}

/// Encodes how far a job is.
pub fn encode_progress(version: Version, progress: &Progress) -> Vec<u8> {
    let mut record = encode(&(version, progress));
    if !progress.harms.is_empty() {
        record.extend(encode(&progress.harms));
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

/// Decodes a submission; a record may end before its workspace.
fn decode_spec(value: &[u8]) -> Result<JobSpec, postcard::Error> {
    let (mut spec, rest): (JobSpec, _) = postcard::take_from_bytes(value)?;
    if !rest.is_empty() {
        (spec.workspace, spec.admitted_by) = postcard::from_bytes(rest)?;
    }
    Ok(spec)
}

/// What a cancel's record starts with; who cancels follows.
const CANCELLED: u8 = 1;

/// Encodes a cancel.
pub fn encode_cancel(caller: &Caller) -> Vec<u8> {
    let mut record = vec![CANCELLED];
    record.extend(encode(caller));
    record
}

/// Decodes a cancel; a record of before says nothing of its caller, who may cancel any job.
fn decode_cancel(value: &[u8]) -> Result<Option<Caller>, postcard::Error> {
    match value {
        [] | [_] => Ok(None),
        [_, caller @ ..] => postcard::from_bytes(caller).map(Some),
    }
}

/// Decodes how far a job is; a record may end before what speaks against its tasks.
fn decode_progress(value: &[u8]) -> Result<(Version, Progress), postcard::Error> {
    let ((version, mut progress), rest): ((Version, Progress), _) =
        postcard::take_from_bytes(value)?;
    if !rest.is_empty() {
        progress.harms = postcard::from_bytes(rest)?;
    }
    Ok((version, progress))
}

/// Callers of different workspaces whose cancels of one ID are kept before its submission is read: one is usual, and
/// more are mistakes.
const MOST_EARLY_CANCELS: usize = 8;

/// A record that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadRecord(pub String);

/// Encodes a submission or a progress record.
pub fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Encoding plain structs into memory cannot fail; an empty record would be dropped by readers.
    postcard::to_allocvec(value).unwrap_or_default()
}

/// What is known of a job.
#[derive(Clone, Debug, Default)]
pub struct JobEntry {
    /// The submission; none if only a cancel or progress has been read so far.
    pub spec: Option<Arc<JobSpec>>,
    /// Its caller cancelled it.
    pub cancelled: bool,
    /// Who has cancelled a job of this ID whose submission has not been read.
    pub cancelled_by: Vec<Option<Caller>>,
    /// How far it is.
    pub progress: Progress,
    /// Which record told so.
    pub version: Version,
    /// Where its submission stands, as far as that was read.
    pub stands_in: Parts,
    /// The partition from which its submission was found to be gone, if it stands in none.
    pub gone_from: Option<u32>,
}

impl JobEntry {
    /// Takes in a record of progress unless a newer one was read.
    fn take_progress(&mut self, version: Version, progress: Progress) {
        if version >= self.version {
            (self.version, self.progress) = (version, progress);
        }
    }

    /// Returns the state to show, if the job was submitted.
    pub fn state(&self) -> Option<JobState> {
        self.spec.as_ref()?;
        Some(self.progress.state(self.cancelled))
    }
}

/// A change that the pool's owner acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogChange {
    /// A job that was not known.
    Submitted(JobId),
    /// A job was cancelled.
    Cancelled(JobId),
}

/// The fold of one pool's records.
#[derive(Debug, Default)]
pub struct JobLog {
    jobs: BTreeMap<JobId, JobEntry>,
}

impl JobLog {
    /// Returns what is known of a job.
    pub fn get(&self, id: JobId) -> Option<&JobEntry> {
        self.jobs.get(&id).filter(|entry| !entry.is_gone())
    }

    /// Returns all jobs.
    pub fn iter(&self) -> impl Iterator<Item = (JobId, &JobEntry)> {
        self.jobs.iter().filter(|(_, entry)| !entry.is_gone()).map(|(&id, entry)| (id, entry))
    }

    /// Returns how many jobs are held.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no job is held.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns how many jobs of a queue were accepted and have not begun.
    pub fn pending(&self, queue: &str) -> usize {
        let is_pending = |e: &&JobEntry| {
            e.state() == Some(JobState::Queued) && e.spec.as_ref().is_some_and(|s| s.queue == queue)
        };
        self.iter().map(|(_, entry)| entry).filter(is_pending).count()
    }

    /// Returns whether some open job has progress though its submission has not been read.
    pub fn has_begun_unseen(&self) -> bool {
        let begun =
            |e: &JobEntry| e.spec.is_none() && e.progress.begun && e.progress.phase == Phase::Open;
        self.jobs.values().any(begun)
    }

    /// Applies one record where it does not matter from which partition it is.
    pub fn apply(
        &mut self,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Option<LogChange>, BadRecord> {
        self.apply_from(0, key, value)
    }

    /// Applies one record of a partition; a record without a value was dropped there.
    pub fn apply_from(
        &mut self,
        part: u32,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Option<LogChange>, BadRecord> {
        let bad = || BadRecord(key.to_owned());
        let (kind, id) = key.split_at_checked(1).ok_or_else(bad)?;
        let id: JobId = id.parse().map_err(|_| bad())?;
        let Some(value) = value else {
            if kind == SUBMIT {
                self.drop_submission(part, id);
            }
            return Ok(None);
        };
        match kind {
            SUBMIT => {
                let spec = decode_spec(value).map_err(|_| bad())?;
                // Whoever folded a job that cannot be would fail on it, one owner after the other.
                spec.check().map_err(|e| BadRecord(format!("{key}: {e}")))?;
                Ok(self.submit(part, id, spec))
            }
            CANCEL => {
                let caller = decode_cancel(value).map_err(|_| bad())?;
                Ok(self.cancel(id, caller))
            }
            PROGRESS => {
                let (version, progress) = decode_progress(value).map_err(|_| bad())?;
                self.jobs.entry(id).or_default().take_progress(version, progress);
                Ok(None)
            }
            UNNUMBERED => {
                let progress = postcard::from_bytes(value).map_err(|_| bad())?;
                self.jobs.entry(id).or_default().take_progress(Version::default(), progress);
                Ok(None)
            }
            _ => Err(bad()),
        }
    }

    /// Takes in a cancel, unless its caller may not see the job.
    fn cancel(&mut self, id: JobId, caller: Option<Caller>) -> Option<LogChange> {
        let entry = self.jobs.entry(id).or_default();
        match &entry.spec {
            Some(spec) if caller.as_ref().is_none_or(|c| c.may_see(spec)) => {
                let news = !entry.cancelled;
                entry.cancelled = true;
                news.then_some(LogChange::Cancelled(id))
            }
            Some(_) => None,
            None => {
                let news = !entry.cancelled_by.contains(&caller);
                if news && entry.cancelled_by.len() < MOST_EARLY_CANCELS {
                    entry.cancelled_by.push(caller);
                }
                news.then_some(LogChange::Cancelled(id))
            }
        }
    }

    /// Keeps the first submission of an ID; later ones are copies.
    fn submit(&mut self, part: u32, id: JobId, spec: JobSpec) -> Option<LogChange> {
        let entry = self.jobs.entry(id).or_default();
        entry.stands_in.insert(part);
        let was_gone = entry.gone_from.take().is_some();
        if entry.spec.is_some() {
            return was_gone.then_some(LogChange::Submitted(id));
        }
        let early = std::mem::take(&mut entry.cancelled_by);
        entry.cancelled |= early.iter().any(|by| by.as_ref().is_none_or(|c| c.may_see(&spec)));
        entry.spec = Some(Arc::new(spec));
        Some(LogChange::Submitted(id))
    }

    /// Sets a job's progress, as its owner has just written it.
    pub fn set_progress(&mut self, id: JobId, version: Version, progress: Progress) {
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.take_progress(version, progress);
        }
    }
}
