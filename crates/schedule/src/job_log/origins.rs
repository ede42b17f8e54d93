//! The origins of a job: the pools that have passed it on to this one, and the notice that it is bound to another pool.
//!
//! Load pattern: a queue is routed back and forth while owners act on outdated assignments, so that jobs are passed on several
//! times. A pool decides anew on what it has passed on until it is notified, and the pool to which the job is bound keeps its
//! records until all origins are notified.

use std::sync::Arc;

use thistle_model::rendezvous::weight;

use super::{JobEntry, JobLog, LogChange, encode};
use crate::id::{JOB_ID_DIGITS, JobId};
use crate::progress::{Phase, Progress};

/// The prefixes of record keys.
pub(super) const ORIGIN: &str = "o";
pub(super) const BOUND_ELSEWHERE: &str = "b";

/// Returns the key of the record that names a pool as an origin of a job.
pub fn origin_key(id: JobId, pool: &str) -> String {
    format!("{ORIGIN}{id}{:016x}", weight(pool.as_bytes(), 0))
}

/// Encodes the name of a pool that is an origin of a job.
pub fn encode_origin(pool: &str) -> Vec<u8> {
    encode(&pool)
}

/// Returns the key of the record that notifies a pool that a job is bound to another one.
pub fn bound_elsewhere_key(id: JobId) -> String {
    format!("{BOUND_ELSEWHERE}{id}")
}

/// Encodes the notice of `pool` that a job is bound to it or to a pool that it knows.
pub fn encode_bound_elsewhere(pool: &str) -> Vec<u8> {
    encode(&pool)
}

/// Returns the job of an origin record's key.
pub(super) fn job_of_origin_key(id_and_pool: &str) -> Option<JobId> {
    id_and_pool.split_at_checked(JOB_ID_DIGITS)?.0.parse().ok()
}

impl JobEntry {
    /// Returns whether the job is settled in this pool, or bound to another one for certain.
    pub const fn is_decided(&self) -> bool {
        !matches!(self.progress.phase, Phase::Open | Phase::Moved(_))
    }

    /// Returns whether only a notice is left of the job in this pool.
    pub fn is_notice_only(&self) -> bool {
        self.is_bound_elsewhere
            && self.spec.is_none()
            && self.progress == Progress::default()
            && self.origins.is_empty()
            && self.cancelled_by.is_empty()
    }
}

impl JobLog {
    /// Applies an origin record.
    pub(super) fn add_origin(
        &mut self,
        id: JobId,
        value: &[u8],
    ) -> Result<Option<LogChange>, postcard::Error> {
        let pool: Arc<str> = postcard::from_bytes::<&str>(value)?.into();
        let is_new = self.jobs.entry(id).or_default().origins.insert(pool);
        Ok(is_new.then_some(LogChange::PassedOn(id)))
    }

    /// Applies the notice that a job is bound to another pool.
    pub(super) fn record_bound_elsewhere(&mut self, id: JobId) -> Option<LogChange> {
        let entry = self.jobs.entry(id).or_default();
        let is_new = !std::mem::replace(&mut entry.is_bound_elsewhere, true);
        is_new.then_some(LogChange::BoundElsewhere(id))
    }

    /// Returns the keys of the records, besides submission and cancellation, that the partitions of submissions hold of a job.
    pub fn keys_of_passing_on(&self, id: JobId) -> Vec<String> {
        let Some(entry) = self.get(id) else { return Vec::new() };
        let origins = entry.origins.iter().map(|pool| origin_key(id, pool));
        let notice = entry.is_bound_elsewhere.then(|| bound_elsewhere_key(id));
        origins.chain(notice).collect()
    }
}
