//! Sends heartbeats, which carry acknowledgements and hints, to the voters and collects promises.

use std::net::SocketAddr;
use std::sync::Arc;

use thistle_model::MemberId;
use thistle_model::clock::Instant;
use thistle_wire::dial::context_with_timeout;
use thistle_wire::peer::{Heartbeat, HeartbeatReply};

use crate::shared::Shared;

/// Sends heartbeats until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(shared.settings.heartbeat.0);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = shared.heartbeat_now.notified() => {}
        }
        check_peers_and_hints(&shared);
        for addr in other_voter_addrs(&shared) {
            tokio::spawn(send_heartbeat(shared.clone(), addr));
        }
    }
}

/// Refuses promises to unresponsive members, records completed rollouts and drops expired hints.
fn check_peers_and_hints(shared: &Shared) {
    let mut core = shared.core();
    let now = Instant::now();
    let me = core.me;
    let others: Vec<_> = core.state.members.keys().copied().filter(|&id| id != me).collect();
    if core.state.voters.contains(me) {
        core.promises.refuse_unresponsive(others.into_iter(), shared.settings.silence.0, now);
    } else {
        core.promises.clear_contacts();
    }
    let core = &mut *core;
    if !core.log_up {
        core.hints.refresh_all(now);
    }
    if let Some(min_offset) = core.min_entry_offset() {
        for duration in core.rollouts.take_completed(min_offset, now) {
            metrics::histogram!("thistle_roll_out_seconds").record(duration.as_secs_f64());
        }
    }
    let state = &core.state;
    let is_obsolete = |vm: &thistle_model::VmName| {
        state.vm_key(vm).map_or(true, |key| !state.vms[key].is_available())
    };
    core.hints.expire(now, is_obsolete);
}

/// Returns the addresses of the voters other than this one.
fn other_voter_addrs(shared: &Shared) -> Vec<SocketAddr> {
    let core = shared.core();
    let voters = core.state.voters.all().into_iter().filter(|&id| id != core.me);
    let members = &core.state.members;
    voters.filter_map(|id| members.get(&id).map(|m| m.facts.peer_addr)).collect()
}

/// Returns this steward's current heartbeat.
pub fn own_heartbeat(shared: &Shared) -> Heartbeat {
    let core = shared.core();
    Heartbeat {
        from: core.me,
        offset: core.state.next,
        voters: core.state.voters.revision,
        merged: core.merged,
        log_up: core.log_up,
        stated: core.promises.stated_gone(Instant::now()),
        entry: core.entry.report.clone(),
        leaving: core.hints.all(),
    }
}

/// Sends a heartbeat to one voter and handles the reply.
async fn send_heartbeat(shared: Arc<Shared>, addr: SocketAddr) {
    let connection = shared.connection(addr);
    let sent_at = Instant::now();
    let Ok(client) = connection.client().await else {
        return;
    };
    let message = own_heartbeat(&shared);
    let from = message.from;
    let call =
        client.heartbeat(context_with_timeout(shared.settings.heartbeat.0 * 2), message).await;
    match connection.check(call).await {
        Ok(reply) => handle_reply(&shared, from, &reply, sent_at),
        Err(e) => log::debug!("heartbeat to={addr} result=failed reason=\"{e}\""),
    }
}

fn handle_reply(shared: &Shared, sender: MemberId, reply: &HeartbeatReply, sent_at: Instant) {
    let now = Instant::now();
    let mut core = shared.core();
    if core.me != sender {
        return;
    }
    if reply.promise {
        core.proof.on_promise(reply.from, reply.voters, sent_at);
    }
    core.must_rejoin |= reply.stated;
    let new = core.hints.add(reply.leaving.iter().cloned(), now);
    let is_peer_ahead = reply.offset > core.state.next && !core.log_up;
    drop(core);
    if is_peer_ahead {
        shared.peers_ahead.notify_one();
    }
    if !new.is_empty() {
        shared.notify();
    }
}

/// Sends hints to the other voters without waiting for the next heartbeat.
pub fn broadcast_hints(shared: &Arc<Shared>, vms: &[thistle_model::VmName]) {
    for addr in other_voter_addrs(shared) {
        let (shared, vms) = (shared.clone(), vms.to_vec());
        tokio::spawn(async move {
            let connection = shared.connection(addr);
            let Ok(client) = connection.client().await else {
                return;
            };
            let call = client.leaving(context_with_timeout(shared.settings.heartbeat.0), vms).await;
            // A failed call needs no retry: the next heartbeat carries the hint again.
            let _ = connection.check(call).await;
        });
    }
}
