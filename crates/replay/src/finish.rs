//! Computes the report at the end of a replay.

use crate::report::{End, Report};
use crate::run::Replay;

impl Replay<'_> {
    /// Returns the report of the finished replay.
    pub fn finish(mut self) -> Report {
        let mut total_useful_us = 0u64;
        for (request, arrival) in self.requests.iter().zip(&self.trace.arrivals) {
            let in_time = match request.end {
                Some(End::Answered(us)) => {
                    self.report.latencies_us.push(us);
                    let in_time = us <= arrival.deadline_ms * 1_000;
                    // Work that ends after the last arrival does not count, because the capacity is only counted
                    // until then.
                    let counts = in_time && arrival.at_us + us <= self.last_us;
                    total_useful_us += if counts { request.useful_us } else { 0 };
                    in_time
                }
                Some(End::NotRun) => {
                    self.report.not_run += 1;
                    self.report.false_not_run += usize::from(request.runs > 0);
                    false
                }
                Some(End::Unknown) | None => {
                    self.report.unknown += 1;
                    false
                }
            };
            self.report.in_time[arrival.tier as usize] += usize::from(in_time);
            self.report.double_runs += usize::from(!arrival.repeatable && request.runs > 1);
        }
        self.report.latencies_us.sort_unstable();
        self.report.peak = self.workers.iter().map(|w| w.peak).max().unwrap_or(0);
        let slots = self.workers.len() as u64 * u64::from(thistle_model::vm::DEFAULT_SLOTS);
        let capacity_us = slots * self.last_us.max(1);
        self.report.goodput_percent = total_useful_us as f64 * 100.0 / capacity_us as f64;
        self.report
    }
}
