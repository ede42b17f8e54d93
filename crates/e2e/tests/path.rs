//! The request path with real processes: publish, serve, race, drain under load, stop.

mod cluster;

use std::sync::atomic::{AtomicBool, Ordering};

use cluster::{Cluster, http, wait_until};
use googletest::prelude::*;

#[gtest]
fn request_is_served_end_to_end() {
    let cluster = Cluster::start(3, 12);
    cluster.publish(6, 2);
    for i in 0..3 {
        let answer = cluster.get(i, "").expect("an answer");
        expect_that!(answer.status, eq(200));
        expect_that!(answer.body, contains_substring("/quotes/price"));
    }
    let missing = http::get(&cluster.net.entry(0), "/w/nobody/quotes/x").unwrap();
    expect_that!(missing.status, eq(404));
    expect_that!(missing.body, contains_substring("not-run"));
    let wrong = http::get(&cluster.net.entry(0), "/elsewhere").unwrap();
    expect_that!(wrong.status, eq(400));
    expect_that!(wrong.body, contains_substring("/w/WORKSPACE/SERVICE"));
}

#[gtest]
fn loser_of_two_racing_publishers_gets_the_differences() {
    let cluster = Cluster::start(1, 4);
    let old = cluster.write("old.yaml", cluster::settings::TEMPLATE);
    cluster.thistle_ok(&["template", "publish", "quotes", &old]);
    let list = cluster.thistle_json(&["template", "list"]).unwrap();
    let base = list[0]["revision"].as_u64().unwrap().to_string();
    let changed = cluster::settings::TEMPLATE.replace("deadline_ms: 5000", "deadline_ms: 4000");
    let file = cluster.write("new.yaml", &changed);
    cluster.thistle_ok(&["template", "publish", "quotes", &file, "--base", &base]);
    let (code, text) = cluster.thistle(&["template", "publish", "quotes", &old, "--base", &base]);
    expect_that!(code, eq(5));
    expect_that!(text, contains_substring("deadline 4000 ms"));
    let bad = cluster.write("bad.yaml", "services:\n  - name: quotes\n    deadline: 5\n");
    let (code, text) = cluster.thistle(&["template", "check", &bad]);
    expect_that!(code, eq(2));
    expect_that!(text, contains_substring("line 3"));
}

#[gtest]
fn drain_and_wave_interrupt_no_request() {
    let cluster = Cluster::start(3, 12);
    cluster.publish(8, 2);
    let stop = AtomicBool::new(false);
    std::thread::scope(|s| {
        let load: Vec<_> = (0..6)
            .map(|i| {
                let (cluster, stop) = (&cluster, &stop);
                s.spawn(move || {
                    let mut sent = 0u32;
                    while !stop.load(Ordering::Relaxed) {
                        let answer = cluster.get(i % 3, "ms=30");
                        let status = answer.as_ref().map(|a| a.status);
                        assert_eq!(status, Some(200), "{answer:?}");
                        sent += 1;
                    }
                    sent
                })
            })
            .collect();
        let vm = cluster.vm_of("lunch");
        cluster.thistle_ok(&["vm", "drain", &vm]);
        wait_until("the VM is drained", || cluster.stage(&vm).starts_with("drained"));
        cluster.thistle_ok(&["vm", "back", &vm]);
        cluster.thistle_ok(&["wave", "start"]);
        wait_until("the wave is done", || {
            let status = cluster.thistle_json(&["wave", "progress"]);
            status.is_some_and(|w| w["left"] == 0 && w["under_way"] == 0)
        });
        stop.store(true, Ordering::Relaxed);
        let sent: u32 = load.into_iter().map(|t| t.join().unwrap()).sum();
        assert!(sent > 0);
    });
}

#[gtest]
fn graceful_shutdown_of_an_entry_finishes_requests_in_flight() {
    let mut cluster = Cluster::start(3, 8);
    cluster.publish(4, 1);
    let answer = std::thread::scope(|s| {
        let cluster_ref = &cluster;
        let slow = s.spawn(move || cluster_ref.get(0, "ms=1500"));
        std::thread::sleep(std::time::Duration::from_millis(300));
        cluster.entries[0].signal("-TERM");
        wait_until("the entry is not ready", || !cluster.is_ready(0));
        slow.join().unwrap()
    });
    expect_that!(answer.map(|a| a.status), some(eq(200)));
    expect_that!(cluster.entries[0].wait(), eq(true));
}

#[gtest]
fn invalid_settings_are_rejected_with_line_key_and_remedy() {
    let cluster = Cluster::start(1, 1);
    let text = std::fs::read_to_string(cluster.dir.join("steward-0.yaml")).unwrap();
    let bad = cluster.write("bad.yaml", &text.replace("fence: 1500ms", "fence: 1500"));
    let output = std::process::Command::new(cluster::program("thistle-steward"))
        .args(["check-settings", &bad])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(text, contains_substring("write a whole number and a unit"));
    expect_that!(text, contains_substring("line"));
}
