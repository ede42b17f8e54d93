//! Reads the fleet's record and the pools' reports.

use std::sync::Arc;

use thistle_platform::Stored;
use thistle_schedule::Ms;
use thistle_schedule::fleet::{FleetRecord, HoldOff};
use tokio::sync::mpsc::UnboundedSender;

use super::{Event, FLEET, POOL_PREFIX, RECORD, REPORTS, TICK, rows};
use crate::clock::steady_ms;
use crate::control::TOPIC;
use crate::follow::{ReadMode, Tail, Update, follow, follow_while_owning};
use crate::locks::lock;
use crate::node::Node;

/// The shortest time, in milliseconds, between the last order of a predecessor that did not release the fleet and this
/// node's takeover: an owner is replaced no sooner than this after its lease ended or it restarted.
const NO_ORDERS_MS: Ms = 400;
/// Margin added to the shortest time between orders of different nodes, in milliseconds.
const GAP_MARGIN_MS: Ms = 300;

/// Follows the fleet's record, which names the VMs that the owners of pools on this node have to empty.
pub async fn follow_record(node: Arc<Node>) {
    let apply = |update, _: &Tail| {
        let (mut fleet, records) = match update {
            Update::Reloaded(records) => (FleetRecord::default(), records),
            Update::Records(records) if records.is_empty() => return,
            Update::Records(records) => (FleetRecord::clone(&node.fleet.borrow()), records),
        };
        // Unreadable rows are logged, and the others apply.
        let _ = apply_all(&mut fleet, &records);
        node.fleet.send_replace(Arc::new(fleet));
    };
    let clear = || {
        node.fleet.send_replace(Arc::default());
    };
    follow_while_owning(&node, (TOPIC, RECORD), ReadMode::Immediate, apply, clear).await;
}

/// Returns until when this node has to wait because orders of its predecessor may be in flight.
pub(super) fn hold_off(node: &Node, record: Option<&FleetRecord>) -> HoldOff {
    let gap = u64::try_from(node.settings.machine_order_gap.0.as_millis()).unwrap_or(Ms::MAX);
    let gap = gap + GAP_MARGIN_MS;
    // Without a record no order was sent yet. This node's own orders need no wait, unless an owner here ended by
    // itself and its orders may be in flight. A predecessor that released the fleet had its last order answered
    // before.
    let ended = lock(&node.ownership).has_ended(FLEET);
    let other_writer = record.is_some_and(|record| record.owner != node.me.name || ended);
    if !other_writer || lock(&node.ownership).was_released(FLEET) {
        return HoldOff { until: 0, gap };
    }
    HoldOff { until: steady_ms() + gap.saturating_sub(NO_ORDERS_MS), gap }
}

/// The record that a new owner finds in the store.
#[derive(Default)]
pub(super) struct StoredRecord {
    pub record: FleetRecord,
    /// Whether an older version wrote it as a single record.
    pub is_legacy: bool,
}

/// Applies rows, after any single record of an older version; returns whether all could be read.
fn apply_all(fleet: &mut FleetRecord, records: &[Stored]) -> bool {
    let (legacy, current): (Vec<&Stored>, Vec<&Stored>) =
        records.iter().partition(|stored| rows::is_legacy_record(stored));
    let mut readable = true;
    for stored in legacy.into_iter().chain(current) {
        if let Err(e) = rows::apply_row(fleet, stored) {
            log::error!("fleet step=unreadable offset={} error=\"{e}\"", stored.offset);
            readable = false;
        }
    }
    readable
}

/// Reads the record after all other writers are fenced. Returns `Some(None)` if there is no record, and `None` if a
/// row is unreadable and the task has to end.
pub(super) async fn read_record(node: &Node) -> Option<Option<StoredRecord>> {
    loop {
        match node.store.newest(TOPIC, RECORD).await {
            Ok(newest) if newest.records.is_empty() => return Some(None),
            Ok(newest) => {
                let is_legacy = newest.records.iter().any(rows::is_legacy_record);
                let mut found = StoredRecord { is_legacy, ..StoredRecord::default() };
                // An unreadable row may hide a recent order for its VM.
                return apply_all(&mut found.record, &newest.records).then_some(Some(found));
            }
            Err(e) => {
                node.store_health.record_call(false);
                log::debug!("fleet step=read-failed error=\"{e}\"");
                tokio::time::sleep(TICK).await;
            }
        }
    }
}

pub(super) async fn follow_reports(node: Arc<Node>, tx: UnboundedSender<Event>) {
    follow(&node, Tail::new(TOPIC, REPORTS), ReadMode::Immediate, move |update, _| {
        let records = match update {
            Update::Reloaded(records) | Update::Records(records) => records,
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
