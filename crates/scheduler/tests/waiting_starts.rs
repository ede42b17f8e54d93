//! Starts that wait while their VM stops accepting work, with real nodes.
//!
//! Guards against a start that is checked only when its task is placed. It may then wait for seconds behind unanswered starts,
//! and reaches a VM that has announced in the meantime that it will leave.

mod system;

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::{RunEvent, RunEventKind, VmFake, bodies};

const ID: &str = "5c0e7a21d94b36f8";
const VMS: u8 = 4;
/// The number of tasks that fill a VM: two starts are in flight to it and as many wait.
const TASKS_PER_VM: usize = 4;
const TASKS: usize = TASKS_PER_VM * VMS as usize;
/// The number of starts that may be in flight to a VM.
const IN_FLIGHT: usize = 2;
/// The time after which nothing may start on a VM that drains.
const DRAIN_WITHIN: Duration = Duration::from_secs(3);
/// A VM that replies again is queried within this time.
const QUERIED_WITHIN: Duration = Duration::from_millis(1_000);

/// Starts a system and completes one job, so that the pool's owner knows the VMs. The last VM is in a hall of its own.
async fn start(net: u8) -> (System, Arc<VmFake>) {
    let mut system = System::start(net, VMS - 1, 0).await;
    system.add_vm_in("hall-b", net, 120).await;
    system.add_node(system::ip(net, 10));
    wait_until("the node is ready", || system.nodes[0].is_ready()).await;
    let first = "00000000000000b1";
    expect_that!(submit(&system.nodes[0], first, &job(1, 10)).await.status, eq(200));
    wait_until_state(&system.nodes[0], first, "completed").await;
    let vm = system.platform.machines.vms().pop().expect("VMs are up");
    (system, vm)
}

/// Submits a job that fills all VMs, and waits until all of its starts are ordered.
async fn order_starts(system: &System) {
    let step = serde_json::json!({
        "count": TASKS, "cpu": 4_000, "memMb": 256, "estimatedMs": 100,
    });
    let large_job = bodies::job_of("ms=100", &[step]);
    expect_that!(submit(&system.nodes[0], ID, &large_job).await.status, eq(200));
    let ordered = format!("start step=ordered run={ID}");
    let all = async || system.nodes[0].log().matches(&ordered).count() >= TASKS;
    wait_until("all starts were ordered", all).await;
}

fn starts_on(vm: &VmFake) -> Vec<RunEvent> {
    let is_start = |event: &RunEvent| event.kind == RunEventKind::Started;
    let events = vm.histories().into_iter().flatten().filter(is_start);
    events.filter(|event| event.task.starts_with(ID)).collect()
}

async fn expect_each_started_once(system: &System) {
    wait_until_state(&system.nodes[0], ID, "completed").await;
    // Starts that still wait are sent within this time.
    tokio::time::sleep(QUERIED_WITHIN).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.len(), eq(TASKS));
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}

/// Two starts to a silent VM have no answer, and two wait for them while the VM stops accepting work. The two that wait have to
/// run elsewhere while the VM is silent, and none of the four may reach it afterwards.
async fn expect_waiting_starts_run_elsewhere(net: u8) {
    let (system, vm) = start(net).await;
    vm.set_unresponsive(true);
    order_starts(&system).await;
    system.platform.machines.drain(&vm);
    tokio::time::sleep(DRAIN_WITHIN).await;
    let started = system.starts_of(ID).len();
    expect_that!(started, eq(TASKS - IN_FLIGHT), "while the VM was silent");
    vm.set_unresponsive(false);
    expect_each_started_once(&system).await;
    expect_that!(starts_on(&vm).len(), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_waited_is_not_sent_to_a_vm_that_drains() {
    expect_waiting_starts_run_elsewhere(40).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_without_an_answer_is_not_sent_again_to_a_vm_that_drains() {
    let (system, vm) = start(45).await;
    vm.lose_starts(true);
    order_starts(&system).await;
    system.platform.machines.drain(&vm);
    tokio::time::sleep(DRAIN_WITHIN).await;
    vm.lose_starts(false);
    expect_each_started_once(&system).await;
    expect_that!(starts_on(&vm).len(), eq(0));
}
