//! Writes the progress of jobs to the store.

use std::collections::BTreeSet;

use metrics::counter;
use thistle_platform::KeyedRecord;
use thistle_schedule::job_log::{Version, encode, encode_progress, progress_key};
use thistle_schedule::pool::{Order, StartResult};
use thistle_schedule::record_fit::LeftOut;
use thistle_schedule::{JobId, Ms, Progress};

use super::Owner;
use crate::clock::{now, steady_ms};
use crate::control::announce_overflow;
use crate::journal::{Fenced, RETRY_PAUSE};
use crate::pool_log::{OVERFLOW_PROGRESS, PROGRESS};

/// The most jobs whose progress is copied back to the first partition in one step.
const REPAIR_BATCH: usize = 200;

/// The shortest time between two attempts to open or close the overflow partitions, in milliseconds: each attempt is
/// an append to the partition of claims and may make other nodes retry theirs.
const OVERFLOW_RETRY_MS: Ms = 300;
/// How long the overflow partitions must have no writes before they are closed, in milliseconds, as an outage of the
/// store may pause and resume.
const OVERFLOW_IDLE_MS: Ms = 3_000;

/// Numbers the owner's progress records and tracks which partitions hold them.
#[derive(Debug)]
pub(super) struct ProgressWriter {
    last_version: Version,
    /// Jobs whose newest progress is in a fallback or overflow partition and must be copied to the first one, each with
    /// the partition that holds it.
    overflowed: BTreeSet<(JobId, u32)>,
    /// Jobs whose progress in a fallback or overflow partition is outdated and may be dropped, each with
    /// that partition.
    outdated: BTreeSet<(JobId, u32)>,
    /// Whether this owner or its predecessor announced that the overflow partitions may hold progress.
    overflow_announced: bool,
    /// When the overflow partitions were last opened or written to.
    overflow_used_at: Ms,
    /// When opening or closing the overflow partitions was last attempted.
    overflow_tried_at: Ms,
    /// Jobs whose newest progress is too long to be written.
    too_long: BTreeSet<JobId>,
    /// Jobs whose newest record leaves out checkpoints or crash histories.
    left_out: BTreeSet<JobId>,
}

impl ProgressWriter {
    /// Creates the writer of a new owner; `overflowed` lists the progress that its predecessors left outside the
    /// first partition.
    pub fn new(token: u64, overflowed: BTreeSet<(JobId, u32)>, overflow_announced: bool) -> Self {
        Self {
            last_version: Version { token, number: 0 },
            overflowed,
            outdated: BTreeSet::new(),
            overflow_announced,
            overflow_used_at: 0,
            overflow_tried_at: 0,
            too_long: BTreeSet::new(),
            left_out: BTreeSet::new(),
        }
    }

    fn next_version(&mut self) -> Version {
        self.last_version.number += 1;
        self.last_version
    }

    /// Records to which partition the progress of some jobs was written.
    fn record_written(&mut self, ids: impl Iterator<Item = JobId>, part: u32) {
        if OVERFLOW_PROGRESS.contains(&part) {
            self.overflow_used_at = steady_ms();
        }
        for id in ids {
            if part != PROGRESS {
                self.outdated.remove(&(id, part));
                self.overflowed.insert((id, part));
                continue;
            }
            let stale: Vec<(JobId, u32)> =
                self.overflowed.range((id, 0)..=(id, u32::MAX)).copied().collect();
            for entry in stale {
                self.overflowed.remove(&entry);
                self.outdated.insert(entry);
            }
        }
    }

    /// Returns whether the overflow partitions hold no progress and have had no writes for a while.
    fn overflow_is_empty(&self) -> bool {
        let mut entries = self.overflowed.iter().chain(&self.outdated);
        let quiet = steady_ms().saturating_sub(self.overflow_used_at) >= OVERFLOW_IDLE_MS;
        quiet && !entries.any(|(_, part)| OVERFLOW_PROGRESS.contains(part))
    }

    /// Returns whether the overflow partitions may be opened or closed now.
    pub fn overflow_is_due(&self) -> bool {
        steady_ms().saturating_sub(self.overflow_tried_at) >= OVERFLOW_RETRY_MS
    }

    /// Returns whether the overflow partitions may be opened or closed now, and if so records the attempt.
    fn may_try_overflow(&mut self) -> bool {
        let may = self.overflow_is_due();
        if may {
            self.record_overflow_tried();
        }
        may
    }

