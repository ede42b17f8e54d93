//! Starts and stops a node.

use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use thistle_platform::contracts::policy_for;
use thistle_settings::{RunError, SchedulerSettings};
use thistle_wire::metrics_http;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::clock::steady_ms;
use crate::node::Node;
use crate::{callers, control, listing, readiness, relay, stats, traffic};

/// The bucket bounds of the response time histograms, in seconds.
const RESPONSE_TIME_BUCKETS: [f64; 9] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];
/// How often the samples of histograms are aggregated.
const METRICS_MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);
/// How long a stopping node still serves new connections, until the balancer has noticed that the node is not ready.
const STOP_NOTICE: Duration = Duration::from_millis(2_500);
/// How long the node still runs once it closes connections, and with it the longest time for the requests in progress.
const LAST_REQUESTS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long sending the replies to requests without a result may take.
const LAST_REPLIES_TIME: Duration = Duration::from_millis(100);
/// How long writing the last log lines may take.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(20);

/// Runs a node until it receives SIGTERM and has answered the remaining requests.
pub async fn run(mut settings: SchedulerSettings) -> Result<(), RunError> {
    settings.policy = policy_for(&settings.contracts, settings.policy);
    let handle = PrometheusBuilder::new()
        .set_buckets(&RESPONSE_TIME_BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(|e| RunError::Metrics(e.to_string()))?;
    let listener = TcpListener::bind(settings.listen).await?;
    let readiness_listener = TcpListener::bind(settings.readiness_listen).await?;
    let relay_listener = match settings.relay_listen {
        Some(addr) => Some(TcpListener::bind(addr).await?),
        None => None,
    };
    log::info!("node step=policy contracts={:?} policy={:?}", settings.contracts, settings.policy);
    let node = Arc::new(Node::new(settings));
    log::info!(
        "node name={} life={:016x} hall={} step=start speed={} version={}",
        node.me.name,
        node.me.incarnation,
        node.settings.hall,
        node.speed,
        env!("CARGO_PKG_VERSION"),
    );
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;

    tokio::spawn(maintain_metrics(handle.clone()));
    let for_metrics = node.clone();
    let render = move || stats::render(&for_metrics, &handle);
    tokio::spawn(serve_metrics(node.settings.metrics_listen, render));
    tokio::spawn(listing::follow_config(node.clone()));
    tokio::spawn(listing::follow_vms(node.clone()));
    tokio::spawn(control::run(node.clone()));
    tokio::spawn(readiness::run(node.clone(), readiness_listener));
    tokio::spawn(callers::run(node.clone(), listener));
    tokio::spawn(relay::watch_route(node.clone()));
    tokio::spawn(traffic::log_traffic(node.clone()));
    if let Some(listener) = relay_listener {
        tokio::spawn(relay::run(node.clone(), listener));
    }

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // Everything that can change at run time comes from the store.
            _ = reload.recv() => log::info!("node name={} step=reload nothing=changed", node.me.name),
        }
    }
    stop(&node).await;
    Ok(())
}

async fn serve_metrics<F>(addr: std::net::SocketAddr, render: F)
where
    F: Fn() -> String + Clone + Send + Sync + 'static,
{
    if let Err(e) = metrics_http::serve(addr, render).await {
        log::error!("metrics step=not-served addr={addr} error=\"{e}\"");
    }
}

/// Aggregates the samples of histograms regularly, because they would accumulate between two scrapes.
async fn maintain_metrics(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(METRICS_MAINTENANCE_INTERVAL).await;
        handle.run_upkeep();
    }
}

/// Returns how long a stopping node still serves new connections.
fn notice_time(grace: Duration) -> Duration {
    STOP_NOTICE.min(grace / 2)
}

/// Returns the time from the signal to stop until the node exits.
pub fn stop_time(grace: Duration) -> Duration {
    notice_time(grace) + LAST_REQUESTS_TIMEOUT.min(grace / 4)
}

/// Releases the pools, signals the balancer to send no new connections, and answers the requests on open connections. Those that
/// have no result when the node exits are answered too: a connection that closes tells the caller nothing.
async fn stop(node: &Node) {
    log::info!("node name={} step=stop", node.me.name);
    let started_at = steady_ms();
    node.stopping.send_replace(true);
    let grace = node.settings.stop_grace.0;
    tokio::time::sleep(notice_time(grace)).await;
    node.closing.send_replace(true);
    let last_requests = stop_time(grace) - notice_time(grace);
    tokio::time::sleep(last_requests.saturating_sub(LAST_REPLIES_TIME)).await;
    node.exiting.send_replace(true);
    tokio::time::sleep(LAST_REPLIES_TIME).await;
    log::info!("node name={} step=stopped took_ms={}", node.me.name, steady_ms() - started_at);
    // Leaves the log writer thread time to write the last lines.
    tokio::time::sleep(LOG_FLUSH_TIME).await;
}
