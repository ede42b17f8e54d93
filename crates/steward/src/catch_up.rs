//! Restores the state without the whole log: from a snapshot or from peers.

use std::net::SocketAddr;
use std::time::Duration;

use thistle_fold::{State, image, snapshot::Assembler};
use thistle_model::clock::Instant;
use thistle_model::record::decode;
use thistle_model::{MemberId, Offset};
use thistle_wire::dial::context_with_timeout;
use thistle_wire::platform::{LogPage, LogService};

use crate::shared::Shared;

/// The timeout for a part of a peer's state.
const PART_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause before the log is searched for a snapshot again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Restores the newest snapshot in the log, if all later entries are still kept.
pub async fn from_snapshot<L: LogService>(shared: &Shared, log: &L, first: LogPage) {
    let base = first.base;
    let mut assembler = Assembler::new();
    let mut newest: Option<State> = None;
    let mut page = first;
    let mut at = base;
    loop {
        for entry in &page.entries {
            for record in decode(entry).unwrap_or_default() {
                newest = assembler.add_chunk(&record.change).or(newest);
            }
            at = at.next();
        }
        if at >= page.end {
            break;
        }
        match log.read(at, 0).await {
            Ok(next) if next.base <= at => page = next,
            _ => return tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    match newest.filter(|s| s.next >= base) {
        Some(state) => {
            log::info!("catch-up from=snapshot offset={}", state.next);
            shared.core().replace_state(state, Instant::now());
            shared.notify();
        }
        None => {
            log::error!(
                "catch-up from=snapshot result=none base={base} remedy=\"the log expired before a snapshot was written; fetching the state from peers\""
            );
            from_peers(shared).await;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Restores the newest state that a peer returns.
///
/// This steward is caught up only when its offset is at least the highest of a quorum of voters:
/// the state of a lagging peer could be older than what this steward has already acted on.
pub async fn from_peers(shared: &Shared) {
    let mut best: Option<State> = None;
    for &addr in &shared.settings.seeds {
        if let Some(state) = fetch_state(shared, addr).await {
            let newer = best.as_ref().is_none_or(|b| state.next > b.next);
            best = if newer { Some(state) } else { best };
        }
    }
    let Some(state) = best else { return };
    let offset = state.next;
    shared.core().replace_state(state, Instant::now());
    let required = quorum_offset(shared).await;
    if required.is_some_and(|highest| shared.offset() >= highest) {
        shared.core().caught_up = true;
        log::info!("catch-up from=peers offset={offset}");
    }
    shared.notify();
}

/// Returns the highest offset among the voters that answered, or `None` if they are no quorum.
async fn quorum_offset(shared: &Shared) -> Option<Offset> {
    let voters = shared.core().state.voters.clone();
    let mut answered: Vec<MemberId> = Vec::new();
    let mut highest = Offset(0);
    for id in voters.all() {
        let addr = shared.core().state.members.get(&id).map(|m| m.facts.peer_addr);
        let Some(addr) = addr else { continue };
        let connection = shared.connection(addr);
        let Ok(client) = connection.client().await else {
            continue;
        };
        let call = client.image(context_with_timeout(PART_TIMEOUT), u64::MAX).await;
        // A restarted steward has the address of its previous incarnation, but another member ID.
        if let Some(part) = connection.check(call).await.ok().filter(|part| part.from == id) {
            answered.push(id);
            highest = highest.max(part.at);
        }
    }
    (!voters.current.is_empty() && voters.is_quorum(&answered)).then_some(highest)
}

/// Fetches a peer's whole state in parts; returns `None` if the state changes meanwhile.
async fn fetch_state(shared: &Shared, addr: SocketAddr) -> Option<State> {
    let connection = shared.connection(addr);
    let client = connection.client().await.ok()?;
    let mut bytes: Vec<u8> = Vec::new();
    let mut at = None;
    loop {
        let call = client.image(context_with_timeout(PART_TIMEOUT), bytes.len() as u64).await;
        let part = connection.check(call).await.ok()?;
        if *at.get_or_insert(part.at) != part.at {
            return None;
        }
        bytes.extend(&part.bytes);
        if bytes.len() as u64 >= part.total {
            return image::decode(&bytes);
        }
        if part.bytes.is_empty() {
            return None;
        }
    }
}
