//! Failures with real processes: kills, freezes, outages, lost responses and faulty backend servers.

mod cluster;

use std::time::{Duration, Instant};

use cluster::{Cluster, Process, http, is_unknown, unique_key, wait_until};
use googletest::prelude::*;

fn is_not_run(answer: &http::Answer) -> bool {
    answer.status >= 400 && answer.contains_text("\"outcome\":\"not-run\"")
}

#[gtest]
fn frozen_entry_vm_is_fenced_and_sends_nothing_after_it_resumes() {
    let cluster = Cluster::start(3, 8);
    cluster.publish(6, 2);
    cluster.entries[2].signal("-STOP");
    cluster.stewards[2].signal("-STOP");
    let vm = cluster.vm_of("lunch");
    cluster.thistle(&["vm", "drain", &vm]);
    wait_until("the VM is drained without the frozen entry", || {
        cluster.stage(&vm).starts_with("drained")
    });
    let before = runs_at(&cluster, &vm);
    cluster.entries[2].signal("-CONT");
    // Its steward is still frozen, so the entry must not rely on its old view.
    for _ in 0..20 {
        if let Some(answer) = cluster.get(2, "") {
            expect_that!(is_not_run(&answer), eq(true), "{answer:?}");
        }
    }
    expect_that!(runs_at(&cluster, &vm), eq(before));
    cluster.stewards[2].signal("-CONT");
    wait_until("the resumed VM has rejoined", || {
        cluster.get(2, "").is_some_and(|a| a.status == 200)
    });
    for _ in 0..20 {
        cluster.get(2, "");
    }
    expect_that!(runs_at(&cluster, &vm), eq(before));
}

/// Returns the number of requests that a worker ran.
fn runs_at(cluster: &Cluster, vm: &str) -> u64 {
    let i: usize = vm.trim_start_matches("vm-").parse().unwrap();
    let counts = http::get(&cluster.net.worker(i), "/-/counts").unwrap();
    let counts: serde_json::Value = serde_json::from_str(&counts.body).unwrap();
    counts["runs"].as_u64().unwrap()
}

#[gtest]
fn booking_sent_through_all_entries_at_once_runs_once() {
    let cluster = Cluster::start(3, 6);
    cluster.publish(4, 1);
    for round in 0..10 {
        let key = unique_key(&format!("at-once-{round}"));
        std::thread::scope(|s| {
            for entry in 0..3 {
                let (cluster, key) = (&cluster, &key);
                s.spawn(move || cluster.book(entry, key, "ms=20"));
            }
        });
        expect_that!(cluster.runs_of(&key), le(1));
        let again = cluster.book(round % 3, &key, "ms=20").expect("an answer");
        expect_that!(again.status == 200 || !is_not_run(&again), eq(true), "{again:?}");
        expect_that!(cluster.runs_of(&key), le(1));
    }
}

#[gtest]
fn booking_of_a_killed_entry_is_not_run_again() {
    let mut cluster = Cluster::start(3, 6);
    cluster.publish(4, 1);
    let key = unique_key("killed");
    std::thread::scope(|s| {
        let (cluster_ref, key_ref) = (&cluster, &key);
        let first = s.spawn(move || cluster_ref.book(0, key_ref, "ms=800"));
        std::thread::sleep(Duration::from_millis(250));
        cluster.entries[0].signal("-KILL");
        expect_that!(first.join().unwrap().map(|a| a.status), none());
    });
    std::thread::sleep(Duration::from_millis(800));
    for entry in [1, 2, 1] {
        let again = cluster.book(entry, &key, "ms=800").expect("an answer");
        expect_that!(is_unknown(&again), eq(true), "{again:?}");
    }
    expect_that!(cluster.runs_of(&key), le(1));
    cluster.entries[0].kill();
}

