//! Records of jobs that are read in any order: what is settled or done stays so.
//!
//! The platform keeps the order within a partition and none between partitions, keeps the newest record of each key for good, and may
//! have dropped all others when a node reads on. A submission may stand in two partitions, and so may progress.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{JOB, WALL, at, end_run, job, plan_and_start, pool_with, report, starts, step};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use thistle_schedule::job_log::{
    JobEntry, Version, cancel_key, encode_cancel, encode_progress, encode_spec, progress_key,
    submit_key,
};
use thistle_schedule::pool::Now;
use thistle_schedule::progress::{TaskPlacement, TaskRecord};
use thistle_schedule::{
    Caller, EndKind, JobLog, JobSpec, LogChange, Phase, Pool, Progress, Repeats,
};

const SEEDS: u64 = 400;
const SUBMISSIONS: usize = 0;
const PROGRESS: usize = 1;
const SPARE: usize = 2;
const SPARE_PROGRESS: usize = 3;

type Record = (String, Option<Vec<u8>>);

fn submission() -> Record {
    (submit_key(JOB), Some(encode_spec(&job(vec![step(4, 500)]))))
}

fn cancel() -> Record {
    let by = Caller { queue: "quotes".into(), workspace: None };
    (cancel_key(JOB), Some(encode_cancel(&by)))
}

fn progress(version: Version, progress: &Progress) -> Record {
    (progress_key(JOB), Some(encode_progress(version, progress)))
}

fn settled() -> Progress {
    Progress { phase: Phase::Completed, begun: true, settled_ms: 1, ..Progress::default() }
}

/// Returns the progress of an open job of which some tasks are done.
fn open(done: u32) -> Progress {
    let task = |index| TaskRecord {
        time: 0,
        step: 0,
        index,
        placement: if index < done {
            TaskPlacement::Done
        } else {
            TaskPlacement::On("i-a-1".to_owned())
        },
        attempt: 1,
        failures: 0,
        checkpoint: String::new(),
    };
    Progress { begun: true, tasks: (0..4).map(task).collect(), ..Progress::default() }
}

/// The partitions of one pool, and a node that reads them.
#[derive(Default)]
struct Reader {
    parts: [Vec<Record>; 4],
    next: [usize; 4],
    log: JobLog,
}

impl Reader {
    fn apply(&mut self, (key, value): &Record) {
        let applied = self.log.apply(key, value.as_deref());
        assert!(applied.is_ok(), "{applied:?}");
    }

    /// Reads some records of a partition on, at times once more from before.
    fn read_on(&mut self, part: usize, rng: &mut StdRng) {
        let from = self.next[part] - rng.random_range(0..=self.next[part].min(1));
        let most = self.parts[part].len() - from;
        let records: Vec<Record> =
            self.parts[part].iter().skip(from).take(rng.random_range(0..=most)).cloned().collect();
        for record in &records {
            self.apply(record);
        }
        self.next[part] = self.next[part].max(from + records.len());
    }

    /// Reads the newest record of each key, as the history was dropped.
    fn read_newest(&mut self, part: usize) {
        let mut newest: BTreeMap<String, Record> = BTreeMap::new();
        for record in &self.parts[part] {
            match &record.1 {
                Some(_) => newest.insert(record.0.clone(), record.clone()),
                None => newest.remove(&record.0),
            };
        }
        for record in newest.values() {
            self.apply(record);
        }
        self.next[part] = self.parts[part].len();
    }

    fn read_any(&mut self, rng: &mut StdRng) {
        let part = rng.random_range(0..4);
        match rng.random_bool(0.2) {
            true => self.read_newest(part),
            false => self.read_on(part, rng),
        }
    }

    fn has_read_all(&self) -> bool {
        self.next.iter().zip(&self.parts).all(|(&next, part)| next == part.len())
    }

    fn entry(&self) -> JobEntry {
        self.log.get(JOB).cloned().unwrap_or_default()
    }
}

/// Writes a job as nodes and owners do: copies of its submission, a cancel at times, progress by one owner after the other, each record
/// to the first partition of progress or the spare one. Returns the newest progress.
fn write_job(parts: &mut [Vec<Record>; 4], rng: &mut StdRng) -> (Version, Progress) {
    let lanes: &[usize] = match rng.random_range(0..3) {
        0 => &[SUBMISSIONS],
        1 => &[SPARE],
        _ => &[SUBMISSIONS, SPARE],
    };
    for &lane in lanes {
        for _ in 0..rng.random_range(1..3) {
            parts[lane].push(submission());
        }
    }
    if rng.random_bool(0.3) {
        parts[lanes[0]].push(cancel());
    }
    let (mut version, mut newest) = (Version::default(), Progress::default());
    let owners = rng.random_range(1..4);
    for token in 1..=owners {
        for number in 1..=rng.random_range(1..4) {
            version = Version { token, number };
            newest = open(u32::try_from(token).unwrap_or(1));
            let part = if rng.random_bool(0.3) { SPARE_PROGRESS } else { PROGRESS };
            parts[part].push(progress(version, &newest));
        }
    }
    if rng.random_bool(0.5) {
        version.number += 1;
        newest = settled();
        parts[PROGRESS].push(progress(version, &newest));
    }
    (version, newest)
}

