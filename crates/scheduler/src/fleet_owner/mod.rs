//! The owner of the fleet: runs maintenance waves and moves VMs between pools.

mod direct;
mod machines;
mod records;
mod rows;
mod writer;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use metrics::{counter, gauge, histogram};
use thistle_platform::config::WaveState;
use thistle_platform::machines::{Holder, Machine, MachineError};
use thistle_platform::{KeyedRecord, MachineClient};
use thistle_schedule::Ms;
use thistle_schedule::fleet::{Fleet, FleetOrder, FleetRecord, OrderQueue, PoolReport, Purpose};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::clock::steady_ms;
use crate::control::TOPIC;
use crate::journal::{Fenced, Journal};
use crate::node::Node;
use crate::waits::{Wait, Waits};
use machines::{fleet_vm, log_changes, outcome};
use records::{follow_reports, hold_off, read_record};
use writer::{Writer, report_wave_state};

pub use direct::{DirectReports, PATH as REPORT_PATH, Rejection, accept_report, deliver_here};
pub use records::follow_record;
pub use rows::apply_row;

/// The name under which nodes claim the fleet; no pool has this name.
pub const FLEET: &str = "#fleet";
/// The partition of the fleet's record.
pub const RECORD: u32 = 2;
/// The partition of the pools' reports.
pub const REPORTS: u32 = 3;
/// The prefix of the keys of reports.
pub const POOL_PREFIX: &str = "pool/";
/// The longest time between two steps of the schedule.
const TICK: Duration = Duration::from_millis(100);
/// The shortest time between two steps of a pipelined owner. Without it, each of hundreds of answers and reports a second
/// would cause a step, and the cost of a step grows with the number of VMs.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// How often the VMs are listed while work on some is in progress, in milliseconds.
const LIST_BUSY_MS: Ms = 400;
/// How often the VMs are listed otherwise, in milliseconds.
const LIST_IDLE_MS: Ms = 3_000;

/// The shortest time between two requests for the list of VMs as a multiple of what the last one took, so that lists leave most
/// of a narrow link to reports and orders.
const LIST_PAUSE_FACTOR: u64 = 4;

/// Returns the key of a pool's report.
pub fn pool_key(pool: &str) -> String {
    format!("{POOL_PREFIX}{pool}")
}

#[derive(Debug)]
enum Event {
    Report(Arc<str>, PoolReport),
    Result(FleetOrder, Result<(), MachineError>),
    Vms(Ms, Result<Vec<Machine>, MachineError>),
    /// The append in flight was answered.
    Written,
    /// The completion of a wave was reported to the operator.
    WaveCompleted(u64),
}

struct FleetOwner {
    node: Arc<Node>,
    token: u64,
    client: Arc<MachineClient>,
    fleet: Fleet,
    writer: Writer,
    /// The record as it was last written to the store in rows, and the orders that wait for theirs.
    queue: OrderQueue,
    /// The waves whose completion is being reported to the operator.
    reporting: HashSet<u64>,
    /// Whether the next write also drops the single record of older versions.
    drop_legacy: bool,
    tx: UnboundedSender<Event>,
    listed_at: Ms,
    list_in_flight: bool,
    /// How long the last request for the list took, in milliseconds.
    list_took_ms: Ms,
    /// The pools that lack VMs.
    short_pools: HashSet<Arc<str>>,
    waits: Waits,
}

