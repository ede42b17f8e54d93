//! Whether the next copy of a start is sent.
//!
//! Load pattern: while a pool's demand is at five times its mean, the links of its owner and standbys are full, and up to hundreds
//! of starts a second come back unsent from standbys. Sent over the full link with their texts, they would delay all other calls.

/// What is known when the next copy of a start could be sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyFacts {
    /// Whether an earlier copy may have reached the VM.
    pub maybe_arrived: bool,
    /// Whether a standby was to send the first copy, and has not sent it.
    pub came_back: bool,
    /// Whether the VM leaves its calls unanswered.
    pub vm_is_unresponsive: bool,
    /// Whether the owner's link is full.
    pub link_is_full: bool,
    /// Whether this node has read recently enough what forbids starts.
    pub may_start: bool,
}

/// What to do with a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCopy {
    /// Send a copy.
    Send,
    /// Decide again after a pause.
    Wait,
    /// Decide again after a pause, as the answer may be late because of this node's own link.
    WaitForLink,
    /// Don't send the start, which no VM has got. Its task is placed again when its text fits the link.
    PlaceAgain,
}

/// Decides what to do with a start.
pub const fn next_copy(facts: CopyFacts) -> NextCopy {
    match facts {
        // The VM's next incarnation could accept a copy, whose lease would start then and end later than the owner expects.
        CopyFacts { maybe_arrived: true, vm_is_unresponsive: true, .. } => NextCopy::Wait,
        CopyFacts { maybe_arrived: true, link_is_full: true, .. } => NextCopy::WaitForLink,
        CopyFacts { came_back: true, link_is_full: true, .. } => NextCopy::PlaceAgain,
        CopyFacts { may_start: false, .. } => NextCopy::Wait,
        CopyFacts { .. } => NextCopy::Send,
    }
}
