//! Notifies the pools that have passed a job on that it is bound, so that none of them decides on it again.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use metrics::counter;
use thistle_platform::KeyedRecord;
use thistle_schedule::job_log::{JobEntry, bound_elsewhere_key, encode_bound_elsewhere};
use thistle_schedule::{JobId, Ms, Phase};

use super::{Event, Owner};
use crate::clock::steady_ms;
use crate::write_outcome::WriteOutcome;

/// Pause before notices that were not written are repeated, in milliseconds.
const RETRY_MS: Ms = 1_000;

/// The notices that origins of jobs get.
#[derive(Default)]
pub(super) struct Notices {
    /// The jobs with origins that may not be notified yet.
    pending: BTreeSet<JobId>,
    sending: HashSet<(JobId, Arc<str>)>,
    /// The origins of each job that have their notice. A new owner notifies them again.
    notified: HashMap<JobId, HashSet<Arc<str>>>,
    /// When notices may be sent again, by the steady clock.
    retry_at: Ms,
}

impl Notices {
    /// Records that a job was passed on to this pool.
    pub fn add(&mut self, id: JobId) {
        self.pending.insert(id);
    }

    /// Forgets a job whose records are dropped.
    pub fn remove(&mut self, id: JobId) {
        self.pending.remove(&id);
        self.notified.remove(&id);
    }

    /// Returns the origins of a job that are not notified yet.
    fn missing<'a>(
        &'a self,
        id: JobId,
        entry: &'a JobEntry,
        pool: &'a str,
    ) -> impl Iterator<Item = &'a Arc<str>> {
        let notified = self.notified.get(&id);
        let is_notified = move |origin: &Arc<str>| notified.is_some_and(|n| n.contains(origin));
        entry.origins.iter().filter(move |origin| ***origin != *pool && !is_notified(origin))
    }
}

impl Owner {
    /// Notifies the origins of jobs that are bound to this pool, or known to be bound to another one.
    pub(super) fn notify_origins(&mut self) {
        if self.intake.notices.pending.is_empty() || steady_ms() < self.intake.notices.retry_at {
            return;
        }
        let log = self.log.clone();
        let jobs = log.jobs();
        let pending: Vec<JobId> = self.intake.notices.pending.iter().copied().collect();
        for id in pending {
            let Some(entry) = jobs.get(id) else {
                self.intake.notices.remove(id);
                continue;
            };
            if !entry.is_bound() && entry.progress.phase != Phase::Copy {
                continue;
            }
            let missing: Vec<Arc<str>> =
                self.intake.notices.missing(id, entry, &log.pool).cloned().collect();
            if missing.is_empty() {
                self.intake.notices.pending.remove(&id);
            }
            for origin in missing {
                self.notify_origin(id, origin);
            }
        }
    }

    fn notify_origin(&mut self, id: JobId, origin: Arc<str>) {
        if !self.intake.notices.sending.insert((id, origin.clone())) {
            return;
        }
        let value = encode_bound_elsewhere(&self.log.pool);
        let record = KeyedRecord::new(bound_elsewhere_key(id), value);
        let (node, tx) = (self.node.clone(), self.tx.clone());
        tokio::spawn(async move {
            let written = node.ensure_pool_log(&origin).write(record).await;
            let is_written = written == WriteOutcome::Kept;
            // The owner may have ended, and its successor notifies the origin again.
            let _ = tx.send(Event::OriginNotified(id, origin, is_written));
        });
    }

    /// Handles the end of an attempt to notify an origin.
    pub(super) fn handle_origin_notified(&mut self, id: JobId, origin: Arc<str>, is_written: bool) {
        let notices = &mut self.intake.notices;
        notices.sending.remove(&(id, origin.clone()));
        if !is_written {
            notices.retry_at = steady_ms() + RETRY_MS;
            return;
        }
        log::info!("job id={id} step=origin-notified pool={} origin={origin}", self.log.pool);
        counter!("thistle_origins_notified").increment(1);
        notices.notified.entry(id).or_default().insert(origin);
    }

    /// Returns whether all origins of a job are notified, so that its records may be dropped.
    pub(super) fn are_origins_notified(&self, id: JobId, entry: &JobEntry) -> bool {
        entry.origins.is_empty()
            || self.intake.notices.missing(id, entry, &self.log.pool).next().is_none()
    }
}
