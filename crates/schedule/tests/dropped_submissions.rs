//! Jobs whose submission is dropped or missing in one partition while it may be in another.
//!
//! A settled job must not run again. It does if its progress is forgotten when its submission is dropped in one partition but
//! is still in the other, or if a node that has not read for a while only adds the newest records to the jobs that it knows.

mod common;

use std::collections::HashSet;

use common::{JOB, job, step};
use googletest::prelude::*;
use thistle_schedule::job_log::{Version, encode, progress_key, submit_key};
use thistle_schedule::{JobLog, LogChange, Phase, Progress};

const FIRST: u32 = 0;
const FALLBACK: u32 = 2;

fn apply_submission(log: &mut JobLog, partition: u32) -> Option<LogChange> {
    let spec = encode(job(vec![step(1, 500)]).as_ref());
    log.apply_from(partition, &submit_key(JOB), Some(&spec)).expect("it can be read")
}

fn apply_completion(log: &mut JobLog) {
    let progress = Progress { phase: Phase::Completed, ..Progress::default() };
    let record = encode(&(Version { token: 1, number: 1 }, progress));
    expect_that!(log.apply(&progress_key(JOB), Some(&record)), ok(none()));
}

fn phase(log: &JobLog) -> Option<Phase> {
    log.get(JOB).map(|entry| entry.progress.phase)
}

#[gtest]
fn a_job_is_known_until_its_submission_is_dropped_in_every_partition() {
    let mut log = JobLog::default();
    apply_submission(&mut log, FIRST);
    apply_submission(&mut log, FALLBACK);
    apply_completion(&mut log);
    for partition in [FIRST, FALLBACK] {
        expect_that!(phase(&log), some(eq(Phase::Completed)));
        expect_that!(log.apply_from(partition, &submit_key(JOB), None), ok(none()));
    }
    expect_that!(phase(&log), none());
}

#[gtest]
fn a_job_missing_from_the_newest_records_is_hidden_and_returns_with_its_progress() {
    let mut log = JobLog::default();
    apply_submission(&mut log, FIRST);
    apply_completion(&mut log);
    log.record_reload(FALLBACK, &HashSet::new());
    expect_that!(phase(&log), some(eq(Phase::Completed)), "never in the fallback partition");
    log.record_reload(FIRST, &HashSet::new());
    expect_that!(phase(&log), none());
    expect_that!(log.iter().count(), eq(0));
    log.record_reload(FALLBACK, &HashSet::new());
    expect_that!(apply_submission(&mut log, FIRST), some(eq(LogChange::Submitted(JOB))));
    expect_that!(phase(&log), some(eq(Phase::Completed)));
}

#[gtest]
fn a_job_missing_from_the_newest_records_twice_is_removed() {
    let mut log = JobLog::default();
    apply_submission(&mut log, FIRST);
    log.record_reload(FIRST, &HashSet::from([JOB]));
    expect_that!(log.len(), eq(1));
    log.record_reload(FIRST, &HashSet::new());
    log.record_reload(FIRST, &HashSet::new());
    expect_that!(log.len(), eq(0));
}

/// Guards against a settled job that runs again: a new owner reads several partitions at once, and reads that the fallback
/// partition has dropped the job before it has read the first one, which still holds it.
#[gtest]
fn progress_outlives_a_drop_that_is_read_before_the_partition_that_still_holds_the_job() {
    for is_in_fallback in [false, true] {
        let mut log = JobLog::default();
        apply_completion(&mut log);
        log.record_reload(FALLBACK, &HashSet::from_iter(is_in_fallback.then_some(JOB)));
        if is_in_fallback {
            apply_submission(&mut log, FALLBACK);
        }
        expect_that!(log.apply_from(FALLBACK, &submit_key(JOB), None), ok(none()));
        log.record_reload(FIRST, &HashSet::from([JOB]));
        apply_submission(&mut log, FIRST);
        expect_that!(phase(&log), some(eq(Phase::Completed)), "{is_in_fallback}");
    }
}