#[gtest]
fn booking_of_a_frozen_entry_runs_once_when_it_resumes() {
    let cluster = Cluster::start(3, 6);
    cluster.publish(4, 1);
    for round in 0..5u64 {
        let key = unique_key(&format!("frozen-{round}"));
        std::thread::scope(|s| {
            let (cluster, key) = (&cluster, &key);
            let first = s.spawn(move || cluster.book(0, key, "ms=0"));
            std::thread::sleep(Duration::from_millis(round));
            cluster.entries[0].signal("-STOP");
            let second = cluster.book(1, key, "ms=0").expect("an answer");
            std::thread::sleep(Duration::from_millis(1_800));
            cluster.entries[0].signal("-CONT");
            let first = first.join().unwrap();
            let answered = [first.as_ref(), Some(&second)].into_iter().flatten();
            let refused = answered.filter(|a| is_not_run(a)).count();
            let runs = cluster.runs_of(key);
            assert!(runs <= 1, "{runs} runs, first {first:?}, second {second:?}");
            assert!(runs + refused as u64 <= 2, "first {first:?}, second {second:?}");
        });
    }
}

#[gtest]
fn faulty_backend_responses_are_never_returned_as_successful() {
    let cluster = Cluster::start(1, 1);
    cluster.publish(1, 0);
    let worker = cluster.net.worker(0);
    let cases = [
        ("truncate", "unknown"),
        ("mismatch", "unknown"),
        ("hangup", "unknown"),
        ("not-run", "not-run"),
        ("silent", "unknown"),
    ];
    for (mode, outcome) in cases {
        // The previous case may have excluded the VM; wait until it serves again.
        cluster.fault(&worker, "/-/fault?mode=none");
        wait_until("the VM serves", || cluster.get(0, "").is_some_and(|a| a.status == 200));
        cluster.fault(&worker, &format!("/-/fault?mode={mode}"));
        let path = "/w/lunch/bookings/new";
        let headers = [("Thistle-Deadline-Ms", "1000")];
        let answer = http::post(&cluster.net.entry(0), path, &headers, "crew").unwrap();
        expect_that!(answer.status, ge(400), "{mode}");
        let expected = format!("\"outcome\":\"{outcome}\"");
        expect_that!(answer.body, contains_substring(expected.as_str()), "{mode}");
        expect_that!(answer.head.to_lowercase(), contains_substring("retry-after"), "{mode}");
    }
}

/// Runs a backend server that sends each response twice, the second copy after a short delay.
fn answer_everything_twice(listener: &std::net::TcpListener) {
    use std::io::{BufRead, BufReader, Write};
    for stream in listener.incoming() {
        let Ok(mut stream) = stream else { return };
        std::thread::spawn(move || {
            let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
            let (mut path, mut id) = (String::new(), String::new());
            while let Some(Ok(line)) = lines.next() {
                if line.starts_with("GET ") {
                    path = line.split(' ').nth(1).unwrap_or_default().to_owned();
                } else if let Some(value) = line.strip_prefix("thistle-request-id: ") {
                    id = value.to_owned();
                } else if line.is_empty() {
                    let length = path.len();
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nThistle-Request-Id: {id}\r\nContent-Length: {length}\r\n\r\n{path}"
                    );
                    let _ = stream.write_all(answer.as_bytes());
                    std::thread::sleep(Duration::from_millis(2));
                    let _ = stream.write_all(answer.as_bytes());
                }
            }
        });
    }
}

#[gtest]
fn duplicate_and_late_responses_never_reach_another_request() {
    let mut cluster = Cluster::start(1, 1);
    cluster.publish(1, 0);
    cluster.workers[0].kill();
    let listener = std::net::TcpListener::bind(cluster.net.worker(0)).unwrap();
    std::thread::spawn(move || answer_everything_twice(&listener));
    let mut complete = 0;
    for n in 0..200 {
        let answer = cluster.get(0, &format!("n={n}")).expect("an answer");
        if answer.status == 200 {
            expect_that!(answer.body, eq(&format!("/quotes/price?n={n}")));
            complete += 1;
        }
        std::thread::sleep(Duration::from_millis(n % 4));
    }
    expect_that!(complete, gt(20));
}

