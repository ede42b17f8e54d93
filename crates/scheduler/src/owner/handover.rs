//! What an owner does with other pools while a queue is handed over: it passes records on, and reads which jobs are bound.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use thistle_platform::{KeyedRecord, StoreError};
use thistle_schedule::assignment::{Change, EarlierJobs};
use thistle_schedule::{JobId, JobLog};
use tokio::sync::mpsc::UnboundedSender;

use super::Event;
use crate::control::write_assignments;
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::{FALLBACK_PROGRESS, OVERFLOW_PROGRESS, PROGRESS, topic_of};
use crate::write_outcome::WriteOutcome;

/// Pause before a pool that could not be read is read again.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Appends cancellations of a job and then its submission, with its origins, to another pool. Returns whether all were certainly
/// written.
pub(super) async fn pass_on(
    node: &Arc<Node>,
    pool: &Arc<str>,
    cancels: Vec<KeyedRecord>,
    submission: Vec<KeyedRecord>,
) -> bool {
    let log = node.ensure_pool_log(pool);
    for records in [cancels, submission] {
        let outcomes = join_all(records.into_iter().map(|record| log.write(record))).await;
        if outcomes.iter().any(|&outcome| outcome != WriteOutcome::Kept) {
            return false;
        }
    }
    true
}

/// Appends cancellations to the pools that get their queues, and then writes the changes of the assignments.
pub(super) async fn write_changes(
    node: &Arc<Node>,
    pool: &Arc<str>,
    token: u64,
    changes: Vec<Change>,
    cancels: Vec<(Arc<str>, KeyedRecord)>,
) {
    let append = |(pool, record)| async move { node.ensure_pool_log(&pool).write(record).await };
    let outcomes = join_all(cancels.into_iter().map(append)).await;
    if outcomes.iter().all(|&outcome| outcome == WriteOutcome::Kept) {
        write_assignments(node, pool, token, &changes).await;
    }
}

/// Reads which jobs are bound to the earlier pools of a queue, retrying until all were read or the owner has ended.
pub(super) async fn read_earlier(
    node: &Node,
    queue: &str,
    pools: Vec<Arc<str>>,
    tx: &UnboundedSender<Event>,
) -> EarlierJobs {
    let mut earlier = EarlierJobs::new();
    for pool in pools {
        while !tx.is_closed() {
            match read_bound_jobs(node, &pool).await {
                Ok(jobs) => {
                    log::info!(
                        "queue queue={queue} step=read-earlier pool={pool} bound={}",
                        jobs.len()
                    );
                    earlier.insert(pool, jobs);
                    break;
                }
                Err(e) => {
                    log::info!("queue queue={queue} step=not-read pool={pool} error=\"{e}\"");
                    tokio::time::sleep(READ_PAUSE).await;
                }
            }
        }
    }
    earlier
}

/// Reads the jobs that are bound to a pool.
async fn read_bound_jobs(node: &Node, pool: &str) -> Result<HashSet<JobId>, StoreError> {
    let overflow = lock(&node.ownership).has_overflow_partitions(pool);
    let overflow = OVERFLOW_PROGRESS.into_iter().filter(|_| overflow);
    let mut jobs = JobLog::default();
    // Progress is copied to a later one of these partitions before it is dropped from an earlier one, so no job is missed.
    for part in overflow.chain([FALLBACK_PROGRESS, PROGRESS]) {
        for stored in node.store.newest(&topic_of(pool), part).await?.records {
            if let Err(e) = jobs.apply_from(part, &stored.record.key, stored.record.value()) {
                log::error!("jobs step=unreadable pool={pool} part={part} key={}", e.0);
            }
        }
    }
    Ok(jobs.iter().filter(|(_, entry)| entry.is_bound()).map(|(id, _)| id).collect())
}
