//! Which jobs go first, and what a pool tells of its need.

mod common;

use common::{JOB, WALL, at, job, pool_with, starts, step, vm};
use googletest::prelude::*;
use thistle_schedule::job_log::JobEntry;
use thistle_schedule::{JobId, JobSpec, Pool, VmReport};

/// Offers room for one task at a time to a job of time 0 and one that has just come, each of one
/// task of a second with 2.1 s to finish, and returns whose task starts.
fn first_of_late_and_new(now: u64) -> JobId {
    let mut pool = Pool::new();
    pool.submit(JOB, job(vec![step(1, 4_000)]), at(0));
    let new = JobSpec { accepted_ms: WALL + now, ..job(vec![step(1, 4_000)]).as_ref().clone() };
    pool.submit(JobId(2), new.into(), at(now));
    let facts = vm("a", 1);
    pool.list_vm(facts.clone());
    pool.report(&facts.id, &VmReport::default(), at(now));
    let started = starts(&pool.plan(at(now)));
    expect_that!(started, len(eq(1)));
    started[0].run.task.job
}

#[gtest]
fn a_late_job_waits_for_those_in_time_until_it_would_be_of_no_use_at_all() {
    expect_that!(first_of_late_and_new(1_000), eq(JOB), "both in time, the older is due first");
    expect_that!(first_of_late_and_new(3_000), eq(JobId(2)), "late, and has time yet");
    expect_that!(first_of_late_and_new(4_800), eq(JOB), "of use only if it starts now");
    expect_that!(first_of_late_and_new(6_000), eq(JobId(2)), "too late to be of use");
}

/// Hands in a job of one task of a second on one core at each of some times.
fn with_arrivals(times: &[u64]) -> Pool {
    let mut pool = pool_with(&["a"]);
    for (number, &time) in (1..).zip(times) {
        let spec = job(vec![step(1, 1_000)]);
        let spec = JobSpec { accepted_ms: WALL + time, ..spec.as_ref().clone() };
        let entry = JobEntry { spec: Some(spec.into()), ..JobEntry::default() };
        pool.adopt(JobId(number), &entry, at(time));
    }
    pool
}

#[gtest]
fn what_comes_is_told_by_the_last_arrivals_and_fades_when_none_follow() {
    let every_100_ms: Vec<u64> = (1..=8).map(|i| i * 100).collect();
    let pool = with_arrivals(&every_100_ms);
    let coming = |now| pool.load(at(now)).coming_cpu;
    expect_that!(coming(800), eq(10_000), "ten a second, each a second on one core");
    expect_that!(coming(1_500), eq(5_000));
    expect_that!(coming(7_100), eq(1_000));
    let few = with_arrivals(&every_100_ms[..7]);
    expect_that!(few.load(at(800)).coming_cpu, eq(0), "too few to tell a rate");
}

#[gtest]
fn jobs_that_a_new_owner_reads_are_no_arrivals() {
    let mut pool = pool_with(&["a"]);
    for number in 1..20 {
        let entry = JobEntry { spec: Some(job(vec![step(1, 1_000)])), ..JobEntry::default() };
        pool.adopt(JobId(number), &entry, at(5_000));
    }
    expect_that!(pool.load(at(5_000)).coming_cpu, eq(0));
}
