//! How much callers hand in.

use std::ops::Range;
use std::time::{Duration, Instant};

/// A burst and the quiet time after it, by turns, beginning with a burst.
const BURST: Duration = Duration::from_millis(2_500);
const QUIET: Duration = Duration::from_millis(5_000);

/// What each caller hands in at some moment.
pub struct Amount {
    /// Tasks of a job.
    pub tasks: Range<u32>,
    /// The share of jobs that are still running when their VM falls silent and its lease ends.
    pub long: f64,
    /// How long a caller waits after a job, in milliseconds.
    pub pause_ms: Range<u64>,
}

/// How much callers hand in, in the course of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rhythm {
    /// Always the same, about half of what the pool holds.
    Even,
    /// About five times that by turns, which is more than the pool holds, and a twentieth in between.
    Bursts,
}

impl Rhythm {
    /// Returns how many callers there are.
    pub const fn callers(self) -> u64 {
        match self {
            Self::Even => 3,
            // Enough of them that a burst goes on while some wait for nodes that do not answer.
            Self::Bursts => 12,
        }
    }

    /// Returns whether there is a burst, so long after the beginning.
    pub fn is_burst(self, began: Instant) -> bool {
        self == Self::Bursts && into_turn(began) < BURST
    }

    /// Returns what a caller hands in, so long after the beginning.
    pub fn amount(self, began: Instant) -> Amount {
        match (self, self.is_burst(began)) {
            (Self::Even, _) => Amount { tasks: 1..4, long: 0.2, pause_ms: 10..120 },
            (Self::Bursts, true) => Amount { tasks: 3..9, long: 0.15, pause_ms: 60..200 },
            (Self::Bursts, false) => {
                // Everybody is there when the next burst begins.
                let left = (BURST + QUIET).saturating_sub(into_turn(began)).as_millis();
                let left = u64::try_from(left).unwrap_or(0);
                Amount {
                    tasks: 1..3,
                    long: 0.2,
                    pause_ms: left.min(2_000)..(left + 100).min(7_000),
                }
            }
        }
    }
}

fn into_turn(began: Instant) -> Duration {
    let turn = (BURST + QUIET).as_millis();
    let at = u64::try_from(began.elapsed().as_millis() % turn).unwrap_or(0);
    Duration::from_millis(at)
}
