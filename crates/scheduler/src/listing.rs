//! Follows the configuration, the operator's other requests and the list of VMs in the store.

use std::collections::HashSet;
use std::sync::Arc;

use metrics::counter;
use thistle_platform::{Stored, config, listing};
use thistle_schedule::fleet::WaveRequest;
use thistle_schedule::{Evacuation, Halls, Ms, VmFacts};

use crate::clock::steady_ms;
use crate::control::follow_assigned_pools;
use crate::follow::{ReadMode, Tail, Update, follow, follow_while_owning};
use crate::node::{Node, VmTable};

/// Follows the operator's configuration, maintenance waves and hall evacuations.
pub async fn follow_config(node: Arc<Node>) {
    let cx = node.clone();
    follow(&node, Tail::new(config::TOPIC, 0), ReadMode::Immediate, move |update, tail| {
        let (records, requested_at) = match update {
            Update::Reloaded(records) => {
                end_withdrawn_evacuations(&cx, &records);
                (records, None)
            }
            Update::Records(records) => (records, Some(steady_ms())),
        };
        for stored in records {
            if stored.record.key == config::CATALOG_KEY {
                apply_catalog(&cx, &stored);
            } else if let Some(wave) = config::wave_of_key(&stored.record.key) {
                apply_wave(&cx, wave, &stored, requested_at);
            } else if let Some(hall) = config::hall_of_key(&stored.record.key) {
                apply_hall(&cx, hall, &stored);
            }
        }
        // Recorded only after the loop, when all records of this read are applied.
        cx.operator_read.record(tail.read_at());
    })
    .await;
}

fn apply_catalog(node: &Arc<Node>, stored: &Stored) {
    let Some(value) = stored.record.value() else { return };
    let mut catalog = match config::decode_catalog(value, &node.secret) {
        Ok(catalog) => catalog,
        Err(e) => {
            log::error!("config step=unreadable offset={} error=\"{}\"", stored.offset, e.0);
            return;
        }
    };
    let before = node.catalog.borrow().clone();
    let known = before.as_ref().map_or(0, |c| c.version);
    if catalog.version <= known {
        return;
    }
    log::info!(
        "config step=in-force version={} before={known} offset={} bytes={} queues={} pools={} workspaces={} keys={}",
        catalog.version,
        stored.offset,
        value.len(),
        catalog.queues().len(),
        catalog.pools.len(),
        catalog.workspaces.all().len(),
        catalog.workspaces.keys(),
    );
    for problem in catalog.workspaces.warnings() {
        log::error!("config step=doubtful version={} reason=\"{problem}\"", catalog.version);
    }
    catalog.workspaces.inherit_limits(before.as_ref().map(|b| &b.workspaces), catalog.version);
    let catalog = Arc::new(catalog);
    for pool in catalog.working_pools() {
        node.ensure_pool_log(pool);
    }
    for queue in catalog.queues() {
        node.ensure_pool_log(&queue.pool);
    }
    node.catalog.send_replace(Some(catalog));
    follow_assigned_pools(node);
}

fn apply_wave(node: &Node, wave: u64, stored: &Stored, requested_at: Option<Ms>) {
    let Some(value) = stored.record.value() else { return };
    let request = match config::decode_wave(value) {
        Ok(request) => WaveRequest { requested_at, ..request },
        Err(e) => {
            log::error!("wave wave={wave} step=unreadable error=\"{}\"", e.0);
            return;
        }
    };
    node.waves.send_if_modified(|waves| {
        if waves.iter().any(|w| w.wave == request.wave) {
            return false;
        }
        log::info!(
            "wave wave={} step=requested vms={} cap={} duration_ms={}",
            request.wave,
            request.vms.len(),
            request.cap,
            request.duration_ms,
        );
        waves.push(request);
        true
    });
}

