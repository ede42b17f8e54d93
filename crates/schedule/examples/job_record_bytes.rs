//! Prints what the records of one job take at the store, by its number of tasks and the size of their checkpoints: `cargo run --release
//! -p thistle-schedule --example job_record_bytes`.
//!
//! All tasks run on VMs of four racks, one of which crashes once a quarter of the tasks have ended. Records that the store does not take
//! are counted as refused, and end the run.

use std::sync::Arc;

use thistle_schedule::job_log::{Version, encode_progress};
use thistle_schedule::pool::{Now, StartOrder, StartResult};
use thistle_schedule::{
    EndKind, JobId, JobSpec, Ms, Objective, Phase, Pool, ReportedRun, Room, RunEnd, Step, VmFacts,
    VmIncarnation, VmLoss, VmReport,
};

const MAX_RECORD_BYTES: usize = 262_144;
const TASKS: [u32; 4] = [10, 1_000, 5_000, 21_000];
const CHECKPOINT_BYTES: [usize; 3] = [0, 160, 1_000];
const RACKS: u32 = 4;
/// The number of ends that an owner handles in one step.
const ENDS_PER_STEP: usize = 100;
const WALL_CLOCK_MS: u64 = 1_700_000_000_000;

fn at(ms: Ms) -> Now {
    Now { steady: ms, wall: WALL_CLOCK_MS + ms }
}

fn facts(rack: u32, incarnation: u32) -> Arc<VmFacts> {
    Arc::new(VmFacts {
        id: VmIncarnation::new(format!("i-{rack:010x}-{incarnation}"), Some(WALL_CLOCK_MS)),
        name: format!("m-{rack}").into(),
        pool: "desk".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: "hall-a".into(),
        rack: format!("r{rack}").into(),
        labels: Vec::new(),
        room: Room { cpu: 1_000_000, mem_mb: 1_000_000, gpu: 0 },
        draining: false,
        unreadable: false,
        cold: false,
    })
}

fn spec(tasks: u32) -> Arc<JobSpec> {
    let demand = Room { cpu: 10, mem_mb: 10, gpu: 0 };
    let step = Step { count: tasks, demand, checkpointing: true, ..Step::default() };
    let objective = Objective { priority: 0, max_attempts: 4, stretch: 1.6, target_ms: 600 };
    let steps = vec![step];
    Arc::new(JobSpec { steps, objective, accepted_ms: WALL_CLOCK_MS, ..JobSpec::default() })
}

fn report(rows: Vec<ReportedRun>, ended: Vec<RunEnd>, now: Ms) -> VmReport {
    VmReport { requested_at: now, running: rows, ended }
}

fn rows(running: &[StartOrder], vm: &VmIncarnation, checkpoint: &str) -> Vec<ReportedRun> {
    let on_vm = running.iter().filter(|start| start.vm == *vm);
    let row = |start: &StartOrder| ReportedRun {
        run: start.run,
        checkpoint: checkpoint.to_owned(),
        percent: 50,
        metric: None,
    };
    on_vm.map(row).collect()
}

/// What the records of one job have taken.
#[derive(Default)]
struct Written {
    records: usize,
    bytes: usize,
    longest: usize,
    refused: usize,
}

impl Written {
    /// Counts the records of a step, and returns whether the job has completed.
    fn add(&mut self, pool: &mut Pool) -> bool {
        let mut completed = false;
        for (_, progress) in pool.take_records() {
            let bytes = encode_progress(Version { token: 1, number: 1 }, &progress).len();
            self.records += 1;
            self.bytes += bytes;
            self.longest = self.longest.max(bytes);
            self.refused += usize::from(bytes > MAX_RECORD_BYTES);
            completed |= progress.phase == Phase::Completed;
        }
        completed
    }
}

fn run(tasks: u32, checkpoint_bytes: usize) -> Written {
    let checkpoint = "c".repeat(checkpoint_bytes);
    let mut pool = Pool::new().with_max_record_bytes(MAX_RECORD_BYTES);
    for rack in 0..RACKS {
        pool.list_vm(facts(rack, 1));
        pool.apply_report(&facts(rack, 1).id, &VmReport::default(), at(0));
    }
    pool.submit(JobId(1), spec(tasks), at(0));
    let (mut written, mut running, mut ended, mut crashed) =
        (Written::default(), Vec::new(), 0, false);
    for now in (1..).map(|i| i * 1_000) {
        let orders = pool.plan(at(now));
        if written.add(&mut pool) || written.refused > 0 {
            return written;
        }
        for order in orders {
            if let thistle_schedule::pool::Order::Start(start) = order {
                pool.apply_start_result(&start.vm, start.run, StartResult::Started, at(now + 1));
                running.push(start);
            }
        }
        if !crashed && ended >= tasks / 4 {
            crashed = true;
            let lost = facts(0, 1).id.clone();
            let listed = report(rows(&running, &lost, &checkpoint), vec![], now + 2);
            pool.apply_report(&lost, &listed, at(now + 3));
            pool.set_reachable(&lost, false, at(now + 4));
            pool.vm_lost(&lost, VmLoss::LeaseOver, at(now + 5));
            pool.unlist_vm(&lost);
            running.retain(|start| start.vm != lost);
            pool.list_vm(facts(0, 2));
            pool.apply_report(&facts(0, 2).id, &report(vec![], vec![], now + 6), at(now + 7));
            if written.add(&mut pool) || written.refused > 0 {
                return written;
            }
        }
        let due: Vec<StartOrder> = running.drain(..running.len().min(ENDS_PER_STEP)).collect();
        for start in due {
            ended += 1;
            let end = RunEnd {
                sequence: u64::from(ended),
                run: start.run,
                kind: EndKind::Done,
                checkpoint: String::new(),
            };
            let listed = report(rows(&running, &start.vm, &checkpoint), vec![end], now + 10);
            pool.apply_report(&start.vm, &listed, at(now + 20));
        }
    }
    written
}

fn main() {
    println!("| tasks | checkpoint | records | bytes a task | longest record | refused |");
    println!("|---|---|---|---|---|---|");
    for tasks in TASKS {
        for checkpoint_bytes in CHECKPOINT_BYTES {
            let Written { records, bytes, longest, refused } = run(tasks, checkpoint_bytes);
            let per_task = bytes / tasks as usize;
            println!(
                "| {tasks} | {checkpoint_bytes} | {records} | {per_task} | {longest} | {refused} |"
            );
        }
    }
}
