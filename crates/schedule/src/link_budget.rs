//! How many bytes of starts an owner may give to its link now, and which starts go through another node.
//!
//! Load pattern: a pool's demand rises to five times its mean, and its owner has more starts to send than its link carries, as
//! each contains the text of its job. Given to the link all at once, they wait in it for longer than the timeouts of calls. Every
//! VM then seems unresponsive, leases are not renewed in time, and each further copy of a start makes the wait longer. Tasks
//! that are not placed yet can still be ordered by rank.

use crate::Ms;

/// The share of the stated bandwidth that is used, in percent. The rest is left for headers of packets and for answers.
const USED_PERCENT: u64 = 90;
/// How long the link may need for what was given to it before no more starts are placed, in milliseconds: about the time
/// between two steps of an owner, so that the link is not idle between them.
const MAX_QUEUE_MS: Ms = 60;
/// The same before starts are sent through other nodes, which costs a further hop and fewer bytes.
const DIRECT_QUEUE_MS: Ms = 15;
/// The size of a start without the text of its job, in bytes: the request line, the headers, and the other fields.
const START_BYTES: u64 = 330;
/// The size of a request to another node to send a start, in bytes.
const RELAYED_START_BYTES: u64 = 230;

/// The sizes of a start on the owner's link, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartSize {
    /// The size if the owner sends it to the VM.
    pub direct: u64,
    /// The size if another node sends it to the VM and has the text of the job.
    pub relayed: u64,
}

impl StartSize {
    /// Returns the sizes of a start with a text and a checkpoint of these lengths.
    pub const fn new(text: usize, checkpoint: usize) -> Self {
        let checkpoint = checkpoint as u64;
        Self {
            direct: START_BYTES + text as u64 + checkpoint,
            relayed: RELAYED_START_BYTES + checkpoint,
        }
    }
}

/// The traffic that was given to a node's link, by what the node counts.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    /// The bytes that the link is expected to send in a second.
    bytes_per_s: u64,
    /// The bytes that were given to the link and are not sent yet.
    queued: u64,
    /// The count of bytes besides starts that were given to the link at the last update.
    counted: u64,
    updated_at: Ms,
}

impl LinkBudget {
    /// Creates the budget of an idle link.
    pub const fn new(bandwidth_bytes_per_s: u64, counted: u64, now: Ms) -> Self {
        let bytes_per_s = bandwidth_bytes_per_s * USED_PERCENT / 100;
        Self { bytes_per_s, queued: 0, counted, updated_at: now }
    }

    /// Updates the budget by the count of all bytes besides starts that the node has given to its link so far.
    pub fn update(&mut self, counted: u64, now: Ms) {
        let sent = self.bytes_in(now.saturating_sub(self.updated_at));
        let given = counted.saturating_sub(self.counted);
        self.queued = (self.queued + given).saturating_sub(sent);
        (self.counted, self.updated_at) = (counted, now);
    }

    /// Records a start that is given to the link, when it is ordered. It may have to wait for its VM, and the link is free for others
    /// meanwhile.
    pub const fn give(&mut self, bytes: u64) {
        self.queued += bytes;
    }

    /// Returns the bytes of starts that may be placed now.
    pub const fn available(&self) -> u64 {
        self.bytes_in(MAX_QUEUE_MS).saturating_sub(self.queued)
    }

    /// Returns whether nothing more should be given to the link now.
    pub const fn is_full(&self) -> bool {
        self.available() == 0
    }

    /// Returns whether a start should go through another node, if one can send it.
    pub const fn prefers_relay(&self, size: StartSize) -> bool {
        let is_smaller = size.relayed < size.direct;
        is_smaller && self.queued + size.direct > self.bytes_in(DIRECT_QUEUE_MS)
    }

    /// Returns how long the link needs for what was given to it, in milliseconds.
    pub const fn delay_ms(&self) -> Ms {
        match self.bytes_per_s {
            0 => 0,
            bytes_per_s => self.queued * 1_000 / bytes_per_s,
        }
    }

    const fn bytes_in(&self, ms: Ms) -> u64 {
        self.bytes_per_s * ms / 1_000
    }
}
