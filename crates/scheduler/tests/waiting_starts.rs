//! Starts that wait while their VM stops accepting work, with real nodes.
//!
//! Guards against a start that is checked only when its task is placed. It may then wait for seconds behind unanswered starts,
//! and reaches a VM that has announced in the meantime that it will leave.

mod system;

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use system::{POOL, System, job, submit, wait_until, wait_until_state};
use thistle_platform::listing;
use thistle_platform::standin::{Fault, RunEvent, RunEventKind, VmFake, bodies};

const ID: &str = "5c0e7a21d94b36f8";
const VMS: u8 = 4;
/// The number of tasks that fill a VM: two starts are in flight to it and as many wait.
const TASKS_PER_VM: usize = 4;
const TASKS: usize = TASKS_PER_VM * VMS as usize;
/// The number of starts that may be in flight to a VM.
const IN_FLIGHT: usize = 2;
/// The partitions that may hold the pool's progress.
const PROGRESS_PARTITIONS: [u32; 4] = [1, 3, 5, 7];
/// The time after which nothing may start on a VM that drains.
const DRAIN_WITHIN: Duration = Duration::from_secs(3);
/// A VM that replies again is queried within this time.
const QUERIED_WITHIN: Duration = Duration::from_millis(1_000);

/// A change after which a VM accepts no new work.
#[derive(Clone, Copy, Debug)]
enum Change {
    Drains,
    LeavesTheList,
    MovesToAnotherPool,
    IsCordoned,
    HallIsEvacuated,
}

impl Change {
    fn apply(self, system: &System, vm: &VmFake) {
        let machines = &system.platform.machines;
        match self {
            Self::Drains => machines.drain(vm),
            Self::LeavesTheList => machines.remove_entry(&vm.id),
            Self::MovesToAnotherPool => {
                let entry = String::from_utf8(vm.entry()).expect("an entry is text");
                let moved = entry.replace(&format!("\"{POOL}\""), "\"other\"");
                system.platform.store.put(listing::TOPIC, &vm.id, moved);
            }
            Self::IsCordoned => {
                let vms = [vm.place.name.clone()];
                system.platform.store.put("op", "wave/1", bodies::wave(1, &vms, 1));
            }
            Self::HallIsEvacuated => system.platform.evacuate(&vm.place.hall),
        }
    }
}

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

/// Submits a job that fills all VMs.
async fn submit_large_job(system: &System) {
    let step = serde_json::json!({
        "count": TASKS, "cpu": 4_000, "memMb": 256, "estimatedMs": 100,
    });
    let large_job = bodies::job_of("ms=100", &[step]);
    expect_that!(submit(&system.nodes[0], ID, &large_job).await.status, eq(200));
}

/// Submits a job that fills all VMs, and waits until all of its starts are ordered.
async fn order_starts(system: &System) {
    submit_large_job(system).await;
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
async fn expect_waiting_starts_run_elsewhere(net: u8, change: Change) {
    let (system, vm) = start(net).await;
    vm.set_unresponsive(true);
    order_starts(&system).await;
    change.apply(&system, &vm);
    tokio::time::sleep(DRAIN_WITHIN).await;
    let started = system.starts_of(ID).len();
    expect_that!(started, eq(TASKS - IN_FLIGHT), "{change:?}: while the VM was silent");
    vm.set_unresponsive(false);
    expect_each_started_once(&system).await;
    expect_that!(starts_on(&vm).len(), eq(0), "{change:?}: on the VM");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_waited_is_not_sent_to_a_vm_that_drains() {
    expect_waiting_starts_run_elsewhere(40, Change::Drains).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_waited_is_not_sent_to_a_vm_that_left_the_list() {
    expect_waiting_starts_run_elsewhere(41, Change::LeavesTheList).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_waited_is_not_sent_to_a_vm_of_another_pool() {
    expect_waiting_starts_run_elsewhere(42, Change::MovesToAnotherPool).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_waited_is_not_sent_to_a_cordoned_vm() {
    expect_waiting_starts_run_elsewhere(43, Change::IsCordoned).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_waited_is_not_sent_into_an_evacuated_hall() {
    expect_waiting_starts_run_elsewhere(44, Change::HallIsEvacuated).await;
}

/// A start without an answer is sent again, as the first copy may have been lost. The copy is checked like the first one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_without_an_answer_is_not_sent_again_to_a_vm_that_drains() {
    let (system, vm) = start(45).await;
    vm.lose_starts(true);
    order_starts(&system).await;
    Change::Drains.apply(&system, &vm);
    tokio::time::sleep(DRAIN_WITHIN).await;
    vm.lose_starts(false);
    expect_each_started_once(&system).await;
    expect_that!(starts_on(&vm).len(), eq(0));
}

/// The placement is decided before the VM drains, and its record is written seconds later.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_whose_record_was_written_late_is_not_sent_to_a_vm_that_drains() {
    let (system, vm) = start(46).await;
    let set_progress_fault = |fault| {
        for part in PROGRESS_PARTITIONS {
            system.platform.store.set_part_fault("jobs.desk", part, fault);
        }
    };
    set_progress_fault(Fault::Unresponsive);
    submit_large_job(&system).await;
    // By then the starts are placed, and their record waits.
    tokio::time::sleep(Duration::from_millis(500)).await;
    Change::Drains.apply(&system, &vm);
    tokio::time::sleep(DRAIN_WITHIN).await;
    set_progress_fault(Fault::None);
    expect_each_started_once(&system).await;
    expect_that!(starts_on(&vm).len(), eq(0));
}
