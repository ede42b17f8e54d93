//! Reads a pool's partitions.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use thistle_platform::{ReadError, StoreError};
use thistle_schedule::Ms;

use super::{
    Cursor, FALLBACK_PROGRESS, FALLBACK_SUBMISSIONS, OVERFLOW_PROGRESS, PROGRESS, PoolLog,
    SUBMISSION_PARTITIONS, SUBMISSIONS,
};
use crate::clock::steady_ms;
use crate::follow::report_unreadable;
use crate::node::Node;

/// How often a standby reads new records of a pool, so that it has few left to read when it takes the pool over.
/// Records that callers request are read on request.
const STANDBY_READ_EVERY: Duration = Duration::from_millis(4_000);
/// The greatest age of the last complete read at which reading continues from its end, in milliseconds. After a longer
/// time, the newest record of each key is read instead: this is less data than all records since, because each progress
/// record contains the whole progress of its job.
const MAX_RESUME_AGE_MS: Ms = 10_000;
/// How long the owner's read waits for submissions. An append that is in flight when the read arrives does not end
/// the wait, so this is the longest delay of its job.
const SUBMISSIONS_WAIT: Duration = Duration::from_millis(250);
/// Pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How often the owner reads the fallback partition while reads of the first one succeed.
const FALLBACK_READ_EVERY: Duration = Duration::from_millis(1_000);
/// How often the owner reads the fallback partition after a failed read of the first one.
const FALLBACK_READ_EVERY_AFTER_FAILURE: Duration = Duration::from_millis(150);

