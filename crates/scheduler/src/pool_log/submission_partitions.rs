//! The partitions of submissions, and whether each accepts appends.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::{FALLBACK_SUBMISSIONS, PoolLog};
use crate::node::Node;

/// Pause before an unresponsive partition is probed again: a probe is one small read.
const PROBE_PAUSE: Duration = Duration::from_millis(250);
/// How long a submission waits for the probe of a partition that has left an append unanswered; a store that takes
/// longer counts as slow. If only an answer was lost, the probe is answered in 4 ms. In an outage callers are refused
/// after this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// The state of a partition of submissions.
#[derive(Debug, Default)]
pub(super) struct PartitionState {
    /// Whether the partition has left an append unanswered and has not answered since.
    unresponsive: watch::Sender<bool>,
}

impl PoolLog {
    /// Records that a partition did not answer an append of submissions, and probes it until it answers. The probes
    /// run in a task of their own: made while a caller's request is handled, they would delay one caller in each half
    /// second by 0.8 s.
    pub fn mark_unresponsive(self: &Arc<Self>, node: &Arc<Node>, part: u32) {
        if self.partition_state(part).unresponsive.send_replace(true) {
            return;
        }
        let (node, log) = (node.clone(), self.clone());
        tokio::spawn(async move {
            while let Err(e) = node.store.probe(&log.topic, part).await {
                log::info!("submit step=no-answer pool={} part={part} error=\"{e}\"", log.pool);
                tokio::time::sleep(PROBE_PAUSE).await;
            }
            log.partition_state(part).unresponsive.send_replace(false);
        });
    }

    /// Returns whether submissions may be appended to a partition.
    pub async fn may_append(&self, part: u32) -> bool {
        let mut unresponsive = self.partition_state(part).unresponsive.subscribe();
        let cleared = unresponsive.wait_for(|&unresponsive| !unresponsive);
        tokio::time::timeout(PROBE_TIMEOUT, cleared).await.is_ok_and(|cleared| cleared.is_ok())
    }

    fn partition_state(&self, part: u32) -> &PartitionState {
        &self.partition_states[usize::from(part == FALLBACK_SUBMISSIONS)]
    }
}
