//! One pool's records, as this node has read them.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use thistle_platform::{KeyedRecord, ReadError, StoreError, Stored};
use thistle_schedule::job_log::{Version, job_of_progress_key};
use thistle_schedule::{JobId, JobLog, LogChange, Ms, Progress};
use tokio::sync::mpsc::UnboundedSender;

use crate::journal::Place;
use crate::node::{Node, lock, steady_ms};
use crate::owner::Event;
use crate::submit::{Submission, start_submitter};

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
/// Where submissions may go, in the order in which they are tried.
pub const LANES: [u32; 2] = [SUBMISSIONS, SPARE];
/// How often a node that does not own a pool reads on, on a small site; what callers ask for is read
/// when they ask.
const READ_EVERY: Duration = Duration::from_millis(1_000);
/// How long the owner's read waits for submissions: the longest delay of a job whose append was
/// under way when the read arrived, and so does not wake it.
const WAIT: Duration = Duration::from_millis(250);
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(100);
/// How often the owner reads the spare partition while the first one answers, and otherwise.
const SPARE_EVERY: Duration = Duration::from_millis(1_000);
const SPARE_EVERY_IN_TROUBLE: Duration = Duration::from_millis(150);
/// Pause before a partition that does not answer is asked again, in milliseconds: those who wait for
/// it meanwhile are few, and the others are answered at once.
const ASK_PAUSE_MS: Ms = 500;
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
}

/// How a partition took submissions lately.
#[derive(Debug, Default)]
struct Lane {
    /// It has left an append unanswered, and has not answered since.
    suspect: AtomicBool,
    /// It is not asked again before this.
    ask_after: AtomicU64,
}

