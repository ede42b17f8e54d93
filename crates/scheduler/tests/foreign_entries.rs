//! Entries of VMs that another writer has written.
//!
//! An entry that has no address, has an unknown state or is not JSON names no usable VM. If the previous entry of the VM stayed
//! in force, or an unknown state were accepted, tasks would be started there. Runs on a VM whose entry becomes unreadable go
//! on, and other entries stay in force.

mod system;

use googletest::prelude::*;
use system::{POOL, System, job, submit, wait_until, wait_until_state};

const FIRST: &str = "5c0e7a21d94b36f8";
const SECOND: &str = "00000000000000b2";

/// Returns entries that name no usable VM, each under its own ID.
fn foreign_entries() -> Vec<(&'static str, String)> {
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
async fn foreign_entries_name_no_vm_and_affect_no_other_entry() {
    let system = System::start(62, 2, 1).await;
    let node = &system.nodes[0];
    expect_that!(submit(node, FIRST, &job(2, 3_000)).await.status, eq(200));
    wait_until("the first job runs", async || system.starts_of(FIRST).len() == 2).await;
    let vms = system.platform.machines.vms();
    let (busy, idle) = match vms[0].running().is_empty() {
        true => (&vms[1], &vms[0]),
        false => (&vms[0], &vms[1]),
    };
    for (id, entry) in foreign_entries() {
        system.platform.store.put(thistle_platform::listing::TOPIC, id, entry);
    }
    // The entry of the VM that runs tasks becomes unreadable.
    system.platform.store.put(
        thistle_platform::listing::TOPIC,
        &busy.id,
        r#"{"service":7,"state":null}"#,
    );
    let is_logged = async || node.log().contains("step=unreadable");
    wait_until("an unreadable entry is logged", is_logged).await;
    tokio::time::sleep(std::time::Duration::from_millis(600)).await;
    expect_that!(submit(node, SECOND, &job(2, 100)).await.status, eq(200));
    wait_until_state(node, SECOND, "completed").await;
    let is_second = |(task, _): &(String, u32)| task.starts_with(SECOND);
    expect_that!(busy.started().iter().filter(|s| is_second(s)).count(), eq(0));
    expect_that!(idle.started().iter().filter(|s| is_second(s)).count(), eq(2));
    // The tasks on the VM whose entry became unreadable have gone on.
    wait_until_state(node, FIRST, "completed").await;
    expect_that!(system.starts_of(FIRST).values().all(|&n| n == 1), eq(true));
    let lines = node.log().lines().filter(|line| line.contains("step=unreadable")).count();
    expect_that!(lines, eq(foreign_entries().len() + 1), "one line for each entry");
    expect_that!(node.log().contains("i-state"), eq(true));
}
