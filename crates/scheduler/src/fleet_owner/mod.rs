//! The owner of the fleet: runs maintenance waves and moves VMs between pools.

mod records;
mod rows;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use thistle_platform::config::{STATUS_TOPIC, WaveState, encode_wave_status};
use thistle_platform::machines::{Holder, Machine, MachineError, MachineState};
use thistle_platform::{Guard, KeyedRecord, MachineClient};
use thistle_schedule::Ms;
use thistle_schedule::fleet::{
    Fleet, FleetOrder, FleetRecord, FleetVm, OrderOutcome, PoolReport, Purpose, VmState, VmWork,
};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::clock::steady_ms;
use crate::control::TOPIC;
use crate::journal::{Fenced, Journal};
use crate::node::{Node, VmTable};
use records::{follow_reports, hold_off, read_record};

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
/// How often the VMs are listed while work on some is in progress, in milliseconds.
const LIST_BUSY_MS: Ms = 400;
/// How often the VMs are listed otherwise, in milliseconds.
const LIST_IDLE_MS: Ms = 3_000;

/// Returns the key of a pool's report.
pub fn pool_key(pool: &str) -> String {
    format!("{POOL_PREFIX}{pool}")
}

enum Event {
    Report(Arc<str>, PoolReport),
    Result(FleetOrder, Result<(), MachineError>),
    Vms(Ms, Result<Vec<Machine>, MachineError>),
}

struct FleetOwner {
    node: Arc<Node>,
    token: u64,
    client: Arc<MachineClient>,
    fleet: Fleet,
    journal: Journal,
    /// The record as it was last written to the store in rows.
    written: FleetRecord,
    /// Whether the next write also drops the single record of older versions.
    drop_legacy: bool,
    tx: UnboundedSender<Event>,
    listed_at: Ms,
    list_in_flight: bool,
}

/// Owns the fleet until another node takes it over or the task is aborted.
pub async fn run(node: Arc<Node>, token: u64) {
    let Some(addr) = node.settings.machine_service else { return };
    let Ok(journal) = Journal::open(&node, TOPIC, &[RECORD], token).await else {
        log::warn!("fleet step=fenced token={token}");
        return;
    };
    let Some(record) = read_record(&node).await else { return };
    let (tx, mut rx) = unbounded_channel();
    let hold_off = hold_off(&node, record.as_ref().map(|read| &read.record));
    let read = record.unwrap_or_default();
    let written = read.record;
    log::info!(
        "fleet step=took-over token={token} work={} ordered_lately={} wait_ordered_ms={}",
        written.work.len(),
        written.ordered_lately.len(),
        hold_off.until.saturating_sub(steady_ms()),
    );
    let mut owner = FleetOwner {
        fleet: Fleet::with_policy(written.clone(), hold_off, node.settings.policy),
        // A record in the old format is rewritten as rows with the first change.
        drop_legacy: read.is_legacy,
        client: Arc::new(MachineClient::new(addr)),
        node: node.clone(),
        token,
        journal,
        written: if read.is_legacy { FleetRecord::default() } else { written },
        tx: tx.clone(),
        listed_at: 0,
        list_in_flight: false,
    };
    let work = async {
        loop {
            if let Ok(Some(event)) = tokio::time::timeout(TICK, rx.recv()).await {
                owner.handle_event(event);
            }
            while let Ok(event) = rx.try_recv() {
                owner.handle_event(event);
            }
            owner.list_vms();
            if owner.node.may_act(FLEET, token) && owner.step().await == Err(Fenced) {
                log::warn!("fleet step=fenced token={token}");
                return;
            }
        }
    };
    // Both futures are dropped with this task.
    tokio::select! {
        () = follow_reports(node.clone(), tx) => (),
        () = work => (),
    }
}