    /// Records an attempt to open or close the overflow partitions.
    pub fn record_overflow_tried(&mut self) {
        self.overflow_tried_at = steady_ms();
    }

    /// Records that the overflow partitions are open.
    pub fn record_overflow_opened(&mut self) {
        self.overflow_announced = true;
        self.overflow_used_at = steady_ms();
    }
}

impl Owner {
    /// Writes the progress of jobs, in as many appends as needed. The store would refuse a whole append for one record that is too
    /// long, so these records are left out, and their jobs are returned.
    pub(super) async fn write_progress(
        &mut self,
        records: Vec<(JobId, Progress)>,
    ) -> Result<BTreeSet<JobId>, Fenced> {
        let max_record_bytes = self.node.settings.max_record_bytes;
        let mut too_long = BTreeSet::new();
        let mut size = 0;
        let mut batch = Vec::new();
        let mut keyed = Vec::new();
        for (id, progress) in records {
            let version = self.writer.next_version();
            let record = KeyedRecord::new(progress_key(id), encode_progress(version, &progress));
            if record.framed_len() > max_record_bytes {
                self.log_too_long(id, record.framed_len(), &progress);
                too_long.insert(id);
                continue;
            }
            self.writer.too_long.remove(&id);
            if size + record.framed_len() > self.node.settings.max_append_bytes && !keyed.is_empty()
            {
                self.write_batch(std::mem::take(&mut batch), &keyed).await?;
                keyed.clear();
                size = 0;
            }
            size += record.framed_len();
            keyed.push(record);
            batch.push((id, version, progress));
        }
        if !keyed.is_empty() {
            self.write_batch(batch, &keyed).await?;
        }
        Ok(too_long)
    }

    /// Takes back the starts of jobs whose progress is too long to be written. Returns the other orders.
    pub(super) fn withhold_unrecorded(
        &mut self,
        orders: Vec<Order>,
        too_long: BTreeSet<JobId>,
    ) -> Vec<Order> {
        let is_withheld = |order: &Order| match order {
            Order::Start(start) => too_long.contains(&start.run.task.job),
            Order::Stop { .. } | Order::Throttle { .. } | Order::RequestAdvice(_) => false,
        };
        let (withheld, orders): (Vec<Order>, Vec<Order>) =
            orders.into_iter().partition(is_withheld);
        self.pool.set_unrecorded(too_long);
        for order in withheld {
            if let Order::Start(start) = order {
                self.pool.apply_start_result(&start.vm, start.run, StartResult::Withheld, now());
            }
        }
        orders
    }

    /// Logs that the progress of a job is too long to be written, once until it is written again.
    fn log_too_long(&mut self, id: JobId, bytes: usize, progress: &Progress) {
        if self.writer.too_long.insert(id) {
            counter!("thistle_progress_too_long").increment(1);
            let checkpoint_bytes: usize = progress.tasks.iter().map(|t| t.checkpoint.len()).sum();
            let crash_history_bytes = encode(&progress.crash_histories).len();
            log::error!(
                "progress step=too-long id={id} pool={} bytes={bytes} max_bytes={} tasks={} checkpoint_bytes={checkpoint_bytes} \
                 crash_history_bytes={crash_history_bytes}: the job starts nothing until tasks of it have ended",
                self.log.pool,
                self.node.settings.max_record_bytes,
                progress.tasks.len(),
            );
        }
    }

    /// Logs what the written records leave out for lack of room: once for a job, until a record of it holds everything again.
    pub(super) fn log_left_out(&mut self) {
        let left_out = self.pool.left_out();
        self.writer.left_out.retain(|id| left_out.contains_key(id));
        for (&id, LeftOut { checkpoints, crash_histories }) in left_out {
            if self.writer.left_out.insert(id) {
                counter!("thistle_progress_left_out").increment(1);
                log::warn!(
                    "progress step=left-out id={id} pool={} checkpoints={checkpoints} crash_histories={crash_histories} \
                     max_bytes={}: a new owner would start such tasks from the beginning",
                    self.log.pool,
                    self.node.settings.max_record_bytes,
                );
            }
        }
    }

