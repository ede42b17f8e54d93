//! A site whose load moves from pool to pool: real pools and a real fleet schedule, with modelled VMs, machine service and
//! delays. Times are in milliseconds.

mod fleet;
mod owner;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use thistle_schedule::fleet::{
    Fleet, FleetRecord, FleetVm, HoldOff, OrderOutcome, PoolReport, Purpose, VmState,
};
use thistle_schedule::policy::Policy;
use thistle_schedule::pool::StartResult;
use thistle_schedule::{
    EndKind, JobId, JobSpec, Ms, Objective, Pool, Room, RunId, Step, VmFacts, VmIncarnation,
    VmReport,
};

use crate::common::{WALL_CLOCK_MS, at, end, report, starts};

pub const POOLS: usize = 4;
/// The index of the pool whose VMs are switched off.
const OFF: usize = POOLS;
const VM_CPU: u32 = 16_000;
const MOVE_MS: Ms = 1_500;
/// From a VM's start until its pool's owner may use it.
const LISTED_MS: Ms = 300;
/// From a plan of the fleet until its record is written, after which orders are sent and the pools' owners read it.
const RECORD_MS: Ms = 20;
const FLEET_STEP_MS: Ms = 100;
const FLEET_LIST_MS: Ms = 400;
const POOL_STEP_MS: Ms = 20;

/// The jobs of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub jobs_per_s: f64,
    pub steps: f64,
    pub task_ms: Ms,
    pub cpu: u32,
}

impl Kind {
    /// Returns the number of VMs, filled to 80%, that jobs at this many times the mean rate need.
    pub fn vms_at(&self, times: f64) -> usize {
        let cpu = f64::from(self.cpu) * 8.0 * self.steps * self.task_ms as f64 / 1_000.0;
        (self.jobs_per_s * times * cpu / f64::from(VM_CPU) / 0.8).ceil() as usize
    }
}

/// The load of a replay: the pool in a burst gets `burst` times its mean, the others a twentieth.
#[derive(Clone, Debug)]
pub struct Load {
    pub kinds: [Kind; POOLS],
    pub burst: f64,
    /// The number of pools that are in a burst at once.
    pub together: usize,
    pub vms: usize,
    pub off: usize,
    pub bursts: usize,
    pub seed: u64,
}

#[derive(Debug)]
enum Event {
    Burst(usize),
    Calm,
    Arrive(usize),
    Ended(usize, RunId, VmIncarnation),
    Report(usize, PoolReport),
    Record,
    Sent(usize, String, Purpose),
    Arrived(usize, usize),
    Listed(usize),
    FleetStep,
    PoolStep,
}

#[derive(Debug)]
struct Vm {
    name: Arc<str>,
    pool: usize,
    incarnation: u32,
    away: bool,
    arrival: Option<usize>,
}

#[derive(Debug)]
struct JobState {
    accepted: Ms,
    objective: Ms,
    left: usize,
    large: bool,
}

/// The way of one VM to the pool in a burst, in milliseconds after the burst's first job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    pub burst: usize,
    pub ordered: Option<Ms>,
    pub up: Option<Ms>,
    pub listed: Option<Ms>,
    pub first_start: Option<Ms>,
}

/// What happened in one burst.
#[derive(Clone, Debug, Default)]
pub struct Burst {
    pub pool: usize,
    pub first_job: Option<Ms>,
    pub needed: usize,
    /// When reports of at least half and nine tenths of the need reached the fleet.
    pub known: [Option<Ms>; 2],
    /// When half and nine tenths of the VMs needed were at work.
    pub at_work: [Option<Ms>; 2],
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub bursts: Vec<Burst>,
    pub arrivals: Vec<Arrival>,
    /// Jobs of each pool: all, in time, late but of value.
    pub jobs: [[usize; 3]; POOLS],
    /// The same for large jobs.
    pub large: [usize; 3],
    pub vm_ms: Ms,
    pub moves: usize,
    pub switched_off: usize,
    /// VMs that were switched off while another pool's reported need exceeded its VMs.
    pub switched_off_while_short: usize,
}

