//! Measures by how much the timers of an owner are late, which shows whether it is short of processor time.

use std::convert::Infallible;
use std::sync::Mutex;
use std::time::Duration;

use metrics::histogram;
use thistle_schedule::StartBacklog;

use crate::clock::steady_ms;
use crate::locks::lock;

/// The time between two measurements.
const EVERY: Duration = Duration::from_millis(100);

/// Measures for as long as it is polled.
pub(super) async fn measure(backlog: &Mutex<StartBacklog>) -> Infallible {
    loop {
        let began = steady_ms();
        tokio::time::sleep(EVERY).await;
        let now = steady_ms();
        let elapsed = Duration::from_millis(now.saturating_sub(began));
        let lag = elapsed.saturating_sub(EVERY);
        histogram!("thistle_owner_lag_seconds").record(lag);
        lock(backlog).record_lag(lag.as_millis().try_into().unwrap_or(u64::MAX), now);
    }
}
