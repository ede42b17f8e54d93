//! Makes the outlook of a pool and publishes it while jobs may be refused by it.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use thistle_platform::machines::{Machine, MachineState};
use thistle_platform::{Guard, KeyedRecord, MachineClient};
use thistle_schedule::Ms;
use thistle_schedule::admission::{Capacity, FleetView, Outlook, StartOutlook, StartQueue};
use thistle_schedule::fleet::{FleetVm, PoolReport, VmState};

use super::Owner;
use crate::clock::{now, steady_ms};
use crate::control::{TOPIC, outlook_partition};
use crate::fleet_owner::{POOL_PREFIX, REPORTS};
use crate::locks::lock;
use crate::node::Node;
use crate::outlook::{to_record, to_starts_record};

/// The time between two outlooks, in milliseconds. Nodes read them every 450 ms.
const INTERVAL_MS: Ms = 400;
/// The time between two requests for the VMs that the pool may still get, in milliseconds.
const REACHABLE_INTERVAL_MS: Ms = 1_000;
/// The age from which the answer is not used any more, in milliseconds.
const REACHABLE_MAX_AGE_MS: Ms = 3_000;

/// The largest CPU capacity that the pool may reach and when it was requested, by the steady clock.
type Reachable = Arc<Mutex<Option<(u64, Ms)>>>;

/// The state of the pool's outlook.
#[derive(Debug, Default)]
pub(super) struct OutlookPublisher {
    number: u64,
    made_at: Ms,
    /// The outlook by which jobs may be refused: whether it is of full links.
    may_refuse: Option<bool>,
    starts: StartOutlookPublisher,
    reachable: Reachable,
    reachable_requested_at: Ms,
    reachable_in_flight: Arc<AtomicBool>,
}

/// The state of the pool's outlook on starts, which is also published while the owner waits for a write.
#[derive(Clone, Debug, Default)]
struct StartOutlookPublisher {
    number: Arc<AtomicU64>,
    made_at: Arc<AtomicU64>,
    /// Whether jobs may be refused by the newest one.
    may_refuse: Arc<AtomicBool>,
    /// Whether an append of any outlook of the pool has not ended.
    in_flight: Arc<AtomicBool>,
}

impl StartOutlookPublisher {
    fn is_due(&self, at: Ms) -> bool {
        at.saturating_sub(self.made_at.load(Ordering::Relaxed)) >= INTERVAL_MS
    }

    fn publish(
        &self,
        node: &Arc<Node>,
        pool: &Arc<str>,
        token: u64,
        outlook: StartOutlook,
        queue: &StartQueue,
    ) {
        let at = steady_ms();
        let number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        self.made_at.store(at, Ordering::Relaxed);
        self.may_refuse.store(outlook.wait_ms > 0, Ordering::Relaxed);
        let outlook = StartOutlook { token, number, ..outlook };
        // The store also looks slow to an owner that has no time for it, which is when callers must know. One append at a time
        // delays few heartbeats.
        let published = !self.in_flight.load(Ordering::Relaxed);
        log::info!(
            "outlook pool={pool} step=starts number={number} wait_ms={} waiting={} per_second={} published={published}",
            outlook.wait_ms,
            queue.waiting,
            queue.per_second,
        );
        node.outlooks.record_starts(pool, outlook, at);
        match to_starts_record(pool, &outlook) {
            Ok(record) if published => append(node, pool, &self.in_flight, record),
            Ok(_) => (),
            Err(e) => log::error!("outlook pool={pool} step=not-encoded error=\"{e}\""),
        }
    }
}

