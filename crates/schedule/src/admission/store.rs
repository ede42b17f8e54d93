//! Whether a submission is sent to the store, by how recently the store has answered.
//!
//! Load pattern: the store does not answer for seconds while jobs arrive. Each submission that is sent blocks until it times
//! out, 0.6 s for one partition and as long for the next, its caller receives an unknown outcome, and later submissions wait
//! behind it. A submission that is never sent can be refused reliably and at once. On a site of 32 nodes, an outage of 3 s
//! made 26 callers wait until their deadline passed and gave 56 callers an unknown outcome.

use crate::Ms;

/// How long the store may not answer before it counts as unreachable, in milliseconds: more than the longest wait for
/// records.
const UNREACHABLE_MS: Ms = 2_200;
/// How long the store may not answer before submissions are refused without being sent, in milliseconds. Each node reads
/// heartbeats every 450 ms. If the store takes 240 ms for an answer, sixty times the usual, answers arrive up to 0.7 s apart,
/// and one may be lost.
const REFUSE_AFTER_MS: Ms = 1_200;

/// A node's view of the store, by the answers that it received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreView {
    /// When the store last answered a call; 0 if it never has.
    pub answered_at: Ms,
    /// When a call last failed; 0 if none has.
    pub failed_at: Ms,
}

impl StoreView {
    /// Returns whether the store has answered recently enough for this node to accept callers.
    pub const fn is_reachable(&self, now: Ms) -> bool {
        self.answered_at > 0 && now.saturating_sub(self.answered_at) < UNREACHABLE_MS
    }

    /// Returns whether submissions are sent to the store.
    pub const fn accepts_submissions(&self, now: Ms) -> bool {
        self.answered_at > 0 && now.saturating_sub(self.answered_at) < REFUSE_AFTER_MS
    }

    /// Returns whether it makes sense to try another partition, or the same one again, after an append that was sent at
    /// `sent_at` and not answered. If the store has answered nothing else since, it is unreachable as a whole.
    pub const fn has_answered_since(&self, sent_at: Ms) -> bool {
        self.answered_at >= sent_at
    }

    /// Returns whether the store is reachable and no call has failed for `span`.
    pub const fn is_healthy_for(&self, span: Ms, now: Ms) -> bool {
        self.is_reachable(now) && now.saturating_sub(self.failed_at) >= span
    }
}
