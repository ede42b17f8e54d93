//! The fleet's record with thousands of VMs, one row for each, with real nodes and a store that enforces its size limits.
//!
//! No order goes out before its record is written. If the record were one value for all VMs, tens of thousands of VMs would
//! outgrow the 262,144 bytes that the store accepts; it would refuse every append with status 400, and the fleet's owner
//! would give no order.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::bodies;

/// The number of a wave's VMs that the machine service does not know. Two such waves exceed the size limit of one record.
const UNKNOWN_VMS: usize = 2_500;

fn wave_vms(wave: u64, known: &[&str]) -> Vec<String> {
    let unknown = (0..UNKNOWN_VMS).map(|i| format!("m-gone-{wave}-{i:060}"));
    known.iter().map(|name| (*name).to_owned()).chain(unknown).collect()
}

fn fleet_owner(system: &System) -> Option<usize> {
    let claim = system.platform.store.newest("control", 0, "owner/#fleet")?;
    let claim: serde_json::Value = serde_json::from_slice(&claim).ok()?;
    system.nodes.iter().position(|n| claim["owner"]["name"] == n.name.as_str())
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waves_are_maintained_however_many_vms_the_fleet_record_holds() {
    maintain_two_waves(205, "policy: { moves: { pipelined: false } }\n").await;
}

/// The appends of a pipelined owner, and its reports of completed waves, run beside its decisions.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pipelined_owner_maintains_waves_however_many_vms_the_record_holds() {
    maintain_two_waves(141, "policy: { moves: { pipelined: true } }\n").await;
}

async fn maintain_two_waves(net: u8, settings: &str) {
    let mut system = System::start_with_settings(net, 4, 2, settings).await;
    let machines = system.platform.machines.clone();
    for (wave, known) in [(1, ["m-0", "m-1"]), (2, ["m-2", "m-3"])] {
        let request = bodies::wave(wave, &wave_vms(wave, &known), 1);
        system.platform.store.put("op", &format!("wave/{wave}"), request);
    }
    wait_until("a VM is maintained", async || machines.maintained(1) > 0).await;
    // The next owner reads the rows and continues from the state recorded there.
    let owner = fleet_owner(&system).expect("an owner");
    system.nodes[owner].kill();
    for wave in [1, 2] {
        wait_until("the wave's VMs are maintained", async || machines.maintained(wave) == 2).await;
        let reported = async || {
            let status = system.platform.store.newest("status", 0, &format!("wave/{wave}"));
            status.is_some_and(|value| String::from_utf8_lossy(&value).contains("completed"))
        };
        wait_until("the wave is reported as completed", reported).await;
    }
    let remaining = &system.nodes[1 - owner];
    expect_that!(submit(remaining, "00000000000000aa", &job(2, 50)).await.status, eq(200));
    wait_until_state(remaining, "00000000000000aa", "completed").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let rows = system.platform.store.keys("control", 2);
    expect_that!(rows.iter().filter(|key| key.contains("gone")).count(), eq(0), "rows are dropped");
}
