//! One pool's records, as this node has read them.

mod lanes;
mod read;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use thistle_platform::{KeyedRecord, Stored};
use thistle_schedule::job_log::{Version, job_of_progress_key, job_of_submit_key};
use thistle_schedule::{JobId, JobLog, LogChange, Ms, Progress};
use tokio::sync::mpsc::UnboundedSender;

use crate::clock::steady_ms;
use crate::journal::Place;
use crate::locks::lock;
use crate::node::Node;
use crate::owned::Owned;
use crate::owner::Event;
use crate::read_failures::ReadFailures;
use crate::submit::{Submission, start_submitter};
use lanes::Lane;

/// The partition to which any node appends submissions and cancels.
pub const SUBMISSIONS: u32 = 0;
/// The partition to which only the pool's owner appends.
pub const PROGRESS: u32 = 1;
/// The partition to which any node appends submissions and cancels that the first one does not take:
/// an outage of the store may concern some partitions only.
pub const SPARE: u32 = 2;
/// The partition to which the owner appends progress that its first one does not take, until that
/// one does.
pub const SPARE_PROGRESS: u32 = 3;
/// Where progress goes while neither of the two takes it; an owner tells so before.
pub const FURTHER_PROGRESS: [u32; 2] = [5, 7];
/// Where submissions may go, in the order in which they are tried.
pub const LANES: [u32; 2] = [SUBMISSIONS, SPARE];
/// How old a reading of the spare partition may be when callers ask, in milliseconds: half of the
/// time within which each node is to show a job.
pub const SPARE_AGE_MS: Ms = 1_500;

/// Returns the topic of a pool's partitions.
pub fn topic_of(pool: &str) -> String {
    format!("jobs.{pool}")
}

/// How far a partition was read.
#[derive(Debug, Default)]
struct Cursor {
    /// The offset of the next record; none before the newest of each key were read.
    next: Option<u64>,
    /// When the last read that reached the end was begun.
    read_at: Ms,
    /// Reads that failed since one was answered.
    failures: ReadFailures,
}

/// One pool's records, as this node has read them.
pub struct PoolLog {
    /// The pool.
    pub pool: Arc<str>,
    /// The topic of its partitions.
    pub topic: String,
    jobs: Mutex<JobLog>,
    cursors: [tokio::sync::Mutex<Cursor>; 6],
    /// Jobs whose progress stands elsewhere than in its first partition, and where, as far as that was read.
    spilled: Mutex<BTreeSet<(JobId, u32)>>,
    /// Where the owner on this node takes in changes.
    owner: Mutex<Option<UnboundedSender<Event>>>,
    owned: Owned,
    /// This node reads it on though it does not own it, and has read all that there was.
    reading_on: AtomicBool,
    /// It is known to have had an owner.
    had_owner: AtomicBool,
    lanes: [Lane; LANES.len()],
    /// The owner's last read of submissions failed.
    in_trouble: AtomicBool,
    submitter: UnboundedSender<Submission>,
    /// Jobs read so far; for metrics.
    pub submitted: AtomicU64,
}

impl PoolLog {
    /// Makes a pool's log and starts the tasks that read and write it.
    pub fn start(node: &Arc<Node>, pool: &Arc<str>) -> Arc<Self> {
        let (submitter, rx) = tokio::sync::mpsc::unbounded_channel();
        let log = Arc::new(Self {
            pool: pool.clone(),
            topic: topic_of(pool),
            jobs: Mutex::default(),
            cursors: Default::default(),
            spilled: Mutex::default(),
            owner: Mutex::default(),
            owned: Owned::default(),
            reading_on: AtomicBool::new(false),
            had_owner: AtomicBool::new(false),
            lanes: Default::default(),
            in_trouble: AtomicBool::new(false),
            submitter,
            submitted: AtomicU64::new(0),
        });
        tokio::spawn(start_submitter(node.clone(), log.clone(), rx));
        tokio::spawn(read::read_on(node.clone(), log.clone()));
        tokio::spawn(read::read_spare_on(node.clone(), log.clone()));
        log
    }

