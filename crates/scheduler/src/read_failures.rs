//! Logs when reads of a partition begin to fail and when they succeed again. No other log line shows a partition that
//! only one node cannot read.

use metrics::counter;
use thistle_platform::StoreError;
use thistle_schedule::Ms;

use crate::clock::steady_ms;

/// The consecutive failed reads of one partition.
#[derive(Debug, Default)]
pub struct ReadFailures {
    count: u32,
    since: Ms,
}

impl ReadFailures {
    /// Records a failed read that started at an offset.
    pub fn record_failure(&mut self, topic: &str, part: u32, from: Option<u64>, e: &StoreError) {
        counter!("thistle_failed_reads", "topic" => topic.to_owned()).increment(1);
        if self.count == 0 {
            self.since = steady_ms();
            log::info!("tail topic={topic} part={part} step=failing from={from:?} error=\"{e}\"");
        }
        self.count += 1;
    }

    /// Records a successful read.
    pub fn record_success(&mut self, topic: &str, part: u32) {
        if self.count == 0 {
            return;
        }
        let failing_ms = steady_ms().saturating_sub(self.since);
        log::info!(
            "tail topic={topic} part={part} step=reading-again failures={} failing_ms={failing_ms}",
            self.count,
        );
        self.count = 0;
    }
}
