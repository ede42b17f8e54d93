//! The link to the steward on the same VM: receives its view and reports this entry's state.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use thistle_model::clock::Instant;
use thistle_model::{Revision, VmName};
use thistle_wire::dial::context_with_timeout;
use thistle_wire::link::{LinkConnection, ViewReply, ViewRequest};
use thistle_wire::peer::EntryReport;

use crate::context::Context;

/// The timeout of a call to the steward.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The versions of the view and of the hints that this entry has applied.
#[derive(Default)]
struct ViewPosition {
    revision: Revision,
    hints: u64,
}

/// Polls the steward for view updates until the process ends.
pub async fn run(cx: Arc<Context>) {
    let connection = LinkConnection::new(cx.settings.steward);
    let mut position = ViewPosition::default();
    loop {
        let pending_reply = call(&cx, &connection, &position);
        // A report that is due, such as a completed drain, cancels the pending call and starts a
        // new one.
        let reply = tokio::select! {
            reply = pending_reply => reply,
            () = cx.report_now.notified() => continue,
        };
        match reply {
            Some(reply) => apply_reply(&cx, reply, &mut position),
            None => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

async fn call(
    cx: &Context,
    connection: &LinkConnection,
    position: &ViewPosition,
) -> Option<ViewReply> {
    let leaving = cx.link().leaving.clone();
    let report =
        EntryReport { offset: cx.link().offset, ready: cx.is_ready(), acks: cx.router().acks() };
    let req = ViewRequest {
        entry: cx.id(),
        have: position.revision,
        hints: position.hints,
        report,
        leaving,
    };
    let client = connection.client().await.ok()?;
    let call = client.view(context_with_timeout(CALL_TIMEOUT), req).await;
    connection.check(call).await.ok()
}

/// Applies a reply: first the view update, then the proof of membership that belongs to it.
fn apply_reply(cx: &Arc<Context>, reply: ViewReply, position: &mut ViewPosition) {
    let mut router = cx.router();
    if let Some(update) = &reply.update {
        // A restarted steward may lag behind this entry's view, which must never go back.
        if update.offset < cx.link().offset {
            return;
        }
        router.apply_view(update);
        position.revision = reply.revision;
        position.hints = reply.hints;
    }
    router.set_proof(reply.proof_until);
    let wakes = router.poll(Instant::now());
    if reply.update.is_some() {
        close_unused(cx, &router);
    }
    drop(router);
    cx.wake(wakes);
    let mut link = cx.link();
    link.member = reply.member;
    if let Some(update) = reply.update {
        let hinted: HashSet<&VmName> = update.leaving.iter().collect();
        link.leaving.retain(|vm| !hinted.contains(vm));
        link.offset = update.offset;
        link.voters = update.voters;
        link.voter_addrs = update.voter_addrs;
        link.members = update.members;
        drop(link);
        cx.renew_slots_now.notify_one();
    }
}

/// Closes idle connections to VMs that no longer accept requests.
fn close_unused(cx: &Context, router: &thistle_request::Router) {
    let sendable = router.vms().filter(|vm| vm.is_sendable());
    let addrs: HashSet<_> = sendable.map(|vm| vm.facts.addr).collect();
    cx.backends.retain(|addr| addrs.contains(addr));
}
