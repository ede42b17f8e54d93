//! A retry budget: retries are a bounded share of the requests, so that they cannot worsen an
//! overload.

use thistle_model::clock::Instant;

/// The units of one token; each retry costs one token.
const UNITS_PER_TOKEN: u32 = 1_000;

/// The number of retries allowed per second regardless of the number of requests.
const MIN_PER_SECOND: u64 = 2;
/// The units added per millisecond.
const UNITS_PER_MS: u64 = MIN_PER_SECOND * UNITS_PER_TOKEN as u64 / 1_000;

/// A token bucket that first sends and elapsed time refill; each retry takes one token.
///
/// The time-based refill lets a pool with few, long requests retry them after the loss of a rack;
/// the refill is too small to worsen an overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    per_send: u32,
    max: u32,
    level: u32,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a full bucket for `burst` retries that is refilled by `percent` of a token per
    /// request.
    pub fn new(percent: u32, burst: u32) -> Self {
        let max = burst.saturating_mul(UNITS_PER_TOKEN);
        let per_send = percent.saturating_mul(UNITS_PER_TOKEN / 100);
        Self { per_send, max, level: max, refilled_at: Instant::default() }
    }

    /// Records the first send of a request.
    pub fn record_first_send(&mut self) {
        self.level = (self.level + self.per_send).min(self.max);
    }

    /// Takes a token for a retry; returns false if the budget is exhausted.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let Some(level) = self.level.checked_sub(UNITS_PER_TOKEN) else {
            return false;
        };
        self.level = level;
        true
    }

    fn refill(&mut self, now: Instant) {
        let ms = u64::try_from(now.since(self.refilled_at).as_millis()).unwrap_or(u64::MAX);
        let more = ms.saturating_mul(UNITS_PER_MS).min(u64::from(self.max));
        self.level = (self.level + u32::try_from(more).unwrap_or(self.max)).min(self.max);
        self.refilled_at = now;
    }
}
