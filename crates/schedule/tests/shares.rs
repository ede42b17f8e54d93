//! One workspace sends twenty times its share to a pool that is full by it: the others are served as if it did not.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::{WALL, at, end, job, pool_with, report, starts, step, vm};
use thistle_schedule::policy::SharePolicy;
use thistle_schedule::pool::StartResult;
use thistle_schedule::{
    EndKind, JobId, JobSpec, Ms, Policy, Pool, Room, RunId, VmIncarnation, VmReport, Workspace,
};

/// VMs of four cores.
const VMS: usize = 5;
/// How long a task works; a job is due after 2.1 s.
const WORK_MS: Ms = 1_000;
const DUE_MS: Ms = 2_100;
/// How long jobs come, and until when they are waited for.
const SEND_MS: Ms = 6_000;
const END_MS: Ms = 60_000;
const TICK: Ms = 50;
/// Workspaces beside the one that sends too much; each may send two jobs a second, and does.
const OTHERS: usize = 4;
const WEIGHT: u32 = 2;
/// Jobs a second of the one that sends too much: twenty times its share.
const BURST: u64 = 40;

struct Play {
    pool: Pool,
    due: BTreeMap<JobId, (bool, Ms)>,
    runs: Vec<(Ms, VmIncarnation, RunId)>,
    sequence: u64,
    in_time: usize,
}

impl Play {
    fn new(shares: SharePolicy) -> Self {
        let mut policy = Policy::default();
        policy.tasks.shares = shares;
        let mut pool = Pool::with_policy(policy).with_name("desk".into());
        for i in 0..VMS {
            let facts = vm(&format!("m{i}"), 1);
            pool.list_vm(facts.clone());
            pool.apply_report(&facts.id, &VmReport::default(), at(0));
        }
        let names = (0..=OTHERS).map(|i| format!("w{i}"));
        let workspace = |name: String| Workspace {
            name: name.into(),
            weight: WEIGHT,
            cap: Room::default(),
            limited_since: 0,
        };
        pool.set_workspaces(1, &names.map(workspace).collect::<Vec<_>>());
        // An owner has read how caps are lent before it starts anything: nobody is limited.
        pool.set_lent_caps(1, std::iter::empty());
        Self { pool, due: BTreeMap::new(), runs: Vec::new(), sequence: 0, in_time: 0 }
    }

    fn submit(&mut self, workspace: usize, now: Ms) {
        let id = JobId(self.due.len() as u64 + 1);
        let one = job(vec![step(1, 1_000)]);
        let spec = JobSpec {
            workspace: format!("w{workspace}"),
            accepted_ms: WALL + now,
            ..one.as_ref().clone()
        };
        self.pool.submit(id, Arc::new(spec), at(now));
        self.due.insert(id, (workspace > 0, now + DUE_MS));
    }

    fn tick(&mut self, now: Ms) {
        let (over, left) = std::mem::take(&mut self.runs).into_iter().partition(|run| run.0 <= now);
        self.runs = left;
        let over: Vec<(Ms, VmIncarnation, RunId)> = over;
        let vms: BTreeSet<VmIncarnation> = over.iter().map(|run| run.1.clone()).collect();
        for vm in vms {
            let rows =
                self.runs.iter().filter(|r| r.1 == vm).map(|r| common::row(r.2, 50)).collect();
            let mut ended = Vec::new();
            for (_, _, run) in over.iter().filter(|r| r.1 == vm) {
                self.sequence += 1;
                ended.push(end(self.sequence, *run, EndKind::Done));
                let (counts, due) = self.due[&run.task.job];
                self.in_time += usize::from(counts && now <= due);
            }
            self.pool.apply_report(&vm, &report(now, rows, ended), at(now));
        }
        for start in starts(&self.pool.plan(at(now))) {
            self.pool.apply_start_result(&start.vm, start.run, StartResult::Started, at(now));
            self.runs.push((now + WORK_MS, start.vm, start.run));
        }
        self.pool.take_records();
    }
}

/// Returns how many jobs of the others were in time.
fn served(shares: SharePolicy, burst: u64) -> usize {
    let mut play = Play::new(shares);
    for now in (0..END_MS).step_by(TICK as usize) {
        if now < SEND_MS {
            for other in 1..=OTHERS {
                if now % 500 == 0 {
                    play.submit(other, now);
                }
            }
            for i in 0..burst {
                let at = i * 1_000 / burst.max(1);
                if now % 1_000 <= at && at < now % 1_000 + TICK {
                    play.submit(0, now);
                }
            }
        }
        play.tick(now);
    }
    play.in_time
}

#[test]
fn one_workspace_that_sends_twenty_times_its_share_costs_the_others_little() {
    // The VMs have room for twenty such jobs at once; eight a second come from the others.
    let calm = served(SharePolicy::BeyondLast, 0);
    let beside = |shares| served(shares, BURST);
    for way in [SharePolicy::DueFirst, SharePolicy::BeyondLast] {
        println!("{way:?}: {} of {calm} in time beside the burst", beside(way));
    }
    let kept = beside(SharePolicy::BeyondLast);
    assert!(kept * 20 >= calm * 19, "{kept} of {calm}");
    assert!(beside(SharePolicy::DueFirst) < kept);
}

#[test]
fn a_workspace_keeps_its_share_however_much_it_sends() {
    let mut pool = pool_with(&["a"]).with_name("desk".into());
    let workspace =
        Workspace { name: "w".into(), weight: 1, cap: Room::default(), limited_since: 0 };
    pool.set_workspaces(1, &[workspace]);
    pool.set_lent_caps(1, std::iter::empty());
    let spec = JobSpec { workspace: "w".into(), ..job(vec![step(1, 500)]).as_ref().clone() };
    for id in 1..20 {
        pool.submit(JobId(id), Arc::new(spec.clone()), at(0));
    }
    // Five seconds' worth may come at once, and those go first.
    let first: Vec<JobId> = starts(&pool.plan(at(10))).iter().map(|s| s.run.task.job).collect();
    assert_eq!(first[..5], [1, 2, 3, 4, 5].map(JobId));
}
