//! The fleet's record when tens of thousands of VMs stand in it, with real nodes and a store that keeps its bounds.
//!
//! What happened: an owner of the fleet gave no order for a whole day. Why: its record, one value for all VMs, had outgrown what the store takes
//! (262,144 bytes), so that no change could be written, and no order goes out unwritten. What settled it: an append to the record's
//! partition that was refused with status 400, 1,417 times on one day.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, until, until_state};
use thistle_platform::standin::bodies;

/// VMs of a wave that the machine service does not know: two such waves are more than one record may hold.
const UNKNOWN: usize = 2_500;

fn names(wave: u64, known: &[&str]) -> Vec<String> {
    let unknown = (0..UNKNOWN).map(|i| format!("m-gone-{wave}-{i:060}"));
    known.iter().map(|name| (*name).to_owned()).chain(unknown).collect()
}

fn fleet_owner(system: &System) -> Option<usize> {
    let claim = system.platform.store.newest("control", 0, "owner/#fleet")?;
    let claim: serde_json::Value = serde_json::from_slice(&claim).ok()?;
    system.nodes.iter().position(|n| claim["owner"]["name"] == n.name.as_str())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn vms_are_ordered_however_many_stand_in_the_record() {
    let mut system = System::start(205, 4, 2).await;
    let machines = system.platform.machines.clone();
    for (wave, known) in [(1, ["m-0", "m-1"]), (2, ["m-2", "m-3"])] {
        let request = bodies::wave(wave, &names(wave, &known), 1);
        system.platform.store.put("op", &format!("wave/{wave}"), request);
    }
    until("a VM is maintained", async || machines.maintained(1) > 0).await;
    // The next owner reads the rows, and goes on where they tell.
    let owner = fleet_owner(&system).expect("an owner");
    system.nodes[owner].kill();
    for wave in [1, 2] {
        until("the wave's VMs are maintained", async || machines.maintained(wave) == 2).await;
        let told = async || {
            let status = system.platform.store.newest("status", 0, &format!("wave/{wave}"));
            status.is_some_and(|value| String::from_utf8_lossy(&value).contains("completed"))
        };
        until("the wave is told to be completed", told).await;
    }
    let left = &system.nodes[1 - owner];
    expect_that!(submit(left, "00000000000000aa", &job(2, 50)).await.status, eq(200));
    until_state(left, "00000000000000aa", "completed").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let rows = system.platform.store.keys("control", 2);
    expect_that!(rows.iter().filter(|key| key.contains("gone")).count(), eq(0), "rows are dropped");
}
