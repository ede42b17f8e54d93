//! The report of a replay.

use thistle_model::Tier;

use crate::trace::Bounds;

/// The end of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete response after this many microseconds.
    Answered(u64),
    /// Refused as not run.
    NotRun,
    /// Refused, but it may have run.
    Unknown,
}

/// The results of a replay.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The number of requests by tier.
    pub offered: [usize; 3],
    /// The number of requests answered within their deadline, by tier.
    pub in_time: [usize; 3],
    /// The number of requests refused as not run.
    pub not_run: usize,
    /// The number of requests whose outcome is unknown.
    pub unknown: usize,
    /// The response times in microseconds, sorted.
    pub latencies_us: Vec<u64>,
    /// The number of first sends.
    pub sends: usize,
    /// The number of sends of requests that may have run before.
    pub retries: usize,
    /// The number of further sends of requests of which nothing was sent before.
    pub redirects: usize,
    /// The number of runs whose response was not needed any more.
    pub wasted_runs: usize,
    /// The largest number of requests in flight on one worker at a time.
    pub peak: usize,
    /// Work that led to a response within the deadline and before the last arrival, in percent of the
    /// capacity of the workers until then.
    pub goodput_percent: f64,
    /// The number of requests that may not be repeated and ran more than once.
    pub double_runs: usize,
    /// The number of requests that ran although they were refused as not run.
    pub false_not_run: usize,
}

impl Report {
    /// Returns the share of a tier's requests answered within their deadline, in percent.
    pub fn in_time_percent(&self, tier: Tier) -> f64 {
        let i = tier as usize;
        percent(self.in_time[i], self.offered[i])
    }

    /// Returns the share of all requests answered within their deadline, in percent.
    pub fn all_in_time_percent(&self) -> f64 {
        percent(self.in_time.iter().sum(), self.offered.iter().sum())
    }

    /// Returns the retries in percent of all sends.
    pub fn retries_percent(&self) -> f64 {
        percent(self.retries, self.sends + self.retries)
    }

    /// Returns the response time in microseconds below which `per_mille` of every 1,000 responses lie.
    pub fn latency_us(&self, per_mille: usize) -> u64 {
        let at = self.latencies_us.len() * per_mille / 1_000;
        self.latencies_us.get(at).or(self.latencies_us.last()).copied().unwrap_or(0)
    }

    /// Returns the bounds that were not met; empty when all were.
    pub fn unmet(&self, bounds: &Bounds) -> Vec<String> {
        let mut unmet = Vec::new();
        // Maximum values are checked as minimum values of the negated figures.
        let mut check_minimum = |name: &str, minimum: Option<f64>, got: f64| {
            if minimum.is_some_and(|m| got < m) {
                unmet.push(format!("{name} {got:.2} < {:.2}", minimum.unwrap_or(0.0)));
            }
        };
        check_minimum(
            "gold in time",
            bounds.gold_in_time_percent,
            self.in_time_percent(Tier::Gold),
        );
        check_minimum("in time", bounds.in_time_percent, self.all_in_time_percent());
        check_minimum("goodput", bounds.goodput_percent, self.goodput_percent);
        check_minimum("-retries", bounds.retries_percent.map(|max| -max), -self.retries_percent());
        check_minimum("-peak", bounds.max_in_flight.map(|max| -(max as f64)), -(self.peak as f64));
        check_minimum("-unknown", bounds.unknown.map(|max| -(max as f64)), -(self.unknown as f64));
        check_minimum("-double runs", Some(0.0), -(self.double_runs as f64));
        check_minimum("-false not-run", Some(0.0), -(self.false_not_run as f64));
        unmet
    }
}

fn percent(part: usize, whole: usize) -> f64 {
    if whole == 0 { 100.0 } else { part as f64 * 100.0 / whole as f64 }
}
