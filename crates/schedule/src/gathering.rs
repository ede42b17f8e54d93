//! Whether a pool's owner appends what the callers of all nodes hand in.
//!
//! The load pattern: hundreds of nodes each append the one job in three seconds that their callers send. A partition does one append after the
//! other, 4 ms each: 200 a second keep it busy for four fifths of the time, and whatever holds it up for a moment leaves a queue that cancels and callers'
//! further tries keep full, past the 2 s after which the store refuses. Appended by the owner, what came during one append is the next one.

use std::collections::VecDeque;

use crate::Ms;

/// Submissions and cancels a second from which on they are gathered: two fifths of what a partition takes one by one.
const GATHERED_FROM: usize = 100;
/// Below this they are appended by whoever takes them again, once it has lasted for [`CALM_MS`].
const SPREAD_BELOW: usize = 25;
/// How long few must come until they are not gathered any more, in milliseconds: load comes in turns of seconds.
const CALM_MS: Ms = 10_000;
/// The time over which they are counted, in milliseconds.
const SPAN_MS: Ms = 1_000;

/// What a pool's owner has seen come of late.
#[derive(Debug, Default)]
pub struct Intake {
    arrivals: VecDeque<Ms>,
    gathers: bool,
    /// When more than few came last.
    busy_at: Ms,
}

impl Intake {
    /// Takes in a submission or a cancel.
    pub fn note(&mut self, now: Ms) {
        // More than tell that they are gathered need not be counted.
        if self.arrivals.len() >= GATHERED_FROM {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(now);
    }

    /// Returns whether they are to be handed to the owner.
    pub fn gathers(&mut self, now: Ms) -> bool {
        while self.arrivals.front().is_some_and(|&at| at + SPAN_MS <= now) {
            self.arrivals.pop_front();
        }
        let rate = self.arrivals.len();
        if rate >= SPREAD_BELOW {
            self.busy_at = now;
        }
        self.gathers = match self.gathers {
            true => now < self.busy_at + CALM_MS,
            false => rate >= GATHERED_FROM,
        };
        self.gathers
    }
}
