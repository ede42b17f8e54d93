//! The sample files are valid, and invalid settings are rejected with the key and a remedy.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

use googletest::prelude::*;
use thistle_model::{Template, Workspace};
use thistle_settings::load::parse;
use thistle_settings::{
    Checked, EntrySettings, SchedulerSettings, StandinSettings, StewardSettings, load,
};

fn samples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples")
}

fn sample(name: &str) -> String {
    std::fs::read_to_string(samples().join(name)).unwrap()
}

/// Loads the sample steward settings with `from` replaced by `to`; returns the error.
fn load_error(from: &str, to: &str) -> String {
    load_error_of::<StewardSettings>("steward.yaml", from, to)
}

/// Loads the sample settings `name` with `from` replaced by `to`; returns the error.
fn load_error_of<T: Checked + std::fmt::Debug>(name: &str, from: &str, to: &str) -> String {
    let text = sample(name);
    assert!(text.contains(from), "the sample has no '{from}'");
    // Tests run in parallel in one process, so each call uses its own file.
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let file = format!("thistle-settings-{}-{number}.yaml", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text.replace(from, to)).unwrap();
    let result = load::<T>(&path);
    std::fs::remove_file(&path).unwrap();
    result.unwrap_err().to_string()
}

#[gtest]
fn samples_of_all_programs_are_valid() {
    expect_that!(load::<EntrySettings>(&samples().join("entry.yaml")), ok(anything()));
    expect_that!(load::<StewardSettings>(&samples().join("steward.yaml")), ok(anything()));
    expect_that!(load::<StandinSettings>(&samples().join("standin.yaml")), ok(anything()));
    expect_that!(load::<SchedulerSettings>(&samples().join("scheduler.yaml")), ok(anything()));
    expect_that!(load::<StewardSettings>(&samples().join("budnet/steward.yaml")), ok(anything()));
    let listo = samples().join("trasteo-listo/steward.yaml");
    expect_that!(load::<StewardSettings>(&listo), ok(anything()));
}

#[gtest]
fn samples_of_both_deployments_are_valid() {
    for dir in ["budnet", "trasteo-listo", "demo"] {
        for entry in std::fs::read_dir(samples().join(dir)).unwrap() {
            let name = entry.unwrap().file_name().into_string().unwrap();
            let text = sample(&format!("{dir}/{name}"));
            if name.starts_with("template-") {
                let template: Template = parse(&text).unwrap();
                expect_that!(template.check(), ok(anything()), "{dir}/{name}");
            } else if name.starts_with("workspace-") {
                let workspace: Workspace = parse(&text).unwrap();
                expect_that!(workspace.check(), ok(anything()), "{dir}/{name}");
            }
        }
    }
}

#[gtest]
fn unknown_key_is_rejected_with_its_line() {
    let e = load_error("fence: 4s", "fence: 4s\nfences: 5s");
    expect_that!(e, contains_substring("fences"));
    expect_that!(e, contains_substring("line"));
}

#[gtest]
fn span_without_unit_is_rejected() {
    let e = load_error("fence: 4s", "fence: 4");
    expect_that!(e, contains_substring("write a whole number and a unit"));
}

#[gtest]
fn fence_shorter_than_three_heartbeats_is_rejected() {
    let e = load_error("fence: 4s", "fence: 2s");
    expect_that!(e, contains_substring("key 'fence'"));
    expect_that!(e, contains_substring("at least three heartbeats, 3s"));
}

#[gtest]
fn address_used_twice_is_rejected() {
    let e = load_error("link_listen: 127.0.1.1:7002", "link_listen: 127.0.1.1:7001");
    expect_that!(e, contains_substring("key 'link_listen': is the same as 'peer_listen'"));
}

#[gtest]
fn missing_address_is_rejected() {
    let e = load_error("log_service: 127.0.0.10:7100\n", "");
    expect_that!(e, contains_substring("log_service"));
}

#[gtest]
fn scheduler_settings_are_checked_and_errors_name_a_remedy() {
    let load_error = |from, to| load_error_of::<SchedulerSettings>("scheduler.yaml", from, to);
    expect_that!(load_error("stop_grace: 6s", "stop_grace: 0s"), contains_substring("stop_grace"));
    let twice = load_error("127.0.1.1:8081", "127.0.1.1:8080");
    expect_that!(twice, contains_substring("use another port for each listener"));
    expect_that!(load_error("store: 127", "stor: 127"), contains_substring("stor"));
    expect_that!(
        load_error("name: frontend-hal-a-1", "name: ''"),
        contains_substring("key 'name'")
    );
    let too_full = load_error("fill_percent: 80", "fill_percent: 101");
    expect_that!(too_full, contains_substring("set it between 10 and 100"));
    let unknown = load_error("late_last: true", "late_lasts: true");
    expect_that!(unknown, contains_substring("late_lasts"));
}
