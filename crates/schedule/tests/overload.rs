//! Which jobs start first while a pool's jobs cannot all finish in time.

mod common;

use common::{at, job, starts, step, vm};
use googletest::prelude::*;
use thistle_schedule::policy::{OverloadPolicy, Policy, TaskPolicy};
use thistle_schedule::{JobId, Pool, VmReport};

/// Submits jobs, each with a number of tasks of a second that take a whole VM, and returns the job whose task starts on the only
/// VM. All jobs are due after 2.1 s.
fn first(overload: OverloadPolicy, jobs: &[(u64, u32)]) -> JobId {
    let tasks = TaskPolicy { overload, ..TaskPolicy::default() };
    let mut pool = Pool::with_policy(Policy { tasks, ..Policy::default() });
    for &(id, count) in jobs {
        pool.submit(JobId(id), job(vec![step(count, 4_000)]), at(0));
    }
    let facts = vm("a", 1);
    pool.list_vm(facts.clone());
    pool.apply_report(&facts.id, &VmReport::default(), at(0));
    let started = starts(&pool.plan(at(0)));
    expect_that!(started, len(eq(1)));
    started[0].run.task.job
}

/// Guards against an overload in which the job that is due first takes all VMs, finishes late, and makes the jobs after it late,
/// and against large jobs that never run because there are always smaller ones.
#[gtest]
fn a_large_job_that_makes_others_late_goes_after_them_unless_it_keeps_its_place() {
    use OverloadPolicy::{DueFirst, LeastWork};
    expect_that!(first(DueFirst, &[(1, 8), (2, 1)]), eq(JobId(1)));
    expect_that!(first(LeastWork, &[(1, 8), (2, 1)]), eq(JobId(2)));
    expect_that!(first(LeastWork, &[(3, 8), (2, 1)]), eq(JobId(3)), "one in three keeps its place");
}
