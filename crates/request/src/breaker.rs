//! Outlier detection: a VM whose requests fail is excluded, then readmitted after a trial request.

use std::time::Duration;

use thistle_model::clock::Instant;

/// The minimum number of results before the failure share is considered.
const MIN_RESULTS: u32 = 5;
/// The newest result has a weight of `1 / SMOOTHING` in the moving failure share.
const SMOOTHING: f64 = 8.0;
/// The failure share from which a VM is excluded.
const BAD_SHARE: f64 = 0.5;
/// The number of consecutive failures after which a VM is excluded.
const MAX_BAD_IN_ROW: u32 = 3;
/// The number of consecutive connection failures after which a VM is excluded, whatever its failure
/// share.
const MAX_CONNECT_FAILURES: u32 = 1;
/// The duration of the first exclusion; each failed trial doubles it.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// The maximum duration of an exclusion.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// The result of a send, as evidence of the VM's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// A complete response that is not a server error.
    Good,
    /// A server error, a broken connection or an invalid response.
    Bad,
    /// The connection could not be established.
    NoConnect,
    /// The entry abandoned the request for a reason that says nothing about the VM's health.
    Neutral,
}

/// The health of one VM as observed by one entry.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    results: u32,
    bad_share: f64,
    bad_in_row: u32,
    connect_failures: u32,
    aside_until: Option<Instant>,
    pause: Duration,
    trial: bool,
}

/// Whether a VM may receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The VM receives requests.
    Good,
    /// The VM is excluded.
    Aside,
    /// The VM may receive one trial request.
    Trial,
}

impl Breaker {
    /// Returns whether the VM may receive requests at `now`.
    pub fn standing(&self, now: Instant) -> Standing {
        match self.aside_until {
            None => Standing::Good,
            Some(until) if now < until || self.trial => Standing::Aside,
            Some(_) => Standing::Trial,
        }
    }

    /// Returns whether the VM is excluded or on trial.
    pub const fn is_aside(&self) -> bool {
        self.aside_until.is_some()
    }

    /// Returns the moving failure share.
    pub const fn bad_share(&self) -> f64 {
        self.bad_share
    }

    /// Records that the trial request was sent.
    pub const fn begin_trial(&mut self) {
        self.trial = true;
    }

    /// Records a result; `may_set_aside` is false if too many VMs of the pool are already excluded
    /// or the whole pool fails in the same way.
    pub fn on_result(&mut self, result: SendResult, may_set_aside: bool, now: Instant) {
        let failed = match result {
            SendResult::Neutral => {
                self.trial = false;
                return;
            }
            SendResult::Good => false,
            SendResult::Bad | SendResult::NoConnect => true,
        };
        self.results = self.results.saturating_add(1);
        self.bad_share += (f64::from(u8::from(failed)) - self.bad_share) / SMOOTHING;
        self.bad_in_row = if failed { self.bad_in_row + 1 } else { 0 };
        if result == SendResult::NoConnect {
            self.connect_failures += 1;
        } else {
            self.connect_failures = 0;
        }
        if self.trial {
            self.end_trial(failed, now);
        } else if self.aside_until.is_none() && may_set_aside && self.is_bad() {
            self.set_aside(FIRST_PAUSE, now);
        }
    }

    fn is_bad(&self) -> bool {
        let judged = self.results >= MIN_RESULTS && self.bad_share >= BAD_SHARE;
        judged || self.bad_in_row >= MAX_BAD_IN_ROW || self.connect_failures >= MAX_CONNECT_FAILURES
    }

    fn end_trial(&mut self, failed: bool, now: Instant) {
        self.trial = false;
        if failed {
            self.set_aside((self.pause * 2).min(MAX_PAUSE), now);
            return;
        }
        *self = Self::default();
    }

    fn set_aside(&mut self, pause: Duration, now: Instant) {
        self.pause = pause;
        self.aside_until = Some(now + pause);
    }
}
