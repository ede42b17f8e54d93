//! Reading the fleet's record and the pools' reports.

use std::sync::Arc;

use thistle_platform::Stored;
use thistle_schedule::Ms;
use thistle_schedule::fleet::{FleetRecord, HoldOff};
use tokio::sync::mpsc::UnboundedSender;

use super::{Event, FLEET, POOL_PREFIX, RECORD, RECORD_KEY, REPORTS, TICK};
use crate::clock::steady_ms;
use crate::control::TOPIC;
use crate::follow::{News, Pace, Tail, follow, follow_while_owning};
use crate::locks::lock;
use crate::node::Node;

/// For how long a predecessor that did not give the fleet up can have given no order, at the least, in
/// milliseconds: it is replaced that much after its right to act is over, or after its restart.
const SILENT_SINCE_MS: Ms = 400;
/// Added to the least time between orders of different nodes, in milliseconds.
const GAP_MARGIN_MS: Ms = 300;

/// Follows the fleet's record, so that pools on this node know which VMs to empty.
pub async fn follow_record(node: Arc<Node>) {
    let apply = |news| {
        let records = match news {
            News::Reloaded(records) | News::Records(records) => records,
        };
        for Stored { record, offset } in records {
            let Some(value) = record.value() else { continue };
            match serde_json::from_slice::<FleetRecord>(value) {
                Ok(record) => {
                    node.fleet.send_replace(Arc::new(record));
                }
                Err(e) => log::error!("fleet step=unreadable offset={offset} error=\"{e}\""),
            }
        }
    };
    let forget = || {
        node.fleet.send_replace(Arc::default());
    };
    follow_while_owning(&node, (TOPIC, RECORD), Pace::AtOnce, apply, forget).await;
}

/// Returns until when the predecessor's orders are to be kept a distance from.
pub(super) fn hold_off(node: &Node, record: Option<&FleetRecord>) -> HoldOff {
    let gap = u64::try_from(node.settings.machine_order_gap.0.as_millis()).unwrap_or(Ms::MAX);
    let gap = gap + GAP_MARGIN_MS;
    // Without a record nobody has given an order yet; this node's own orders need no distance unless an owner here ended by
    // itself, whose orders may be under way, and a predecessor that gave the fleet up had its last order answered before.
    let ended = lock(&node.ownership).has_ended(FLEET);
    let other = record.is_some_and(|record| record.owner != node.me.name || ended);
    if !other || lock(&node.ownership).was_given_up(FLEET) {
        return HoldOff { until: 0, gap };
    }
    HoldOff { until: steady_ms() + gap.saturating_sub(SILENT_SINCE_MS), gap }
}

/// Returns the record as it is now that nobody else can write it; `None` for the outer if the
/// task is to end.
pub(super) async fn read_record(node: &Node) -> Option<Option<FleetRecord>> {
    loop {
        match node.store.newest(TOPIC, RECORD).await {
            Ok(newest) => {
                let record = newest.records.into_iter().find(|s| s.record.key == RECORD_KEY);
                let Some(stored) = record else { return Some(None) };
                return match serde_json::from_slice(&stored.record.value) {
                    Ok(record) => Some(Some(record)),
                    Err(e) => {
                        log::error!("fleet step=unreadable offset={} error=\"{e}\"", stored.offset);
                        None
                    }
                };
            }
            Err(e) => {
                node.standing.note(false);
                log::debug!("fleet step=read-failed error=\"{e}\"");
                tokio::time::sleep(TICK).await;
            }
        }
    }
}

pub(super) async fn follow_reports(node: Arc<Node>, tx: UnboundedSender<Event>) {
    follow(&node, Tail::new(TOPIC, REPORTS), Pace::AtOnce, move |news, _| {
        let records = match news {
            News::Reloaded(records) | News::Records(records) => records,
        };
        for Stored { record, offset } in records {
            let Some(pool) = record.key.strip_prefix(POOL_PREFIX) else { continue };
            let Some(value) = record.value() else { continue };
            match serde_json::from_slice(value) {
                Ok(report) => {
                    let _ = tx.send(Event::Report(pool.into(), report));
                }
                Err(e) => log::error!("report step=unreadable offset={offset} error=\"{e}\""),
            }
        }
    })
    .await;
}