    /// Locks what is known of its jobs.
    pub fn jobs(&self) -> MutexGuard<'_, JobLog> {
        lock(&self.jobs)
    }

    /// Returns whether this node reads its records: as its owner, or as one that reads it on.
    pub fn is_read_here(&self) -> bool {
        self.is_owned() || self.reading_on.load(Ordering::Relaxed)
    }

    /// Returns whether an owner runs on this node, so that its progress is known at once.
    pub fn is_owned(&self) -> bool {
        self.owned.get()
    }

    /// Returns whether it has an owner now, by what the caller knows, or has had one.
    pub fn has_had_owner(&self, has_one: bool) -> bool {
        self.had_owner.fetch_or(has_one, Ordering::Relaxed) || has_one
    }

    /// Waits until an owner runs on this node, for no longer than `most`.
    pub async fn wait_until_owned(&self, most: Duration) {
        self.owned.wait_unless_owned(most).await;
    }

    /// Hands a submission or a cancel to the task that appends.
    pub fn submit(&self, submission: Submission) {
        // The task ends with the process only; if it has, the caller finds its answer dropped.
        let _ = self.submitter.send(submission);
    }

    fn cursor(&self, part: u32) -> &tokio::sync::Mutex<Cursor> {
        match part {
            SUBMISSIONS => &self.cursors[0],
            SPARE => &self.cursors[1],
            PROGRESS => &self.cursors[2],
            SPARE_PROGRESS => &self.cursors[3],
            part if part == FURTHER_PROGRESS[0] => &self.cursors[4],
            _ => &self.cursors[5],
        }
    }

    /// Returns whether the spare partition holds, or held, anything, as far as it was read.
    pub async fn spare_was_used(&self) -> bool {
        self.cursor(SPARE).lock().await.next.is_none_or(|next| next > 0)
    }

    /// Notes which jobs' progress stands elsewhere than in its first partition.
    fn note_spilled(&self, part: u32, records: &[Stored]) {
        if part != SPARE_PROGRESS && !FURTHER_PROGRESS.contains(&part) {
            return;
        }
        let mut spilled = lock(&self.spilled);
        for Stored { record, .. } in records {
            let Some(id) = job_of_progress_key(&record.key) else { continue };
            if record.value().is_some() {
                spilled.insert((id, part));
            } else {
                spilled.remove(&(id, part));
            }
        }
    }

    /// Returns the jobs whose progress stands elsewhere, and where, for a new owner.
    pub fn spilled(&self) -> BTreeSet<(JobId, u32)> {
        lock(&self.spilled).clone()
    }

    fn apply(&self, part: u32, records: &[Stored]) {
        let mut jobs = self.jobs();
        for Stored { offset, record } in records {
            self.apply_one(&mut jobs, part, *offset, record);
        }
    }

    /// Takes in the newest record of each key of a partition: what it lacks was dropped.
    fn reload(&self, part: u32, records: &[Stored]) {
        if LANES.contains(&part) {
            let newest = records.iter().filter(|stored| stored.record.value().is_some());
            let there = newest.filter_map(|stored| job_of_submit_key(&stored.record.key)).collect();
            self.jobs().reloaded(part, &there);
        }
        self.apply(part, records);
    }

    fn apply_one(&self, jobs: &mut JobLog, part: u32, offset: u64, record: &KeyedRecord) {
        match jobs.apply_from(part, &record.key, record.value()) {
            Ok(Some(change)) => self.pass_on(change),
            Ok(None) => (),
            Err(e) => {
                log::error!("jobs step=unreadable pool={} offset={offset} key={}", self.pool, e.0);
            }
        }
    }

    fn pass_on(&self, change: LogChange) {
        if matches!(change, LogChange::Submitted(_)) {
            self.submitted.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(tx) = &*lock(&self.owner) {
            // An owner that has just ended needs no news.
            let _ = tx.send(Event::Log(change));
        }
    }

    /// Takes in submissions and cancels that this node has just appended. Records of other nodes
    /// that lie before them go first: a cancel may have come before its job.
    pub async fn apply_own(
        &self,
        node: &Node,
        part: u32,
        records: &[KeyedRecord],
        offset: u64,
        end: u64,
    ) {
        let mut cursor = self.cursor(part).lock().await;
        if cursor.next == Some(offset) {
            cursor.next = Some(end);
            let mut jobs = self.jobs();
            for (offset, record) in (offset..).zip(records) {
                self.apply_one(&mut jobs, part, offset, record);
            }
            return;
        }
        drop(cursor);
        if !self.is_owned() {
            return;
        }
        if let Err(e) = self.catch_up(node, part, steady_ms()).await {
            log::debug!("jobs step=read-failed pool={} error=\"{e}\"", self.pool);
        }
    }

    /// Takes in progress that this node has just appended as owner.
    pub async fn apply_progress(&self, records: Vec<(JobId, Version, Progress)>, place: Place) {
        let mut cursor = self.cursor(place.part).lock().await;
        if cursor.next == Some(place.offset) {
            (cursor.next, cursor.read_at) = (Some(place.end), steady_ms());
        }
        let mut jobs = self.jobs();
        for (id, version, progress) in records {
            jobs.set_progress(id, version, progress);
        }
    }

    /// Connects an owner on this node, or disconnects it. Returns the jobs locked, so that the
    /// owner takes in what is there before anything new is handed to it.
    pub fn connect_owner(&self, tx: Option<UnboundedSender<Event>>) -> MutexGuard<'_, JobLog> {
        let jobs = self.jobs();
        self.owned.set(tx.is_some());
        *lock(&self.owner) = tx;
        jobs
    }
}
