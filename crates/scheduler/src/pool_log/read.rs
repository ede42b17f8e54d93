//! Reading a pool's partitions.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use thistle_platform::{ReadError, StoreError};
use thistle_schedule::Ms;

use super::{Cursor, PROGRESS, PoolLog, SPARE, SPARE_PROGRESS, SUBMISSIONS};
use crate::node::{Node, steady_ms};

/// How often a node that does not own a pool reads on, on a small site, so that it has little to
/// read when it comes to own it; what callers ask for is read when they ask.
const READ_EVERY: Duration = Duration::from_millis(4_000);
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
}

pub(super) async fn read_on(node: Arc<Node>, log: Arc<PoolLog>) {
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
                log.owned.wait_unless_owned(READ_EVERY * node.crowd()).await;
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
