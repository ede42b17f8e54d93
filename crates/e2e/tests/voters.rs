//! Loss, replacement and restart of voters, with real processes.

mod cluster;

use std::time::{Duration, Instant};

use cluster::{Cluster, is_unknown, unique_key, wait_until};
use googletest::prelude::*;

/// Returns a key that is a version 7 UUID with the current time.
fn timed_key() -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let hex = format!("{:012x}", now.as_millis());
    format!("{}-{}-7000-8000-{:012x}", &hex[..8], &hex[8..], std::process::id())
}

#[gtest]
fn lost_quorum_is_repaired_by_an_operator_and_old_keys_do_not_run_again() {
    let mut cluster = Cluster::start(3, 4);
    cluster.publish(3, 1);
    let (opaque, timed) = (unique_key("quorum"), timed_key());
    for k in [&opaque, &timed] {
        expect_that!(cluster.book(0, k, "").map(|a| a.status), some(eq(200)));
    }
    let before: Vec<String> = member_ids(&cluster);
    for i in 0..2 {
        cluster.stewards[i].kill();
        cluster.stewards[i] = cluster.start_steward(i);
    }
    wait_until("the new members have joined", || member_ids(&cluster).len() == 5);
    let present = live_ids(&cluster);
    for id in before.iter().filter(|id| !present.contains(id)) {
        cluster.thistle(&["member", "forget", id]);
    }
    let mut reset = vec!["member", "reset-voters"];
    reset.extend(present.iter().map(String::as_str));
    cluster.thistle_ok(&reset);
    wait_until("the entries serve", || {
        (0..3).all(|i| cluster.get(i, "").is_some_and(|a| a.status == 200))
    });
    for k in [&opaque, &timed] {
        let again = cluster.book(1, k, "").expect("an answer");
        expect_that!(is_unknown(&again), eq(true), "{again:?}");
        expect_that!(cluster.runs_of(k), eq(1));
    }
    wait_until("new bookings are accepted", || {
        cluster.book(1, &timed_key(), "").is_some_and(|a| a.status == 200)
    });
}

fn members(cluster: &Cluster) -> Vec<serde_json::Value> {
    let status = cluster.thistle_json(&["status"]).unwrap_or_default();
    status["members"].as_array().cloned().unwrap_or_default()
}

fn id_of(member: &serde_json::Value) -> String {
    format!("m{:016x}", member["id"].as_u64().unwrap())
}

fn member_ids(cluster: &Cluster) -> Vec<String> {
    members(cluster).iter().map(id_of).collect()
}

/// Waits until three members have recent contact, and returns their ids.
fn live_ids(cluster: &Cluster) -> Vec<String> {
    let mut live = Vec::new();
    wait_until("three members have recent contact", || {
        let has_contact = |m: &&serde_json::Value| m["entry_offset"].is_u64();
        live = members(cluster).iter().filter(has_contact).map(id_of).collect();
        live.len() == 3
    });
    live
}

/// Guards against a restarted steward that replies to claim requests for its predecessor: it has the same address, but
/// not the claims.
#[gtest]
fn restarted_voter_does_not_reply_for_its_predecessor() {
    let mut cluster = Cluster::start(3, 4);
    cluster.publish(3, 1);
    wait_until("all three vote", || cluster.is_settled());
    let key = unique_key("predecessor");
    // Only the first and the third voter hold the claim.
    cluster.stewards[1].signal("-STOP");
    expect_that!(cluster.book(0, &key, "").map(|a| a.status), some(eq(200)));
    // The claim request that waits at the frozen voter times out within this time.
    std::thread::sleep(Duration::from_millis(1_000));
    cluster.stewards[2].signal("-STOP");
    cluster.stewards[1].signal("-CONT");
    cluster.stewards[0].kill();
    cluster.stewards[0] = cluster.start_steward(0);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(8) {
        for entry in 0..2 {
            if let Some(again) = cluster.book(entry, &key, "") {
                expect_that!(cluster.runs_of(&key), eq(1), "{again:?}");
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    cluster.stewards[2].signal("-CONT");
}
