//! Follows the log: reads and applies its entries and renews the proof; reads from peers while the
//! log is down.

use std::sync::Arc;
use std::time::Duration;

use thistle_model::clock::Instant;
use thistle_wire::dial::context_with_timeout;
use thistle_wire::peer::Entries;
use thistle_wire::platform::{HttpError, LogPage, LogService};

use crate::catch_up;
use crate::shared::Shared;

/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The timeout for entries from a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the log until the process ends.
pub async fn run<L: LogService>(shared: Arc<Shared>, log: Arc<L>) {
    let wait_ms = u64::try_from(shared.settings.heartbeat.0.as_millis()).unwrap_or(1_000);
    loop {
        let from = shared.offset();
        let called_at = Instant::now();
        match log.read(from, wait_ms).await {
            Ok(page) => on_page(&shared, log.as_ref(), page, called_at).await,
            Err(e) => on_error(&shared, &e).await,
        }
    }
}

async fn on_page<L: LogService>(shared: &Shared, log: &L, page: LogPage, called_at: Instant) {
    let from = shared.offset();
    if page.base > from {
        catch_up::from_snapshot(shared, log, page).await;
        return;
    }
    let was_down = !shared.core().log_up;
    if was_down {
        log::info!("log result=up offset={from}");
    }
    let mut core = shared.core();
    core.log_up = true;
    let now = Instant::now();
    let any = !page.entries.is_empty();
    for entry in page.entries {
        core.apply(entry, now);
    }
    if core.state.next >= page.end {
        core.caught_up = true;
        core.proof.on_log_end(called_at);
    }
    drop(core);
    if any || was_down {
        shared.notify();
    }
}

async fn on_error(shared: &Shared, e: &HttpError) {
    let was_up = std::mem::replace(&mut shared.core().log_up, false);
    if was_up {
        log::warn!("log result=down reason=\"{e}\"");
    }
    if !shared.core().caught_up {
        catch_up::from_peers(shared).await;
    }
    from_peer_ahead(shared).await;
    // A heartbeat reply from a peer that is ahead ends the pause early.
    let _ = tokio::time::timeout(RETRY_PAUSE, shared.peers_ahead.notified()).await;
}

/// Reads entries from a peer that has read more of the log than this steward.
async fn from_peer_ahead(shared: &Shared) {
    let Some((addr, from)) = peer_ahead(shared) else {
        return;
    };
    let connection = shared.connection(addr);
    let Ok(client) = connection.client().await else {
        return;
    };
    let call = client.entries(context_with_timeout(PEER_TIMEOUT), from).await;
    let Ok(Entries::Some(entries)) = connection.check(call).await else {
        return;
    };
    let mut core = shared.core();
    if core.state.next != from {
        return;
    }
    let now = Instant::now();
    for entry in entries {
        core.apply(entry, now);
    }
    drop(core);
    shared.notify();
}

/// Returns the address of the peer that has read most of the log, if it is ahead of this steward,
/// and this steward's next offset.
fn peer_ahead(shared: &Shared) -> Option<(std::net::SocketAddr, thistle_model::Offset)> {
    let core = shared.core();
    let next = core.state.next;
    let ahead = core.peers.iter().filter(|(_, p)| p.heartbeat.offset > next);
    let (id, _) = ahead.max_by_key(|(_, p)| p.heartbeat.offset)?;
    let member = core.state.members.get(id)?;
    Some((member.facts.peer_addr, next))
}
