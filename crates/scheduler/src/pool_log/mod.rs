//! The records of one pool that this node has read.

mod lease_bounds;
mod outage;
mod read;
mod submission_partitions;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use metrics::histogram;
use thistle_model::clock::wall_ms;
use thistle_platform::{KeyedRecord, Stored};
use thistle_schedule::job_log::{
    Version, cancel_received_ms, job_of_cancel_key, job_of_progress_key, job_of_submit_key,
};
use thistle_schedule::lease_bounds::KEY as LEASE_BOUNDS_KEY;
use thistle_schedule::{JobId, JobLog, LeaseBounds, LogChange, Ms, Progress, freshness};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::clock::steady_ms;
use crate::journal::AppendPosition;
use crate::locks::lock;
use crate::node::Node;
use crate::owner::Event;
use crate::ownership_flag::OwnershipFlag;
use crate::read_failures::ReadFailures;
use crate::read_time::ReadTime;
use crate::start_texts::TextReads;
use crate::submit::{Submission, run_submitter};
use crate::write_outcome::WriteOutcome;
pub use outage::is_answered;
use submission_partitions::PartitionState;

/// The partition to which any node appends submissions and cancellations.
pub const SUBMISSIONS: u32 = 0;
/// The partition of progress, to which only the pool's owner appends.
pub const PROGRESS: u32 = 1;
/// The fallback partition, to which any node appends submissions and cancellations that the first one does not
/// accept: an outage of the store may affect only some partitions.
pub const FALLBACK_SUBMISSIONS: u32 = 2;
/// The fallback partition of progress, to which the owner appends while the first one does not accept records.
pub const FALLBACK_PROGRESS: u32 = 3;
/// The overflow partitions, to which the owner appends progress while neither of these two accepts it. The owner
/// announces their use first.
pub const OVERFLOW_PROGRESS: [u32; 2] = [5, 7];
/// The pool's own partition of heartbeats, to which its owner appends while those to the common partitions are late.
pub const OWNER_HEARTBEATS: u32 = 6;
/// The partitions of submissions, in the order in which they are tried.
pub const SUBMISSION_PARTITIONS: [u32; 2] = [SUBMISSIONS, FALLBACK_SUBMISSIONS];
/// How old the last read of the fallback partition may be when a caller's request is answered, in milliseconds: half
/// of the time within which each node has to show a job.
pub const FALLBACK_MAX_AGE_MS: Ms = 1_500;

/// Returns the topic of a pool's partitions.
pub fn topic_of(pool: &str) -> String {
    format!("jobs.{pool}")
}

/// The position up to which a partition was read.
#[derive(Debug, Default)]
struct Cursor {
    /// The offset of the next record; `None` until the newest record of each key was read.
    next: Option<u64>,
    /// When the last read that reached the end was started.
    read_at: Ms,
    /// The failed reads since the last one that succeeded.
    failures: ReadFailures,
}

/// The records of one pool that this node has read.
pub struct PoolLog {
    /// The pool.
    pub pool: Arc<str>,
    /// The topic of the pool's partitions.
    pub topic: String,
    jobs: Mutex<JobLog>,
    cursors: [tokio::sync::Mutex<Cursor>; 6],
    /// The jobs whose progress was read from a fallback or overflow partition, with that partition.
    overflowed: Mutex<BTreeSet<(JobId, u32)>>,
    lease_bounds: Mutex<LeaseBounds>,
    /// The channel that sends changes to the owner on this node.
    owner: Mutex<Option<UnboundedSender<Event>>>,
    owned: OwnershipFlag,
    /// Whether this node follows the pool's records without owning it, and has caught up once.
    is_following: AtomicBool,
    /// Whether the pool is known to have had an owner.
    had_owner: AtomicBool,
    partition_states: [PartitionState; SUBMISSION_PARTITIONS.len()],
    /// Whether the last read by `follow_records` failed: the owner's read of submissions, or a standby's read of new records.
    last_read_failed: AtomicBool,
    /// When the last read of each partition of submissions that reached its end was started.
    read_at: [ReadTime; SUBMISSION_PARTITIONS.len()],
    /// Whether this node fails to read each partition of submissions.
    is_failing: [AtomicBool; SUBMISSION_PARTITIONS.len()],
    /// When the last check was started that found each partition of submissions down for other nodes too.
    down_at: [ReadTime; SUBMISSION_PARTITIONS.len()],
    submitter: UnboundedSender<Submission>,
    /// The reads for starts that this node sends for the owner.
    pub text_reads: TextReads,
    /// The number of jobs read so far, for metrics.
    pub submitted: AtomicU64,
}