#[gtest]
fn bookings_succeed_while_a_worker_is_dead() {
    let mut cluster = Cluster::start(1, 4);
    cluster.publish(3, 1);
    let vm = cluster.vm_of("lunch");
    let i: usize = vm.trim_start_matches("vm-").parse().unwrap();
    cluster.workers[i].kill();
    for n in 0..60 {
        let answer = cluster.book(0, &unique_key(&format!("dead-{n}")), "").expect("an answer");
        expect_that!(answer.status, eq(200), "{answer:?}");
    }
}

/// Sends a request through each entry and expects a successful response.
#[track_caller]
fn expect_all_entries_serve(cluster: &Cluster) {
    for i in 0..cluster.entries.len() {
        let answer = cluster.get(i, "").expect("an answer");
        expect_that!(answer.status, eq(200), "{answer:?}");
    }
}

#[gtest]
fn log_outage_stops_no_request_and_leaving_vms_get_no_new_work() {
    let cluster = Cluster::start(3, 8);
    cluster.publish(6, 2);
    cluster.fault(&cluster.net.log(), "/fault?mode=down");
    // Longer than the fence, so that the proof of membership comes from promises alone afterwards.
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(4) {
        expect_all_entries_serve(&cluster);
    }
    let vm = cluster.vm_of("lunch");
    cluster.fault(&cluster.net.vm_list(), &format!("/vms/{vm}/status?status=leaving"));
    wait_until("the leaving VM gets no more work", || {
        let before = runs_at(&cluster, &vm);
        (0..20).for_each(|_| expect_all_entries_serve(&cluster));
        runs_at(&cluster, &vm) == before
    });
    let settled = runs_at(&cluster, &vm);
    (0..40).for_each(|_| expect_all_entries_serve(&cluster));
    expect_that!(runs_at(&cluster, &vm), eq(settled));
    let (code, _) = cluster.thistle(&["wave", "start"]);
    expect_that!(code, eq(4));
    cluster.fault(&cluster.net.log(), "/fault?mode=up");
    wait_until("the log is read again", || {
        cluster.thistle_json(&["status"]).is_some_and(|s| s["log_up"] == true)
    });
    cluster.set_workspace("lunch", 5, 2);
}

#[gtest]
fn append_whose_response_is_lost_takes_effect_once() {
    let cluster = Cluster::start(3, 4);
    cluster.publish(3, 1);
    cluster.fault(&cluster.net.log(), "/fault?mode=lose-answers");
    cluster.set_workspace("lunch", 2, 1);
    cluster.set_workspace("lunch", 3, 1);
    let list = cluster.thistle_json(&["workspace", "list"]).unwrap();
    expect_that!(list[0]["workspace"]["vms"].as_u64(), some(eq(3)));
    wait_until("the pool is full again", || cluster.available("lunch") == 3);
}

#[gtest]
fn entry_vms_replaced_one_by_one_keep_claims_and_configuration() {
    let mut cluster = Cluster::start(3, 6);
    cluster.publish(4, 1);
    let keys: Vec<_> = (0..6).map(|n| unique_key(&format!("rolling-{n}"))).collect();
    for (n, key) in keys.iter().enumerate() {
        let answer = cluster.book(n % 3, key, "").expect("an answer");
        expect_that!(answer.status, eq(200), "{answer:?}");
    }
    wait_until("all three vote", || cluster.is_settled());
    for i in 0..3 {
        cluster.entries[i].kill();
        let dead = cluster.replace_steward(i);
        cluster.entries[i] = cluster.start_entry(i);
        wait_until("the new VM serves", || cluster.get(i, "").is_some_and(|a| a.status == 200));
        wait_until("the dead member is gone and the voters are settled", || {
            cluster.is_settled_without(dead)
        });
    }
    for (n, key) in keys.iter().enumerate() {
        let again = cluster.book((n + 1) % 3, key, "").expect("an answer");
        expect_that!(again.status == 200 || is_unknown(&again), eq(true), "{again:?}");
        expect_that!(cluster.runs_of(key), eq(1));
    }
}