/// One pool's records, as this node has read them.
pub struct PoolLog {
    /// The pool.
    pub pool: Arc<str>,
    /// The topic of its partitions.
    pub topic: String,
    jobs: Mutex<JobLog>,
    cursors: [tokio::sync::Mutex<Cursor>; 4],
    /// Jobs of which the spare partition holds progress, as far as it was read.
    spilled: Mutex<BTreeSet<JobId>>,
    /// Where the owner on this node takes in changes.
    owner: Mutex<Option<UnboundedSender<Event>>>,
    owned: AtomicBool,
    loaded: AtomicBool,
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
            owned: AtomicBool::new(false),
            loaded: AtomicBool::new(false),
            lanes: Default::default(),
            in_trouble: AtomicBool::new(false),
            submitter,
            submitted: AtomicU64::new(0),
        });
        tokio::spawn(start_submitter(node.clone(), log.clone(), rx));
        tokio::spawn(read_on(node.clone(), log.clone()));
        tokio::spawn(read_spare_on(node.clone(), log.clone()));
        log
    }

    /// Locks what is known of its jobs.
    pub fn jobs(&self) -> MutexGuard<'_, JobLog> {
        lock(&self.jobs)
    }

    /// Returns whether all of its records were read once.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Returns whether an owner runs on this node, so that its progress is known at once.
    pub fn is_owned(&self) -> bool {
        self.owned.load(Ordering::Relaxed)
    }

    /// Takes in that an append of submissions to a partition was not answered.
    pub fn suspect(&self, part: u32) {
        self.lane(part).suspect.store(true, Ordering::Relaxed);
    }

    /// Returns whether submissions may be appended to a partition: one that has left an append
    /// unanswered is asked first, now and then.
    pub async fn may_append(&self, node: &Node, part: u32) -> bool {
        let lane = self.lane(part);
        if !lane.suspect.load(Ordering::Relaxed) {
            return true;
        }
        let now = steady_ms();
        if lane.ask_after.fetch_max(now + ASK_PAUSE_MS, Ordering::Relaxed) > now {
            return false;
        }
        match node.store.probe(&self.topic, part).await {
            Ok(()) => {
                lane.suspect.store(false, Ordering::Relaxed);
                lane.ask_after.store(0, Ordering::Relaxed);
                true
            }
            Err(e) => {
                log::info!("submit step=no-answer pool={} part={part} error=\"{e}\"", self.pool);
                false
            }
        }
    }

    fn lane(&self, part: u32) -> &Lane {
        &self.lanes[usize::from(part == SPARE)]
    }

    /// Hands a submission or a cancel to the task that appends.
    pub fn submit(&self, submission: Submission) {
        // The task ends with the process only; if it has, the caller finds its answer dropped.
        let _ = self.submitter.send(submission);
    }

    /// Makes sure that everything the store had at `since` was read.
    pub async fn catch_up(&self, node: &Node, part: u32, since: Ms) -> Result<(), StoreError> {
        let mut cursor = self.cursor(part).lock().await;
        while cursor.read_at < since {
            let began = steady_ms();
            let result = self.read_once(node, part, &mut cursor, began).await;
            node.note_store(result.is_ok());
            result?;
        }
        Ok(())
    }

    async fn read_once(
        &self,
        node: &Node,
        part: u32,
        cursor: &mut Cursor,
        began: Ms,
    ) -> Result<(), StoreError> {
        let Some(from) = cursor.next else {
            let newest = node.store.newest(&self.topic, part).await?;
            self.note_spilled(part, &newest.records);
            self.apply(newest.records);
            cursor.next = Some(newest.end);
            return Ok(());
        };
        match node.store.read(&self.topic, part, from, Duration::ZERO).await {
            Ok(batch) => {
                let next = from + batch.records.len() as u64;
                let reached_end = next >= batch.end;
                self.note_spilled(part, &batch.records);
                self.apply(batch.records);
                cursor.next = Some(next);
                if reached_end {
                    cursor.read_at = began;
                }
                Ok(())
            }
            Err(ReadError::Dropped) => {
                log::info!("jobs step=reload pool={} part={part} from={from}", self.pool);
                cursor.next = None;
                Ok(())
            }
            Err(ReadError::Store(e)) => Err(e),
        }
    }

    /// Waits for new submissions and takes them in; for the owner, who acts on them at once.
    async fn wait_for_submissions(&self, node: &Node) -> Result<(), StoreError> {
        let Some(from) = self.cursor(SUBMISSIONS).lock().await.next else {
            return self.catch_up(node, SUBMISSIONS, steady_ms()).await;
        };
        // The cursor is free while this waits, so that callers' reads go on.
        let batch = match node.store.read(&self.topic, SUBMISSIONS, from, WAIT).await {
            Ok(batch) => batch,
            Err(ReadError::Dropped) => {
                self.cursor(SUBMISSIONS).lock().await.next = None;
                return Ok(());
            }
            Err(ReadError::Store(e)) => return Err(e),
        };
        let mut cursor = self.cursor(SUBMISSIONS).lock().await;
        let next = from + batch.records.len() as u64;
        if cursor.next.is_some_and(|known| known < next) {
            self.apply(batch.records);
            cursor.next = Some(next);
        }
        Ok(())
    }

    fn cursor(&self, part: u32) -> &tokio::sync::Mutex<Cursor> {
        match part {
            SUBMISSIONS => &self.cursors[0],
            SPARE => &self.cursors[1],
            PROGRESS => &self.cursors[2],
            _ => &self.cursors[3],
        }
    }

    /// Reads all that a new owner must know. Jobs of the spare partition are read later if it does
    /// not answer, unless some of them have begun.
    pub async fn read_all(&self, node: &Node, since: Ms) -> Result<(), StoreError> {
        self.catch_up(node, SUBMISSIONS, since).await?;
        self.catch_up(node, PROGRESS, since).await?;
        self.catch_up(node, SPARE_PROGRESS, since).await?;
        match self.catch_up(node, SPARE, since).await {
            Err(e) if self.jobs().has_begun_unseen() => Err(e),
            Err(e) => {
                log::info!("jobs step=spare-not-read pool={} error=\"{e}\"", self.pool);
                Ok(())
            }
            Ok(()) => Ok(()),
        }
    }

    /// Returns whether the spare partition holds, or held, anything, as far as it was read.
    pub async fn spare_was_used(&self) -> bool {
        self.cursor(SPARE).lock().await.next.is_none_or(|next| next > 0)
    }

    /// Notes which jobs' progress the spare partition holds.
    fn note_spilled(&self, part: u32, records: &[Stored]) {
        if part != SPARE_PROGRESS {
            return;
        }
        let mut spilled = lock(&self.spilled);
        for Stored { record, .. } in records {
            let Some(id) = job_of_progress_key(&record.key) else { continue };
            if record.value().is_some() {
                spilled.insert(id);
            } else {
                spilled.remove(&id);
            }
        }
    }

    /// Returns the jobs of which the spare partition holds progress, for a new owner.
    pub fn spilled(&self) -> BTreeSet<JobId> {
        lock(&self.spilled).clone()
    }

    fn apply(&self, records: Vec<Stored>) {
        let mut jobs = self.jobs();
        for Stored { offset, record } in records {
            self.apply_one(&mut jobs, offset, &record);
        }
    }

    fn apply_one(&self, jobs: &mut JobLog, offset: u64, record: &KeyedRecord) {
        match jobs.apply(&record.key, record.value()) {
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
                self.apply_one(&mut jobs, offset, record);
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
            cursor.next = Some(place.end);
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
        self.owned.store(tx.is_some(), Ordering::Relaxed);
        *lock(&self.owner) = tx;
        jobs
    }
}

async fn read_on(node: Arc<Node>, log: Arc<PoolLog>) {
    loop {
        let result = if log.is_owned() {
            log.wait_for_submissions(&node).await
        } else {
            let since = steady_ms();
            match log.catch_up(&node, SUBMISSIONS, since).await {
                Ok(()) => log.catch_up(&node, PROGRESS, since).await,
                Err(e) => Err(e),
            }
        };
        log.in_trouble.store(result.is_err(), Ordering::Relaxed);
        match result {
            Ok(()) if log.is_owned() => node.note_store(true),
            Ok(()) => {
                log.loaded.store(true, Ordering::Relaxed);
                tokio::time::sleep(READ_EVERY * node.crowd()).await;
            }
            Err(e) => {
                node.note_store(false);
                log::debug!("jobs step=read-failed pool={} error=\"{e}\"", log.pool);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Reads the spare partition for the owner. Other nodes read it when they are asked for a job that
/// they do not know.
async fn read_spare_on(node: Arc<Node>, log: Arc<PoolLog>) {
    loop {
        let in_trouble = log.in_trouble.load(Ordering::Relaxed);
        tokio::time::sleep(if in_trouble { SPARE_EVERY_IN_TROUBLE } else { SPARE_EVERY }).await;
        if !log.is_owned() {
            continue;
        }
        if let Err(e) = log.catch_up(&node, SPARE, steady_ms()).await {
            log::debug!("jobs step=spare-not-read pool={} error=\"{e}\"", log.pool);
        }
    }
}