#[gtest]
fn records_read_in_any_order_tell_the_same() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut reader = Reader::default();
        let (version, newest) = write_job(&mut reader.parts, &mut rng);
        let cancelled = reader.parts.iter().flatten().any(|(key, _)| *key == cancel_key(JOB));
        let mut told = Version::default();
        while !reader.has_read_all() {
            reader.read_any(&mut rng);
            let entry = reader.entry();
            assert!(entry.version >= told, "seed {seed}: {:?} after {told:?}", entry.version);
            told = entry.version;
        }
        let entry = reader.entry();
        assert_eq!((entry.version, entry.progress), (version, newest), "seed {seed}");
        assert_eq!(entry.cancelled, cancelled, "seed {seed}");
        assert!(entry.spec.is_some(), "seed {seed}");
    }
}

/// Answers to the same read twice, and a read that began before others went on, bring records once more: none is news then.
#[gtest]
fn records_that_are_read_again_are_no_news() {
    let mut log = JobLog::default();
    let records = [submission(), cancel()];
    let apply = |log: &mut JobLog| -> Vec<LogChange> {
        let news = records.iter().map(|(key, value)| log.apply(key, value.as_deref()));
        news.filter_map(|news| news.ok().flatten()).collect()
    };
    expect_that!(apply(&mut log), len(eq(2)));
    expect_that!(apply(&mut log), is_empty());
}

/// Returns a job of one task, due once a second and five times.
fn repeating() -> Arc<JobSpec> {
    let repeats = Some(Repeats { count: 5, start_at_ms: WALL, interval_ms: 1_000 });
    Arc::new(JobSpec { repeats, ..job(vec![step(1, 3_000)]).as_ref().clone() })
}

/// Returns the repetitions that a pool starts and ends, one after the other.
fn times_run(pool: &mut Pool, from: u64) -> Vec<u32> {
    let mut times = Vec::new();
    for now in (0..40).map(|i| from + 300 * i) {
        for start in plan_and_start(pool, now) {
            times.push(start.run.task.time);
            end_run(pool, &start, EndKind::Done, now + 50);
        }
    }
    times
}

fn entry_of(pool: &mut Pool, spec: &Arc<JobSpec>) -> JobEntry {
    let records = pool.take_records();
    let progress = records.into_iter().rfind(|(id, _)| *id == JOB).map(|(_, p)| p);
    let (spec, progress) = (Some(spec.clone()), progress.unwrap_or_default());
    JobEntry { spec, progress, ..JobEntry::default() }
}

#[gtest]
fn a_repetition_that_is_done_is_not_opened_again_by_the_next_owner() {
    let spec = repeating();
    let mut before = pool_with(&["a"]);
    before.submit(JOB, spec.clone(), at(0));
    let first = plan_and_start(&mut before, 10);
    before.plan(at(2_500));
    end_run(&mut before, &first[0], EndKind::Done, 2_600);
    let second = starts(&before.plan(at(2_700)));
    expect_that!(second[0].run.task.time, eq(1));
    let entry = entry_of(&mut before, &spec);
    let mut after = pool_with(&["a"]);
    after.adopt(JOB, &entry, at(2_800));
    after.apply_report(&second[0].vm, &report(2_900, vec![], vec![]), at(2_900));
    let mut times = times_run(&mut after, 3_000);
    times.sort_unstable();
    expect_that!(times, not(contains(eq(&0))));
}

/// A repetition that waited beside a later one, which had been started, was never opened by the next owner: the clock of that one's node was
/// behind by more than the time between them, and the records of what waits for its first start name nothing. The job was told
/// as completed without it.
#[gtest]
fn a_repetition_that_waits_is_not_passed_over_by_an_owner_whose_clock_is_behind() {
    let started_later = TaskRecord {
        time: 3,
        step: 0,
        index: 0,
        placement: TaskPlacement::Waiting,
        attempt: 1,
        failures: 1,
        checkpoint: String::new(),
    };
    let tasks = vec![started_later];
    let progress = Progress { begun: true, done_times: vec![1], tasks, ..Progress::default() };
    let entry = JobEntry { spec: Some(repeating()), progress, ..JobEntry::default() };
    let mut after = pool_with(&["a"]);
    // Only the first repetition is due by this clock.
    after.adopt(JOB, &entry, Now { steady: 4_000, wall: WALL + 500 });
    let mut times = times_run(&mut after, 5_000);
    times.sort_unstable();
    expect_that!(times, eq(&vec![0, 2, 3, 4]));
}
