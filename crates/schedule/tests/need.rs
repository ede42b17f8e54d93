//! The order in which jobs start, and the need that a pool reports.

mod common;

use common::{
    JOB, WALL_CLOCK_MS, at, job, lasting_step, plan_and_start, pool_with_vms, starts, step, vm,
};
use googletest::prelude::*;
use thistle_schedule::job_log::JobEntry;
use thistle_schedule::policy::{NeedPolicy, Policy};
use thistle_schedule::{JobId, JobSpec, Pool, Room, Step, VmReport};

/// Offers room for one task to a job accepted at time 0 and a job accepted at `now`, each with one task of a second
/// and 2.1 s to finish, and returns the job whose task starts.
fn first_of_late_and_new(now: u64) -> JobId {
    let mut pool = Pool::new();
    pool.submit(JOB, job(vec![step(1, 4_000)]), at(0));
    let new =
        JobSpec { accepted_ms: WALL_CLOCK_MS + now, ..job(vec![step(1, 4_000)]).as_ref().clone() };
    pool.submit(JobId(2), new.into(), at(now));
    let facts = vm("a", 1);
    pool.list_vm(facts.clone());
    pool.apply_report(&facts.id, &VmReport::default(), at(now));
    let started = starts(&pool.plan(at(now)));
    expect_that!(started, len(eq(1)));
    started[0].run.task.job
}

#[gtest]
fn a_late_job_waits_for_jobs_in_time_until_its_last_useful_moment() {
    expect_that!(first_of_late_and_new(1_000), eq(JOB), "both in time, the older is due first");
    expect_that!(first_of_late_and_new(3_000), eq(JobId(2)), "late, but it can still wait");
    expect_that!(first_of_late_and_new(4_800), eq(JOB), "of use only if it starts now");
    expect_that!(first_of_late_and_new(6_000), eq(JobId(2)), "too late to be of use");
}

/// Returns a pool in which a job with one task of a second on one core arrived at each of the given times.
fn with_arrivals(times: &[u64]) -> Pool {
    let mut pool = pool_with_vms(&["a"]);
    for (number, &time) in (1..).zip(times) {
        let spec = job(vec![step(1, 1_000)]);
        let spec = JobSpec { accepted_ms: WALL_CLOCK_MS + time, ..spec.as_ref().clone() };
        let entry = JobEntry { spec: Some(spec.into()), ..JobEntry::default() };
        pool.adopt(JobId(number), &entry, at(time));
    }
    pool
}

/// The lead time for which the tests query the demand.
const LEAD_TIME: u64 = 2_000;

fn arriving(pool: &Pool, now: u64) -> u64 {
    pool.demand(LEAD_TIME, at(now)).arriving
}

#[gtest]
fn the_expected_arrivals_follow_the_last_arrivals_and_decay_soon_when_none_follow() {
    let every_100_ms: Vec<u64> = (1..=8).map(|i| i * 100).collect();
    let pool = with_arrivals(&every_100_ms);
    expect_that!(arriving(&pool, 800), eq(10_000), "ten a second, each a second on one core");
    expect_that!(arriving(&pool, 1_500), le(5_000));
    expect_that!(arriving(&pool, 2_300), le(1_000), "none for 15 times as long as between two");
    let few = with_arrivals(&every_100_ms[..3]);
    expect_that!(arriving(&few, 300), eq(0), "too few for a rate");
}

#[gtest]
fn the_arrival_rate_is_not_limited_when_many_jobs_arrive_within_the_shortest_interval() {
    let every_10_ms: Vec<u64> = (1..=40).map(|i| i * 10).collect();
    let pool = with_arrivals(&every_10_ms);
    expect_that!(arriving(&pool, 400), ge(90_000), "a hundred a second, each a second on one core");
}

#[gtest]
fn arrivals_that_are_faster_than_those_before_them_are_distinguished_from_chance() {
    let arrival_times: Vec<u64> =
        [1_000, 3_000, 5_000].into_iter().chain((0..5).map(|i| 7_000 + i * 50)).collect();
    let pool = with_arrivals(&arrival_times);
    expect_that!(arriving(&pool, 7_200), ge(3_000), "seven a second at least, not one in a second");
}

#[gtest]
fn the_expected_arrivals_are_limited_to_those_within_the_lead_time() {
    let pool = with_arrivals(&[100, 200, 300, 400, 500, 600, 700, 800]);
    expect_that!(pool.demand(500, at(800)).arriving, eq(5_000), "five jobs in half a second");
}

#[gtest]
fn jobs_that_a_new_owner_reads_do_not_count_as_arrivals() {
    let mut pool = pool_with_vms(&["a"]);
    for number in 1..20 {
        let entry = JobEntry { spec: Some(job(vec![step(1, 1_000)])), ..JobEntry::default() };
        pool.adopt(JobId(number), &entry, at(5_000));
    }
    expect_that!(arriving(&pool, 5_000), eq(0));
}