#[gtest]
fn data_hall_lost_at_once_leaves_the_others_serving() {
    let mut cluster = Cluster::start(6, 12);
    cluster.publish(6, 2);
    let key = unique_key("hall");
    let first = cluster.book(1, &key, "").expect("an answer");
    expect_that!(first.status, eq(200));
    // Hall 0 has entries 0 and 3 and workers 0 to 3.
    for i in [0, 3] {
        cluster.entries[i].kill();
        cluster.stewards[i].kill();
    }
    for worker in &mut cluster.workers[0..4] {
        worker.kill();
    }
    for i in 0..4 {
        cluster.fault(&cluster.net.vm_list(), &format!("/vms/vm-{i}/status?status=gone"));
    }
    let serves = |i| cluster.get(i, "").is_some_and(|a| a.status == 200);
    for i in [1, 2, 4, 5] {
        wait_until("the entries that are left serve", || serves(i));
    }
    wait_until("the pool is full again", || cluster.available("lunch") == 6);
    let again = cluster.book(4, &key, "").expect("an answer");
    expect_that!(again.status, eq(200), "{again:?}");
    expect_that!(cluster.runs_of(&key), le(1));
}

#[gtest]
fn new_steward_starts_from_a_snapshot_when_the_log_has_expired() {
    let mut cluster = Cluster::start_with(3, 4, "keep_entries: 150\n", "snapshot_every: 100\n");
    cluster.publish(3, 1);
    for n in 0..180 {
        let vms = 2 + n % 2;
        let text = cluster::settings::workspace(vms, 1);
        let file = cluster.write("churn.yaml", &text);
        cluster.thistle_ok(&["workspace", "set", "lunch", &file]);
    }
    let counts = http::get(&cluster.net.log(), "/counts").unwrap();
    expect_that!(counts.body, contains_substring("\"end\":"));
    cluster.entries[1].kill();
    cluster.stewards[1].kill();
    cluster.stewards[1] = cluster.start_steward(1);
    cluster.entries[1] = cluster.start_entry(1);
    wait_until("the new VM serves", || cluster.get(1, "").is_some_and(|a| a.status == 200));
    let status = cluster.thistle_json(&["status"]).unwrap();
    expect_that!(status["digest_mismatches"].as_u64(), some(eq(0)));
}

#[gtest]
fn malformed_entries_are_skipped_by_all_stewards() {
    let cluster = Cluster::start(3, 3);
    let answer = http::post(&cluster.net.log(), "/log", &[], "{ nonsense").unwrap();
    expect_that!(answer.status, eq(200));
    cluster.publish(2, 1);
    let status = cluster.thistle_json(&["status"]).unwrap();
    expect_that!(status["malformed"].as_u64(), some(eq(1)));
}

#[gtest]
fn drains_of_a_rack_lost_during_a_wave_are_released() {
    let mut cluster = Cluster::start(3, 12);
    cluster.publish(8, 2);
    // Slow requests keep the wave's drains open.
    std::thread::scope(|s| {
        for _ in 0..6 {
            let cluster = &cluster;
            s.spawn(move || cluster.get(0, "ms=3000"));
        }
        std::thread::sleep(Duration::from_millis(200));
        cluster.thistle_ok(&["wave", "start"]);
        for i in 8..12 {
            cluster.fault(&cluster.net.vm_list(), &format!("/vms/vm-{i}/status?status=gone"));
        }
    });
    for worker in &mut cluster.workers[8..12] {
        Process::kill(worker);
    }
    wait_until("the wave is done despite the lost rack", || {
        let wave = cluster.thistle_json(&["wave", "progress"]);
        wave.is_some_and(|w| w["left"] == 0 && w["under_way"] == 0)
    });
    wait_until("the pool is full", || cluster.available("lunch") == 8);
}