/// Owns the fleet until another node takes it over or the task is aborted.
pub async fn run(node: Arc<Node>, token: u64) {
    let Some(addr) = node.settings.machine_service else { return };
    let (tx, mut rx) = unbounded_channel();
    let pipelined = node.settings.policy.moves.pipelined;
    if pipelined {
        node.direct_reports.open(token, tx.clone());
    }
    let Ok(journal) = Journal::open(&node, TOPIC, &[RECORD], token).await else {
        log::warn!("fleet step=fenced token={token}");
        return;
    };
    let Some(record) = read_record(&node).await else { return };
    let hold_off = hold_off(&node, record.as_ref().map(|read| &read.record));
    let read = record.unwrap_or_default();
    let written = read.record;
    log::info!(
        "fleet step=took-over token={token} work={} ordered_lately={} wait_ordered_ms={}",
        written.work.len(),
        written.ordered_lately.len(),
        hold_off.until.saturating_sub(steady_ms()),
    );
    let (writer, background) = Writer::new(&node, token, journal, &tx);
    let mut owner = FleetOwner {
        fleet: Fleet::with_policy(written.clone(), hold_off, node.settings.policy),
        // A record in the old format is rewritten as rows with the first change.
        drop_legacy: read.is_legacy,
        client: Arc::new(MachineClient::new(addr)),
        node: node.clone(),
        token,
        writer,
        queue: OrderQueue::new(if read.is_legacy { FleetRecord::default() } else { written }),
        reporting: HashSet::new(),
        tx: tx.clone(),
        listed_at: 0,
        list_in_flight: false,
        list_took_ms: 0,
        short_pools: HashSet::new(),
        waits: Waits::new(FLEET.into()),
    };
    let work = async {
        loop {
            let stepped_at = tokio::time::Instant::now();
            if let Ok(Some(event)) = tokio::time::timeout(TICK, rx.recv()).await {
                owner.handle_event(event);
            }
            if pipelined {
                tokio::time::sleep_until(stepped_at + STEP_INTERVAL).await;
            }
            while let Ok(event) = rx.try_recv() {
                owner.handle_event(event);
            }
            owner.list_vms();
            let may_act = owner.node.may_act(FLEET, token);
            if owner.waits.may_act(may_act, owner.node.lease_valid_for(FLEET))
                && owner.step().await == Err(Fenced)
            {
                return Fenced;
            }
        }
    };
    // All futures are dropped with this task.
    let Fenced = tokio::select! {
        () = follow_reports(node.clone(), tx) => return,
        fenced = work => fenced,
        fenced = background => fenced,
    };
    log::warn!("fleet step=fenced token={token}");
}

impl FleetOwner {
    fn handle_event(&mut self, event: Event) {
        let now = steady_ms();
        match event {
            Event::Report(pool, report) if self.fleet.has_report(&pool, &report) => {
                log::debug!("report pool={pool} step=known number={}", report.number);
            }
            Event::Report(pool, report) => {
                log::info!(
                    "report pool={pool} waiting_cpu={} used_cpu={} soon_cpu={} late_cpu={} cpu={} vms={} spread={} idle={} emptied={}",
                    report.waiting_cpu,
                    report.used_cpu,
                    report.soon_cpu,
                    report.late_cpu,
                    report.cpu,
                    report.vms,
                    report.spread,
                    report.idle.len(),
                    report.emptied.len(),
                );
                self.fleet.set_report(&pool, report, now);
            }
            Event::Result(order, result) => {
                let outcome = outcome(&result);
                let error = result.err().map(|e| e.to_string()).unwrap_or_default();
                log::info!(
                    "fleet step=answered vm={} purpose={:?} outcome={outcome:?} error=\"{error}\"",
                    order.vm,
                    order.purpose,
                );
                self.fleet.record_order_result(&order.vm, outcome, now);
                // List the VMs again soon, as the list shows the result of the order.
                self.listed_at = 0;
            }
            Event::Vms(requested_at, result) => {
                self.list_in_flight = false;
                self.list_took_ms = steady_ms().saturating_sub(requested_at);
                match result {
                    Ok(machines) => {
                        let table = self.node.vms.borrow().clone();
                        let vms = machines.into_iter().map(|m| fleet_vm(m, &table)).collect();
                        self.fleet.set_vms(vms, requested_at);
                    }
                    Err(e) => log::debug!("fleet step=list-failed error=\"{e}\""),
                }
            }
            Event::Written => self.finish_append(),
            Event::WaveCompleted(wave) => {
                self.reporting.remove(&wave);
                self.fleet.record_completed(wave);
            }
        }
    }

    /// Requests the list of VMs if it is due.
    fn list_vms(&mut self) {
        let usual = if self.fleet.is_busy() { LIST_BUSY_MS } else { LIST_IDLE_MS };
        let every = usual.max(self.list_took_ms * LIST_PAUSE_FACTOR);
        if self.list_in_flight || steady_ms().saturating_sub(self.listed_at) < every {
            return;
        }
        self.list_in_flight = true;
        self.listed_at = steady_ms();
        let (client, tx, requested_at) = (self.client.clone(), self.tx.clone(), steady_ms());
        tokio::spawn(async move {
            let _ = tx.send(Event::Vms(requested_at, client.list().await));
        });
    }