pub struct Replay {
    load: Load,
    now: Ms,
    events: BinaryHeap<Reverse<(Ms, u64, usize)>>,
    pending: HashMap<usize, Event>,
    count: usize,
    rng: StdRng,
    fleet: Fleet,
    pools: Vec<Pool>,
    reported: Vec<(Ms, bool, PoolReport)>,
    /// The newest need of each pool that reached the fleet, in VMs.
    needs: [usize; POOLS],
    vms: Vec<Vm>,
    by_name: HashMap<String, usize>,
    jobs: HashMap<JobId, JobState>,
    rates: [f64; POOLS],
    listed_at: Option<Ms>,
    ends_at: Ms,
    outcome: Outcome,
}

fn names() -> Vec<Arc<str>> {
    ["a", "b", "c", "d", "off"].map(Arc::from).to_vec()
}

impl Replay {
    pub fn new(load: Load, policy: Policy) -> Self {
        let mut fleet = Fleet::with_policy(FleetRecord::default(), HoldOff::default(), policy);
        fleet.set_pools(names()[..POOLS].iter().cloned().collect(), Some(names()[OFF].clone()));
        let vm = |i: usize| Vm {
            name: format!("vm{i:03}").into(),
            pool: if i < load.vms - load.off { i % POOLS } else { OFF },
            incarnation: 1,
            away: false,
            arrival: None,
        };
        let vms: Vec<Vm> = (0..load.vms).map(vm).collect();
        let by_name = vms.iter().enumerate().map(|(i, vm)| (vm.name.to_string(), i)).collect();
        let mut replay = Self {
            now: 0,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            count: 0,
            rng: StdRng::seed_from_u64(load.seed),
            fleet,
            pools: (0..POOLS).map(|_| Pool::with_policy(policy)).collect(),
            reported: vec![(0, false, PoolReport::default()); POOLS],
            needs: [0; POOLS],
            vms,
            by_name,
            jobs: HashMap::new(),
            rates: load.kinds.map(|kind| kind.jobs_per_s / 20.0),
            listed_at: None,
            ends_at: 0,
            outcome: Outcome::default(),
            load,
        };
        for i in 0..replay.vms.len() {
            replay.list_in_pool(i);
        }
        replay
    }

    /// Plays all bursts, and then lets the open jobs end.
    pub fn run(mut self) -> Outcome {
        let mut begins = 2_000;
        for i in 0..self.load.bursts {
            self.add(begins, Event::Burst(i));
            let ends = begins + self.rng.random_range(4_000..5_000);
            self.add(ends, Event::Calm);
            // With these pauses each pool's mean rate is as stated.
            begins = ends + self.rng.random_range(1_000..1_700);
        }
        self.ends_at = begins;
        (0..POOLS).for_each(|pool| self.add(0, Event::Arrive(pool)));
        self.add(0, Event::PoolStep);
        self.add(0, Event::FleetStep);
        while let Some(Reverse((time, _, key))) = self.events.pop() {
            if time > self.ends_at + 12_000 {
                break;
            }
            if time > self.now && self.now < self.ends_at {
                let up = self.vms.iter().filter(|vm| vm.pool != OFF || vm.away).count();
                self.outcome.vm_ms += (time - self.now) * up as Ms;
            }
            self.now = time;
            if let Some(event) = self.pending.remove(&key) {
                self.handle(event);
            }
        }
        self.outcome
    }

