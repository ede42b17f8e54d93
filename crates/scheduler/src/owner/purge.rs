//! Drops the records of jobs that settled long ago, and cancellations that another pool has.

use thistle_platform::{Guard, KeyedRecord};
use thistle_schedule::job_log::{JobEntry, progress_key, submit_key};
use thistle_schedule::{JobId, Ms};

use super::Owner;
use crate::clock::{now, steady_ms};
use crate::journal::Fenced;
use crate::pool_log::{FALLBACK_SUBMISSIONS, SUBMISSION_PARTITIONS};

/// How often settled jobs are checked for expired ones, in milliseconds.
const PURGE_EVERY_MS: Ms = 5_000;
/// How much longer than promised settled jobs are kept, in milliseconds: the clocks of callers and of this node may
/// differ by seconds.
const PURGE_SLACK_MS: Ms = 30_000;
/// The most settled jobs dropped in one step.
const PURGE_BATCH: usize = 500;

impl Owner {
    /// Drops the records of jobs that settled longer ago than the retention time.
    pub(super) async fn purge(&mut self) -> Result<(), Fenced> {
        if steady_ms().saturating_sub(self.purged_at) < PURGE_EVERY_MS {
            return Ok(());
        }
        self.purged_at = steady_ms();
        let keep = u64::try_from(self.node.settings.keep_settled.0.as_millis()).unwrap_or(Ms::MAX);
        let keep = keep.saturating_add(PURGE_SLACK_MS);
        self.drop_early_cancels(keep).await;
        let before = now().wall.saturating_sub(keep);
        let old: Vec<JobId> = {
            let jobs = self.log.jobs();
            let is_old = |id: JobId, entry: &JobEntry| {
                let settled_ms = entry.progress.settled_ms;
                let is_settled = entry.is_decided() && settled_ms > 0 && settled_ms < before;
                is_settled && self.are_origins_notified(id, entry) || entry.is_notice_only()
            };
            let old = jobs.iter().filter(|(id, entry)| is_old(*id, entry)).map(|(id, _)| id);
            old.take(PURGE_BATCH).collect()
        };
        if old.is_empty() {
            return Ok(());
        }
        log::info!("jobs step=dropped pool={} count={}", self.log.pool, old.len());
        // The next owner would run a job again if its submission outlived its progress.
        if !self.drop_submissions(&old).await {
            return Ok(());
        }
        let progress: Vec<KeyedRecord> =
            old.iter().map(|&id| KeyedRecord::deleting(progress_key(id))).collect();
        self.journal.lock().await.append(&self.node, &progress).await?;
        old.iter().for_each(|&id| self.intake.notices.remove(id));
        Ok(())
    }

    /// Drops cancellations that were passed on longer ago than `keep`, of jobs that never came to this pool. Cancellations are
    /// written to all pools that their jobs may be in.
    async fn drop_early_cancels(&self, keep: Ms) {
        let now = steady_ms();
        let records: Vec<KeyedRecord> = {
            let jobs = self.log.jobs();
            let passed_on = self.intake.cancels_passed_on.iter();
            let old = passed_on.filter(|(id, (callers, at))| {
                let is_only = |entry: &JobEntry| {
                    let mut cancelled_by = entry.cancelled_by.iter().flatten();
                    entry.is_cancel_only() && cancelled_by.all(|by| callers.contains(by))
                };
                now.saturating_sub(*at) > keep && jobs.get(**id).is_some_and(is_only)
            });
            let keys = old.take(PURGE_BATCH).flat_map(|(&id, _)| jobs.cancel_keys(id));
            keys.map(KeyedRecord::deleting).collect()
        };
        if !records.is_empty() && self.drop_records(&records).await {
            log::info!("cancels step=dropped pool={} count={}", self.log.pool, records.len());
        }
    }

    /// Drops submissions and what belongs to them; returns whether all were dropped.
    async fn drop_submissions(&self, old: &[JobId]) -> bool {
        let records: Vec<KeyedRecord> = {
            let jobs = self.log.jobs();
            let keys = |&id: &JobId| {
                let mut keys = jobs.keys_of_passing_on(id);
                keys.extend(jobs.cancel_keys(id));
                keys.push(submit_key(id));
                keys
            };
            old.iter().flat_map(keys).map(KeyedRecord::deleting).collect()
        };
        self.drop_records(&records).await
    }

    /// Drops records from all partitions of submissions that may hold them; returns whether all were dropped.
    async fn drop_records(&self, records: &[KeyedRecord]) -> bool {
        // The first partition goes last: a node that reads the drop there may read the fallback partition later, and
        // must not find the job in it.
        for part in SUBMISSION_PARTITIONS.into_iter().rev() {
            if part == FALLBACK_SUBMISSIONS && !self.log.fallback_was_used().await {
                continue;
            }
            let guard = Guard::Always;
            if let Err(e) = self.node.store.append(&self.log.topic, part, guard, records).await {
                log::warn!("jobs step=drop-failed pool={} error=\"{e}\"", self.log.pool);
                return false;
            }
        }
        true
    }
}
