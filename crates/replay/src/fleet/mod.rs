//! A discrete-event simulation of the planner and the fold with a fake fleet, its drains, reboots and failures.

mod layout;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use thistle_fold::{Stage, State};
use thistle_model::record::encode;
use thistle_model::{Change, MemberId, Offset, PlatformStatus, Record, RecordId, VmName};
use thistle_plan::{PlanConfig, plan};

pub use layout::{Layout, PoolPlan};

/// The shortest and longest time in which the requests of a draining VM end, in seconds.
const DRAIN_SECONDS: (u64, u64) = (2, 30);
/// The shortest and longest duration of a reboot, in seconds.
const REBOOT_SECONDS: (u64, u64) = (120, 300);
/// The time after which the list shows a failure, in seconds.
const LIST_LAG_SECONDS: u64 = 30;
/// The minute of the day that is passed to the planner; these runs have no maintenance windows.
const MINUTE: u16 = 0;
/// The only member, whose entry acknowledges drains.
const MEMBER: MemberId = MemberId(1);

/// A failure of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// One VM fails and is replaced by a new one after this many seconds.
    Vm(usize, u64),
    /// All VMs of a rack fail and are replaced after this many seconds.
    Rack(usize, u64),
}

/// The results of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetReport {
    /// The duration of the wave, in seconds.
    pub wave_seconds: u64,
    /// The number of VMs assigned to pools of workspaces after the first fill.
    pub moves: u64,
    /// The number of VMs that were in pools of workspaces when the list showed their failure.
    pub failed_in_pools: u64,
    /// The spare capacity held in reserve, in VM-hours.
    pub buffer_vm_hours: f64,
    /// The number of accepted records.
    pub accepted: u64,
    /// The number of proposals of the planner that the fold rejected.
    pub rejected: u64,
    /// The number of bytes appended to the log.
    pub bytes: u64,
    /// The number of planning steps.
    pub plans: u64,
    /// The duration of the longest planning step, in microseconds.
    pub longest_plan_us: u64,
    /// The shortfall of pools below their floor after failures, in VM-seconds.
    pub below_floor_seconds: u64,
}

enum Event {
    Acked(VmName),
    Rebooted(VmName),
    Fail(Failure),
    FailureListed(Vec<VmName>),
    Replaced(Vec<usize>),
}

/// A simulated fleet.
pub struct Fleet {
    layout: Layout,
    cfg: PlanConfig,
    /// The agreed state.
    pub state: State,
    /// The results so far.
    pub report: FleetReport,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    seq: u64,
    offset: u64,
    now: u64,
    rng: SmallRng,
    incarnations: Vec<u32>,
}

impl Fleet {
    /// Returns a fleet whose pools are filled.
    pub fn new(layout: Layout, cfg: PlanConfig, seed: u64) -> Self {
        let vms = layout.vms;
        let mut fleet = Self {
            layout,
            cfg,
            state: State::new(),
            report: FleetReport::default(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            seq: 0,
            offset: 0,
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            incarnations: vec![0; vms],
        };
        let changes = fleet.layout.initial_changes(MEMBER);
        fleet.append(changes);
        fleet.plan_until_stable();
        fleet.report = FleetReport::default();
        fleet
    }

    /// Starts a wave and runs until no event is left.
    pub fn run_wave(&mut self, failures: &[(u64, Failure)]) -> FleetReport {
        for (at, failure) in failures {
            self.schedule(*at, Event::Fail(failure.clone()));
        }
        self.append(vec![Change::WaveStart { base: self.state.wave.revision }]);
        self.plan_until_stable();
        while let Some(Reverse((at, id))) = self.queue.pop() {
            let Some(event) = self.events.remove(&id) else { continue };
            self.advance_to(at);
            self.handle(event);
            self.plan_until_stable();
            if self.state.wave_left() == 0 && self.report.wave_seconds == 0 {
                self.report.wave_seconds = at;
            }
        }
        self.state.assert_all();
        self.report
    }

    fn advance_to(&mut self, at: u64) {
        let span = at - self.now;
        let spare = self.state.pools[self.state.reserve].available;
        self.report.buffer_vm_hours += f64::from(spare) * span as f64 / 3_600.0;
        let below = |p: &thistle_fold::Pool| u64::from(p.floor().saturating_sub(p.available));
        self.report.below_floor_seconds += self.state.pools.values().map(below).sum::<u64>() * span;
        self.now = at;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Acked(vm) => {
                let acks = vec![MEMBER];
                self.append_for_vm(&vm, |vm, base| vec![Change::Drained { vm, base, acks }]);
            }
            Event::Rebooted(vm) => {
                self.append_for_vm(&vm, |vm, base| vec![Change::MaintenanceDone { vm, base }]);
            }
            Event::Fail(failure) => self.fail(&failure),
            Event::FailureListed(gone) => {
                for vm in gone {
                    self.record_failure(&vm);
                    self.append_for_vm(&vm, |vm, base| vec![Change::VmGone { vm, base }]);
                }
            }
            Event::Replaced(vms) => {
                let seen = vms.iter().map(|&i| {
                    self.incarnations[i] += 1;
                    Change::VmSeen {
                        vm: self.layout.vm_name(i, self.incarnations[i]),
                        facts: self.layout.facts(i),
                        status: PlatformStatus::Live,
                    }
                });
                let seen = seen.collect();
                self.append(seen);
            }
        }
    }

