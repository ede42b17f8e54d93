//! A monotonic clock that also counts the time for which a process or its VM is paused.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on the boot-time clock of this machine, in microseconds.
///
/// Unlike [`std::time::Instant`] on Linux it keeps counting while the VM is suspended, so a lease
/// timed with it lapses for a holder that was paused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// Returns the current time.
    pub fn now() -> Self {
        let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let secs = u64::try_from(t.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(t.tv_nsec).unwrap_or(0);
        Self(secs * 1_000_000 + nanos / 1_000)
    }

    /// Returns the instant at `us` microseconds, for replays and tests.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Returns the microseconds since the clock's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero when `earlier` is in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Instant {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        let us = u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(us))
    }
}

/// Returns the wall clock in milliseconds since 1970. Used only for display and for the age of keys.
pub fn wall_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