impl FleetOwner {
    fn handle_event(&mut self, event: Event) {
        let now = steady_ms();
        match event {
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
                match result {
                    Ok(machines) => {
                        let table = self.node.vms.borrow().clone();
                        let vms = machines.into_iter().map(|m| fleet_vm(m, &table)).collect();
                        self.fleet.set_vms(vms, requested_at);
                    }
                    Err(e) => log::debug!("fleet step=list-failed error=\"{e}\""),
                }
            }
        }
    }

    /// Requests the list of VMs if it is due.
    fn list_vms(&mut self) {
        let every = if self.fleet.is_busy() { LIST_BUSY_MS } else { LIST_IDLE_MS };
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
        let now = steady_ms();
        self.apply_config();
        let orders = self.fleet.plan(now);
        for wave in self.fleet.to_complete() {
            self.report_wave_state(wave, WaveState::Completed).await;
        }
        if !self.fleet.record().has_same_work(&self.written) {
            let mut written = self.fleet.record().clone();
            self.node.me.name.clone_into(&mut written.owner);
            self.write_changes(&written).await?;
            self.log_changes(&written);
            self.written = written;
        }
        for order in orders {
            self.send_order(order);
        }
        Ok(())
    }

    /// Writes the rows that differ from the record in the store, in as many appends as needed. Orders are sent after
    /// the last append.
    async fn write_changes(&mut self, current: &FleetRecord) -> Result<(), Fenced> {
        let mut records: Vec<KeyedRecord> =
            current.changes_since(&self.written).iter().map(rows::to_record).collect();
        if std::mem::take(&mut self.drop_legacy) {
            records.push(rows::drop_legacy_record());
        }
        let max_bytes = self.node.settings.max_append_bytes;
        let mut rest = records.as_slice();
        while !rest.is_empty() {
            let (batch, later) = rest.split_at(fitting_count(rest, max_bytes));
            self.journal.append(&self.node, batch).await?;
            rest = later;
        }
        Ok(())
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

    /// Writes the state of a wave for the operator.
    async fn report_wave_state(&mut self, wave: u64, state: WaveState) {
        let (key, value) = encode_wave_status(wave, state);
        let record = KeyedRecord::new(key, value);
        match self.node.store.append(STATUS_TOPIC, 0, Guard::Always, &[record]).await {
            Ok(_) => {
                log::info!("wave wave={wave} step=reported state={state:?}");
                if state == WaveState::Completed {
                    self.fleet.record_completed(wave);
                }
            }
            Err(e) => log::warn!("wave wave={wave} step=unreported state={state:?} error=\"{e}\""),
        }
    }

    fn log_changes(&self, current: &FleetRecord) {
        let has_changed = |work: &&VmWork| self.written.work_on(&work.vm) != Some(*work);
        for work in current.work.iter().filter(has_changed) {
            log::info!(
                "fleet step=work vm={} purpose={:?} stage={:?}",
                work.vm,
                work.purpose,
                work.stage
            );
        }
        for work in self.written.work.iter().filter(|w| current.work_on(&w.vm).is_none()) {
            log::info!("fleet step=finished vm={} purpose={:?}", work.vm, work.purpose);
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

/// Returns how many of the first records fit into one append, at least one.
fn fitting_count(records: &[KeyedRecord], max_bytes: usize) -> usize {
    let mut size = 0;
    let fits = |record: &&KeyedRecord| {
        size += record.framed_len();
        size <= max_bytes
    };
    records.iter().take_while(fits).count().max(1)
}

fn outcome(result: &Result<(), MachineError>) -> OrderOutcome {
    match result {
        Ok(()) => OrderOutcome::Done,
        Err(MachineError::Unavailable(_) | MachineError::Busy | MachineError::Fenced) => {
            OrderOutcome::NotDone
        }
        Err(MachineError::Unanswered(_) | MachineError::Malformed(_)) => OrderOutcome::Unknown,
        Err(MachineError::NotInWave | MachineError::Invalid) => OrderOutcome::Impossible,
    }
}

fn fleet_vm(machine: Machine, table: &VmTable) -> FleetVm {
    // The machine service reports only IDs; the incarnation of a VM that is not listed yet is unknown.
    let incarnation_of =
        |id: Arc<str>| table.get(&id).map_or(id, |facts| facts.id.to_string().into());
    let state = match machine.state {
        MachineState::Up => VmState::Up,
        MachineState::Moving | MachineState::Upkeep => VmState::Away,
        MachineState::Down => VmState::Down,
    };
    FleetVm {
        name: machine.name,
        pool: machine.pool,
        state,
        hall: machine.hall,
        rack: machine.rack,
        incarnation: machine.incarnation.map(incarnation_of),
    }
}
