//! Starts that wait while their VM is lost, with real nodes.
//!
//! Tasks that were done elsewhere were started once more, on a VM that had been out of reach until its lease was over. Two starts are
//! under way to a VM at once; others wait for their turn. When the lease was over all of them were given up and their tasks
//! started elsewhere, but those that waited learned nothing of it: each had its turn when the VM answered again, and took itself for new:
//!
//!     05:15:10.022 INFO start step=ordered run=JOB.0.0.10#1 vm=i-m-1-1 queue=r/quotes/ token=1 free_cpu=4000
//!     05:15:17.672 INFO run step=lost run=JOB.0.0.10#1 vm=i-m-1-1 reason=LeaseOver age_ms=7657
//!     05:15:17.875 INFO vm step=reachable vm=i-m-1-1 reachable=true
//!     05:15:17.881 INFO start step=ordered run=JOB.0.0.10#2 vm=i-m-2-1 queue=r/quotes/ token=1 free_cpu=4000
//!     05:15:18.083 INFO start step=had-its-turn run=JOB.0.0.10#1 vm=i-m-1-1 waited_ms=8060
//!     05:15:18.189 WARN run step=done-after-given-up run=JOB.0.0.10#1 vm=i-m-1-1 number=1
//!
//! The orders before them in the row had no answer when the VM was lost (`step=dropped`), which freed their turns 0.2 s after it
//! answered again.

mod system;

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::Value;
use system::{System, job, submit, until, until_state};
use thistle_platform::standin::{VmFake, bodies};

const ID: &str = "5c0e7a21d94b36f8";
/// VMs that are out of reach, each with a rhythm of its own.
const SILENT: u8 = 4;
/// Tasks that fill a VM of the fake: two starts are under way to it and as many wait.
const TASKS_A_VM: u32 = 4;

/// Returns a job of which each VM takes [`TASKS_A_VM`] tasks.
fn job_that_fills(vms: u32) -> Value {
    let step = serde_json::json!({
        "count": TASKS_A_VM * vms, "cpu": 4_000, "memMb": 256, "estimatedMs": 100,
    });
    bodies::job_of("ms=100", &[step])
}

/// Waits until a node takes a VM for lost, and lets the VM answer from then on.
async fn answers_once_lost(system: &System, vm: Arc<VmFake>) {
    let lost = format!("vm step=lost vm={} ", vm.id);
    let began = std::time::Instant::now();
    while !system.nodes[0].log().contains(&lost) {
        assert!(began.elapsed() < system::PATIENCE, "{lost}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    vm.set_silent(false);
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_waits_for_its_turn_ends_with_its_vms_lease() {
    let system = System::start(90, SILENT, 1).await;
    let node = &system.nodes[0];
    let first = "00000000000000b1";
    expect_that!(submit(node, first, &job(1, 10)).await.status, eq(200));
    until_state(node, first, "completed").await;
    let vms = system.platform.machines.vms();
    for vm in &vms {
        vm.set_silent(true);
        tokio::time::sleep(Duration::from_millis(70)).await;
    }
    let filling = job_that_fills(u32::from(SILENT));
    expect_that!(submit(node, ID, &filling).await.status, eq(200));
    let ordered = format!("start step=ordered run={ID}");
    let all = (TASKS_A_VM * u32::from(SILENT)) as usize;
    until("all starts were ordered", async || node.log().matches(&ordered).count() >= all).await;
    // There the tasks are done meanwhile.
    let ip = system::ip(90, 120);
    system.platform.machines.add("m-late", system::POOL, ip).await.expect("the VM starts");
    futures::future::join_all(vms.into_iter().map(|vm| answers_once_lost(&system, vm))).await;
    until_state(node, ID, "completed").await;
    // What still waits has its turn within this time.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.len(), eq(all));
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}
