//! How a pool handles a VM that restarts under its ID.

mod common;

use std::sync::Arc;

use common::{JOB, at, end, job, pool_with_vms, report, row, starts, step, vm};
use googletest::prelude::*;
use thistle_schedule::job_log::JobEntry;
use thistle_schedule::pool::StartResult;
use thistle_schedule::progress::TaskPlacement;
use thistle_schedule::{EndKind, Ms, Phase, Pool, VmFacts, VmIncarnation, VmReport};

/// The time by which a task under which a VM has crashed is started again.
const AFTER_CRASH_PAUSE: Ms = 1_000;

/// Returns the facts of a VM whose incarnation started at the given time.
fn facts_started_at(name: &str, started_at: u64) -> Arc<VmFacts> {
    let facts = vm(name, 1);
    let id = VmIncarnation::new(facts.id.id().clone(), Some(started_at));
    Arc::new(VmFacts { id, ..VmFacts::clone(&facts) })
}

/// Returns a pool whose only VM has answered in its first incarnation, with that incarnation and the next one.
fn pool_of_one() -> (Pool, VmIncarnation, VmIncarnation) {
    let mut pool = Pool::new();
    let facts = facts_started_at("a", 1_000);
    pool.list_vm(facts.clone());
    pool.apply_report(&facts.id, &VmReport::default(), at(0));
    (pool, facts.id.clone(), facts_started_at("a", 2_000).id.clone())
}

#[gtest]
fn an_incarnation_is_parsed_as_it_is_printed_and_an_id_alone_has_no_start_time() {
    for incarnation in
        [VmIncarnation::new("i-7f3a", Some(1_796_283_012_152)), VmIncarnation::new("i-7f3a", None)]
    {
        expect_that!(VmIncarnation::from(incarnation.to_string().as_str()), eq(&incarnation));
    }
    expect_that!(VmIncarnation::from("i@x").id().as_ref(), eq("i@x"));
}

#[gtest]
fn a_run_that_was_listed_ends_with_the_incarnation_of_its_vm() {
    let (mut pool, previous, next) = pool_of_one();
    pool.submit(JOB, job(vec![step(1, 700)]), at(0));
    let run = starts(&pool.plan(at(10)))[0].run;
    pool.apply_start_result(&previous, run, StartResult::Started, at(20));
    pool.apply_report(&previous, &report(30, vec![row(run, 10)], vec![]), at(30));
    let lost = pool.vm_restarted(&previous, &next, at(40));
    expect_that!((lost.len(), lost[0].may_exist), eq((1, false)));
    pool.list_vm(facts_started_at("a", 2_000));
    pool.apply_report(&next, &VmReport::default(), at(50));
    expect_that!(starts(&pool.plan(at(AFTER_CRASH_PAUSE))).len(), eq(1));
}

/// The start had no answer, or no report has shown which incarnation carried it out.
#[gtest]
fn a_run_whose_start_may_still_arrive_waits_for_the_first_report_of_the_next_incarnation() {
    let answers =
        [None, Some(StartResult::Started), Some(StartResult::StartedWithCopies)].into_iter();
    for (answer, is_done) in answers.zip([true, false, true]) {
        let (mut pool, previous, next) = pool_of_one();
        pool.submit(JOB, job(vec![step(1, 700)]), at(0));
        let run = starts(&pool.plan(at(10)))[0].run;
        if let Some(answer) = answer {
            pool.apply_start_result(&previous, run, answer, at(20));
        }
        expect_that!(pool.vm_restarted(&previous, &next, at(40))[0].may_exist, eq(true));
        pool.list_vm(facts_started_at("a", 2_000));
        expect_that!(starts(&pool.plan(at(50))), is_empty());
        let ended = is_done.then(|| end(1, run, EndKind::Done));
        pool.apply_report(&next, &report(60, vec![], ended.into_iter().collect()), at(60));
        let again = starts(&pool.plan(at(AFTER_CRASH_PAUSE))).len();
        expect_that!(again, eq(usize::from(!is_done)), "{answer:?}");
    }
}