/// Ends the evacuations that are not among the newest records: the operator has withdrawn them.
fn end_withdrawn_evacuations(node: &Node, records: &[Stored]) {
    let is_requested = |hall: &str| {
        let of_hall = |s: &&Stored| config::hall_of_key(&s.record.key) == Some(hall);
        records.iter().find(of_hall).is_some_and(|s| s.record.value().is_some())
    };
    node.halls.send_if_modified(|halls| {
        let withdrawn: Vec<_> = halls.evacuated().filter(|e| !is_requested(&e.hall)).collect();
        for Evacuation { hall, offset } in &withdrawn {
            log::info!("hall hall={hall} step=taken-back since={offset} reason=not-listed");
            Arc::make_mut(halls).withdraw(hall);
        }
        !withdrawn.is_empty()
    });
}

/// Applies the operator's request to evacuate a hall or to end its evacuation. The request is kept even if the hall is
/// unknown, because VMs of the hall may be listed later.
fn apply_hall(node: &Node, hall: &str, stored: &Stored) {
    if hall.is_empty() {
        log::error!(
            "hall step=unreadable offset={} error=\"the key contains no hall name\"",
            stored.offset
        );
        return;
    }
    let requested = stored.record.value().is_some();
    node.halls.send_if_modified(|halls| {
        // Nothing to do if the hall is in the requested state already.
        if requested != halls.accepts_work(hall) {
            return false;
        }
        let step = if requested { "evacuated" } else { "taken-back" };
        log::info!("hall hall={hall} step={step} offset={}", stored.offset);
        let halls: &mut Halls = Arc::make_mut(halls);
        match requested {
            true => halls.evacuate(Evacuation { hall: hall.into(), offset: stored.offset }),
            false => _ = halls.withdraw(hall),
        }
        true
    });
}

/// Follows the list of VM incarnations in the store.
pub async fn follow_vms(node: Arc<Node>) {
    let mut unreadable = UnreadableEntries::default();
    let apply = |update, tail: &Tail| {
        let (mut table, records) = match update {
            Update::Reloaded(records) => (VmTable::new(), records),
            Update::Records(records) if records.is_empty() => {
                node.vms_read.record(tail.read_at());
                return;
            }
            Update::Records(records) => (VmTable::clone(&node.vms.borrow()), records),
        };
        for stored in records {
            apply_vm(&mut table, &mut unreadable, &stored);
        }
        // Most records are heartbeats that change nothing.
        node.vms.send_if_modified(|known| {
            let changed = **known != table;
            if changed {
                *known = Arc::new(table);
            }
            changed
        });
        node.vms_read.record(tail.read_at());
        node.vms_listed.send_replace(true);
    };
    let clear = || {
        node.vms_read.clear();
        node.vms_listed.send_replace(false);
        node.vms.send_replace(Arc::default());
    };
    follow_while_owning(&node, (listing::TOPIC, 0), ReadMode::Batched, apply, clear).await;
}

/// How many IDs of unreadable entries are remembered. Further unreadable entries are counted but not logged.
const MAX_UNREADABLE_IDS: usize = 1_000;

/// The IDs of unreadable entries, so that each is logged only once.
#[derive(Default)]
struct UnreadableEntries(HashSet<String>);

impl UnreadableEntries {
    fn report(&mut self, id: &str, offset: u64, error: &str) {
        counter!("thistle_unreadable_entries").increment(1);
        if self.0.len() < MAX_UNREADABLE_IDS && self.0.insert(id.to_owned()) {
            log::error!("vm step=unreadable offset={offset} error=\"{error}\"");
        }
    }
}

fn apply_vm(table: &mut VmTable, unreadable: &mut UnreadableEntries, stored: &Stored) {
    let id = stored.record.key.as_str();
    let Some(value) = stored.record.value() else {
        unreadable.0.remove(id);
        table.remove(id);
        return;
    };
    match listing::decode(id, value) {
        Ok(facts) => {
            if unreadable.0.remove(id) {
                log::info!("vm step=readable vm={id} offset={}", stored.offset);
            }
            if table.get(id).is_none_or(|known| **known != facts) {
                table.insert(facts.id.id().clone(), Arc::new(facts));
            }
        }
        Err(e) => {
            unreadable.report(id, stored.offset, &e.0);
            // Tasks that run on the VM continue, but the VM gets no new tasks.
            if let Some(known) = table.get_mut(id) {
                *known = Arc::new(VmFacts { unreadable: true, ..VmFacts::clone(known) });
            }
        }
    }
}
