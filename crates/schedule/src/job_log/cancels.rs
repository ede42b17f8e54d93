//! The cancellations of a job, one for each caller.
//!
//! Load pattern: several workspaces cancel the same ID before its submission arrives, and the pool's owner changes. A new owner
//! reads only the newest record of each key, so each caller's cancellation has a key of its own.

use std::collections::BTreeSet;

use thistle_model::rendezvous::weight;

use super::{JobEntry, JobLog, LogChange, encode};
use crate::Ms;
use crate::id::{JOB_ID_DIGITS, JobId};
use crate::workspace::Caller;

/// The prefix of record keys.
pub(super) const CANCEL: &str = "c";

/// Returns the key that all callers' cancellations of a job share. Older programs read no other key.
pub fn cancel_key(id: JobId) -> String {
    format!("{CANCEL}{id}")
}

/// Returns the key of a caller's cancellation of a job.
pub fn caller_cancel_key(id: JobId, caller: &Caller) -> String {
    format!("{CANCEL}{id}{:016x}", weight(&encode(caller), 0))
}

/// Returns the job of a cancel record's key.
pub fn job_of_cancel_key(key: &str) -> Option<JobId> {
    key.strip_prefix(CANCEL)?.split_at_checked(JOB_ID_DIGITS)?.0.parse().ok()
}

/// The first byte of a cancellation record; the encoded caller follows, and then the time at which a node received the
/// cancellation, if that is known.
const CANCELLED: u8 = 1;

/// Encodes a cancellation.
pub fn encode_cancel(caller: &Caller) -> Vec<u8> {
    let mut record = vec![CANCELLED];
    record.extend(encode(caller));
    record
}

/// Encodes a cancellation that a node received at `received_ms` by its wall clock.
pub fn encode_received_cancel(caller: &Caller, received_ms: Ms) -> Vec<u8> {
    let mut record = encode_cancel(caller);
    record.extend(encode(&received_ms));
    record
}

/// Returns when a cancellation was received, in milliseconds by the wall clock of the node that received it, if its record
/// contains the time.
pub fn cancel_received_ms(value: &[u8]) -> Option<Ms> {
    let (_, record) = value.split_first()?;
    postcard::from_bytes::<(Caller, Ms)>(record).ok().map(|(_, received_ms)| received_ms)
}

/// Decodes a cancellation. Older records lack the caller, and cancel their job whatever its workspace.
pub(super) fn decode_cancel(value: &[u8]) -> Result<Option<Caller>, postcard::Error> {
    match value {
        [] | [_] => Ok(None),
        [_, caller @ ..] => postcard::from_bytes(caller).map(Some),
    }
}

impl JobEntry {
    /// Returns whether nothing but cancellations was read of the job.
    pub fn is_cancel_only(&self) -> bool {
        !self.cancelled_by.is_empty()
            && self.spec.is_none()
            && !self.has_progress()
            && self.origins.is_empty()
            && !self.is_bound_elsewhere
    }

    /// Returns the callers whose cancellations another pool needs that has the job if it is one of this queue.
    pub fn cancelling_callers(&self, queue: &str) -> BTreeSet<Caller> {
        match &self.spec {
            Some(spec) if self.cancelled => BTreeSet::from([Caller::of(spec)]),
            Some(_) => BTreeSet::new(),
            None => {
                let early = self.cancelled_by.iter().flatten();
                early.filter(|by| by.queue == queue).cloned().collect()
            }
        }
    }
}

impl JobLog {
    /// Applies a cancellation, unless its caller may not see the job.
    pub(super) fn cancel(
        &mut self,
        id: JobId,
        key: &str,
        caller: Option<Caller>,
    ) -> Option<LogChange> {
        let entry = self.jobs.entry(id).or_default();
        if key != cancel_key(id) {
            entry.cancel_keys.insert(key.to_owned());
        }
        match &entry.spec {
            Some(spec) if caller.as_ref().is_none_or(|c| c.may_see(spec)) => {
                let is_new = !entry.cancelled;
                entry.cancelled = true;
                is_new.then_some(LogChange::Cancelled(id))
            }
            Some(_) => None,
            None => entry.cancelled_by.insert(caller).then_some(LogChange::Cancelled(id)),
        }
    }

    /// Records that a key of cancellations was dropped, and removes the entry of the job if nothing else was read of it.
    pub(super) fn drop_cancel(&mut self, id: JobId, key: &str) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        entry.cancel_keys.remove(key);
        if !entry.is_cancel_only() {
            return;
        }
        let is_shared = key == cancel_key(id);
        entry.cancelled_by.retain(|by| match by {
            // The caller's own record outlives the one that another caller may have replaced.
            Some(caller) if is_shared => entry.cancel_keys.contains(&caller_cancel_key(id, caller)),
            Some(caller) => caller_cancel_key(id, caller) != key,
            None => !is_shared,
        });
        if entry.cancelled_by.is_empty() {
            self.jobs.remove(&id);
        }
    }

    /// Returns the keys of the cancellations that the partitions of submissions may hold of a job.
    pub fn cancel_keys(&self, id: JobId) -> Vec<String> {
        let keys = self.get(id).into_iter().flat_map(|entry| entry.cancel_keys.iter().cloned());
        keys.chain([cancel_key(id)]).collect()
    }
}
