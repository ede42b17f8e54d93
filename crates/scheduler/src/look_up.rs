//! Finding the pool's log that has a job.

use std::sync::Arc;

use thistle_schedule::{JobId, Ms, Queue};

use crate::node::{Node, steady_ms};
use crate::pool_log::{PoolLog, SPARE, SPARE_AGE_MS, SUBMISSIONS};

/// Returns the log of the pool that has a job, as far as this node has read.
pub fn find(node: &Node, id: JobId) -> Option<Arc<PoolLog>> {
    let has = |log: &Arc<PoolLog>| log.jobs().get(id).is_some_and(|e| e.spec.is_some());
    node.pool_logs().into_iter().find(has)
}

/// How long a job is looked for once a read has failed, in milliseconds: one read that is not
/// answered. With a silent store and eight partitions to read it was 6 s, past callers' deadlines.
const LOOK_UP_MS: Ms = 800;

/// Where a job is.
pub enum Found {
    /// In this pool's log.
    Here(Arc<PoolLog>),
    /// In none, by all that the store had when it was asked for.
    Nowhere,
    /// In none that could be read.
    NotRead,
}

/// Looks for a job in what was read, and if it is not there reads on, first in its queue's pool of
/// today.
pub async fn look_up(node: &Arc<Node>, queue: &Queue, id: JobId) -> Found {
    if let Some(log) = find(node, id) {
        return Found::Here(log);
    }
    let since = steady_ms();
    let mut logs = node.pool_logs();
    logs.sort_by_key(|log| log.pool != queue.pool);
    let mut all_read = true;
    for (i, log) in logs.iter().enumerate() {
        // Each read that is not answered takes its time, and what was not read is not known. The job may
        // be in either partition of its own pool.
        if i > 0 && !all_read && steady_ms().saturating_sub(since) >= LOOK_UP_MS {
            return Found::NotRead;
        }
        for (part, age) in [(SUBMISSIONS, 0), (SPARE, SPARE_AGE_MS)] {
            if let Err(e) = log.catch_up(node, part, since.saturating_sub(age)).await {
                log::debug!("state id={id} step=read-failed pool={} error=\"{e}\"", log.pool);
                all_read = false;
            }
            if log.jobs().get(id).is_some_and(|e| e.spec.is_some()) {
                return Found::Here(log.clone());
            }
        }
    }
    if all_read { Found::Nowhere } else { Found::NotRead }
}
