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
use thistle_platform::standin::{Fault, VmFake, bodies};

const ID: &str = "5c0e7a21d94b36f8";
/// VMs that are out of reach, each with a rhythm of its own.
const SILENT: u8 = 4;
/// Where the pool's progress may be written.
const PROGRESS: [u32; 4] = [1, 3, 5, 7];
/// A VM that is silent for so long counts as lost: the lease, and until the next question to it has had no answer.
const LOST_WITHIN: Duration = Duration::from_millis(7_500);
/// Within this time a VM that answers again is asked again.
const ASKED_WITHIN: Duration = Duration::from_millis(1_000);
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
    let lost = format!("vm step=lost vm={} ", vm.incarnation());
    let began = std::time::Instant::now();
    while !system.nodes[0].log().contains(&lost) {
        assert!(began.elapsed() < system::PATIENCE, "{lost}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    vm.set_unresponsive(false);
}

/// Returns a system whose owner has VMs at hand.
async fn start(net: u8, vms: u8) -> System {
    let system = System::start(net, vms, 1).await;
    let first = "00000000000000b1";
    expect_that!(submit(&system.nodes[0], first, &job(1, 10)).await.status, eq(200));
    until_state(&system.nodes[0], first, "completed").await;
    system
}

/// Checks that each task of the job was started once.
async fn expect_each_started_once(system: &System, tasks: usize) {
    until_state(&system.nodes[0], ID, "completed").await;
    // What still waits has its turn within this time.
    tokio::time::sleep(ASKED_WITHIN).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.len(), eq(tasks));
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_waits_for_its_turn_ends_with_its_vms_lease() {
    let system = start(90, SILENT).await;
    let node = &system.nodes[0];
    let vms = system.platform.machines.vms();
    for vm in &vms {
        vm.set_unresponsive(true);
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
    expect_each_started_once(&system, all).await;
}

/// An order that an owner had decided while its VM was out of reach, unnoticed, was sent when the VM was back, seven seconds later: the owner waited
/// for the store until then. That the VM had been lost meanwhile stood in the owner's queue behind that order, and gave its task up as the order
/// went out:
///
///     05:16:32.487 INFO vm step=no-answer vm=i-m-0-1
///     05:16:37.975 INFO start step=ordered run=JOB.0.0.0#1 vm=i-m-0-1 queue=r/quotes/ token=1 free_cpu=12000
///     05:16:37.976 INFO run step=lost run=JOB.0.0.0#1 vm=i-m-0-1 reason=LeaseOver age_ms=8621
///     05:16:37.983 INFO start step=ordered run=JOB.0.0.0#2 vm=i-m-0-1 queue=r/quotes/ token=1 free_cpu=12000
///     05:16:38.091 WARN run step=done-after-given-up run=JOB.0.0.0#1 vm=i-m-0-1 number=3
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_that_was_decided_before_its_vm_was_lost_is_not_sent_after_it() {
    let system = start(91, 1).await;
    let vm = system.platform.machines.vms().remove(0);
    vm.set_unresponsive(true);
    let progress_fails = |fault| {
        for part in PROGRESS {
            system.platform.store.set_part_fault("jobs.desk", part, fault);
        }
    };
    progress_fails(Fault::Unresponsive);
    let filling = job_that_fills(1);
    expect_that!(submit(&system.nodes[0], ID, &filling).await.status, eq(200));
    tokio::time::sleep(LOST_WITHIN).await;
    vm.set_unresponsive(false);
    tokio::time::sleep(ASKED_WITHIN).await;
    progress_fails(Fault::None);
    expect_each_started_once(&system, TASKS_A_VM as usize).await;
}