impl PoolLog {
    /// Creates a pool's log and starts the async tasks that read and write it.
    pub fn start(node: &Arc<Node>, pool: &Arc<str>) -> Arc<Self> {
        let (submitter, rx) = tokio::sync::mpsc::unbounded_channel();
        let log = Arc::new(Self {
            pool: pool.clone(),
            topic: topic_of(pool),
            jobs: Mutex::default(),
            cursors: Default::default(),
            overflowed: Mutex::default(),
            lease_bounds: Mutex::default(),
            owner: Mutex::default(),
            owned: OwnershipFlag::default(),
            is_following: AtomicBool::new(false),
            had_owner: AtomicBool::new(false),
            partition_states: Default::default(),
            last_read_failed: AtomicBool::new(false),
            read_at: Default::default(),
            is_failing: Default::default(),
            down_at: Default::default(),
            submitter,
            text_reads: TextReads::default(),
            submitted: AtomicU64::new(0),
        });
        tokio::spawn(run_submitter(node.clone(), log.clone(), rx));
        tokio::spawn(read::follow_records(node.clone(), log.clone()));
        tokio::spawn(read::follow_fallback(node.clone(), log.clone()));
        tokio::spawn(outage::check_outages(node.clone(), log.clone()));
        log
    }

    /// Locks the known jobs of the pool.
    pub fn jobs(&self) -> MutexGuard<'_, JobLog> {
        lock(&self.jobs)
    }

    /// Returns whether this node follows the pool's records, as its owner or as a standby.
    pub fn is_followed(&self) -> bool {
        self.is_owned() || self.is_following.load(Ordering::Relaxed)
    }

    /// Returns whether the owner runs on this node, so that new progress is known immediately.
    pub fn is_owned(&self) -> bool {
        self.owned.get()
    }

    /// Returns whether the pool has or had an owner; `has_one` states whether it has one now.
    pub fn has_had_owner(&self, has_one: bool) -> bool {
        self.had_owner.fetch_or(has_one, Ordering::Relaxed) || has_one
    }

    /// Waits until the owner runs on this node, for at most `timeout`.
    pub async fn wait_until_owned(&self, timeout: Duration) {
        self.owned.wait_until_owned_or(timeout).await;
    }

    /// Passes a submission or a cancellation to the task that appends.
    pub fn submit(&self, submission: Submission) {
        // The task ends only with the process; the submission's outcome channel is then closed.
        let _ = self.submitter.send(submission);
    }

    /// Appends a submission or a cancellation and returns the outcome.
    pub async fn write(&self, record: KeyedRecord) -> WriteOutcome {
        let (outcome_tx, outcome_rx) = oneshot::channel();
        self.submit(Submission { record, at: steady_ms(), forwarded: false, outcome_tx });
        // Without an outcome, the append may still be in progress.
        outcome_rx.await.unwrap_or(WriteOutcome::Unknown)
    }

    /// Returns the age of the last complete read of submissions to the first partition, in milliseconds, if this node follows
    /// the pool.
    pub fn read_age(&self) -> Option<Ms> {
        let age = steady_ms().saturating_sub(self.submissions_known_until());
        self.is_followed().then_some(age)
    }

    /// Returns the time up to which all submissions to the first partition are known.
    pub fn submissions_known_until(&self) -> Ms {
        self.read_at[0].get().unwrap_or(0)
    }

    /// Returns the ages of the last complete reads of the partitions of submissions and cancellations, in milliseconds.
    pub fn read_ages(&self) -> [Option<Ms>; SUBMISSION_PARTITIONS.len()] {
        self.read_at.each_ref().map(ReadTime::age)
    }

    /// Returns whether all cancellations are known that have to be in force. A partition that is down for other nodes too has got
    /// none.
    pub fn knows_cancels(&self, node: &Node) -> bool {
        let known_until: Vec<_> = self.cancels_known_until().collect();
        freshness::are_current(&known_until, node.cancel_within(), steady_ms())
    }

    /// Returns whether all cancellations are known that the store had at `since`.
    pub fn has_known_cancels_since(&self, since: Ms) -> bool {
        self.cancels_known_until().all(|until| until.is_some_and(|at| at >= since))
    }

    /// Returns the time up to which all cancellations in each partition are known.
    fn cancels_known_until(&self) -> impl Iterator<Item = Option<Ms>> {
        let times = self.read_at.iter().zip(&self.down_at);
        times.map(|(read, down)| read.get().max(down.get()))
    }

    fn cursor(&self, part: u32) -> &tokio::sync::Mutex<Cursor> {
        match part {
            SUBMISSIONS => &self.cursors[0],
            FALLBACK_SUBMISSIONS => &self.cursors[1],
            PROGRESS => &self.cursors[2],
            FALLBACK_PROGRESS => &self.cursors[3],
            part if part == OVERFLOW_PROGRESS[0] => &self.cursors[4],
            _ => &self.cursors[5],
        }
    }

    /// Returns whether the fallback partition holds or has held any record, or was not read yet.
    pub async fn fallback_was_used(&self) -> bool {
        self.cursor(FALLBACK_SUBMISSIONS).lock().await.next.is_none_or(|next| next > 0)
    }

    /// Records which jobs have progress in a fallback or overflow partition.
    fn record_overflowed(&self, part: u32, records: &[Stored]) {
        if part != FALLBACK_PROGRESS && !OVERFLOW_PROGRESS.contains(&part) {
            return;
        }
        let mut overflowed = lock(&self.overflowed);
        for Stored { record, .. } in records {
            let Some(id) = job_of_progress_key(&record.key) else { continue };
            if record.value().is_some() {
                overflowed.insert((id, part));
            } else {
                overflowed.remove(&(id, part));
            }
        }
    }

    /// Returns the jobs with progress in a fallback or overflow partition, with that partition, for a new owner.
    pub fn overflowed_progress(&self) -> BTreeSet<(JobId, u32)> {
        lock(&self.overflowed).clone()
    }

    fn apply(&self, part: u32, records: &[Stored]) {
        let mut jobs = self.jobs();
        for Stored { offset, record } in records {
            self.apply_record(&mut jobs, part, *offset, record);
        }
    }

    /// Applies the newest record of each key of a partition. Jobs without a record there were dropped.
    fn reload(&self, part: u32, records: &[Stored]) {
        if SUBMISSION_PARTITIONS.contains(&part) {
            let newest = records.iter().filter(|stored| stored.record.value().is_some());
            let kept = newest.filter_map(|stored| job_of_submit_key(&stored.record.key)).collect();
            self.jobs().record_reload(part, &kept);
        }
        self.apply(part, records);
    }

    fn apply_record(&self, jobs: &mut JobLog, part: u32, offset: u64, record: &KeyedRecord) {
        if record.key == LEASE_BOUNDS_KEY {
            self.apply_lease_bounds(part, record);
            return;
        }
        match jobs.apply_from(part, &record.key, record.value()) {
            Ok(Some(change)) => {
                if self.is_owned() {
                    self.log_read(change, part, offset, record);
                }
                self.notify_owner(change);
            }
            Ok(None) => (),
            Err(e) => {
                log::error!("jobs step=unreadable pool={} offset={offset} key={}", self.pool, e.0);
            }
        }
    }

    /// Records that this node has applied what it has just appended as owner.
    async fn advance(&self, position: AppendPosition) {
        let mut cursor = self.cursor(position.part).lock().await;
        if cursor.next == Some(position.offset) {
            (cursor.next, cursor.read_at) = (Some(position.end), steady_ms());
        }
    }

    /// Logs a submission or a cancellation that the owner's node has read.
    fn log_read(&self, change: LogChange, part: u32, offset: u64, record: &KeyedRecord) {
        let pool = &self.pool;
        match change {
            LogChange::Submitted(id) => {
                log::info!("job id={id} step=read pool={pool} part={part} offset={offset}");
            }
            LogChange::Cancelled(id) => {
                let age = record_cancel_age(record);
                log::info!(
                    "cancel step=read id={id} pool={pool} part={part} offset={offset} age_ms={age:?}"
                );
            }
            LogChange::PassedOn(_) | LogChange::BoundElsewhere(_) => (),
        }
    }

    fn notify_owner(&self, change: LogChange) {
        if matches!(change, LogChange::Submitted(_)) {
            self.submitted.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(tx) = &*lock(&self.owner) {
            // The owner may just have ended, and then needs no event.
            let _ = tx.send(Event::Log(change));
        }
    }

    /// Applies submissions and cancellations that this node has just appended. Earlier records of other nodes are
    /// applied first: a cancellation may precede its job.
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
                self.apply_record(&mut jobs, part, offset, record);
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

    /// Applies a cancellation that another node has written, before this node reads it. Returns whether it was one.
    pub fn apply_cancel_notice(&self, record: &KeyedRecord) -> bool {
        let Some(id) = job_of_cancel_key(&record.key) else { return false };
        let mut jobs = self.jobs();
        match jobs.apply(&record.key, record.value()) {
            Ok(Some(change)) => {
                let age = record_cancel_age(record);
                log::info!("cancel step=notified id={id} pool={} age_ms={age:?}", self.pool);
                self.notify_owner(change);
            }
            Ok(None) => (),
            Err(e) => {
                log::error!("jobs step=unreadable pool={} key={}", self.pool, e.0);
                return false;
            }
        }
        true
    }

    /// Applies progress that this node has just appended as owner.
    pub async fn apply_progress(
        &self,
        records: Vec<(JobId, Version, Progress)>,
        position: AppendPosition,
    ) {
        self.advance(position).await;
        let mut jobs = self.jobs();
        for (id, version, progress) in records {
            jobs.set_progress(id, version, progress);
        }
    }

    /// Connects an owner on this node, or disconnects it. Returns the locked jobs, so that the
    /// owner adopts the known jobs before it receives any change.
    pub fn connect_owner(&self, tx: Option<UnboundedSender<Event>>) -> MutexGuard<'_, JobLog> {
        let jobs = self.jobs();
        self.owned.set(tx.is_some());
        *lock(&self.owner) = tx;
        jobs
    }
}

/// Returns how long ago a cancellation was received that its pool's owner learns of now, in milliseconds, and records it as a
/// metric. It may be off by the difference between the clocks of two nodes.
fn record_cancel_age(record: &KeyedRecord) -> Option<Ms> {
    let age = wall_ms().saturating_sub(cancel_received_ms(&record.value)?);
    histogram!("thistle_cancel_read_seconds").record(Duration::from_millis(age));
    Some(age)
}
