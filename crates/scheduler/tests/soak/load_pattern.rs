//! The load that callers generate.

use std::ops::Range;
use std::time::{Duration, Instant};

/// The length of a burst and of the quiet time after it. They alternate, beginning with a burst.
const BURST_LENGTH: Duration = Duration::from_millis(2_500);
const QUIET_LENGTH: Duration = Duration::from_millis(5_000);

/// The load that each caller generates at a given time.
pub struct Load {
    /// The number of tasks of a job.
    pub tasks: Range<u32>,
    /// The share of jobs that are long enough to be still running when the lease of an unresponsive VM expires.
    pub long_share: f64,
    /// How long a caller waits after a job, in milliseconds.
    pub pause_ms: Range<u64>,
}

/// How the load changes over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPattern {
    /// A constant load of about half the pool's capacity.
    Even,
    /// Bursts of about five times the even load, which exceed the pool's capacity, and a twentieth of the even load in between.
    Bursts,
}

impl LoadPattern {
    /// Returns the number of callers.
    pub const fn callers(self) -> u64 {
        match self {
            Self::Even => 3,
            // A burst continues while some callers wait for nodes that do not answer.
            Self::Bursts => 12,
        }
    }

    /// Returns whether there is a burst now.
    pub fn is_burst(self, started_at: Instant) -> bool {
        self == Self::Bursts && time_in_cycle(started_at) < BURST_LENGTH
    }

    /// Returns the present load of each caller.
    pub fn current_load(self, started_at: Instant) -> Load {
        match (self, self.is_burst(started_at)) {
            (Self::Even, _) => Load { tasks: 1..4, long_share: 0.2, pause_ms: 10..120 },
            (Self::Bursts, true) => Load { tasks: 3..9, long_share: 0.15, pause_ms: 60..200 },
            (Self::Bursts, false) => {
                // No caller is still pausing when the next burst begins.
                let left = (BURST_LENGTH + QUIET_LENGTH)
                    .saturating_sub(time_in_cycle(started_at))
                    .as_millis();
                let left = u64::try_from(left).unwrap_or(0);
                Load {
                    tasks: 1..3,
                    long_share: 0.2,
                    pause_ms: left.min(2_000)..(left + 100).min(7_000),
                }
            }
        }
    }
}

fn time_in_cycle(started_at: Instant) -> Duration {
    let cycle = (BURST_LENGTH + QUIET_LENGTH).as_millis();
    let at = u64::try_from(started_at.elapsed().as_millis() % cycle).unwrap_or(0);
    Duration::from_millis(at)
}