#[gtest]
fn a_record_that_names_a_vm_by_its_id_alone_applies_to_the_listed_incarnation() {
    let mut before = pool_with_vms(&["a"]);
    let spec = job(vec![step(1, 700)]);
    before.submit(JOB, spec.clone(), at(0));
    let run = starts(&before.plan(at(10)))[0].run;
    let progress = before.take_records().remove(0).1;
    expect_that!(progress.tasks[0].placement, eq(&TaskPlacement::On("i-a-1".to_owned())));

    let mut after = Pool::new();
    after.adopt(JOB, &JobEntry { spec: Some(spec), progress, ..JobEntry::default() }, at(100));
    let facts = facts_started_at("a", 1_000);
    after.list_vm(facts.clone());
    let ended = vec![end(7, run, EndKind::Done)];
    after.apply_report(&facts.id, &report(110, vec![], ended), at(110));
    after.plan(at(110));
    expect_that!(after.take_records()[0].1.phase, eq(Phase::Completed));
}

/// The clock of the VM was set back, so the incarnation in the record has the later start time.
#[gtest]
fn a_report_of_the_listed_incarnation_ends_the_one_in_a_record() {
    let (mut before, previous, _) = pool_of_one();
    let spec = job(vec![step(1, 700)]);
    before.submit(JOB, spec.clone(), at(0));
    let run = starts(&before.plan(at(10)))[0].run;
    let progress = before.take_records().remove(0).1;

    let mut after = Pool::new();
    after.adopt(JOB, &JobEntry { spec: Some(spec), progress, ..JobEntry::default() }, at(100));
    let facts = facts_started_at("a", 500);
    expect_that!(facts.id.is_other_incarnation_of(&previous), eq(true));
    after.list_vm(facts.clone());
    let ended = vec![end(1, run, EndKind::Done)];
    after.apply_report(&facts.id, &report(110, vec![], ended), at(110));
    expect_that!(starts(&after.plan(at(110))), is_empty());
    expect_that!(after.take_records()[0].1.phase, eq(Phase::Completed));
}

/// Guards against a task that runs twice because an entry names a later start of its VM and the entry is wrong: the VM has not
/// restarted, and its answers contain no start time that would show it.
#[gtest]
fn a_run_continues_if_only_an_entry_names_a_later_incarnation_and_the_vm_still_lists_the_run() {
    let (mut pool, previous, next) = pool_of_one();
    pool.submit(JOB, job(vec![step(1, 700)]), at(0));
    let run = starts(&pool.plan(at(10)))[0].run;
    pool.apply_start_result(&previous, run, StartResult::Started, at(20));
    pool.apply_report(&previous, &report(30, vec![row(run, 10)], vec![]), at(30));
    pool.list_vm(facts_started_at("a", 2_000));
    let lost = pool.vm_maybe_restarted(&previous, &next, at(40));
    expect_that!((lost.len(), lost[0].may_exist), eq((1, true)));
    expect_that!(starts(&pool.plan(at(50))), is_empty());
    pool.apply_report(&next, &report(60, vec![row(run, 20)], vec![]), at(60));
    expect_that!(starts(&pool.plan(at(AFTER_CRASH_PAUSE))), is_empty());
    expect_that!(pool.crash_history_of(run.task), none());
    pool.apply_report(&next, &report(1_100, vec![], vec![end(1, run, EndKind::Done)]), at(1_100));
    pool.plan(at(1_110));
    expect_that!(pool.take_records().pop().map(|(_, p)| p.phase), some(eq(Phase::Completed)));
}

/// Guards against a task that crashes its VMs and is never suspected, because the restart of each VM is known from its entry
/// only. The crash counts once the next incarnation has answered without the run.
#[gtest]
fn a_crash_known_from_an_entry_counts_once_the_next_incarnation_does_not_list_the_run() {
    let (mut pool, previous, next) = pool_of_one();
    pool.submit(JOB, job(vec![step(1, 700)]), at(0));
    let run = starts(&pool.plan(at(10)))[0].run;
    pool.apply_start_result(&previous, run, StartResult::Started, at(20));
    pool.apply_report(&previous, &report(30, vec![row(run, 10)], vec![]), at(30));
    pool.list_vm(facts_started_at("a", 2_000));
    pool.vm_maybe_restarted(&previous, &next, at(40));
    expect_that!(pool.crash_history_of(run.task), none());
    pool.apply_report(&next, &report(60, vec![], vec![]), at(60));
    expect_that!(pool.crash_history_of(run.task).map(|history| history.crashes), some(eq(1)));
    expect_that!(starts(&pool.plan(at(AFTER_CRASH_PAUSE))).len(), eq(1));
}
