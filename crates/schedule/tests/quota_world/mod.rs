//! Simulates a lender, the owners of three pools and the store between them. Records are read late, usage reports arrive
//! late or out of order, owners and lenders are replaced at any moment, and caps change. The running tasks are counted
//! independently of the owners.
#![allow(dead_code, reason = "each test file uses its own part")]

mod parts;

use std::collections::{BTreeMap, HashMap};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use thistle_schedule::quota::{CapUse, Ledger, Lender, LentCap, WorkspaceKey};
use thistle_schedule::{Room, Workspace};

pub use parts::{DisabledSafeguard, Split};
use parts::{Owner, Run};

/// The duration of one tick, in milliseconds.
pub const TICK_MS: u64 = 10;
/// The number of ticks within which each node has the newest configuration.
const CONFIG_DELAY_TICKS: u64 = 30;
/// The cores of the largest task; the first cap is 100.
const LARGEST_TASK: u32 = 3;
/// The caps that may be configured, in cores; 0 is no limit.
const CAPS: [u32; 5] = [100, 60, 25, 140, 0];
/// The minimum number of ticks between two usage reports of an owner.
const REPORT_INTERVAL_TICKS: u64 = 4;
const POOLS: [&str; 3] = ["desk", "plan", "hub"];
pub const WORKSPACE: &str = "lunch";

pub struct World {
    rng: StdRng,
    split: Split,
    disabled: DisabledSafeguard,
    pub now: u64,
    /// The cap of each configuration version, with the tick at which it was written.
    configs: Vec<(u64, Room)>,
    records: Vec<LentCap>,
    /// Numbers of records, each with the configuration version up to which that many records are complete.
    as_of: Vec<(usize, u64)>,
    /// Usage reports in flight, each with the tick of its arrival.
    reports_in_flight: Vec<(u64, CapUse)>,
    arrived_reports: Vec<CapUse>,
    lender: Lender,
    lender_version: usize,
    lender_first_version: usize,
    lender_restarts_at: u64,
    handled_reports: usize,
    owners: Vec<Owner>,
    next_token: u64,
    pub starts: u64,
    pub starts_over_cap: u64,
    pub waiting_cpu: u64,
    pub idle_cpu_while_waiting: u64,
    pub cap_cpu_while_waiting: u64,
    pub waits_for_share_ms: Vec<u64>,
    /// Whether owners and lenders are replaced, messages are delayed or lost, and caps change.
    has_faults: bool,
}

fn cap(cpu: u32) -> Room {
    Room { cpu, mem_mb: cpu * 3, gpu: 0 }
}

