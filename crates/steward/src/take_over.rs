//! Takes over claims from other voters when the set of voters changes.

use std::sync::Arc;
use std::time::Duration;

use thistle_model::clock::Instant;
use thistle_model::view::{Voters, is_majority};
use thistle_model::{MemberId, Revision};
use thistle_request::claim::KeyedClaim;
use thistle_wire::dial::context_with_timeout;

use crate::shared::Shared;

/// How often the set of voters is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout for a page of claims.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Takes over claims whenever this voter has not yet adopted a proposed set of voters.
pub async fn run(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(voters) = pending_voters(&shared) else {
            continue;
        };
        if merge_majority(&shared, &voters).await {
            log::info!("claims step=taken-over voters={}", voters.revision);
            shared.core().merged = voters.revision;
            shared.heartbeat_now.notify_one();
        }
    }
}

/// Returns the sets of voters if a change of them waits for this voter's takeover.
fn pending_voters(shared: &Shared) -> Option<Voters> {
    let core = shared.core();
    let voters = &core.state.voters;
    let is_pending = voters.next.is_some() && core.merged != voters.revision;
    (is_pending && voters.contains(core.me)).then(|| voters.clone())
}

/// Merges the claims of a majority of the current voters, each read after its voter has applied the
/// change.
async fn merge_majority(shared: &Shared, voters: &Voters) -> bool {
    let me = shared.core().me;
    let mut merged: Vec<MemberId> = Vec::new();
    if voters.current.contains(&me) {
        merged.push(me);
    }
    for &id in voters.current.iter().filter(|&&id| id != me) {
        if is_majority(&voters.current, &merged) {
            break;
        }
        if merge_from(shared, id, voters.revision).await {
            merged.push(id);
        }
    }
    is_majority(&voters.current, &merged)
}

/// Merges all claims of one voter, page by page; returns whether all pages were read.
async fn merge_from(shared: &Shared, id: MemberId, revision: Revision) -> bool {
    let addr = shared.core().state.members.get(&id).map(|m| m.facts.peer_addr);
    let Some(addr) = addr else { return false };
    let connection = shared.connection(addr);
    let Ok(client) = connection.client().await else {
        return false;
    };
    let mut after = None;
    loop {
        let call = client.claims(context_with_timeout(PAGE_TIMEOUT), id, revision, after).await;
        let Ok(Some(page)) = connection.check(call).await else {
            return false;
        };
        let Some(last) = page.last().map(|c: &KeyedClaim| c.key) else {
            return true;
        };
        after = Some(last);
        shared.claims().merge(page, Instant::now());
    }
}
