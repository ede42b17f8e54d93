//! Helpers shared by the scheduler tests: they build jobs, VMs and reports, and filter orders.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::sync::Arc;

use thistle_schedule::pool::{Now, Order, StartOrder, StartResult};
use thistle_schedule::{
    EndKind, JobId, JobSpec, Ms, Objective, Pool, ReportedRun, Room, RunEnd, RunId, Step, VmFacts,
    VmIncarnation, VmReport,
};

/// The wall-clock time at steady time 0, in milliseconds.
pub const WALL_CLOCK_MS: u64 = 1_700_000_000_000;

pub fn at(ms: Ms) -> Now {
    Now { steady: ms, wall: WALL_CLOCK_MS + ms }
}

pub fn step(count: u32, cpu: u32) -> Step {
    let demand = Room { cpu, mem_mb: 100, gpu: 0 };
    Step { count, demand, estimated_ms: 1_000, ..Step::default() }
}

pub fn lasting_step(count: u32, may_miss: u32) -> Step {
    Step { lasting: true, may_miss, anti_affinity: 1, ..step(count, 1_000) }
}

pub fn job(steps: Vec<Step>) -> Arc<JobSpec> {
    let objective = Objective { priority: 0, max_attempts: 2, stretch: 1.5, target_ms: 600 };
    let (queue, accepted_ms) = ("quotes".to_owned(), WALL_CLOCK_MS);
    Arc::new(JobSpec {
        text: "x".into(),
        steps,
        queue,
        objective,
        accepted_ms,
        ..JobSpec::default()
    })
}

pub fn vm(name: &str, incarnation: u32) -> Arc<VmFacts> {
    let room = Room { cpu: 4_000, mem_mb: 10_000, gpu: 0 };
    Arc::new(VmFacts {
        id: VmIncarnation::new(format!("i-{name}-{incarnation}"), None),
        name: name.into(),
        pool: "desk".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: "hall-a".into(),
        rack: "r1".into(),
        labels: vec!["a".into(), "r1".into()],
        room,
        draining: false,
        unreadable: false,
        cold: false,
    })
}

/// Returns a pool with the named VMs listed and one report of each applied, so that tasks may start on them.
pub fn pool_with_vms(names: &[&str]) -> Pool {
    let mut pool = Pool::new();
    for name in names {
        let facts = vm(name, 1);
        pool.list_vm(facts.clone());
        pool.apply_report(&facts.id, &VmReport::default(), at(0));
    }
    pool
}

pub fn starts(orders: &[Order]) -> Vec<StartOrder> {
    let start = |order: &Order| match order {
        Order::Start(start) => Some(start.clone()),
        Order::Stop { .. } | Order::Throttle { .. } | Order::RequestAdvice(_) => None,
    };
    orders.iter().filter_map(start).collect()
}

pub fn stops(orders: &[Order]) -> Vec<RunId> {
    let stop = |order: &Order| match order {
        Order::Stop { run, .. } => Some(*run),
        Order::Start(_) | Order::Throttle { .. } | Order::RequestAdvice(_) => None,
    };
    orders.iter().filter_map(stop).collect()
}

/// Returns the only start.
pub fn only_start(starts: &[StartOrder]) -> StartOrder {
    assert_eq!(starts.len(), 1, "{starts:?}");
    starts[0].clone()
}

/// Plans, applies the result `Started` to every start, and returns the starts.
pub fn plan_and_start(pool: &mut Pool, now: Ms) -> Vec<StartOrder> {
    let started = starts(&pool.plan(at(now)));
    pool.take_records();
    for start in &started {
        pool.apply_start_result(&start.vm, start.run, StartResult::Started, at(now));
    }
    started
}

pub fn end(sequence: u64, run: RunId, kind: EndKind) -> RunEnd {
    RunEnd { sequence, run, kind, checkpoint: String::new() }
}

pub fn row(run: RunId, percent: u32) -> ReportedRun {
    ReportedRun { run, checkpoint: String::new(), percent, metric: None }
}

pub fn report(requested_at: Ms, running: Vec<ReportedRun>, ended: Vec<RunEnd>) -> VmReport {
    VmReport { requested_at, running, ended }
}

/// Ends a run through a report of its VM that lists no other run.
pub fn end_run(pool: &mut Pool, start: &StartOrder, kind: EndKind, now: Ms) {
    let ended = vec![end(now, start.run, kind)];
    pool.apply_report(&start.vm, &report(0, Vec::new(), ended), at(now));
}

/// Reports the given runs as running at full speed, each VM with all of its own.
pub fn report_all_running(pool: &mut Pool, started: &[StartOrder], now: Ms) {
    for start in started {
        let rows = started.iter().filter(|s| s.vm == start.vm).map(|s| row(s.run, 100)).collect();
        pool.apply_report(&start.vm, &report(now, rows, Vec::new()), at(now));
    }
}

pub const JOB: JobId = JobId(0x5c0e_7a21_d94b_36f8);