    async fn write_batch(
        &mut self,
        batch: Vec<(JobId, Version, Progress)>,
        keyed: &[KeyedRecord],
    ) -> Result<(), Fenced> {
        let journal = self.journal.clone();
        let (position, _locked) = loop {
            let mut locked = journal.lock().await;
            if let Some(position) = locked.try_append(&self.node, keyed).await? {
                break (position, locked);
            }
            drop(locked);
            self.open_overflow_partitions().await;
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        self.writer.record_written(batch.iter().map(|(id, ..)| *id), position.part);
        if position.part != PROGRESS {
            counter!("thistle_spare_progress").increment(1);
            let (pool, part) = (&self.log.pool, position.part);
            log::info!("progress step=spare pool={pool} part={part} jobs={}", batch.len());
        }
        self.log.apply_progress(batch, position).await;
        Ok(())
    }

    /// Opens the overflow partitions because neither the first nor the fallback partition accepts progress. Without
    /// them, a pool stalls for 5.7 s if that happens at the onset of its peak load, and requests of its kind earn 0.37
    /// of the value due on such a day.
    async fn open_overflow_partitions(&mut self) {
        if self.journal.lock().await.has_any_partition(&OVERFLOW_PROGRESS)
            || !self.writer.may_try_overflow()
        {
            return;
        }
        if announce_overflow(&self.node, &self.log.pool, self.token, true).await {
            self.writer.record_overflow_opened();
            self.journal.lock().await.add_partitions(&OVERFLOW_PROGRESS);
        }
    }

    /// Closes the overflow partitions once they hold no progress.
    async fn close_overflow_partitions(&mut self) {
        let lease_bounds_elsewhere = !OVERFLOW_PROGRESS.contains(&self.log.lease_bounds_part());
        // An unanswered record may be in an overflow partition, where no later owner would find it replaced.
        let done = self.writer.overflow_announced
            && self.writer.overflow_is_empty()
            && lease_bounds_elsewhere
            && !self.lease_recorder.is_uncertain();
        if !done || !self.first_partition_is_due() || !self.writer.may_try_overflow() {
            return;
        }
        // Stop writing to them before announcing that they are empty.
        self.journal.lock().await.close_partitions(&OVERFLOW_PROGRESS);
        self.writer.overflow_announced =
            !announce_overflow(&self.node, &self.log.pool, self.token, false).await;
    }

    /// Returns whether the first partition is not in backoff. It counts as in backoff while a record is being written.
    pub(super) fn first_partition_is_due(&self) -> bool {
        self.journal.try_lock().is_ok_and(|journal| journal.first_partition_is_due())
    }

    /// Copies progress from the fallback and overflow partitions to the first one once that accepts records, and
    /// drops the originals: other nodes read only the first partition.
    pub(super) async fn repair_progress(&mut self) -> Result<(), Fenced> {
        self.close_overflow_partitions().await;
        if !self.writer.overflowed.is_empty() && self.first_partition_is_due() {
            let mut ids: Vec<JobId> = self.writer.overflowed.iter().map(|&(id, _)| id).collect();
            ids.dedup();
            ids.truncate(REPAIR_BATCH);
            let copies = self.known_progress(&ids);
            log::info!("progress step=repair pool={} jobs={}", self.log.pool, copies.len());
            // Progress of an unknown job was dropped together with its submission.
            let gone = ids.into_iter().filter(|id| !copies.iter().any(|(known, _)| known == id));
            self.writer.record_written(gone, PROGRESS);
            // These records were written before, so none is too long.
            self.write_progress(copies).await?;
        }
        self.drop_outdated().await
    }

    /// Drops progress in the fallback and overflow partitions that was copied to the first one.
    async fn drop_outdated(&mut self) -> Result<(), Fenced> {
        let mut parts: Vec<u32> = self.writer.outdated.iter().map(|&(_, part)| part).collect();
        parts.sort_unstable();
        parts.dedup();
        for part in parts {
            let entries = self.writer.outdated.iter().filter(|(_, p)| *p == part);
            let drops: Vec<KeyedRecord> =
                entries.map(|&(id, _)| KeyedRecord::deleting(progress_key(id))).collect();
            let mut journal = self.journal.lock().await;
            if journal.append_to_part(&self.node, part, &drops).await? {
                self.writer.outdated.retain(|(_, p)| *p != part);
            }
        }
        Ok(())
    }

    fn known_progress(&self, ids: &[JobId]) -> Vec<(JobId, Progress)> {
        let jobs = self.log.jobs();
        let progress = |&id: &JobId| {
            let entry = jobs.get(id).filter(|entry| entry.spec.is_some())?;
            Some((id, entry.progress.clone()))
        };
        ids.iter().filter_map(progress).collect()
    }
}
