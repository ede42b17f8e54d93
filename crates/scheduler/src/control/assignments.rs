//! The assignments of queues to pools, recorded in the partition of claims. Claims and assignments are in one order, so that at
//! each offset a queue is assigned to one pool and that pool has one owner.

use std::collections::BTreeSet;
use std::sync::Arc;

use metrics::counter;
use serde::{Deserialize, Serialize};
use thistle_platform::{Appended, Guard, KeyedRecord, Stored};
use thistle_schedule::Assignment;
use thistle_schedule::assignment::Change;

use super::{CLAIMS, TOPIC, to_json};
use crate::caps::hashed_key;
use crate::locks::lock;
use crate::node::Node;

/// The prefix of the keys of assignments; a hash of the queue's name follows, as names may have any length.
pub const QUEUE_PREFIX: &str = "queue/";

/// The record of an assignment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AssignmentRecord {
    /// The queue.
    pub queue: Arc<str>,
    /// Its assignment.
    #[serde(flatten)]
    pub assignment: Assignment,
}

fn record_of(change: &Change) -> KeyedRecord {
    let (queue, assignment) = (change.queue.clone(), change.assignment.clone());
    let key = hashed_key(QUEUE_PREFIX, &queue);
    KeyedRecord::new(key, to_json(&AssignmentRecord { queue, assignment }))
}

/// Returns the first assignments of the queues of a pool that this node is about to claim, with their records.
pub(super) fn first_assignments(node: &Node, pool: &str) -> (Vec<Change>, Vec<KeyedRecord>) {
    let Some(catalog) = node.catalog.borrow().clone() else { return Default::default() };
    let assignments = node.assignments.borrow().clone();
    let mut changes = assignments.changes(&catalog, pool, &BTreeSet::new(), |_| false);
    changes.retain(|change| change.replaces.is_none());
    let records = changes.iter().map(record_of).collect();
    (changes, records)
}

/// Writes changes of assignments as the owner of a pool, and returns whether they were certainly written. A change that was not
/// answered may still be written, unless a claim or another assignment comes first.
pub async fn write_assignments(
    node: &Arc<Node>,
    pool: &Arc<str>,
    token: u64,
    changes: &[Change],
) -> bool {
    // The end is read first: what is checked next is at least as recent, and the guard rejects the append if any record follows.
    let Some(end) = node.claims_end.get() else { return false };
    if lock(&node.ownership).my_token(pool) != Some(token) {
        return false;
    }
    let current = node.assignments.borrow().clone();
    if changes.iter().any(|change| change.replaces != current.offset_of(&change.queue)) {
        return false;
    }
    let records: Vec<KeyedRecord> = changes.iter().map(record_of).collect();
    match node.store.append(TOPIC, CLAIMS, Guard::EndsAt(end), &records).await {
        Ok(Appended::Done { offset, end }) => {
            record_own(node, changes, offset);
            node.claims_end.advance_to(end);
            let handovers = changes.iter().filter(|change| change.is_handover).count();
            counter!("thistle_queue_handovers").increment(handovers as u64);
            true
        }
        Ok(other) => {
            log::info!("queue step=not-assigned pool={pool} answer={other:?}");
            false
        }
        Err(e) => {
            log::info!("queue step=not-assigned pool={pool} error=\"{e}\"");
            false
        }
    }
}

/// Records changes that this node has written at an offset.
pub(super) fn record_own(node: &Arc<Node>, changes: &[Change], offset: u64) {
    for (offset, change) in (offset..).zip(changes) {
        record(node, &change.queue, change.assignment.clone(), offset);
    }
}

/// Applies the record of an assignment that was read.
pub(super) fn apply_assignment(node: &Arc<Node>, stored: &Stored) {
    let Some(value) = stored.record.value() else { return };
    match serde_json::from_slice::<AssignmentRecord>(value) {
        Ok(AssignmentRecord { queue, assignment }) => {
            record(node, &queue, assignment, stored.offset);
        }
        Err(e) => log::error!("queue step=unreadable offset={} error=\"{e}\"", stored.offset),
    }
}

fn record(node: &Arc<Node>, queue: &Arc<str>, assignment: Assignment, offset: u64) {
    let Assignment { pool, version, earlier, .. } = assignment.clone();
    let is_new = node
        .assignments
        .send_if_modified(|all| Arc::make_mut(all).record(queue, assignment, offset));
    if !is_new {
        return;
    }
    log::info!(
        "queue queue={queue} step=assigned pool={pool} version={version} earlier={earlier:?} offset={offset}"
    );
    // A node without a configuration must not own pools. Once it has one, it follows the pools of all assignments.
    if node.catalog.borrow().is_some() {
        follow_assigned_pools(node);
    }
}

/// Follows the pools of all assignments: the configuration may no longer name them, but they may have jobs.
pub fn follow_assigned_pools(node: &Arc<Node>) {
    let assignments = node.assignments.borrow().clone();
    for (_, assignment) in assignments.iter() {
        for pool in std::iter::once(&assignment.pool).chain(&assignment.earlier) {
            node.ensure_pool_log(pool);
        }
    }
}
