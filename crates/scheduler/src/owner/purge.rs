//! Dropping the records of jobs that were settled long ago.

use thistle_platform::{Guard, KeyedRecord};
use thistle_schedule::job_log::{cancel_key, progress_key, submit_key};
use thistle_schedule::{JobId, Ms, Phase, Progress};

use super::Owner;
use crate::clock::{now, steady_ms};
use crate::journal::Fenced;
use crate::pool_log::{LANES, SPARE};

/// How often settled jobs are looked through for those to be dropped, in milliseconds.
const PURGE_EVERY_MS: Ms = 5_000;
/// How much longer than promised settled jobs are kept, in milliseconds: callers' clocks and ours
/// may differ by seconds.
const PURGE_SLACK_MS: Ms = 30_000;
/// Settled jobs dropped in one go at most.
const PURGE_BATCH: usize = 500;

impl Owner {
    /// Drops the records of jobs that were settled long ago.
    pub(super) async fn purge(&mut self) -> Result<(), Fenced> {
        if steady_ms().saturating_sub(self.purged_at) < PURGE_EVERY_MS {
            return Ok(());
        }
        self.purged_at = steady_ms();
        let keep = u64::try_from(self.node.settings.keep_settled.0.as_millis()).unwrap_or(Ms::MAX);
        let before = now().wall.saturating_sub(keep.saturating_add(PURGE_SLACK_MS));
        let old: Vec<JobId> = {
            let jobs = self.log.jobs();
            let is_old =
                |p: &Progress| p.phase != Phase::Open && p.settled_ms > 0 && p.settled_ms < before;
            let old = jobs.iter().filter(|(_, e)| is_old(&e.progress)).map(|(id, _)| id);
            old.take(PURGE_BATCH).collect()
        };
        if old.is_empty() {
            return Ok(());
        }
        log::info!("jobs step=dropped pool={} count={}", self.log.pool, old.len());
        // A submission that outlived its progress would be run again by the next owner.
        if !self.drop_submissions(&old).await {
            return Ok(());
        }
        let progress: Vec<KeyedRecord> =
            old.iter().map(|&id| KeyedRecord::dropping(progress_key(id))).collect();
        self.journal.append(&self.node, &progress).await?;
        Ok(())
    }

    /// Drops submissions and cancels wherever they may be; returns whether that is done.
    async fn drop_submissions(&self, old: &[JobId]) -> bool {
        let drop_both = |&id: &JobId| {
            [KeyedRecord::dropping(cancel_key(id)), KeyedRecord::dropping(submit_key(id))]
        };
        let records: Vec<KeyedRecord> = old.iter().flat_map(drop_both).collect();
        // The first partition last: who reads of the drop there may read the spare one later, and must not find the job in it.
        for part in LANES.into_iter().rev() {
            if part == SPARE && !self.log.spare_was_used().await {
                continue;
            }
            let guard = Guard::Always;
            if let Err(e) = self.node.store.append(&self.log.topic, part, guard, &records).await {
                log::warn!("jobs step=drop-failed pool={} error=\"{e}\"", self.log.pool);
                return false;
            }
        }
        true
    }
}