impl PoolLog {
    /// Reads a partition until all records that the store had at `since` are applied.
    pub async fn catch_up(&self, node: &Node, part: u32, since: Ms) -> Result<(), StoreError> {
        let mut cursor = self.cursor(part).lock().await;
        while cursor.read_at < since {
            let began = steady_ms();
            let result = self.read_once(node, part, &mut cursor, began).await;
            node.store_health.record_call(result.is_ok());
            let from = cursor.next;
            match &result {
                Ok(()) => self.record_success(&mut cursor, part),
                Err(e) => self.record_failure(&mut cursor, part, from, e),
            }
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
        // `read_at` is 0 after the newest record of each key was read, until a read reaches the end.
        let is_old = began.saturating_sub(cursor.read_at) > MAX_RESUME_AGE_MS;
        let Some(from) = cursor.next.filter(|_| !is_old || cursor.read_at == 0) else {
            let newest = node.store.newest(&self.topic, part).await?;
            report_unreadable(&self.topic, part, &newest.unreadable);
            self.record_overflowed(part, &newest.records);
            self.reload(part, &newest.records);
            (cursor.next, cursor.read_at) = (Some(newest.end), 0);
            return Ok(());
        };
        match node.store.read(&self.topic, part, from, Duration::ZERO).await {
            Ok(batch) => {
                let next = batch.next;
                report_unreadable(&self.topic, part, &batch.unreadable);
                let reached_end = next >= batch.end;
                self.record_overflowed(part, &batch.records);
                self.apply(part, &batch.records);
                cursor.next = Some(next);
                if reached_end {
                    cursor.read_at = began;
                    self.record_read_at(part, began);
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

    fn record_read_at(&self, part: u32, began: Ms) {
        if let Some(index) = index_of(part) {
            self.read_at[index].record(Some(began));
        }
    }

    fn record_success(&self, cursor: &mut Cursor, part: u32) {
        cursor.failures.record_success(&self.topic, part);
        if let Some(index) = index_of(part) {
            self.is_failing[index].store(false, Ordering::Relaxed);
        }
    }

    fn record_failure(&self, cursor: &mut Cursor, part: u32, from: Option<u64>, e: &StoreError) {
        cursor.failures.record_failure(&self.topic, part, from, e);
        if let Some(index) = index_of(part) {
            self.is_failing[index].store(true, Ordering::Relaxed);
        }
    }

    /// Reads new records for a standby.
    async fn read_new_records(&self, node: &Node) -> Result<(), StoreError> {
        let since = steady_ms();
        self.catch_up(node, SUBMISSIONS, since).await?;
        self.catch_up(node, PROGRESS, since).await
    }

    /// Waits for new submissions and applies them, for the owner, which handles them immediately.
    async fn wait_for_submissions(&self, node: &Node) -> Result<(), StoreError> {
        let began = steady_ms();
        let Some(from) = self.cursor(SUBMISSIONS).lock().await.next else {
            return self.catch_up(node, SUBMISSIONS, began).await;
        };
        // The cursor is not locked during the wait, so that reads for callers can continue.
        let batch = match node.store.read(&self.topic, SUBMISSIONS, from, SUBMISSIONS_WAIT).await {
            Ok(batch) => batch,
            Err(ReadError::Dropped) => {
                self.cursor(SUBMISSIONS).lock().await.next = None;
                return Ok(());
            }
            Err(ReadError::Store(e)) => {
                let mut cursor = self.cursor(SUBMISSIONS).lock().await;
                self.record_failure(&mut cursor, SUBMISSIONS, Some(from), &e);
                return Err(e);
            }
        };
        let mut cursor = self.cursor(SUBMISSIONS).lock().await;
        self.record_success(&mut cursor, SUBMISSIONS);
        let next = batch.next;
        report_unreadable(&self.topic, SUBMISSIONS, &batch.unreadable);
        if cursor.next.is_some_and(|known| known < next) {
            self.apply(SUBMISSIONS, &batch.records);
            cursor.next = Some(next);
        }
        if cursor.next.is_some_and(|known| known >= batch.end) {
            cursor.read_at = cursor.read_at.max(began);
            self.record_read_at(SUBMISSIONS, began);
        }
        Ok(())
    }

    /// Reads all records that a new owner needs; `overflow` states whether progress may be in the overflow
    /// partitions. If the fallback partition of submissions does not answer, its jobs are read later, unless some of
    /// them have started.
    pub async fn read_all(&self, node: &Node, since: Ms, overflow: bool) -> Result<(), StoreError> {
        if overflow {
            let parts = OVERFLOW_PROGRESS.map(|part| self.catch_up(node, part, since));
            futures::future::try_join_all(parts).await?;
        }
        let (submissions, progress, fallback_progress, fallback) = tokio::join!(
            self.catch_up(node, SUBMISSIONS, since),
            self.catch_up(node, PROGRESS, since),
            self.catch_up(node, FALLBACK_PROGRESS, since),
            self.catch_up(node, FALLBACK_SUBMISSIONS, since),
        );
        submissions.and(progress).and(fallback_progress)?;
        match fallback {
            Err(e) if self.jobs().has_start_without_submission() => Err(e),
            Err(e) => {
                log::info!("jobs step=spare-not-read pool={} error=\"{e}\"", self.pool);
                Ok(())
            }
            Ok(()) => Ok(()),
        }
    }
}

/// Follows a pool's records on its owner and on the few standbys. Other nodes do not follow them.
pub(super) async fn follow_records(node: Arc<Node>, log: Arc<PoolLog>) {
    loop {
        // A node that cannot receive heartbeats keeps its current role.
        let should_follow = node.should_follow(&log.pool).unwrap_or_else(|| log.is_followed());
        if !log.is_owned() && !should_follow {
            log.is_following.store(false, Ordering::Relaxed);
            log.owned.wait_until_owned_or(jittered(STANDBY_READ_EVERY)).await;
            continue;
        }
        let owned = log.is_owned();
        let result = match owned {
            true => log.wait_for_submissions(&node).await,
            false => log.read_new_records(&node).await,
        };
        log.last_read_failed.store(result.is_err(), Ordering::Relaxed);
        match result {
            Ok(()) if owned => node.store_health.record_call(true),
            Ok(()) => {
                log.is_following.store(true, Ordering::Relaxed);
                log.owned.wait_until_owned_or(jittered(STANDBY_READ_EVERY)).await;
            }
            Err(e) => {
                node.store_health.record_call(false);
                log::debug!("jobs step=read-failed pool={} error=\"{e}\"", log.pool);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns a random duration between half of a pause and all of it, so that nodes started together do not read at
/// the same time.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.0))
}

/// Reads the fallback partition of submissions for the owner. Other nodes read it when a caller requests a job that
/// they do not know.
pub(super) async fn follow_fallback(node: Arc<Node>, log: Arc<PoolLog>) {
    loop {
        let has_failed = log.last_read_failed.load(Ordering::Relaxed);
        tokio::time::sleep(if has_failed {
            FALLBACK_READ_EVERY_AFTER_FAILURE
        } else {
            FALLBACK_READ_EVERY
        })
        .await;
        if !log.is_owned() {
            continue;
        }
        if let Err(e) = log.catch_up(&node, FALLBACK_SUBMISSIONS, steady_ms()).await {
            log::debug!("jobs step=spare-not-read pool={} error=\"{e}\"", log.pool);
        }
    }
}

/// Returns the index of a partition among those of submissions.
fn index_of(part: u32) -> Option<usize> {
    SUBMISSION_PARTITIONS.iter().position(|&p| p == part)
}
