//! Writing how far jobs are.

use std::collections::BTreeSet;

use metrics::counter;
use thistle_platform::KeyedRecord;
use thistle_schedule::job_log::{Version, encode_progress, progress_key};
use thistle_schedule::{JobId, Ms, Progress};

use super::Owner;
use crate::clock::steady_ms;
use crate::control::announce;
use crate::journal::{Fenced, PAUSE};
use crate::pool_log::{FURTHER_PROGRESS, PROGRESS};

/// Jobs whose progress is written to the first partition again in one go.
const REPAIR_BATCH: usize = 200;

/// How often the further partitions are opened or given up at most, in milliseconds: each try is a call that others' claims
/// have to go round.
const LANES_EVERY_MS: Ms = 300;
/// For how long the further partitions must not have been written to before they are given up, in milliseconds: an outage of
/// the store comes in pieces.
const LANES_QUIET_MS: Ms = 3_000;

/// The numbering of an owner's records, and where they went.
#[derive(Debug)]
pub(super) struct ProgressWriter {
    next: Version,
    /// Jobs whose progress stands elsewhere and is to be written to the first partition, and where it stands.
    spilled: BTreeSet<(JobId, u32)>,
    /// Progress that may be dropped where it stands.
    repaired: BTreeSet<(JobId, u32)>,
    /// The further partitions may hold progress, by what this owner or its predecessor told.
    further_told: bool,
    /// When they were last opened, or written to.
    further_at: Ms,
    /// When they were last tried to be opened or given up.
    lanes_tried_at: Ms,
}

impl ProgressWriter {
    /// Makes the writer of a new owner; `spilled` is what its predecessors left elsewhere.
    pub fn new(token: u64, spilled: BTreeSet<(JobId, u32)>, further_told: bool) -> Self {
        Self {
            next: Version { token, number: 0 },
            spilled,
            repaired: BTreeSet::new(),
            further_told,
            further_at: 0,
            lanes_tried_at: 0,
        }
    }

    fn number(&mut self) -> Version {
        self.next.number += 1;
        self.next
    }

    /// Takes in where progress of some jobs was written.
    fn note_written(&mut self, ids: impl Iterator<Item = JobId>, part: u32) {
        if FURTHER_PROGRESS.contains(&part) {
            self.further_at = steady_ms();
        }
        for id in ids {
            if part != PROGRESS {
                self.repaired.remove(&(id, part));
                self.spilled.insert((id, part));
                continue;
            }
            let stale: Vec<(JobId, u32)> =
                self.spilled.range((id, 0)..=(id, u32::MAX)).copied().collect();
            for place in stale {
                self.spilled.remove(&place);
                self.repaired.insert(place);
            }
        }
    }

    /// Returns whether nothing stands in the further partitions any more, and nothing was written there for a while.
    fn further_are_empty(&self) -> bool {
        let mut places = self.spilled.iter().chain(&self.repaired);
        let quiet = steady_ms().saturating_sub(self.further_at) >= LANES_QUIET_MS;
        quiet && !places.any(|(_, part)| FURTHER_PROGRESS.contains(part))
    }

    /// Returns whether they may be opened or given up now.
    fn may_try_lanes(&mut self) -> bool {
        let now = steady_ms();
        let may = now.saturating_sub(self.lanes_tried_at) >= LANES_EVERY_MS;
        if may {
            self.lanes_tried_at = now;
        }
        may
    }
}

impl Owner {
    /// Writes how far jobs are, in as many appends as they need.
    pub(super) async fn write_progress(
        &mut self,
        records: Vec<(JobId, Progress)>,
    ) -> Result<(), Fenced> {
        let mut size = 0;
        let mut batch = Vec::new();
        let mut keyed = Vec::new();
        for (id, progress) in records {
            let version = self.writer.number();
            let record = KeyedRecord::new(progress_key(id), encode_progress(version, &progress));
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
        self.write_batch(batch, &keyed).await
    }

    async fn write_batch(
        &mut self,
        batch: Vec<(JobId, Version, Progress)>,
        keyed: &[KeyedRecord],
    ) -> Result<(), Fenced> {
        let place = loop {
            if let Some(place) = self.journal.try_append(&self.node, keyed).await? {
                break place;
            }
            self.open_further_lanes().await;
            tokio::time::sleep(PAUSE).await;
        };
        self.writer.note_written(batch.iter().map(|(id, ..)| *id), place.part);
        if place.part != PROGRESS {
            counter!("thistle_spare_progress").increment(1);
            let (pool, part) = (&self.log.pool, place.part);
            log::info!("progress step=spare pool={pool} part={part} jobs={}", batch.len());
        }
        self.log.apply_progress(batch, place).await;
        Ok(())
    }

    /// Has progress written to further partitions, as none of the usual ones takes it: without them a pool stood still for
    /// 5.7 s at the onset of its turn, and earned 0.37 of what its kind of request is owed on that day.
    async fn open_further_lanes(&mut self) {
        let is_open = self.journal.parts().any(|part| FURTHER_PROGRESS.contains(&part));
        if is_open || !self.writer.may_try_lanes() {
            return;
        }
        if announce(&self.node, &self.log.pool, self.token, true).await {
            self.writer.further_told = true;
            self.writer.further_at = steady_ms();
            self.journal.add_lanes(&FURTHER_PROGRESS);
        }
    }

    /// Gives the further partitions up once nothing stands there any more.
    async fn close_further_lanes(&mut self) {
        let done = self.writer.further_told && self.writer.further_are_empty();
        if !done || !self.journal.first_takes_records() || !self.writer.may_try_lanes() {
            return;
        }
        // Nothing more is written there before it is told that nothing stands there.
        self.journal.close_lanes(&FURTHER_PROGRESS);
        self.writer.further_told = !announce(&self.node, &self.log.pool, self.token, false).await;
    }

    /// Writes what went elsewhere to the first partition, once it takes records, and drops it there: other nodes
    /// read the first one only.
    pub(super) async fn repair_progress(&mut self) -> Result<(), Fenced> {
        self.close_further_lanes().await;
        if !self.writer.spilled.is_empty() && self.journal.first_takes_records() {
            let mut ids: Vec<JobId> = self.writer.spilled.iter().map(|&(id, _)| id).collect();
            ids.dedup();
            ids.truncate(REPAIR_BATCH);
            let again = self.known_progress(&ids);
            log::info!("progress step=repair pool={} jobs={}", self.log.pool, again.len());
            // What is not known any more was dropped with its submission.
            let gone = ids.into_iter().filter(|id| !again.iter().any(|(known, _)| known == id));
            self.writer.note_written(gone, PROGRESS);
            self.write_progress(again).await?;
        }
        self.drop_repaired().await
    }

    /// Drops progress that stands in the first partition by now where else it stands.
    async fn drop_repaired(&mut self) -> Result<(), Fenced> {
        let mut parts: Vec<u32> = self.writer.repaired.iter().map(|&(_, part)| part).collect();
        parts.sort_unstable();
        parts.dedup();
        for part in parts {
            let here = self.writer.repaired.iter().filter(|(_, p)| *p == part);
            let drops: Vec<KeyedRecord> =
                here.map(|&(id, _)| KeyedRecord::dropping(progress_key(id))).collect();
            if self.journal.append_to_part(&self.node, part, &drops).await? {
                self.writer.repaired.retain(|(_, p)| *p != part);
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
