//! Startup and shutdown of an entry.

use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use thistle_model::clock::Instant;
use thistle_settings::{EntrySettings, RunError};
use thistle_wire::metrics_http;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::context::Context;
use crate::{callers, slots, stats, steward_link};

/// The interval at which queues are checked for requests that can no longer meet their deadline.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a stopping entry keeps listening, so that the balancer notices that it is not ready.
const STOP_DELAY: Duration = Duration::from_secs(1);
/// The interval at which a stopping entry checks whether all requests are answered.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The histogram buckets of response times, in seconds.
const RESPONSE_TIME_BUCKETS: [f64; 10] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0];
/// The interval of the metrics recorder's maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);

/// Runs an entry until it receives a stop signal and has answered its requests.
pub async fn run(settings: EntrySettings) -> Result<(), RunError> {
    let handle = PrometheusBuilder::new()
        .set_buckets(&RESPONSE_TIME_BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(|e| RunError::Metrics(e.to_string()))?;
    tokio::spawn(maintain_metrics(handle.clone()));
    let listener = TcpListener::bind(settings.listen).await?;
    let metrics_addr = settings.metrics_listen;
    let cx = Arc::new(Context::new(settings));
    log::info!("entry name={} id={:016x} step=start", cx.settings.name, cx.id());

    let for_metrics = cx.clone();
    let render = move || stats::render(&for_metrics, &handle);
    tokio::spawn(metrics_http::serve(metrics_addr, render));
    tokio::spawn(steward_link::run(cx.clone()));
    tokio::spawn(slots::run(cx.clone()));
    tokio::spawn(refuse_late(cx.clone()));
    tokio::spawn(callers::run(cx.clone(), listener));

    signal(SignalKind::terminate())?.recv().await;
    stop(&cx).await;
    Ok(())
}

/// Aggregates histogram samples regularly, as they would otherwise accumulate between two scrapes.
async fn maintain_metrics(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        handle.run_upkeep();
    }
}

/// Refuses waiting requests as soon as they can no longer meet their deadline.
async fn refuse_late(cx: Arc<Context>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let wakes = cx.router().poll(Instant::now());
        cx.wake(wakes);
    }
}

/// Refuses new requests and waits until those in flight are answered.
async fn stop(cx: &Context) {
    log::info!("entry name={} step=stop in_flight={}", cx.settings.name, cx.router().in_flight());
    cx.stop();
    cx.report_now.notify_one();
    tokio::time::sleep(STOP_DELAY).await;
    let deadline = Instant::now() + cx.settings.stop_timeout.0;
    while cx.router().in_flight() > 0 && Instant::now() < deadline {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    // Leaves time for the last answers to reach their callers.
    tokio::time::sleep(STOP_POLL_INTERVAL).await;
    let left = cx.router().in_flight();
    log::info!("entry name={} step=stopped left={left}", cx.settings.name);
}
