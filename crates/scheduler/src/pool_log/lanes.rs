//! The partitions that submissions may go to, and whether they take any.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use thistle_schedule::Ms;

use super::{PoolLog, SPARE};
use crate::node::{Node, steady_ms};

/// Pause before a partition that does not answer is asked again, in milliseconds: those who wait for
/// it meanwhile are few, and the others are answered at once.
const ASK_PAUSE_MS: Ms = 500;

/// How a partition took submissions lately.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// It has left an append unanswered, and has not answered since.
    suspect: AtomicBool,
    /// It is not asked again before this.
    ask_after: AtomicU64,
}

impl PoolLog {
    /// Takes in that an append of submissions to a partition was not answered.
    pub fn suspect(&self, part: u32) {
        self.lane(part).suspect.store(true, Ordering::Relaxed);
    }

    /// Returns whether submissions may be appended to a partition: one that has left an append
    /// unanswered is asked first, now and then.
    pub async fn may_append(&self, node: &Node, part: u32) -> bool {
        let lane = self.lane(part);
        if !lane.suspect.load(Ordering::Relaxed) {
            return true;
        }
        let now = steady_ms();
        if lane.ask_after.fetch_max(now + ASK_PAUSE_MS, Ordering::Relaxed) > now {
            return false;
        }
        match node.store.probe(&self.topic, part).await {
            Ok(()) => {
                lane.suspect.store(false, Ordering::Relaxed);
                lane.ask_after.store(0, Ordering::Relaxed);
                true
            }
            Err(e) => {
                log::info!("submit step=no-answer pool={} part={part} error=\"{e}\"", self.pool);
                false
            }
        }
    }

    fn lane(&self, part: u32) -> &Lane {
        &self.lanes[usize::from(part == SPARE)]
    }
}
