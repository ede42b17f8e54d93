//! Caps count runs of jobs that were settled before their pool changed its owner.

mod common;

use common::{at, job, pool_with_vms, report, row, starts, step, vm};
use googletest::prelude::*;
use thistle_schedule::job_log::JobEntry;
use thistle_schedule::quota::{LentCap, Share};
use thistle_schedule::{JobId, JobSpec, Pool, Room, Workspace};

const CAP: Room = Room { cpu: 1_000, mem_mb: 0, gpu: 0 };
const POOL: &str = "desk";

/// Returns a pool with a cap of two tasks for the workspace `lunch`, all of it lent to this pool.
fn pool_with_cap() -> Pool {
    let mut pool = pool_with_vms(&["a", "b"]).with_name(POOL.into());
    let name = "lunch".into();
    pool.set_workspaces(1, &[Workspace { name, weight: 100, cap: CAP, limited_since: 1 }]);
    let shares = vec![Share { pool: POOL.to_owned(), room: CAP, bound: CAP }];
    let lent = LentCap {
        workspace: "lunch".to_owned(),
        number: 1,
        version: 1,
        cap: CAP,
        shares,
        is_short: false,
    };
    pool.set_lent_caps(1, [lent].iter());
    pool
}

fn job_of_lunch() -> std::sync::Arc<JobSpec> {
    let spec = job(vec![step(2, 500)]);
    JobSpec { workspace: "lunch".into(), admitted_by: 1, ..spec.as_ref().clone() }.into()
}

/// A job is cancelled and its pool's owner replaced before the stops are carried out. The record of a settled job names no
/// runs, so the next owner must count the runs that VMs report. Otherwise the workspace gets twice its cap: with a cap of
/// 1,000 and 1,000 in use on VM a, two tasks of 500 each are ordered on VM b.
#[gtest]
fn runs_of_a_cancelled_job_that_are_still_reported_count_against_the_cap() {
    let (first, second) = (JobId(1), JobId(2));
    let mut before = pool_with_cap();
    before.submit(first, job_of_lunch(), at(0));
    let running = starts(&before.plan(at(10)));
    expect_that!(running, len(eq(2)));
    before.cancel(first, at(20));
    before.plan(at(20));
    let (_, progress) = before.take_records().pop().expect("the cancel is written");
    let entry =
        JobEntry { spec: Some(job_of_lunch()), cancelled: true, progress, ..JobEntry::default() };

    let mut after = pool_with_cap();
    after.adopt(first, &entry, at(100));
    let rows = running.iter().map(|start| row(start.run, 50)).collect();
    after.apply_report(&vm("a", 1).id, &report(110, rows, vec![]), at(110));
    after.submit(second, job_of_lunch(), at(120));
    expect_that!(
        starts(&after.plan(at(130))),
        is_empty(),
        "two tasks of its workspace run on VM a"
    );
}