    async fn step(&mut self) -> Result<(), Fenced> {
        let started_at = Instant::now();
        self.apply_config();
        let orders = self.fleet.plan(steady_ms());
        self.report_completed_waves().await;
        if self.writer.is_pipelined() {
            self.queue.add(orders);
            self.begin_append().await?;
            self.send_written_orders();
        } else {
            let began = steady_ms();
            let is_written = self.begin_append().await?;
            self.waits.record(Wait::Record, began);
            if is_written {
                self.finish_append();
            }
            for order in orders {
                self.send_order(order);
            }
        }
        self.report_shortage();
        gauge!("thistle_fleet_orders_waiting").set(self.queue.len() as f64);
        histogram!("thistle_fleet_step_seconds").record(started_at.elapsed());
        Ok(())
    }

    /// Reports how many VMs each pool lacks, with a log line when a pool becomes short and when it is no longer.
    fn report_shortage(&mut self) {
        for (pool, vms) in self.fleet.short() {
            gauge!("thistle_vms_short", "pool" => pool.to_string()).set(*vms as f64);
            let is_short = *vms > 0;
            let changed = match is_short {
                true => self.short_pools.insert(pool.clone()),
                false => self.short_pools.remove(pool),
            };
            if changed {
                let step = if is_short { "short" } else { "no-longer-short" };
                log::info!("fleet step={step} pool={pool} lacking={vms}");
            }
        }
    }

    /// Writes the rows that differ from the record in the store, unless an append is in flight. Returns whether any do.
    async fn begin_append(&mut self) -> Result<bool, Fenced> {
        let Some(rows) = self.queue.begin_append(self.fleet.record(), &self.node.me.name) else {
            return Ok(false);
        };
        let mut records: Vec<KeyedRecord> = rows.iter().map(rows::to_record).collect();
        if std::mem::take(&mut self.drop_legacy) {
            records.push(rows::drop_legacy_record());
        }
        self.writer.append(&self.node, records).await?;
        Ok(true)
    }

    fn finish_append(&mut self) {
        if let Some(before) = self.queue.finish_append() {
            log_changes(&before, self.queue.written());
        }
    }

    /// Sends the orders whose rows are written.
    fn send_written_orders(&mut self) {
        let now = steady_ms();
        for order in self.queue.take_sendable(self.fleet.record()) {
            self.fleet.record_order_sent(&order.vm, now);
            self.send_order(order);
        }
    }

    async fn report_completed_waves(&mut self) {
        for wave in self.fleet.to_complete() {
            if let Some(waves) = self.writer.waves() {
                if self.reporting.insert(wave) {
                    // Without a receiver, this owner is ending.
                    let _ = waves.send(wave);
                }
            } else if report_wave_state(&self.node, wave, WaveState::Completed).await {
                self.fleet.record_completed(wave);
            }
        }
    }

    fn apply_config(&mut self) {
        let Some(catalog) = self.node.catalog.borrow().clone() else { return };
        let working: HashSet<Arc<str>> = catalog.working_pools().cloned().collect();
        let switched_off_pool =
            catalog.pools.iter().find(|p| p.switched_off).map(|p| p.name.clone());
        self.fleet.set_pools(working, switched_off_pool);
        self.fleet.set_halls(self.node.halls.borrow().clone());
        for wave in self.node.waves.borrow().iter() {
            self.fleet.set_wave(wave.clone());
        }
    }

    fn send_order(&self, order: FleetOrder) {
        log::info!(
            "fleet step=ordered vm={} purpose={:?} token={}",
            order.vm,
            order.purpose,
            self.token,
        );
        counter!("thistle_fleet_orders").increment(1);
        if self.fleet.switches_off(&order) {
            counter!("thistle_vms_switched_off").increment(1);
        }
        let (client, tx, token) = (self.client.clone(), self.tx.clone(), self.token);
        let node = self.node.clone();
        tokio::spawn(async move {
            let holder = Holder { name: &node.me.name, token };
            let result = if !node.may_act(FLEET, token) {
                Err(MachineError::Unavailable("this node may not act as owner now".to_owned()))
            } else {
                match &order.purpose {
                    Purpose::Move { to } => client.move_to(holder, &order.vm, to).await,
                    Purpose::Maintain { wave } => client.maintain(holder, &order.vm, *wave).await,
                }
            };
            let _ = tx.send(Event::Result(order, result));
        });
    }
}