    fn fail(&mut self, failure: &Failure) {
        let (vms, replaced_after) = match failure {
            Failure::Vm(i, after) => (vec![*i], *after),
            Failure::Rack(r, after) => (self.layout.vms_of_rack(*r), *after),
        };
        let names: Vec<_> =
            vms.iter().map(|&i| self.layout.vm_name(i, self.incarnations[i])).collect();
        self.schedule(self.now + LIST_LAG_SECONDS, Event::FailureListed(names));
        self.schedule(self.now + LIST_LAG_SECONDS + replaced_after, Event::Replaced(vms));
    }

    fn record_failure(&mut self, name: &VmName) {
        let Ok(key) = self.state.vm_key(name) else { return };
        let in_pool = self.state.vms[key].pool != self.state.reserve;
        self.report.failed_in_pools += u64::from(in_pool);
    }

    fn append_for_vm(
        &mut self,
        name: &VmName,
        changes: impl FnOnce(VmName, thistle_model::Revision) -> Vec<Change>,
    ) {
        if let Ok(key) = self.state.vm_key(name) {
            let base = self.state.vms[key].revision;
            self.append(changes(name.clone(), base));
        }
    }

    /// Plans and appends until the planner proposes nothing more.
    fn plan_until_stable(&mut self) {
        loop {
            let started_at = std::time::Instant::now();
            let proposals = plan(&self.state, &self.cfg, MINUTE);
            let took = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
            self.report.plans += 1;
            self.report.longest_plan_us = self.report.longest_plan_us.max(took);
            if proposals.is_empty() {
                return;
            }
            let proposed = proposals.len() as u64;
            let before = self.report.accepted;
            self.append(proposals.into_iter().map(|p| p.change).collect());
            self.report.rejected += proposed - (self.report.accepted - before);
        }
    }

    fn append(&mut self, changes: Vec<Change>) {
        let records: Vec<Record> = changes
            .into_iter()
            .map(|change| {
                self.seq += 1;
                Record { id: RecordId { writer: 1, seq: self.seq }, at_ms: 0, change }
            })
            .collect();
        for record in records {
            let entry = encode(std::slice::from_ref(&record));
            self.report.bytes += entry.len() as u64;
            let verdicts = self.state.apply_entry(Offset(self.offset), &entry);
            self.offset += 1;
            if verdicts[0].result.is_ok() {
                self.on_accepted(&record.change);
            }
        }
    }

    fn on_accepted(&mut self, change: &Change) {
        self.report.accepted += 1;
        match change {
            Change::Drain { vm, .. } => {
                let span = self.rng.random_range(DRAIN_SECONDS.0..=DRAIN_SECONDS.1);
                self.schedule(self.now + span, Event::Acked(vm.clone()));
            }
            Change::MaintenanceStarted { vm, .. } => {
                let span = self.rng.random_range(REBOOT_SECONDS.0..=REBOOT_SECONDS.1);
                self.schedule(self.now + span, Event::Rebooted(vm.clone()));
            }
            Change::Assign { to: Some(_), .. } => self.report.moves += 1,
            _ => {}
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event)));
    }

    /// Returns whether a pool is short of VMs although the reserve has available ones.
    pub fn is_short_with_spares(&self) -> bool {
        let spares = self.state.pools[self.state.reserve].available;
        let short = self.state.pools.values().any(|p| p.size < p.target());
        short && spares > 0
    }

    /// Returns the sum over all pools of the largest number of VMs that a pool has in one rack: the
    /// buffer that is needed when each pool covers the loss of a rack by itself.
    pub fn buffers_by_pool(&self) -> u32 {
        let mut counts: BTreeMap<_, u32> = BTreeMap::new();
        for vm in self.state.vms.values().filter(|vm| vm.pool != self.state.reserve) {
            *counts.entry((vm.pool, vm.facts.rack.clone())).or_default() += 1;
        }
        let mut most: BTreeMap<_, u32> = BTreeMap::new();
        for ((pool, _), count) in counts {
            let entry = most.entry(pool).or_default();
            *entry = (*entry).max(count);
        }
        most.values().sum()
    }

    /// Returns the largest number of VMs that all pools together have in one rack: the shared reserve
    /// that covers the loss of any rack.
    pub fn shared_buffer(&self) -> u32 {
        let mut counts: BTreeMap<_, u32> = BTreeMap::new();
        for vm in self.state.vms.values().filter(|vm| vm.pool != self.state.reserve) {
            *counts.entry(vm.facts.rack.clone()).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }

    /// Returns whether every VM is in service.
    pub fn all_in_service(&self) -> bool {
        self.state.vms.values().all(|vm| vm.stage == Stage::InService)
    }
}
