//! How many bytes of starts an owner may give to its link now, and which starts go through another node.
//!
//! Load pattern: a pool's demand rises to five times its mean, and its owner has more starts to send than its link carries, as
//! each contains the text of its job. Given to the link all at once, they wait in it for longer than the timeouts of calls. Every
//! VM then seems unresponsive, leases are not renewed in time, and each further copy of a start makes the wait longer. Tasks
//! that are not placed yet can still be ordered by rank.
//!
//! Calls to the store that the node forwards for others share the link with its own messages, each on a connection of its own.
//! Neither waits for all of the other: starts get at least half of the link, however much was forwarded.

use crate::Ms;

/// The share of the stated bandwidth that is used, in percent. The rest is left for headers of packets and for answers.
const USED_PERCENT: u64 = 90;
/// How long the link may need for what was given to it before no more starts are placed, in milliseconds: about the time
/// between two steps of an owner, so that the link is not idle between them.
const MAX_QUEUE_MS: Ms = 60;
/// The same before starts are sent through other nodes, which costs a further hop and fewer bytes.
const DIRECT_QUEUE_MS: Ms = 15;
/// The share of what the link carries from which all starts that others can send go through them, in percent. The demand is
/// counted as if the owner sent all starts itself, so that it does not fall when they go through others.
const BUSY_PERCENT: u64 = 80;
/// The time over which the demand is averaged, in milliseconds.
const DEMAND_MS: Ms = 1_000;
/// The share of the link that is left to forwarded calls while other messages wait, in percent.
const FORWARDED_PERCENT: u64 = 50;
/// How long the link may need for forwarded calls before it takes no more of them, in milliseconds: a third of the shortest
/// timeout of calls to the store.
const MAX_FORWARDED_MS: Ms = 200;
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
    /// The bytes that were given to the link and are not sent yet, without those of forwarded calls.
    queued: u64,
    /// The bytes of forwarded calls that were given to the link and are not sent yet.
    forwarded: u64,
    /// The bytes that the link would have got in the last second if this node had sent all starts itself, as a moving average.
    demand: u64,
    /// The count of bytes besides starts and forwarded calls that were given to the link at the last update.
    counted: u64,
    /// The same of the bytes of forwarded calls.
    counted_forwarded: u64,
    updated_at: Ms,
}

impl LinkBudget {
    /// Creates the budget of an idle link.
    pub const fn new(bandwidth_bytes_per_s: u64, counted: u64, now: Ms) -> Self {
        let bytes_per_s = bandwidth_bytes_per_s * USED_PERCENT / 100;
        Self {
            bytes_per_s,
            queued: 0,
            forwarded: 0,
            demand: 0,
            counted,
            counted_forwarded: 0,
            updated_at: now,
        }
    }

    /// Records the count of all bytes of forwarded calls that the node has given to its link so far.
    pub const fn record_forwarded(&mut self, counted: u64) {
        let given = counted.saturating_sub(self.counted_forwarded);
        self.forwarded += given;
        self.demand += given;
        self.counted_forwarded = counted;
    }

    /// Updates the budget by the count of all bytes besides starts and forwarded calls that the node has given to its link so far.
    pub fn update(&mut self, counted: u64, now: Ms) {
        let elapsed = now.saturating_sub(self.updated_at);
        let given = counted.saturating_sub(self.counted);
        self.demand -= self.demand * elapsed.min(DEMAND_MS) / DEMAND_MS;
        self.demand += given;
        let sent = (self.queued + given).min(self.own_bytes_in(elapsed));
        self.queued = self.queued + given - sent;
        self.forwarded = self.forwarded.saturating_sub(self.bytes_in(elapsed) - sent);
        (self.counted, self.updated_at) = (counted, now);
    }

    /// Records a start that is given to the link, when it is ordered. It may have to wait for its VM, and the link is free for others
    /// meanwhile.
    pub const fn give(&mut self, bytes: u64) {
        self.queued += bytes;
        self.demand += bytes;
    }

    /// Records a start that another node is asked to send.
    pub const fn give_relayed(&mut self, size: StartSize) {
        self.queued += size.relayed;
        self.demand += size.direct;
    }

    /// Takes back a start that was given this long ago and not sent. What the link has sent instead stays counted.
    pub const fn take_back(&mut self, bytes: u64, elapsed: Ms) {
        let left = bytes.saturating_sub(self.bytes_in(elapsed));
        self.queued = self.queued.saturating_sub(left);
        self.take_back_demand(bytes, elapsed);
    }

    /// Takes back the demand of a start that another node was asked to send this long ago, and has not sent.
    pub const fn take_back_relayed(&mut self, size: StartSize, elapsed: Ms) {
        self.take_back_demand(size.direct, elapsed);
    }

    const fn take_back_demand(&mut self, bytes: u64, elapsed: Ms) {
        let left = bytes * DEMAND_MS.saturating_sub(elapsed) / DEMAND_MS;
        self.demand = self.demand.saturating_sub(left);
    }

    /// Returns the bytes of starts that may be placed now.
    pub fn available(&self) -> u64 {
        self.own_bytes_in(MAX_QUEUE_MS).saturating_sub(self.queued)
    }

    /// Returns whether another call may be forwarded now. The node that asks for it can ask another one.
    pub const fn may_forward(&self) -> bool {
        self.forwarded <= self.bytes_in(MAX_FORWARDED_MS)
    }

    /// Returns whether nothing more should be given to the link now.
    pub fn is_full(&self) -> bool {
        self.available() == 0
    }

    /// Returns whether a start should go through another node, if one can send it. A burst over a link that is free otherwise
    /// relays only what would wait; over a busy link, the texts of the first starts of each burst would delay other calls.
    pub fn prefers_relay(&self, size: StartSize) -> bool {
        let is_smaller = size.relayed < size.direct;
        let would_wait = self.queued + size.direct > self.own_bytes_in(DIRECT_QUEUE_MS);
        is_smaller && (would_wait || self.is_busy())
    }

    /// Returns whether the link can hardly carry the starts with their texts.
    const fn is_busy(&self) -> bool {
        self.demand > self.bytes_in(DEMAND_MS) * BUSY_PERCENT / 100
    }

    /// Returns how long the link needs for what was given to it besides forwarded calls, in milliseconds.
    pub fn delay_ms(&self) -> Ms {
        let bytes_per_s = self.bytes_per_s;
        if bytes_per_s == 0 {
            return 0;
        }
        let while_forwarding = self.queued * 100 / (100 - FORWARDED_PERCENT);
        while_forwarding.min(self.queued + self.forwarded) * 1_000 / bytes_per_s
    }

    /// Returns what the link sends besides forwarded calls in a time, if as much waits for it.
    fn own_bytes_in(&self, ms: Ms) -> u64 {
        let all = self.bytes_in(ms);
        all - self.forwarded.min(all * FORWARDED_PERCENT / 100)
    }

    const fn bytes_in(&self, ms: Ms) -> u64 {
        self.bytes_per_s * ms / 1_000
    }
}