impl World {
    pub fn new(seed: u64, split: Split, disabled: DisabledSafeguard, has_faults: bool) -> Self {
        let cap_index = usize::try_from(seed).unwrap_or(0) % CAPS.len();
        let first_cap = if has_faults { CAPS[cap_index] } else { CAPS[0] };
        let owners = POOLS.iter().map(|_| Owner {
            ledger: Ledger::default(),
            key: None,
            token: 0,
            report_count: 0,
            version: 0,
            first_version: 0,
            cursor: 0,
            first_read_at: 0,
            runs: Vec::new(),
            waiting: Vec::new(),
            short_since: None,
            next_report_at: 0,
        });
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            split,
            disabled,
            now: 0,
            configs: vec![(0, cap(first_cap))],
            records: Vec::new(),
            as_of: Vec::new(),
            reports_in_flight: Vec::new(),
            arrived_reports: Vec::new(),
            lender: Lender::default(),
            lender_version: 0,
            lender_first_version: 0,
            lender_restarts_at: 0,
            handled_reports: 0,
            owners: owners.collect(),
            next_token: 1,
            starts: 0,
            starts_over_cap: 0,
            waiting_cpu: 0,
            idle_cpu_while_waiting: 0,
            cap_cpu_while_waiting: 0,
            waits_for_share_ms: Vec::new(),
            has_faults,
        };
        for pool in 0..POOLS.len() {
            world.replace_owner(pool);
        }
        world
    }

    /// Returns the highest cap that may still be in force at any node.
    fn cap_now(&self) -> u32 {
        let until =
            |i: usize| self.configs.get(i + 1).map_or(u64::MAX, |next| next.0 + CONFIG_DELAY_TICKS);
        let in_force = (0..self.configs.len()).filter(|&i| self.now <= until(i));
        let caps = in_force.map(|i| self.configs[i].1.cpu);
        caps.map(|cpu| if cpu == 0 { u32::MAX } else { cpu }).max().unwrap_or(0)
    }

    fn oldest_version(&self) -> usize {
        let due = |i: &usize| self.configs[*i].0 + CONFIG_DELAY_TICKS <= self.now;
        (0..self.configs.len()).rev().find(due).unwrap_or(0)
    }

    fn replace_owner(&mut self, pool: usize) {
        let newest = self.configs.len() - 1;
        let version = self.rng.random_range(self.oldest_version()..=newest);
        let delay = if self.has_faults { self.rng.random_range(0..20) } else { 1 };
        let owner = &mut self.owners[pool];
        owner.ledger = Ledger::new(POOLS[pool].into());
        let admitted =
            if self.disabled == DisabledSafeguard::Admission { 0 } else { newest as u64 + 1 };
        owner.key = owner.ledger.key_of_job(WORKSPACE, admitted);
        (owner.token, owner.report_count, owner.version) = (self.next_token, 0, version);
        owner.first_version = version;
        owner.first_read_at = self.now + delay;
        self.next_token += 1;
        if self.disabled != DisabledSafeguard::Predecessor {
            for run in &owner.runs {
                owner.ledger.add(owner.key, run.room);
            }
        }
        if self.disabled != DisabledSafeguard::Admission {
            self.apply_config(pool);
        }
    }

    /// Returns the workspace as of a version for a node that has read every version since `first_version`.
    fn workspace(&self, version: usize, first_version: usize) -> Workspace {
        let unlimited = (first_version..=version).rev().find(|&v| self.configs[v].1.cpu == 0);
        let limited_since = unlimited.map_or(first_version as u64 + 1, |v| v as u64 + 2);
        let cap = self.configs[version].1;
        Workspace { name: WORKSPACE.into(), weight: 1, cap, limited_since }
    }

    fn apply_config(&mut self, pool: usize) {
        let workspace = self.workspace(self.owners[pool].version, self.owners[pool].first_version);
        let owner = &mut self.owners[pool];
        owner.ledger.set_workspaces(owner.version as u64 + 1, &[workspace]);
    }

    /// Advances the simulation by one tick; most tasks are submitted to the pool `busy`.
    pub fn tick(&mut self, busy: usize) {
        self.now += 1;
        if self.has_faults {
            self.inject_faults();
        }
        self.end_runs();
        self.propagate_configs();
        self.run_lender();
        for pool in 0..POOLS.len() {
            self.read_records(pool);
            let probability = if pool == busy { 0.9 } else { 0.05 };
            if self.rng.random_bool(probability) {
                let room = cap(self.rng.random_range(1..=LARGEST_TASK));
                self.owners[pool].waiting.push(room);
            }
            self.start_waiting(pool);
            self.report_use(pool);
        }
        self.measure_idle_cap();
    }

    fn inject_faults(&mut self) {
        if self.rng.random_bool(0.01) {
            let pool = self.rng.random_range(0..POOLS.len());
            self.replace_owner(pool);
        }
        if self.rng.random_bool(0.005) {
            self.lender_restarts_at = self.now + self.rng.random_range(5..100);
            let as_of = self.as_of.last().map_or(0, |known| known.1);
            self.lender = Lender::new(as_of, self.newest_records());
            self.lender_first_version = self.lender_version;
            self.handled_reports = 0;
        }
        if self.rng.random_bool(0.005) {
            // 0 is no limit.
            let cpu = CAPS[self.rng.random_range(0..CAPS.len())];
            self.configs.push((self.now, cap(cpu)));
        }
    }

    fn newest_records(&self) -> Vec<LentCap> {
        let mut newest = BTreeMap::new();
        for record in &self.records {
            newest.insert(record.workspace.clone(), record.clone());
        }
        newest.into_values().collect()
    }

    fn end_runs(&mut self) {
        let now = self.now;
        for owner in &mut self.owners {
            let (ledger, key) = (&mut owner.ledger, owner.key);
            let skip_counting = self.disabled == DisabledSafeguard::Predecessor;
            owner.runs.retain(|run| {
                let is_ended = now >= run.end_reported_at;
                if is_ended && !skip_counting {
                    ledger.remove(key, run.room);
                }
                !is_ended
            });
        }
    }

    fn propagate_configs(&mut self) {
        let (oldest, newest) = (self.oldest_version(), self.configs.len() - 1);
        for pool in 0..POOLS.len() {
            let version = self.owners[pool].version.max(oldest);
            let reads_newest = self.rng.random_bool(0.1);
            let version = if reads_newest { newest } else { version };
            if version != self.owners[pool].version || self.disabled == DisabledSafeguard::Admission
            {
                self.owners[pool].version = version;
                if self.disabled != DisabledSafeguard::Admission || reads_newest {
                    self.apply_config(pool);
                }
            }
        }
        let reads_newest = self.rng.random_bool(0.1);
        self.lender_version = if reads_newest { newest } else { self.lender_version.max(oldest) };
    }

    fn run_lender(&mut self) {
        let now = self.now;
        let (arrived, in_flight) = std::mem::take(&mut self.reports_in_flight)
            .into_iter()
            .partition(|report| report.0 <= now);
        self.reports_in_flight = in_flight;
        let arrived: Vec<(u64, CapUse)> = arrived;
        self.arrived_reports.extend(arrived.into_iter().map(|report| report.1));
        if now < self.lender_restarts_at {
            return;
        }
        let number = self.records.last().map_or(0, |r| r.number);
        for usage in &self.arrived_reports[self.handled_reports..] {
            let mut usage = usage.clone();
            if self.disabled == DisabledSafeguard::Confirmation {
                usage.number = number;
            }
            self.lender.record_use(usage);
        }
        self.handled_reports = self.arrived_reports.len();
        let cap = self.configs[self.lender_version].1;
        let is_split = |r: &LentCap| r.cap == cap && r.shares.iter().any(|s| s.room.cpu > 0);
        if self.split == Split::Equal && self.records.last().is_some_and(is_split) {
            return;
        }
        let pools = POOLS.iter().map(|&p| p.into());
        let workspace = self.workspace(self.lender_version, self.lender_first_version);
        self.lender.set_config(self.lender_version as u64 + 1, pools, &[workspace]);
        let splits = self.lender.plan();
        self.records.extend(splits.lent);
        if let Some(as_of) = splits.as_of {
            self.as_of.push((self.records.len(), as_of));
        }
    }

    fn read_records(&mut self, pool: usize) {
        let late = self.has_faults && !self.rng.random_bool(0.1);
        let owner = &mut self.owners[pool];
        let end = self.records.len();
        if self.now == owner.first_read_at {
            // Without this safeguard, the owner uses the view of another node, which lags behind by 4 records.
            let lag = if self.disabled == DisabledSafeguard::ReadingFirst { 4 } else { 0 };
            owner.cursor = end.saturating_sub(lag);
        } else if self.now < owner.first_read_at || late {
            return;
        } else {
            owner.cursor = end;
        }
        let mut records: Vec<LentCap> =
            self.records[..owner.cursor].iter().rev().take(1).cloned().collect();
        if self.disabled == DisabledSafeguard::LoweredCap {
            for record in &mut records {
                record.cap = self.configs[owner.version].1;
            }
        }
        let complete = self.as_of.iter().rev().find(|complete| complete.0 <= owner.cursor);
        owner.ledger.set_records(complete.map_or(0, |complete| complete.1), records.iter());
    }

    fn start_waiting(&mut self, pool: usize) {
        let cap_now = u64::from(self.cap_now());
        loop {
            let owner = &mut self.owners[pool];
            let Some(&room) = owner.waiting.first() else { return };
            if !owner.ledger.may_start(owner.key, room) {
                owner.short_since.get_or_insert(self.now);
                return;
            }
            if let Some(since) = owner.short_since.take() {
                self.waits_for_share_ms.push((self.now - since) * TICK_MS);
            }
            owner.waiting.remove(0);
            owner.ledger.add(owner.key, room);
            let ends_at = self.now + self.rng.random_range(5..120);
            let end_reported_at =
                ends_at + if self.has_faults { self.rng.random_range(0..60) } else { 1 };
            self.owners[pool].runs.push(Run { room, ends_at, end_reported_at });
            self.starts += 1;
            let running = self.running();
            let alone = running == u64::from(room.cpu);
            self.starts_over_cap += u64::from(running > cap_now && !alone);
        }
    }

    fn running(&self) -> u64 {
        let runs = self.owners.iter().flat_map(|o| &o.runs).filter(|r| r.ends_at > self.now);
        runs.map(|r| u64::from(r.room.cpu)).sum()
    }

    fn report_use(&mut self, pool: usize) {
        let owner = &mut self.owners[pool];
        if self.now < owner.next_report_at {
            return;
        }
        let waiting = owner.waiting.iter().fold(Room::default(), |sum, r| sum.plus(*r));
        let waiting: HashMap<WorkspaceKey, Room> =
            owner.key.map(|k| (k, waiting)).into_iter().collect();
        let reports = owner.ledger.to_report(owner.token, &mut owner.report_count, &waiting);
        if !reports.is_empty() {
            owner.next_report_at = self.now + REPORT_INTERVAL_TICKS;
        }
        for usage in reports {
            let delay = if self.has_faults { self.rng.random_range(1..60) } else { 1 };
            // Some reports never arrive. The owner notices the loss, unless it has been replaced.
            if self.has_faults && self.rng.random_bool(0.1) {
                self.owners[pool].ledger.forget_reported();
                continue;
            }
            self.reports_in_flight.push((self.now + delay, usage));
        }
    }

    fn measure_idle_cap(&mut self) {
        let waiting: u64 =
            self.owners.iter().flat_map(|o| &o.waiting).map(|r| u64::from(r.cpu)).sum();
        if waiting > 0 {
            let cap = u64::from(self.configs.last().map_or(0, |c| c.1.cpu));
            // Capacity is not idle if no waiting task fits into it, or if a run whose end is not reported yet takes it:
            // neither is a fault of the split.
            let counted = self.owners.iter().flat_map(|o| &o.runs).map(|r| u64::from(r.room.cpu));
            let free = cap.saturating_sub(counted.sum());
            let first_waiting = self.owners.iter().filter_map(|o| o.waiting.first());
            let fits = first_waiting.map(|r| u64::from(r.cpu)).any(|cpu| cpu <= free);
            let idle = if fits { free.min(waiting) } else { 0 };
            self.waiting_cpu += waiting;
            self.idle_cpu_while_waiting += idle;
            self.cap_cpu_while_waiting += cap;
        }
    }
}
