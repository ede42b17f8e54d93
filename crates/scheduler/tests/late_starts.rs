//! Starts that are still queued when their VM is lost, with real nodes.
//!
//! Two starts are in flight to a VM at once; further ones wait in its queue. When the VM's lease ends, all of them are
//! abandoned and their tasks are started elsewhere. A queued start that is not cancelled then goes out when the VM replies
//! again, and its task runs twice. The starts in flight had no reply when the VM was lost; they free their places 0.2 s after
//! it replies again.

mod system;

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::Value;
use system::{System, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::{Fault, VmFake, bodies};

const ID: &str = "5c0e7a21d94b36f8";
/// The number of unresponsive VMs, each of which stops replying at a different time.
const UNRESPONSIVE_VMS: u8 = 4;
/// The partitions that may hold the pool's progress.
const PROGRESS_PARTITIONS: [u32; 4] = [1, 3, 5, 7];
/// A VM that is unresponsive for this long counts as lost: the lease, plus the time until the next query to it fails.
const LOST_WITHIN: Duration = Duration::from_millis(7_500);
/// A VM that replies again is queried within this time.
const QUERIED_WITHIN: Duration = Duration::from_millis(1_000);
/// Tasks that fill a VM of the fake platform: two starts are in flight to it and as many wait.
const TASKS_PER_VM: u32 = 4;

/// Returns a job of which each VM takes [`TASKS_PER_VM`] tasks.
fn job_that_fills(vms: u32) -> Value {
    let step = serde_json::json!({
        "count": TASKS_PER_VM * vms, "cpu": 4_000, "memMb": 256, "estimatedMs": 100,
    });
    bodies::job_of("ms=100", &[step])
}

/// Waits until the node counts a VM as lost, and lets the VM reply from then on.
async fn reply_once_lost(system: &System, vm: Arc<VmFake>) {
    let lost = format!("vm step=lost vm={} ", vm.incarnation());
    let started_at = std::time::Instant::now();
    while !system.nodes[0].log().contains(&lost) {
        assert!(started_at.elapsed() < system::WAIT_TIMEOUT, "{lost}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    vm.set_unresponsive(false);
}

/// Starts a system and completes one job, so that the pool's owner knows the VMs.
async fn start(net: u8, vms: u8) -> System {
    let system = System::start(net, vms, 1).await;
    let first = "00000000000000b1";
    expect_that!(submit(&system.nodes[0], first, &job(1, 10)).await.status, eq(200));
    wait_until_state(&system.nodes[0], first, "completed").await;
    system
}

/// Checks that each task of the job was started once.
async fn expect_each_started_once(system: &System, tasks: usize) {
    wait_until_state(&system.nodes[0], ID, "completed").await;
    // Starts that still wait are sent within this time.
    tokio::time::sleep(QUERIED_WITHIN).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.len(), eq(tasks));
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_queued_start_is_cancelled_when_its_vms_lease_ends() {
    let system = start(90, UNRESPONSIVE_VMS).await;
    let node = &system.nodes[0];
    let vms = system.platform.machines.vms();
    for vm in &vms {
        vm.set_unresponsive(true);
        tokio::time::sleep(Duration::from_millis(70)).await;
    }
    let large_job = job_that_fills(u32::from(UNRESPONSIVE_VMS));
    expect_that!(submit(node, ID, &large_job).await.status, eq(200));
    let ordered = format!("start step=ordered run={ID}");
    let all = (TASKS_PER_VM * u32::from(UNRESPONSIVE_VMS)) as usize;
    wait_until("all starts were ordered", async || node.log().matches(&ordered).count() >= all)
        .await;
    // The tasks are started on this VM once the other VMs are lost.
    let ip = system::ip(90, 120);
    system.platform.machines.add("m-late", system::POOL, ip).await.expect("the VM starts");
    futures::future::join_all(vms.into_iter().map(|vm| reply_once_lost(&system, vm))).await;
    expect_each_started_once(&system, all).await;
}

/// An owner orders a start while its VM is unreachable, which it has not noticed yet, and then waits seven seconds for
/// the store. When the store answers, the VM is lost and replies again, but its loss is queued behind the order. If the
/// order still goes out, its run is abandoned at the same moment and the task is started twice.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_decided_before_its_vm_was_lost_is_not_sent_afterwards() {
    let system = start(91, 1).await;
    let vm = system.platform.machines.vms().remove(0);
    vm.set_unresponsive(true);
    let set_progress_fault = |fault| {
        for part in PROGRESS_PARTITIONS {
            system.platform.store.set_part_fault("jobs.desk", part, fault);
        }
    };
    set_progress_fault(Fault::Unresponsive);
    let large_job = job_that_fills(1);
    expect_that!(submit(&system.nodes[0], ID, &large_job).await.status, eq(200));
    tokio::time::sleep(LOST_WITHIN).await;
    vm.set_unresponsive(false);
    tokio::time::sleep(QUERIED_WITHIN).await;
    set_progress_fault(Fault::None);
    expect_each_started_once(&system, TASKS_PER_VM as usize).await;
}
