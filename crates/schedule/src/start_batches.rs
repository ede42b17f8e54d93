//! Which starts an owner sends to a standby in one message.
//!
//! Load pattern: a step of an owner with a full link orders tens of starts, and most of them go through its standbys. In a request of
//! its own, each costs more bytes for headers than for the start, and one exchange on both nodes. The starts of a step are
//! checked at the same time, so those for one standby follow each other within a millisecond.

use std::collections::HashMap;
use std::hash::Hash;

use crate::Ms;

/// How long a batch stays open for further starts, in milliseconds.
pub const GATHER_MS: Ms = 1;
/// The most starts in a batch. A standby with a narrow link can take fewer at once.
const MAX_STARTS: usize = 64;
/// How long a standby that takes no batches gets single starts, in milliseconds. It may be replaced by a newer build.
const SINGLE_MS: Ms = 10_000;

/// What becomes of a start that was added.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Added<T> {
    /// The start opened a batch, to be taken after `GATHER_MS`.
    Opened,
    /// The start is in a batch that another start has opened.
    Joined,
    /// The start has completed a batch, to be sent now.
    Completed(Vec<T>),
    /// The standby takes no batches.
    Single(T),
}

/// The starts that wait for others to the same standby.
#[derive(Clone, Debug)]
pub struct StartBatches<K, T> {
    open: HashMap<K, Vec<T>>,
    /// The standbys that take no batches, each with the time until which none is sent to it.
    single_until: HashMap<K, Ms>,
}

impl<K, T> Default for StartBatches<K, T> {
    fn default() -> Self {
        Self { open: HashMap::new(), single_until: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash, T> StartBatches<K, T> {
    /// Adds a start for a standby.
    pub fn add(&mut self, standby: K, start: T, now: Ms) -> Added<T> {
        if self.single_until.get(&standby).is_some_and(|&until| now < until) {
            return Added::Single(start);
        }
        let batch = self.open.entry(standby).or_default();
        batch.push(start);
        match batch.len() {
            MAX_STARTS => Added::Completed(self.take(standby)),
            1 => Added::Opened,
            _ => Added::Joined,
        }
    }

    /// Takes the open batch for a standby. It is empty if the batch was completed before.
    pub fn take(&mut self, standby: K) -> Vec<T> {
        self.open.remove(&standby).unwrap_or_default()
    }

    /// Records that a standby takes no batches.
    pub fn record_unsupported(&mut self, standby: K, now: Ms) {
        self.single_until.retain(|_, until| now < *until);
        self.single_until.insert(standby, now + SINGLE_MS);
    }
}
