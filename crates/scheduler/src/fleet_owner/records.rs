//! Reading the fleet's record and the pools' reports.

use std::sync::Arc;

use thistle_platform::Stored;
use thistle_schedule::Ms;
use thistle_schedule::fleet::{FleetRecord, HoldOff};
use tokio::sync::mpsc::UnboundedSender;

use super::{Event, FLEET, POOL_PREFIX, RECORD, REPORTS, TICK, rows};
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
        let (mut fleet, records) = match news {
            News::Reloaded(records) => (FleetRecord::default(), records),
            News::Records(records) if records.is_empty() => return,
            News::Records(records) => (FleetRecord::clone(&node.fleet.borrow()), records),
        };
        // What cannot be read is told; the rest holds.
        let _ = take_all(&mut fleet, &records);
        node.fleet.send_replace(Arc::new(fleet));
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

/// The record as a new owner finds it.
#[derive(Default)]
pub(super) struct FoundRecord {
    pub record: FleetRecord,
    /// An older program wrote it as one.
    pub is_whole: bool,
}

/// Takes rows in, what older programs wrote as one before all others; returns whether all could be read.
fn take_all(fleet: &mut FleetRecord, records: &[Stored]) -> bool {
    let (whole, by_row): (Vec<&Stored>, Vec<&Stored>) =
        records.iter().partition(|stored| rows::is_whole(stored));
    let mut readable = true;
    for stored in whole.into_iter().chain(by_row) {
        if let Err(e) = rows::take(fleet, stored) {
            log::error!("fleet step=unreadable offset={} error=\"{e}\"", stored.offset);
            readable = false;
        }
    }
    readable
}

/// Returns the record as it is now that nobody else can write it, if there is one; `None` for the outer if the task is to end.
pub(super) async fn read_record(node: &Node) -> Option<Option<FoundRecord>> {
    loop {
        match node.store.newest(TOPIC, RECORD).await {
            Ok(newest) if newest.records.is_empty() => return Some(None),
            Ok(newest) => {
                let is_whole = newest.records.iter().any(rows::is_whole);
                let mut found = FoundRecord { is_whole, ..FoundRecord::default() };
                // Of a VM whose row cannot be read it is not known whether it was ordered of late.
                return take_all(&mut found.record, &newest.records).then_some(Some(found));
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