#[gtest]
fn work_that_ends_before_vms_arrive_adds_no_need_but_the_steps_after_it_do() {
    let mut pool = pool_with_vms(&["a"]);
    let second = Step { depends_on: vec![0], estimated_ms: 1_500, ..step(3, 500) };
    pool.submit(JOB, job(vec![step(2, 1_000), second]), at(0));
    plan_and_start(&mut pool, 0);
    let soon = pool.demand(LEAD_TIME, at(10));
    expect_that!((soon.staying, soon.waiting, soon.following), eq((0, 0, 1_500)));
    let now = pool.demand(0, at(10));
    expect_that!((now.staying, now.waiting, now.following), eq((2_000, 0, 0)));
}

/// Guards against a pool that reports a need of 3,900 cores where 2,000 are used two seconds later. A third of that need is
/// work that starts and ends before the new VMs arrive.
#[gtest]
fn steps_that_start_and_end_before_vms_arrive_add_no_need() {
    let mut pool = pool_with_vms(&["a"]);
    let second = Step { depends_on: vec![0], estimated_ms: 500, ..step(3, 500) };
    let third = Step { depends_on: vec![1], ..step(1, 400) };
    pool.submit(JOB, job(vec![step(2, 1_000), second, third]), at(0));
    plan_and_start(&mut pool, 0);
    expect_that!(pool.demand(1_200, at(0)).following, eq(1_500), "the second, from 1.0 to 1.5 s");
    expect_that!(pool.demand(LEAD_TIME, at(0)).following, eq(400), "the third, from 1.5 to 2.5 s");
    expect_that!(pool.demand(2_600, at(0)).following, eq(0), "all have ended");
}

#[gtest]
fn lasting_tasks_add_need_and_jobs_that_are_too_late_to_be_useful_add_none() {
    let mut pool = pool_with_vms(&["a"]);
    pool.submit(JOB, job(vec![lasting_step(1, 1)]), at(0));
    plan_and_start(&mut pool, 0);
    expect_that!(pool.demand(LEAD_TIME, at(60_000)).in_time(), eq(1_000));
    let late = JobSpec { accepted_ms: WALL_CLOCK_MS, ..job(vec![step(8, 1_000)]).as_ref().clone() };
    pool.submit(JobId(2), late.into(), at(0));
    plan_and_start(&mut pool, 0);
    expect_that!(
        pool.demand(LEAD_TIME, at(0)).waiting,
        eq(5_000),
        "three have room next to the lasting one"
    );
    expect_that!(pool.demand(LEAD_TIME, at(60_000)).waiting, eq(0));
}

/// Guards against lasting tasks that fit on none of eleven VMs, half of whose room is in use, and wait for 12 s because the
/// CPU of the tasks alone requires no further VM.
#[gtest]
fn lasting_tasks_that_fit_on_no_vm_add_more_need_than_their_processor() {
    let mut pool = pool_with_vms(&["a"]);
    let large = Room { cpu: 500, mem_mb: 6_000, gpu: 0 };
    let step = Step { anti_affinity: 0, demand: large, ..lasting_step(3, 1) };
    pool.submit(JOB, job(vec![step]), at(0));
    expect_that!(plan_and_start(&mut pool, 0), len(eq(1)));
    expect_that!(pool.demand(LEAD_TIME, at(10)).waiting, eq(3_000), "two of 500 each");
}

/// Guards against a task that needs a whole VM of sixteen cores and is not started for 25 s in a pool that uses less than
/// half of its CPU. All VMs run something, so the task fits nowhere, and its demand is so small that the reported need stays
/// below the pool's size.
#[gtest]
fn a_task_that_fills_more_than_half_of_a_vm_adds_the_need_of_a_whole_vm() {
    let need = |cpu| {
        let mut pool = pool_with_vms(&["a"]);
        pool.submit(JOB, job(vec![step(1, 4_000)]), at(0));
        plan_and_start(&mut pool, 5);
        pool.submit(JobId(2), job(vec![step(3, cpu)]), at(0));
        pool.plan(at(10));
        pool.demand(0, at(10)).waiting
    };
    expect_that!(need(1_500), eq(4_500));
    expect_that!(need(2_000), eq(6_000), "two share a VM of four cores");
    expect_that!(need(2_100), eq(12_000), "none shares one");
    expect_that!(need(4_000), eq(12_000));
}

/// Guards against VMs that are ordered for waiting work which will be late when they arrive: such work counted as work in time
/// until it was late at present.
#[gtest]
fn waiting_work_that_will_be_late_when_vms_arrive_counts_as_late_if_only_work_in_time_counts() {
    for in_time_only in [false, true] {
        let need = NeedPolicy { in_time_only, ..NeedPolicy::default() };
        let mut pool = Pool::with_policy(Policy { need, ..Policy::default() });
        let facts = vm("a", 1);
        pool.list_vm(facts.clone());
        pool.apply_report(&facts.id, &VmReport::default(), at(0));
        pool.submit(JOB, job(vec![step(8, 1_000)]), at(0));
        expect_that!(plan_and_start(&mut pool, 0), len(eq(4)));
        let soon = pool.demand(1_000, at(0));
        expect_that!((soon.waiting, soon.late), eq((4_000, 0)), "due at 2,100");
        let later = pool.demand(LEAD_TIME, at(0));
        let expected = if in_time_only { (0, 4_000) } else { (4_000, 0) };
        expect_that!((later.waiting, later.late), eq(expected));
    }
}
