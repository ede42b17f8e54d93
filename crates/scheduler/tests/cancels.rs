//! All tasks of a cancelled job end, also those that a VM starts late and those of an owner that is gone.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use hyper::Method;
use system::{System, job, send, submit, wait_until, wait_until_state};

const ID: &str = "5c0e7a21d94b36f8";
/// The time within which VMs execute orders that they did not answer.
const LATE_ORDERS_WITHIN: Duration = Duration::from_secs(4);

async fn cancel(system: &System, node: usize) {
    let answer = send(&system.nodes[node], Method::DELETE, &format!("/quotes/{ID}")).await;
    expect_that!(answer.status, eq(200));
}

fn runs_somewhere(system: &System) -> bool {
    system.platform.machines.vms().iter().any(|vm| !vm.running().is_empty())
}

fn set_all_unresponsive(system: &System, unresponsive: bool) {
    for vm in system.platform.machines.vms() {
        vm.set_unresponsive(unresponsive);
    }
}

fn set_all_execute_late(system: &System) {
    for vm in system.platform.machines.vms() {
        vm.execute_late(true);
    }
}

async fn wait_until_order_sent(system: &System) {
    let ordered = async || system.platform.machines.vms().iter().any(|vm| vm.orders() > 0);
    wait_until("an order was sent", ordered).await;
}

/// Guards against tasks of a cancelled job that start after the cancel. A VM stops answering while starts are sent, the
/// job is cancelled, and the VM answers again. If unanswered starts are then sent again, and starts that waited for the
/// rate limit are sent together with the stops of the same runs, a start that arrives before its stop begins a run.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn starts_are_not_sent_once_their_runs_are_to_be_stopped() {
    let system = System::start(70, 1, 1).await;
    submit(&system.nodes[0], "00000000000000aa", &job(1, 10)).await;
    wait_until_state(&system.nodes[0], "00000000000000aa", "completed").await;
    set_all_unresponsive(&system, true);
    submit(&system.nodes[0], ID, &job(8, 0)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    cancel(&system, 0).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    set_all_unresponsive(&system, false);
    wait_until_state(&system.nodes[0], ID, "cancelled").await;
    tokio::time::sleep(LATE_ORDERS_WITHIN).await;
    expect_that!(system.starts_of(ID).len(), eq(0));
    expect_that!(runs_somewhere(&system), eq(false));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_a_vm_starts_late_ends_when_its_job_is_cancelled() {
    let system = System::start(71, 2, 1).await;
    set_all_execute_late(&system);
    submit(&system.nodes[0], ID, &job(4, 0)).await;
    wait_until_order_sent(&system).await;
    cancel(&system, 0).await;
    tokio::time::sleep(LATE_ORDERS_WITHIN).await;
    wait_until("no task runs", async || !runs_somewhere(&system)).await;
    wait_until_state(&system.nodes[0], ID, "cancelled").await;
}

/// Cancels a job before or after its owner is killed and not restarted while its starts are sent, and checks that all its
/// tasks end.
async fn expect_job_ends_without_owner(net: u8, cancel_first: bool, unreachable: bool) {
    let mut system = System::start(net, 2, 2).await;
    wait_until("a node owns the pool", async || system.owner().is_some()).await;
    let owner = system.owner().expect("the pool has an owner");
    let other = 1 - owner;
    set_all_execute_late(&system);
    submit(&system.nodes[other], ID, &job(4, 0)).await;
    wait_until_order_sent(&system).await;
    if cancel_first {
        cancel(&system, other).await;
    }
    system.nodes[owner].kill();
    set_all_unresponsive(&system, unreachable);
    if !cancel_first {
        cancel(&system, other).await;
    }
    wait_until("the other node owns the pool", async || system.owner() == Some(other)).await;
    set_all_unresponsive(&system, false);
    tokio::time::sleep(LATE_ORDERS_WITHIN).await;
    wait_until("no task runs", async || !runs_somewhere(&system)).await;
    wait_until_state(&system.nodes[other], ID, "cancelled").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_end_if_their_job_is_cancelled_after_its_owner_died() {
    expect_job_ends_without_owner(72, false, false).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_end_if_their_owner_dies_right_after_their_job_is_cancelled() {
    expect_job_ends_without_owner(73, true, false).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_end_if_their_job_is_cancelled_while_their_vms_are_unreachable() {
    expect_job_ends_without_owner(74, false, true).await;
}
