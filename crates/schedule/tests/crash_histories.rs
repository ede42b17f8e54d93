//! Random histories of a pool in which some jobs have a task that crashes its VMs, while other VMs crash at random,
//! racks fail, VMs are cut off and keep running, VMs leave, and owners are replaced. No task that crashes its VMs may be
//! started more than twice after its third crash, and no other job may fail.

mod common;
mod histories;

use histories::{History, HistoryResults, Setting};

const HISTORIES: u64 = 8;

fn run_histories(setting: Setting) -> HistoryResults {
    let seeds = if std::env::var_os("THISTLE_LONG_RUN").is_some() { 1_000 } else { HISTORIES };
    let mut sum = HistoryResults::default();
    for seed in 0..seeds {
        let results = History::new(seed, setting).run();
        assert_eq!(results.started_too_often, 0, "seed {seed} {setting:?}");
        // A suspect that shares its VM may be affected by an unrelated crash, which is why suspects are kept
        // apart.
        assert!(results.failed_wrongly == 0 || !setting.suspects_apart, "seed {seed} {setting:?}");
        sum.add(results);
    }
    println!("{setting:?} {seeds} histories: {sum:?}");
    sum
}

#[test]
fn faulty_tasks_are_abandoned_and_other_jobs_settle() {
    for faulty_percent in [0, 3, 20] {
        let results = run_histories(Setting { faulty_percent, suspects_apart: true });
        assert!(results.unfinished == 0, "{results:?}");
    }
}

#[test]
fn keeping_suspects_apart_reduces_the_lost_work_of_other_jobs() {
    let apart = run_histories(Setting { faulty_percent: 20, suspects_apart: true });
    let mixed = run_histories(Setting { faulty_percent: 20, suspects_apart: false });
    assert!(apart.lost_work_of_others < mixed.lost_work_of_others, "{apart:?} {mixed:?}");
}
