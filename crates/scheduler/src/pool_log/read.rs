//! Reading a pool's partitions.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use thistle_platform::{ReadError, StoreError};
use thistle_schedule::Ms;

use super::{Cursor, FURTHER_PROGRESS, PROGRESS, PoolLog, SPARE, SPARE_PROGRESS, SUBMISSIONS};
use crate::clock::steady_ms;
use crate::node::Node;

/// How often a node that reads a pool without owning it reads on, so that it has little to read when it
/// comes to own it; what callers ask for is read when they ask.
const READ_EVERY: Duration = Duration::from_millis(4_000);
/// How old what was read may be for a partition to be read on from there, in milliseconds; the newest
/// record of each key is less than the history of such a time, as progress is written whole each time.
const READ_ON_WITHIN_MS: Ms = 10_000;
/// How long the owner's read waits for submissions: the longest delay of a job whose append was
/// under way when the read arrived, and so does not wake it.
const WAIT: Duration = Duration::from_millis(250);
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(100);
/// How often the owner reads the spare partition while the first one answers, and otherwise.
const SPARE_EVERY: Duration = Duration::from_millis(1_000);
const SPARE_EVERY_IN_TROUBLE: Duration = Duration::from_millis(150);

impl PoolLog {
    /// Makes sure that everything the store had at `since` was read.
    pub async fn catch_up(&self, node: &Node, part: u32, since: Ms) -> Result<(), StoreError> {
        let mut cursor = self.cursor(part).lock().await;
        while cursor.read_at < since {
            let began = steady_ms();
            let result = self.read_once(node, part, &mut cursor, began).await;
            node.standing.note(result.is_ok());
            let from = cursor.next;
            match &result {
                Ok(()) => cursor.failures.end(&self.topic, part),
                Err(e) => cursor.failures.add(&self.topic, part, from, e),
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
        let is_old = began.saturating_sub(cursor.read_at) > READ_ON_WITHIN_MS;
        let Some(from) = cursor.next.filter(|_| !is_old || cursor.read_at == 0) else {
            let newest = node.store.newest(&self.topic, part).await?;
            self.note_spilled(part, &newest.records);
            self.reload(part, &newest.records);
            (cursor.next, cursor.read_at) = (Some(newest.end), 0);
            return Ok(());
        };
        match node.store.read(&self.topic, part, from, Duration::ZERO).await {
            Ok(batch) => {
                let next = from + batch.records.len() as u64;
                let reached_end = next >= batch.end;
                self.note_spilled(part, &batch.records);
                self.apply(part, &batch.records);
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

    /// Reads what is new, for a node that stands by.
    async fn read_on_once(&self, node: &Node) -> Result<(), StoreError> {
        let since = steady_ms();
        self.catch_up(node, SUBMISSIONS, since).await?;
        self.catch_up(node, PROGRESS, since).await
    }

    /// Waits for new submissions and takes them in; for the owner, who acts on them at once.
    async fn wait_for_submissions(&self, node: &Node) -> Result<(), StoreError> {
        let began = steady_ms();
        let Some(from) = self.cursor(SUBMISSIONS).lock().await.next else {
            return self.catch_up(node, SUBMISSIONS, began).await;
        };
        // The cursor is free while this waits, so that callers' reads go on.
        let batch = match node.store.read(&self.topic, SUBMISSIONS, from, WAIT).await {
            Ok(batch) => batch,
            Err(ReadError::Dropped) => {
                self.cursor(SUBMISSIONS).lock().await.next = None;
                return Ok(());
            }
            Err(ReadError::Store(e)) => {
                let mut cursor = self.cursor(SUBMISSIONS).lock().await;
                cursor.failures.add(&self.topic, SUBMISSIONS, Some(from), &e);
                return Err(e);
            }
        };
        let mut cursor = self.cursor(SUBMISSIONS).lock().await;
        cursor.failures.end(&self.topic, SUBMISSIONS);
        let next = from + batch.records.len() as u64;
        if cursor.next.is_some_and(|known| known < next) {
            self.apply(SUBMISSIONS, &batch.records);
            cursor.next = Some(next);
        }
        if cursor.next.is_some_and(|known| known >= batch.end) {
            cursor.read_at = cursor.read_at.max(began);
        }
        Ok(())
    }

    /// Reads all that a new owner must know; `further` tells that progress may stand in further partitions. Jobs of the spare partition are read later if it does
    /// not answer, unless some of them have begun.
    pub async fn read_all(&self, node: &Node, since: Ms, further: bool) -> Result<(), StoreError> {
        if further {
            let parts = FURTHER_PROGRESS.map(|part| self.catch_up(node, part, since));
            futures::future::try_join_all(parts).await?;
        }
        let (submissions, progress, spare_progress, spare) = tokio::join!(
            self.catch_up(node, SUBMISSIONS, since),
            self.catch_up(node, PROGRESS, since),
            self.catch_up(node, SPARE_PROGRESS, since),
            self.catch_up(node, SPARE, since),
        );
        submissions.and(progress).and(spare_progress)?;
        match spare {
            Err(e) if self.jobs().has_begun_unseen() => Err(e),
            Err(e) => {
                log::info!("jobs step=spare-not-read pool={} error=\"{e}\"", self.pool);
                Ok(())
            }
            Ok(()) => Ok(()),
        }
    }
}

/// Reads a pool on for its owner, and on the few nodes that stand by; on all others not at all.
pub(super) async fn read_on(node: Arc<Node>, log: Arc<PoolLog>) {
    loop {
        // What a node that does not hear the others is to read stays as it was.
        let reads = node.reads(&log.pool).unwrap_or_else(|| log.is_read_here());
        if !log.is_owned() && !reads {
            log.reading_on.store(false, Ordering::Relaxed);
            log.owned.wait_unless_owned(about(READ_EVERY)).await;
            continue;
        }
        let owned = log.is_owned();
        let result = match owned {
            true => log.wait_for_submissions(&node).await,
            false => log.read_on_once(&node).await,
        };
        log.in_trouble.store(result.is_err(), Ordering::Relaxed);
        match result {
            Ok(()) if owned => node.standing.note(true),
            Ok(()) => {
                log.reading_on.store(true, Ordering::Relaxed);
                log.owned.wait_unless_owned(about(READ_EVERY)).await;
            }
            Err(e) => {
                node.standing.note(false);
                log::debug!("jobs step=read-failed pool={} error=\"{e}\"", log.pool);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Half of a pause to all of it: nodes that were started at once do not read at once.
fn about(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.0))
}

/// Reads the spare partition for the owner. Other nodes read it when they are asked for a job that
/// they do not know.
pub(super) async fn read_spare_on(node: Arc<Node>, log: Arc<PoolLog>) {
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
