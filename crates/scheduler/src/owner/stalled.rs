//! Reports work that waits beside room: metrics by reason and a log line for each second.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use metrics::gauge;
use thistle_schedule::Ms;
use thistle_schedule::pool::StallReason;

use super::Owner;
use crate::clock::steady_ms;

/// How often waiting work is examined, in milliseconds.
const CHECK_EVERY_MS: Ms = 250;
/// Work that waits for less than this is not logged, and at most one line is logged in this time, in milliseconds.
const LOG_EVERY_MS: Ms = 1_000;

/// Reports the work of a pool that waits beside room.
#[derive(Debug)]
pub(super) struct StalledReporter {
    pool: Arc<str>,
    checked_at: Ms,
    logged_at: Ms,
}

impl StalledReporter {
    pub fn new(pool: Arc<str>) -> Self {
        Self { pool, checked_at: 0, logged_at: 0 }
    }

    /// Reports, until dropped, for how long the records of placements have been written: the owner takes no step meanwhile.
    pub fn report_while_writing(&self) -> impl Future<Output = Infallible> + use<> {
        let (pool, since) = (self.pool.clone(), steady_ms());
        async move {
            loop {
                tokio::time::sleep(Duration::from_millis(LOG_EVERY_MS)).await;
                let waited = steady_ms().saturating_sub(since);
                set_gauge(&pool, StallReason::Record, waited);
                log::info!("stalled pool={pool} reason=record-not-written longest_ms={waited}");
            }
        }
    }
}

impl Owner {
    /// Reports how long work has waited beside room, by reason.
    pub(super) fn update_stalled(&mut self) {
        let now = steady_ms();
        if now.saturating_sub(self.stalled_reporter.checked_at) < CHECK_EVERY_MS {
            return;
        }
        self.stalled_reporter.checked_at = now;
        let stalled = self.pool.stalled(now);
        for reason in StallReason::ALL {
            let longest = stalled.get(&reason).map_or(0, |s| s.longest_ms);
            set_gauge(&self.log.pool, reason, longest);
        }
        let longest = stalled.iter().max_by_key(|(_, s)| s.longest_ms);
        let Some((reason, longest)) = longest.filter(|(_, s)| s.longest_ms >= LOG_EVERY_MS) else {
            return;
        };
        if now.saturating_sub(self.stalled_reporter.logged_at) < LOG_EVERY_MS {
            return;
        }
        self.stalled_reporter.logged_at = now;
        let counts: Vec<String> =
            stalled.iter().map(|(reason, s)| format!("{}:{}", reason.name(), s.count)).collect();
        log::info!(
            "stalled pool={} reason={} longest_ms={} task={} counts={} token={}",
            self.log.pool,
            reason.name(),
            longest.longest_ms,
            longest.task,
            counts.join(","),
            self.token,
        );
    }
}

fn set_gauge(pool: &Arc<str>, reason: StallReason, ms: Ms) {
    let labels = [("pool", pool.to_string()), ("reason", reason.name().to_owned())];
    gauge!("thistle_wait_beside_room_seconds", &labels).set(ms as f64 / 1_000.0);
}