impl Owner {
    /// Publishes the outlook if jobs may be refused by it before the next one.
    pub(super) fn publish_outlook(&mut self) {
        let at = steady_ms();
        let by_load = self.node.settings.policy.admission.by_load;
        let link_cpu = self.pool.link_bound_cpu();
        if !by_load && link_cpu.is_none() {
            self.publish_end(at);
            return;
        }
        if at.saturating_sub(self.outlook_publisher.made_at) < INTERVAL_MS {
            return;
        }
        self.outlook_publisher.made_at = at;
        let cpu = self.pool.cpu_for_jobs();
        if let Some(link_cpu) = link_cpu {
            // More VMs would not help.
            let cpu = cpu.min(link_cpu);
            let capacity = Capacity { cpu, reachable_cpu: cpu, reachable_in: 0 };
            self.publish_if_filling(&capacity, true, at);
            return;
        }
        let alone = Capacity { cpu, reachable_cpu: cpu, reachable_in: 0 };
        if !self.pool.outlook(&alone, now()).is_filling() {
            self.publish_end(at);
            return;
        }
        self.request_reachable(at);
        let reachable = *lock(&self.outlook_publisher.reachable);
        let Some((reachable_cpu, _)) =
            reachable.filter(|(_, from)| at.saturating_sub(*from) < REACHABLE_MAX_AGE_MS)
        else {
            return;
        };
        // Lasting tasks keep what they have reserved.
        let reserved = self.pool.load(now()).cpu.saturating_sub(cpu);
        let reachable_cpu = reachable_cpu.saturating_sub(reserved).max(cpu);
        let capacity = Capacity { cpu, reachable_cpu, reachable_in: self.lead_time_ms() };
        self.publish_if_filling(&capacity, false, at);
    }

    /// Publishes how long tasks wait beside room to be started, if jobs may be refused by it before the next one, and once when
    /// they may not any more.
    pub(super) fn publish_start_outlook(&mut self) {
        let start_within = self.node.settings.policy.admission.start_within_ms;
        let queue = self.pool.start_queue(now()).filter(|_| start_within > 0).unwrap_or_default();
        let outlook = StartOutlook::new(&queue, start_within);
        let publisher = &self.outlook_publisher.starts;
        let has_ended = outlook.is_none() && publisher.may_refuse.load(Ordering::Relaxed);
        if has_ended && publisher.in_flight.load(Ordering::Relaxed)
            || !has_ended && !publisher.is_due(steady_ms())
        {
            return;
        }
        if let Some(outlook) = outlook.or(has_ended.then(StartOutlook::default)) {
            publisher.publish(&self.node, &self.log.pool, self.token, outlook, &queue);
        }
    }

    /// Publishes, until dropped, that nothing starts while the records of placements are written for long: the owner takes no step
    /// meanwhile.
    pub(super) fn publish_starts_while_writing(&self) -> impl Future<Output = Infallible> + use<> {
        let (node, pool, token) = (self.node.clone(), self.log.pool.clone(), self.token);
        let (publisher, since) = (self.outlook_publisher.starts.clone(), steady_ms());
        async move {
            loop {
                tokio::time::sleep(Duration::from_millis(INTERVAL_MS)).await;
                let start_within = node.settings.policy.admission.start_within_ms;
                let stands_ms = steady_ms().saturating_sub(since);
                let queue = StartQueue { stands_ms, ..StartQueue::default() };
                let outlook = StartOutlook::new(&queue, start_within);
                if let Some(outlook) = outlook.filter(|_| start_within > 0)
                    && node.may_act(&pool, token)
                {
                    publisher.publish(&node, &pool, token, outlook, &queue);
                }
            }
        }
    }

    fn publish_if_filling(&mut self, capacity: &Capacity, is_link_bound: bool, at: Ms) {
        let outlook = self.pool.outlook(capacity, now());
        if !outlook.is_filling() {
            self.publish_end(at);
            return;
        }
        self.outlook_publisher.may_refuse = Some(is_link_bound);
        self.outlook_publisher.number += 1;
        let (token, number) = (self.token, self.outlook_publisher.number);
        self.send_outlook(Outlook { token, number, is_link_bound, ..outlook }, capacity, at);
    }

    /// Publishes once that no job is to be refused any more. Nodes would follow the last outlook until it is too old.
    fn publish_end(&mut self, at: Ms) {
        if self.node.store.is_slow()
            || self.outlook_publisher.starts.in_flight.load(Ordering::Relaxed)
        {
            return;
        }
        let Some(is_link_bound) = self.outlook_publisher.may_refuse.take() else { return };
        self.outlook_publisher.number += 1;
        let (token, number) = (self.token, self.outlook_publisher.number);
        let outlook = Outlook { token, number, is_link_bound, ..Outlook::default() };
        self.send_outlook(outlook, &Capacity::default(), at);
    }