    fn add(&mut self, time: Ms, event: Event) {
        self.count += 1;
        self.events.push(Reverse((time, self.count as u64, self.count)));
        self.pending.insert(self.count, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Burst(i) => self.begin_burst(i),
            Event::Calm => self.rates = self.load.kinds.map(|kind| kind.jobs_per_s / 20.0),
            Event::Arrive(pool) => self.arrive(pool),
            Event::Ended(pool, run, vm) => self.end_run(pool, run, &vm),
            Event::Report(pool, report) => self.receive_report(pool, report),
            Event::Record => {
                for (pool, name) in self.pools.iter_mut().zip(names()) {
                    let record = self.fleet.record();
                    pool.set_cordoned(record.cordoned_for(&name).map(Arc::from).collect());
                    pool.set_urgent(record.moving().map(Arc::from).collect::<HashSet<_>>());
                }
            }
            Event::Sent(vm, name, purpose) => self.send_order(vm, &name, &purpose),
            Event::Arrived(vm, to) => {
                let now = self.now;
                let vm_state = &mut self.vms[vm];
                (vm_state.pool, vm_state.away) = (to, false);
                vm_state.incarnation += 1;
                self.set_arrival(vm, |arrival, ms| arrival.up = Some(ms));
                self.add(now + LISTED_MS, Event::Listed(vm));
            }
            Event::Listed(vm) => {
                self.list_in_pool(vm);
                self.set_arrival(vm, |arrival, ms| arrival.listed = Some(ms));
            }
            Event::FleetStep => self.step_fleet(),
            Event::PoolStep => {
                (0..POOLS).for_each(|pool| self.step_pool(pool));
                self.add(self.now + POOL_STEP_MS, Event::PoolStep);
            }
        }
    }

    fn begin_burst(&mut self, i: usize) {
        let pool = i % POOLS;
        for p in (pool..pool + self.load.together).map(|p| p % POOLS) {
            self.rates[p] = self.load.kinds[p].jobs_per_s * self.load.burst;
        }
        let needed = self.load.kinds[pool].vms_at(self.load.burst).min(self.load.vms);
        self.outcome.bursts.push(Burst { pool, needed, ..Burst::default() });
    }

    fn arrive(&mut self, pool: usize) {
        if self.now >= self.ends_at {
            return;
        }
        let (kind, now) = (self.load.kinds[pool], self.now);
        // Arrivals at the highest rate, of which the part at the present rate is kept.
        let highest = kind.jobs_per_s * self.load.burst;
        let u: f64 = self.rng.random_range(1e-9..1.0);
        let gap = (-u.ln() / highest * 1_000.0) as Ms;
        self.add(now + gap, Event::Arrive(pool));
        if !self.rng.random_bool(self.rates[pool] / highest) {
            return;
        }
        let large = self.rng.random_bool(0.1);
        let count = if large { 24 } else { 6 };
        let steps = 1 + usize::from(self.rng.random_bool(kind.steps - 1.0));
        let step = |i: usize| Step {
            count,
            demand: Room { cpu: kind.cpu, mem_mb: 500, gpu: 0 },
            estimated_ms: u32::try_from(kind.task_ms).unwrap_or(u32::MAX),
            depends_on: (0..i).map(|on| on as u16).collect(),
            ..Step::default()
        };
        let objective = Objective { priority: 1, max_attempts: 3, stretch: 1.6, target_ms: 600 };
        let spec = JobSpec {
            steps: (0..steps).map(step).collect(),
            objective,
            queue: format!("q{pool}"),
            accepted_ms: WALL_CLOCK_MS + now,
            ..JobSpec::default()
        };
        let id = JobId(self.count as u64);
        let objective = steps as Ms * kind.task_ms * 16 / 10 + 600;
        let left = steps * count as usize;
        self.jobs.insert(id, JobState { accepted: now, objective, left, large });
        self.outcome.jobs[pool][0] += 1;
        self.outcome.large[0] += usize::from(large);
        self.pools[pool].submit(id, spec.into(), at(now));
        if let Some(burst) = self.outcome.bursts.last_mut().filter(|burst| burst.pool == pool) {
            burst.first_job.get_or_insert(now);
        }
    }
}

fn incarnation(vm: &Vm) -> VmIncarnation {
    VmIncarnation::new(format!("i-{}-{}", vm.name, vm.incarnation), None)
}
