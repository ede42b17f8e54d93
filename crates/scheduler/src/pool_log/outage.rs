//! Whether a partition of submissions that the owner cannot read is down for other nodes too.
//!
//! While the owner may not know a cancellation that another node has acknowledged, it starts nothing. A partition that is down for
//! all nodes gets no cancellations, so it must not stop a pool whose other partition takes its jobs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use metrics::counter;

use super::{PoolLog, SUBMISSION_PARTITIONS};
use crate::clock::steady_ms;
use crate::locks::lock;
use crate::node::Node;
use crate::query::{Query, QueryReply};
use crate::query_peers::query_node;

/// Pause between two checks.
const CHECK_EVERY: Duration = Duration::from_millis(250);
/// The number of other nodes that have to agree, if there are as many.
const ASKED_NODES: usize = 2;

/// Checks for the owner whether the partitions that it fails to read are down for other nodes too.
pub(super) async fn check_outages(node: Arc<Node>, log: Arc<PoolLog>) {
    let mut round = 0;
    loop {
        tokio::time::sleep(CHECK_EVERY).await;
        if !log.is_owned() {
            continue;
        }
        let failing = (0..SUBMISSION_PARTITIONS.len())
            .filter(|&index| log.is_failing[index].load(Ordering::Relaxed));
        join_all(failing.map(|index| check(&node, &log, index, round))).await;
        round += ASKED_NODES;
    }
}

async fn check(node: &Node, log: &PoolLog, index: usize, round: usize) {
    let (began, part) = (steady_ms(), SUBMISSION_PARTITIONS[index]);
    let peers = lock(&node.ownership).relays(began);
    // Other nodes each time, so that one which is cut off does not decide.
    let start = round % peers.len().max(1);
    let asked = peers.iter().cycle().skip(start).take(ASKED_NODES.min(peers.len()));
    let query = Query::Partition { pool: log.pool.to_string(), part };
    let replies = join_all(asked.map(|&addr| query_node(node, &query, addr))).await;
    let lacks_answers = |reply: &QueryReply| *reply == QueryReply::Answered(false);
    let is_down = !replies.is_empty() && replies.iter().all(lacks_answers);
    counter!("thistle_partition_checks", "down" => is_down.to_string()).increment(1);
    if is_down {
        log.down_at[index].record(Some(began));
        log::debug!("jobs step=down-for-all pool={} part={part}", log.pool);
    }
}

/// Returns whether the store answers this node about a partition, if it answers about others.
pub async fn is_answered(node: &Node, topic: &str, part: u32) -> QueryReply {
    let (partition, store) = tokio::join!(node.store.probe(topic, part), node.store.probe_any());
    match (partition, store) {
        (Ok(()), _) => QueryReply::Answered(true),
        (Err(_), Ok(())) => QueryReply::Answered(false),
        (Err(_), Err(_)) => QueryReply::NotRead,
    }
}
