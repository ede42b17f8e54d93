//! The clocks that a node reads.

use thistle_model::clock::{Instant, wall_ms};
use thistle_schedule::Ms;
use thistle_schedule::pool::Now;

/// Returns the current time of the steady and the wall clock.
pub fn now() -> Now {
    Now { steady: steady_ms(), wall: wall_ms() }
}

/// Returns the time of the steady (monotonic) clock, in milliseconds.
pub fn steady_ms() -> Ms {
    Instant::now().as_micros() / 1_000
}
