//! Verdicts on records, for callers that wait for them and for later queries.

use std::collections::{HashMap, VecDeque};

use thistle_fold::{Reject, Verdict};
use thistle_model::RecordId;
use thistle_wire::operator::Submitted;
use tokio::sync::oneshot;

/// The maximum number of verdicts that are kept.
const MAX_KEPT: usize = 4_096;

/// Verdicts on the records that were read from the log.
#[derive(Debug, Default)]
pub struct Verdicts {
    waiting: HashMap<RecordId, Vec<oneshot::Sender<Submitted>>>,
    known: HashMap<RecordId, Submitted>,
    order: VecDeque<RecordId>,
}

impl Verdicts {
    /// Returns a channel that receives the verdict on `id`.
    pub fn wait_for(&mut self, id: RecordId) -> oneshot::Receiver<Submitted> {
        let (tx, rx) = oneshot::channel();
        self.waiting.retain(|_, txs| txs.iter().any(|tx| !tx.is_closed()));
        self.waiting.entry(id).or_default().push(tx);
        rx
    }

    /// Returns the verdict on `id` if it is kept.
    pub fn get(&self, id: RecordId) -> Option<Submitted> {
        self.known.get(&id).cloned()
    }

    /// Adds a verdict; the rejection of a duplicate is ignored, as the first copy has its own
    /// verdict.
    pub fn add(&mut self, verdict: &Verdict) {
        if verdict.result == Err(Reject::Duplicate) {
            return;
        }
        let submitted = to_submitted(verdict);
        for tx in self.waiting.remove(&verdict.id).into_iter().flatten() {
            // The receiver may have been dropped.
            let _ = tx.send(submitted.clone());
        }
        self.known.insert(verdict.id, submitted);
        self.order.push_back(verdict.id);
        if self.order.len() > MAX_KEPT
            && let Some(old) = self.order.pop_front()
        {
            self.known.remove(&old);
        }
    }
}

fn to_submitted(verdict: &Verdict) -> Submitted {
    let offset = verdict.offset;
    match &verdict.result {
        Ok(revision) => Submitted::Accepted { offset, revision: *revision },
        Err(reject) => Submitted::Rejected {
            offset,
            reason: reject.to_string(),
            stale: matches!(reject, Reject::Stale { .. }),
        },
    }
}
