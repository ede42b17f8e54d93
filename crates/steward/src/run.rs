//! Startup and shutdown of a steward.

use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusBuilder;
use thistle_model::Change;
use thistle_settings::{RunError, StewardSettings};
use thistle_wire::link::Link;
use thistle_wire::operator::Operator;
use thistle_wire::peer::Peer;
use thistle_wire::platform::{HttpLog, HttpVmList};
use thistle_wire::{metrics_http, serve_tarpc};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::link_server::LinkServer;
use crate::operator_server::OperatorServer;
use crate::peer_server::PeerServer;
use crate::shared::Shared;
use crate::{appender, duty, follower, heartbeat, membership, metrics_server, take_over, tasks};

/// The maximum number of batches of records that wait to be appended.
const MAX_WAITING_BATCHES: usize = 256;
/// How long a leaving steward waits for its entry to stop and its `MemberLeave` to be read back.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The bucket bounds of the metric for roll-out times, in seconds.
const ROLL_OUT_BUCKETS: [f64; 8] = [0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 15.0, 60.0];

/// Runs a steward until it receives a signal to stop.
pub async fn run(settings: StewardSettings) -> Result<(), RunError> {
    let handle = PrometheusBuilder::new()
        .set_buckets(&ROLL_OUT_BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(|e| RunError::Metrics(e.to_string()))?;
    let peers = TcpListener::bind(settings.peer_listen).await?;
    let link = TcpListener::bind(settings.link_listen).await?;
    let operators = TcpListener::bind(settings.operator_listen).await?;
    let log = Arc::new(HttpLog::new(settings.log_service));
    let vms = Arc::new(HttpVmList::new(settings.vm_list));
    let metrics_addr = settings.metrics_listen;
    let (tx, rx) = mpsc::channel(MAX_WAITING_BATCHES);
    let shared = Arc::new(Shared::new(settings, tx));
    log::info!("steward name={} step=start", shared.settings.name);

    tokio::spawn(serve_tarpc!(peers, PeerServer::new(shared.clone())));
    tokio::spawn(serve_tarpc!(link, LinkServer::new(shared.clone())));
    tokio::spawn(serve_tarpc!(operators, OperatorServer::new(shared.clone())));
    let for_metrics = shared.clone();
    let render = move || metrics_server::render(&for_metrics, &handle);
    tokio::spawn(metrics_http::serve(metrics_addr, render));

    tokio::spawn(appender::run(shared.clone(), log.clone(), rx));
    tokio::spawn(follower::run(shared.clone(), log));
    tokio::spawn(heartbeat::run(shared.clone()));
    tokio::spawn(membership::run(shared.clone()));
    tokio::spawn(take_over::run(shared.clone()));
    tokio::spawn(tasks::run(shared.clone()));
    tokio::spawn(duty::run(shared.clone(), vms));

    signal(SignalKind::terminate())?.recv().await;
    leave(&shared).await;
    Ok(())
}

/// Leaves the members after the entry on this VM has stopped.
async fn leave(shared: &Shared) {
    log::info!("steward name={} step=leave", shared.settings.name);
    let deadline = tokio::time::Instant::now() + LEAVE_TIMEOUT;
    while tokio::time::Instant::now() < deadline && entry_may_send(shared) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    if entry_may_send(shared) {
        // The entry may still send; the voters remove this member when its heartbeats stop.
        return log::warn!("steward step=leave result=entry-still-runs");
    }
    let member = shared.core().me;
    let Some(id) = shared.propose(vec![Change::MemberLeave { member }]) else {
        return;
    };
    let verdict = shared.core().verdicts.wait_for(id);
    let _ = tokio::time::timeout_at(deadline, verdict).await;
}

/// Returns whether the entry on this VM may still send new work: an entry that does not call may be
/// frozen, and its last proof holds for the fence time.
fn entry_may_send(shared: &Shared) -> bool {
    let core = shared.core();
    let now = thistle_model::clock::Instant::now();
    core.entry.id.is_some() && now.since(core.entry.last_contact) < shared.settings.fence.0
}
