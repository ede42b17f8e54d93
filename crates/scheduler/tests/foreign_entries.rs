//! Entries of VMs that another writer has written.
//!
//! An entry without an address, with a state that is not known or that is no JSON left what was known of that VM
//! as it was, and tasks went on being started there; one with an unknown state named a VM to use. Such an entry names
//! no VM to use, what runs on a VM whose entry became one goes on, and the entries beside it hold.

mod system;

use googletest::prelude::*;
use system::{POOL, System, job, submit, until, until_state};

const FIRST: &str = "5c0e7a21d94b36f8";
const SECOND: &str = "00000000000000b2";

/// Entries that name no VM to use, under IDs of their own.
fn foreign() -> Vec<(&'static str, String)> {
    let entry = |state: &str, address: &str| {
        format!(
            r#"{{"service":"{POOL}","address":{address},"zone":"hall-a","version":"v1","slots":8,
            "state":"{state}","capacity":{{"cpu":64000,"memMb":65536}},"labels":["a","r1-1"],"sequence":1}}"#
        )
    };
    vec![
        ("i-state", entry("resting", r#""127.20.62.101:9""#)),
        ("i-number", entry("ready", "7")),
        ("i-missing", format!(r#"{{"service":"{POOL}","state":"ready"}}"#)),
        ("i-bytes", "\u{1}\u{2}not json".to_owned()),
        ("i-list", "[]".to_owned()),
    ]
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_of_another_writer_name_no_vm_and_harm_no_other() {
    let system = System::start(62, 2, 1).await;
    let node = &system.nodes[0];
    expect_that!(submit(node, FIRST, &job(2, 3_000)).await.status, eq(200));
    until("it runs", async || system.starts_of(FIRST).len() == 2).await;
    let vms = system.platform.machines.vms();
    let (busy, idle) = match vms[0].running().is_empty() {
        true => (&vms[1], &vms[0]),
        false => (&vms[0], &vms[1]),
    };
    for (id, entry) in foreign() {
        system.platform.store.put(thistle_platform::listing::TOPIC, id, entry);
    }
    // The VM that runs tasks has an entry now that makes no sense.
    system.platform.store.put(
        thistle_platform::listing::TOPIC,
        &busy.id,
        r#"{"service":7,"state":null}"#,
    );
    let told = async || node.log().contains("step=unreadable");
    until("it is told", told).await;
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    expect_that!(submit(node, SECOND, &job(2, 100)).await.status, eq(200));
    until_state(node, SECOND, "completed").await;
    let there = |(task, _): &(String, u32)| task.starts_with(SECOND);
    expect_that!(busy.started().iter().filter(|s| there(s)).count(), eq(0));
    expect_that!(idle.started().iter().filter(|s| there(s)).count(), eq(2));
    // What ran where the entry became unreadable has gone on.
    until_state(node, FIRST, "completed").await;
    expect_that!(system.starts_of(FIRST).values().all(|&n| n == 1), eq(true));
    let lines = node.log().lines().filter(|line| line.contains("step=unreadable")).count();
    expect_that!(lines, eq(foreign().len() + 1), "one line for each entry");
    expect_that!(node.log().contains("i-state"), eq(true));
}
