//! Renewal of slot leases at the homes of VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use thistle_model::MemberId;
use thistle_model::clock::Instant;
use thistle_model::rendezvous;
use thistle_model::view::ViewMember;
use thistle_request::slot_home::SlotWant;
use thistle_wire::dial::context_with_timeout;

use crate::context::Context;

/// The renewal interval while no requests wait for slots.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// The renewal interval while requests wait for slots.
const SHORTAGE_RENEW_INTERVAL: Duration = Duration::from_millis(5);
/// The timeout of a call to a home.
const HOME_TIMEOUT: Duration = Duration::from_millis(250);
/// The time during which a home that did not reply is skipped.
const UNRESPONSIVE_HOME_DELAY: Duration = Duration::from_secs(1);

/// Renews slot leases until the process ends.
pub async fn run(cx: Arc<Context>) {
    let mut unresponsive: HashMap<SocketAddr, Instant> = HashMap::new();
    loop {
        let is_short = cx.router().is_short_of_slots();
        let interval = if is_short { SHORTAGE_RENEW_INTERVAL } else { RENEW_INTERVAL };
        // The wait ends early when a request starts to wait.
        let _ = tokio::time::timeout(interval, cx.renew_slots_now.notified()).await;
        renew_all(&cx, &mut unresponsive).await;
    }
}

/// Sends one request to each home, all concurrently.
async fn renew_all(cx: &Arc<Context>, unresponsive: &mut HashMap<SocketAddr, Instant>) {
    let now = Instant::now();
    unresponsive.retain(|_, since| now.since(*since) < UNRESPONSIVE_HOME_DELAY);
    let wants = cx.router().slot_wants(now);
    let (member, members) = {
        let link = cx.link();
        (link.member, link.members.clone())
    };
    let by_home = group_by_home(wants, &members);
    let requests = by_home.into_iter().filter(|(addr, _)| !unresponsive.contains_key(addr));
    let calls = requests.map(|(addr, wants)| request_slots(cx, addr, member, wants));
    for (addr, answered) in join_all(calls).await {
        if !answered {
            unresponsive.insert(addr, now);
        }
    }
}

/// Groups slot requests by the home of their VM.
fn group_by_home(
    wants: Vec<SlotWant>,
    members: &[ViewMember],
) -> HashMap<SocketAddr, Vec<SlotWant>> {
    let mut by_home: HashMap<SocketAddr, Vec<SlotWant>> = HashMap::new();
    for want in wants {
        let key = want.vm.as_str().as_bytes();
        let Some(home) = rendezvous::pick(key, members, |m| m.id.0) else {
            continue;
        };
        by_home.entry(home.peer_addr).or_default().push(want);
    }
    by_home
}

async fn request_slots(
    cx: &Arc<Context>,
    addr: SocketAddr,
    member: MemberId,
    wants: Vec<SlotWant>,
) -> (SocketAddr, bool) {
    let connection = cx.peer_connection(addr);
    let requested_at = Instant::now();
    let Ok(client) = connection.client().await else {
        return (addr, false);
    };
    let call = client.slots(context_with_timeout(HOME_TIMEOUT), member, wants).await;
    let grants = match connection.check(call).await {
        Ok(grants) => grants,
        Err(e) => {
            log::debug!("slots home={addr} result=failed reason=\"{e}\"");
            return (addr, false);
        }
    };
    let mut router = cx.router();
    for grant in &grants {
        router.apply_grant(grant, requested_at);
    }
    let wakes = router.poll(Instant::now());
    drop(router);
    cx.wake(wakes);
    (addr, true)
}
