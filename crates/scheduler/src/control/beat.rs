//! Sending heartbeats and hearing those of other nodes.

use std::sync::Arc;
use std::time::Duration;

use thistle_platform::{Appended, Guard, KeyedRecord, Stored};
use thistle_schedule::Ms;
use thistle_schedule::ownership::Heartbeat;

use super::{CLAIMS, TOPIC, to_json};
use crate::clock::steady_ms;
use crate::follow::{News, Tail};
use crate::locks::lock;
use crate::node::Node;

/// The partition of heartbeats.
const HEARTBEATS: u32 = 1;
/// The partition of heartbeats that the first one does not take.
const SPARE_HEARTBEATS: u32 = 4;
/// What the keys of heartbeats start with.
const MEMBER_PREFIX: &str = "member/";
/// How often a node sends a heartbeat: four of them fit in an owner's lease.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(450);
/// After how many heartbeats the first partition is tried first again.
const FIRST_AGAIN_EVERY: u64 = 8;
/// How often it is looked whether all claims were taken in, and the pause before each further look.
const CLAIMS_TRIES: u32 = 10;
const CLAIMS_PAUSE: Duration = Duration::from_millis(20);
/// How often a node that owns nothing sends one, in milliseconds.
const IDLE_HEARTBEAT_MS: Ms = 2_500;

/// Sends heartbeats and reads those of others, neither waiting for the other: a heartbeat that a slow store leaves
/// unanswered takes seconds, and a node that hears nothing meanwhile claims no pool (a pool that was given up beside a
/// store 46 times as slow stood without an owner for 1.5 s after all knew of it).
pub async fn run(node: Arc<Node>) {
    tokio::join!(send(&node), hear(&node), hear_aside(&node));
}

/// Reads the heartbeats of others.
async fn hear(node: &Node) {
    let mut tail = Tail::new(TOPIC, HEARTBEATS);
    loop {
        if let Ok(news) = tail.read(&node.store, Duration::ZERO).await {
            // Of all calls this is the most regular one: its silence tells of the store's.
            node.standing.note(true);
            take_beats(node, news);
        }
        tokio::time::sleep(HEARTBEAT_EVERY).await;
    }
}

/// Reads the heartbeats that the first partition may not have taken, while an owner has not been heard for a while.
async fn hear_aside(node: &Node) {
    let mut aside = Tail::new(TOPIC, SPARE_HEARTBEATS);
    loop {
        if lock(&node.ownership).has_quiet_owner(steady_ms()) {
            listen_aside(node, &mut aside).await;
        }
        tokio::time::sleep(HEARTBEAT_EVERY).await;
    }
}

async fn listen_aside(node: &Node, aside: &mut Tail) {
    match aside.read(&node.store, Duration::ZERO).await {
        Ok(news) => {
            let now = steady_ms();
            let mut ownership = lock(&node.ownership);
            for_each_beat(news, |name, beat| ownership.heard_aside(name, beat, now));
        }
        Err(e) => {
            log::info!("heartbeat step=not-read part={SPARE_HEARTBEATS} error=\"{e}\"");
            lock(&node.ownership).forgive_silence(steady_ms());
        }
    }
}

async fn send(node: &Node) {
    let mut lanes = [HEARTBEATS, SPARE_HEARTBEATS];
    let mut sequence = 0;
    loop {
        let sent_at = steady_ms();
        sequence += 1;
        if sequence % FIRST_AGAIN_EVERY == 0 {
            lanes = [HEARTBEATS, SPARE_HEARTBEATS];
        }
        for i in 0..lanes.len() {
            if send_beat(node, lanes[i], sequence).await {
                // The one that took it is tried first next time.
                lanes.swap(0, i);
                break;
            }
        }
        until_next_beat(node, sent_at).await;
    }
}

/// Sends one heartbeat and returns whether the store took it.
async fn send_beat(node: &Node, part: u32, sequence: u64) -> bool {
    let sent_at = steady_ms();
    let leaving = *node.stopping.borrow();
    let relay = node.settings.relay_listen;
    let speed = node.speed;
    let beat = Heartbeat { life: node.me.life, sequence, leaving, relay, speed };
    let key = format!("{MEMBER_PREFIX}{}", node.me.name);
    let record = KeyedRecord::new(key, to_json(&beat));
    match node.store.append(TOPIC, part, Guard::Always, &[record]).await {
        Ok(Appended::Done { .. }) => {
            node.standing.note(true);
            // One that owns nothing, by what it knows, needs no right yet.
            let owns_nothing = !lock(&node.ownership).owns_any();
            if !leaving && (node.lease_valid() || owns_nothing || claims_are_known(node).await) {
                node.renew_lease(sent_at);
            }
            return true;
        }
        Ok(other) => log::error!("heartbeat step=refused part={part} answer={other:?}"),
        Err(e) => {
            node.standing.note(false);
            log::info!("heartbeat step=failed part={part} error=\"{e}\"");
        }
    }
    false
}

/// Returns whether this node knows all claims that there are now. After a time without the right to act, another node may have taken
/// what it owned: a heartbeat alone does not give that right back.
async fn claims_are_known(node: &Node) -> bool {
    for _ in 0..CLAIMS_TRIES {
        let Some(end) = node.claims_end.get() else { return false };
        match node.store.read(TOPIC, CLAIMS, end, Duration::ZERO).await {
            Ok(batch) if batch.records.is_empty() => return true,
            // They are taken in by whoever follows the claims.
            Ok(_) => tokio::time::sleep(CLAIMS_PAUSE).await,
            Err(e) => {
                log::info!("owner step=claims-not-known error=\"{e:?}\"");
                return false;
            }
        }
    }
    log::info!("owner step=claims-not-known tries={CLAIMS_TRIES}");
    false
}

/// Waits until the next heartbeat is due. A node that owns nothing sends few: heartbeats share one
/// partition, which takes one after the other.
async fn until_next_beat(node: &Node, sent_at: Ms) {
    loop {
        tokio::time::sleep(HEARTBEAT_EVERY).await;
        let waited = steady_ms().saturating_sub(sent_at);
        if lock(&node.ownership).owns_any() || waited >= IDLE_HEARTBEAT_MS {
            return;
        }
    }
}

fn take_beats(node: &Node, news: News) {
    let now = steady_ms();
    let mut ownership = lock(&node.ownership);
    if ownership.listen(now) {
        log::info!("heartbeat step=listening-again");
    }
    let any = !news.is_empty();
    for_each_beat(news, |name, beat| ownership.heard(name, beat, now));
    if any {
        node.store.set_peers(ownership.relays(now));
    }
}

fn for_each_beat(news: News, mut apply: impl FnMut(&str, &Heartbeat)) {
    let records = match news {
        News::Reloaded(records) | News::Records(records) => records,
    };
    for Stored { record, offset } in records {
        let Some(name) = record.key.strip_prefix(MEMBER_PREFIX) else { continue };
        let Some(value) = record.value() else { continue };
        match serde_json::from_slice::<Heartbeat>(value) {
            Ok(beat) => apply(name, &beat),
            Err(e) => log::error!("heartbeat step=unreadable offset={offset} error=\"{e}\""),
        }
    }
}
