//! A workspace that submits twenty times its share fills a pool, and the jobs of other workspaces still complete in time.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::{WALL_CLOCK_MS, at, end, job, pool_with_vms, report, starts, step, vm};
use thistle_schedule::policy::SharePolicy;
use thistle_schedule::pool::StartResult;
use thistle_schedule::{
    EndKind, JobId, JobSpec, Ms, Policy, Pool, Room, RunId, VmIncarnation, VmReport, Workspace,
};

/// The number of VMs, of four cores each.
const VMS: usize = 5;
/// The duration of a task; a job is due 2.1 s after its submission.
const TASK_MS: Ms = 1_000;
const DUE_AFTER_MS: Ms = 2_100;
/// Jobs are submitted until `SUBMIT_MS`, and the simulation ends at `END_MS`.
const SUBMIT_MS: Ms = 6_000;
const END_MS: Ms = 60_000;
const TICK_MS: Ms = 50;
/// The number of workspaces that keep to their share; each submits the two jobs a second that it may.
const OTHER_WORKSPACES: usize = 4;
const WEIGHT: u32 = 2;
/// The number of jobs a second of the workspace that exceeds its share: twenty times its share.
const BURST_JOBS_PER_S: u64 = 40;

struct Simulation {
    pool: Pool,
    /// Whether each job belongs to one of the other workspaces, and when it is due.
    due: BTreeMap<JobId, (bool, Ms)>,
    /// Running tasks, each with the time of its end.
    runs: Vec<(Ms, VmIncarnation, RunId)>,
    sequence: u64,
    /// The number of jobs of the other workspaces that ended in time.
    in_time: usize,
}

impl Simulation {
    fn new(shares: SharePolicy) -> Self {
        let mut policy = Policy::default();
        policy.tasks.shares = shares;
        let mut pool = Pool::with_policy(policy).with_name("desk".into());
        for i in 0..VMS {
            let facts = vm(&format!("m{i}"), 1);
            pool.list_vm(facts.clone());
            pool.apply_report(&facts.id, &VmReport::default(), at(0));
        }
        let names = (0..=OTHER_WORKSPACES).map(|i| format!("w{i}"));
        let workspace = |name: String| Workspace {
            name: name.into(),
            weight: WEIGHT,
            cap: Room::default(),
            limited_since: 0,
        };
        pool.set_workspaces(1, &names.map(workspace).collect::<Vec<_>>());
        // An owner starts nothing before it has read the lent caps; here no workspace has a cap.
        pool.set_lent_caps(1, std::iter::empty());
        Self { pool, due: BTreeMap::new(), runs: Vec::new(), sequence: 0, in_time: 0 }
    }

    fn submit(&mut self, workspace: usize, now: Ms) {
        let id = JobId(self.due.len() as u64 + 1);
        let template = job(vec![step(1, 1_000)]);
        let spec = JobSpec {
            workspace: format!("w{workspace}"),
            accepted_ms: WALL_CLOCK_MS + now,
            ..template.as_ref().clone()
        };
        self.pool.submit(id, Arc::new(spec), at(now));
        self.due.insert(id, (workspace > 0, now + DUE_AFTER_MS));
    }

    fn tick(&mut self, now: Ms) {
        let (ended_runs, remaining) =
            std::mem::take(&mut self.runs).into_iter().partition(|run| run.0 <= now);
        self.runs = remaining;
        let ended_runs: Vec<(Ms, VmIncarnation, RunId)> = ended_runs;
        let vms: BTreeSet<VmIncarnation> = ended_runs.iter().map(|run| run.1.clone()).collect();
        for vm in vms {
            let rows =
                self.runs.iter().filter(|r| r.1 == vm).map(|r| common::row(r.2, 50)).collect();
            let mut ended = Vec::new();
            for (_, _, run) in ended_runs.iter().filter(|r| r.1 == vm) {
                self.sequence += 1;
                ended.push(end(self.sequence, *run, EndKind::Done));
                let (is_of_others, due) = self.due[&run.task.job];
                self.in_time += usize::from(is_of_others && now <= due);
            }
            self.pool.apply_report(&vm, &report(now, rows, ended), at(now));
        }
        for start in starts(&self.pool.plan(at(now))) {
            self.pool.apply_start_result(&start.vm, start.run, StartResult::Started, at(now));
            self.runs.push((now + TASK_MS, start.vm, start.run));
        }
        self.pool.take_records();
    }
}

/// Returns the number of jobs of the other workspaces that ended in time.
fn jobs_in_time(shares: SharePolicy, burst: u64) -> usize {
    let mut simulation = Simulation::new(shares);
    for now in (0..END_MS).step_by(TICK_MS as usize) {
        if now < SUBMIT_MS {
            for other in 1..=OTHER_WORKSPACES {
                if now % 500 == 0 {
                    simulation.submit(other, now);
                }
            }
            for i in 0..burst {
                let due_ms = i * 1_000 / burst.max(1);
                if now % 1_000 <= due_ms && due_ms < now % 1_000 + TICK_MS {
                    simulation.submit(0, now);
                }
            }
        }
        simulation.tick(now);
    }
    simulation.in_time
}

#[test]
fn a_workspace_that_submits_twenty_times_its_share_delays_few_jobs_of_others() {
    // The VMs have room for twenty jobs at once, and the other workspaces submit eight a second.
    let baseline = jobs_in_time(SharePolicy::BeyondLast, 0);
    let during_burst = |shares| jobs_in_time(shares, BURST_JOBS_PER_S);
    for policy in [SharePolicy::DueFirst, SharePolicy::BeyondLast] {
        println!("{policy:?}: {} of {baseline} in time during the burst", during_burst(policy));
    }
    let in_time = during_burst(SharePolicy::BeyondLast);
    assert!(in_time * 20 >= baseline * 19, "{in_time} of {baseline}");
    assert!(during_burst(SharePolicy::DueFirst) < in_time);
}

#[test]
fn a_workspace_keeps_its_share_however_much_it_submits() {
    let mut pool = pool_with_vms(&["a"]).with_name("desk".into());
    let workspace =
        Workspace { name: "w".into(), weight: 1, cap: Room::default(), limited_since: 0 };
    pool.set_workspaces(1, &[workspace]);
    pool.set_lent_caps(1, std::iter::empty());
    let spec = JobSpec { workspace: "w".into(), ..job(vec![step(1, 500)]).as_ref().clone() };
    for id in 1..20 {
        pool.submit(JobId(id), Arc::new(spec.clone()), at(0));
    }
    // A workspace may submit the jobs of five seconds at once, and these start first.
    let first: Vec<JobId> = starts(&pool.plan(at(10))).iter().map(|s| s.run.task.job).collect();
    assert_eq!(first[..5], [1, 2, 3, 4, 5].map(JobId));
}