    fn send_outlook(&self, outlook: Outlook, capacity: &Capacity, at: Ms) {
        let pool = &self.log.pool;
        // Appends to a slow partition of heartbeats would delay the heartbeats.
        let published = !self.node.store.is_slow()
            && !self.outlook_publisher.starts.in_flight.load(Ordering::Relaxed);
        log::info!(
            "outlook pool={pool} step={} link_bound={} number={} cpu={} reachable_cpu={} classes={} beyond_share={} \
             published={published}",
            if outlook.classes.is_empty() { "no-longer-full" } else { "full" },
            outlook.is_link_bound,
            outlook.number,
            capacity.cpu,
            capacity.reachable_cpu,
            outlook.classes.len(),
            outlook.beyond_share.len(),
        );
        let record = to_record(pool, &outlook);
        self.node.outlooks.record(pool, outlook, at);
        match record {
            Ok(record) if published => {
                append(&self.node, pool, &self.outlook_publisher.starts.in_flight, record);
            }
            Ok(_) => (),
            Err(e) => log::error!("outlook pool={pool} step=not-encoded error=\"{e}\""),
        }
    }

    /// Requests the capacity that the pool may reach, if it is due.
    fn request_reachable(&mut self, at: Ms) {
        let publisher = &mut self.outlook_publisher;
        if at.saturating_sub(publisher.reachable_requested_at) < REACHABLE_INTERVAL_MS
            || publisher.reachable_in_flight.swap(true, Ordering::Relaxed)
        {
            return;
        }
        publisher.reachable_requested_at = at;
        let (reachable, in_flight) =
            (publisher.reachable.clone(), publisher.reachable_in_flight.clone());
        let (node, pool) = (self.node.clone(), self.log.pool.clone());
        tokio::spawn(async move {
            match request_reachable_cpu(&node, &pool).await {
                Ok(cpu) => *lock(&reachable) = Some((cpu, at)),
                Err(e) => log::info!("outlook pool={pool} step=vms-not-known error=\"{e}\""),
            }
            in_flight.store(false, Ordering::Relaxed);
        });
    }
}

/// Appends the record of an outlook.
fn append(node: &Arc<Node>, pool: &Arc<str>, in_flight: &Arc<AtomicBool>, record: KeyedRecord) {
    in_flight.store(true, Ordering::Relaxed);
    let (node, pool, in_flight) = (node.clone(), pool.clone(), in_flight.clone());
    tokio::spawn(async move {
        let part = outlook_partition(&node);
        let result = node.store.append(TOPIC, part, Guard::Always, &[record]).await;
        node.store_health.record_call(result.is_ok());
        if let Err(e) = result {
            // The next outlook replaces this one.
            log::info!("outlook pool={pool} step=not-published error=\"{e}\"");
        }
        in_flight.store(false, Ordering::Relaxed);
    });
}

/// Asks the machine service for all VMs and the store for the reports of all pools, and returns the largest CPU capacity
/// that the pool may reach. Without a machine service, no VM moves.
async fn request_reachable_cpu(node: &Node, pool: &str) -> Result<u64, String> {
    let Some(addr) = node.settings.machine_service else { return Ok(0) };
    let client = MachineClient::new(addr);
    let (machines, newest) = tokio::join!(client.list(), node.store.newest(TOPIC, REPORTS));
    let vms: Vec<FleetVm> =
        machines.map_err(|e| e.to_string())?.into_iter().map(fleet_vm).collect();
    let mut reports: HashMap<Arc<str>, PoolReport> = HashMap::new();
    for stored in newest.map_err(|e| e.to_string())?.records {
        let Some(name) = stored.record.key.strip_prefix(POOL_PREFIX) else { continue };
        let Some(value) = stored.record.value() else { continue };
        reports.insert(name.into(), serde_json::from_slice(value).map_err(|e| e.to_string())?);
    }
    let catalog = node.catalog.borrow().clone();
    let switched_off = catalog.as_ref().and_then(|c| c.pools.iter().find(|p| p.switched_off));
    let record = node.fleet.borrow().clone();
    let view = FleetView {
        vms: &vms,
        reports: &reports,
        record: &record,
        switched_off: switched_off.map(|p| &*p.name),
    };
    view.reachable_cpu(pool).ok_or_else(|| "no report tells the size of VMs".to_owned())
}

fn fleet_vm(machine: Machine) -> FleetVm {
    let state = match machine.state {
        MachineState::Up => VmState::Up,
        MachineState::Moving | MachineState::Upkeep => VmState::Away,
        MachineState::Down => VmState::Down,
    };
    let Machine { name, pool, hall, rack, incarnation, .. } = machine;
    FleetVm { name, pool, state, hall, rack, incarnation }
}
