//! Outlier detection: a VM whose requests fail is excluded, then readmitted after a trial request.

use std::time::Duration;

use thistle_model::clock::Instant;

/// The minimum number of results before the failure share is considered.
const MIN_RESULTS: u32 = 5;
/// The newest result has a weight of `1 / SMOOTHING` in the moving failure share.
const SMOOTHING: f64 = 8.0;
/// The failure share from which a VM is excluded.
const MAX_FAILURE_SHARE: f64 = 0.5;
/// The number of consecutive failures after which a VM is excluded.
const MAX_FAILURES_IN_ROW: u32 = 3;
/// The number of consecutive connection failures after which a VM is excluded, whatever its failure
/// share.
const MAX_CONNECT_FAILURES: u32 = 1;
/// The duration of the first exclusion; each failed trial doubles it.
const FIRST_EXCLUSION: Duration = Duration::from_secs(1);
/// The maximum duration of an exclusion.
const MAX_EXCLUSION: Duration = Duration::from_secs(30);

/// The result of a send, as evidence of the VM's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// A complete response that is not a server error.
    Success,
    /// A server error, a broken connection or an invalid response.
    Failure,
    /// The connection could not be established.
    ConnectFailed,
    /// The entry abandoned the request for a reason that says nothing about the VM's health.
    Neutral,
}

/// The health of one VM as observed by one entry.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    results: u32,
    failure_share: f64,
    failures_in_row: u32,
    connect_failures: u32,
    excluded_until: Option<Instant>,
    exclusion_time: Duration,
    trial_in_flight: bool,
}

/// Whether a VM may receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The VM receives requests.
    Available,
    /// The VM is excluded.
    Excluded,
    /// The VM may receive one trial request.
    Trial,
}

impl Breaker {
    /// Returns whether the VM may receive requests at `now`.
    pub fn availability(&self, now: Instant) -> Availability {
        match self.excluded_until {
            None => Availability::Available,
            Some(until) if now < until || self.trial_in_flight => Availability::Excluded,
            Some(_) => Availability::Trial,
        }
    }

    /// Returns whether the VM is excluded or on trial.
    pub const fn is_excluded(&self) -> bool {
        self.excluded_until.is_some()
    }

    /// Returns the moving failure share.
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Records that the trial request was sent.
    pub const fn start_trial(&mut self) {
        self.trial_in_flight = true;
    }

    /// Records a result; `may_exclude` is false if too many VMs of the pool are already excluded
    /// or the whole pool fails in the same way.
    pub fn record_result(&mut self, result: SendResult, may_exclude: bool, now: Instant) {
        let failed = match result {
            SendResult::Neutral => {
                self.trial_in_flight = false;
                return;
            }
            SendResult::Success => false,
            SendResult::Failure | SendResult::ConnectFailed => true,
        };
        self.results = self.results.saturating_add(1);
        self.failure_share += (f64::from(u8::from(failed)) - self.failure_share) / SMOOTHING;
        self.failures_in_row = if failed { self.failures_in_row + 1 } else { 0 };
        if result == SendResult::ConnectFailed {
            self.connect_failures += 1;
        } else {
            self.connect_failures = 0;
        }
        if self.trial_in_flight {
            self.end_trial(failed, now);
        } else if self.excluded_until.is_none() && may_exclude && self.is_failing() {
            self.exclude(FIRST_EXCLUSION, now);
        }
    }

    fn is_failing(&self) -> bool {
        let share_too_high = self.results >= MIN_RESULTS && self.failure_share >= MAX_FAILURE_SHARE;
        share_too_high
            || self.failures_in_row >= MAX_FAILURES_IN_ROW
            || self.connect_failures >= MAX_CONNECT_FAILURES
    }

    fn end_trial(&mut self, failed: bool, now: Instant) {
        self.trial_in_flight = false;
        if failed {
            self.exclude((self.exclusion_time * 2).min(MAX_EXCLUSION), now);
            return;
        }
        *self = Self::default();
    }

    fn exclude(&mut self, duration: Duration, now: Instant) {
        self.exclusion_time = duration;
        self.excluded_until = Some(now + duration);
    }
}
