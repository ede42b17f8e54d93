//! The partitions that submissions may go to, and whether they take any.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::{PoolLog, SPARE};
use crate::node::Node;

/// Pause before a partition that does not answer is asked again: a probe is one small read.
const ASK_PAUSE: Duration = Duration::from_millis(250);
/// How long a submission waits for a partition that has just left an append unanswered to be asked: above this the store
/// counts as slow. When answers get lost the probe is answered in 4 ms; in an outage callers are refused this soon.
const ASKED_WITHIN: Duration = Duration::from_millis(60);

/// How a partition took submissions lately.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// It has left an append unanswered, and has not answered since.
    suspect: watch::Sender<bool>,
}

impl PoolLog {
    /// Takes in that an append of submissions to a partition was not answered, and asks it until it answers. No
    /// caller waits for that: one in each half second was held for 0.8 s by it.
    pub fn suspect(self: &Arc<Self>, node: &Arc<Node>, part: u32) {
        if self.lane(part).suspect.send_replace(true) {
            return;
        }
        let (node, log) = (node.clone(), self.clone());
        tokio::spawn(async move {
            while let Err(e) = node.store.probe(&log.topic, part).await {
                log::info!("submit step=no-answer pool={} part={part} error=\"{e}\"", log.pool);
                tokio::time::sleep(ASK_PAUSE).await;
            }
            log.lane(part).suspect.send_replace(false);
        });
    }

    /// Returns whether submissions may be appended to a partition.
    pub async fn may_append(&self, part: u32) -> bool {
        let mut suspect = self.lane(part).suspect.subscribe();
        let cleared = suspect.wait_for(|&suspect| !suspect);
        tokio::time::timeout(ASKED_WITHIN, cleared).await.is_ok_and(|cleared| cleared.is_ok())
    }

    fn lane(&self, part: u32) -> &Lane {
        &self.lanes[usize::from(part == SPARE)]
    }
}
