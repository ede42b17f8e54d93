//! Cancelled jobs end everywhere: also tasks that a VM starts late, and tasks of an owner that is gone.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use hyper::Method;
use system::{System, job, send, submit, until, until_state};

const ID: &str = "5c0e7a21d94b36f8";
/// Longer than a VM takes to carry an order out that it did not answer.
const LONG_AFTER: Duration = Duration::from_secs(4);

async fn cancel(system: &System, node: usize) {
    let answer = send(&system.nodes[node], Method::DELETE, &format!("/quotes/{ID}")).await;
    expect_that!(answer.status, eq(200));
}

fn runs_somewhere(system: &System) -> bool {
    system.platform.machines.vms().iter().any(|vm| !vm.running().is_empty())
}

fn set_all_silent(system: &System, silent: bool) {
    for vm in system.platform.machines.vms() {
        vm.set_unresponsive(silent);
    }
}

fn carry_out_late(system: &System) {
    for vm in system.platform.machines.vms() {
        vm.execute_late(true);
    }
}

async fn until_asked(system: &System) {
    let ordered = async || system.platform.machines.vms().iter().any(|vm| vm.orders() > 0);
    until("an order was sent", ordered).await;
}

/// Symptom: tasks of a cancelled job begin. Sequence: a VM stops answering as starts are sent; the job is cancelled; the VM
/// answers again. Cause: starts without an answer were sent again, and starts that waited for their turn were sent, beside the
/// stops of the same runs; those that came first began. What settled it: the fake VM had started runs after the cancel.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn starts_are_not_sent_once_their_runs_were_told_to_stop() {
    let system = System::start(70, 1, 1).await;
    submit(&system.nodes[0], "00000000000000aa", &job(1, 10)).await;
    until_state(&system.nodes[0], "00000000000000aa", "completed").await;
    set_all_silent(&system, true);
    submit(&system.nodes[0], ID, &job(8, 0)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    cancel(&system, 0).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    set_all_silent(&system, false);
    until_state(&system.nodes[0], ID, "cancelled").await;
    tokio::time::sleep(LONG_AFTER).await;
    expect_that!(system.starts_of(ID).len(), eq(0));
    expect_that!(runs_somewhere(&system), eq(false));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_a_vm_starts_late_ends_with_its_cancelled_job() {
    let system = System::start(71, 2, 1).await;
    carry_out_late(&system);
    submit(&system.nodes[0], ID, &job(4, 0)).await;
    until_asked(&system).await;
    cancel(&system, 0).await;
    tokio::time::sleep(LONG_AFTER).await;
    until("nothing runs", async || !runs_somewhere(&system)).await;
    until_state(&system.nodes[0], ID, "cancelled").await;
}

/// Cancels a job whose owner is killed for good as its starts are under way, before or after that.
async fn owner_removed(net: u8, cancel_first: bool, unreachable: bool) {
    let mut system = System::start(net, 2, 2).await;
    until("a node owns the pool", async || system.owner().is_some()).await;
    let owner = system.owner().expect("there is one");
    let other = 1 - owner;
    carry_out_late(&system);
    submit(&system.nodes[other], ID, &job(4, 0)).await;
    until_asked(&system).await;
    if cancel_first {
        cancel(&system, other).await;
    }
    system.nodes[owner].kill();
    set_all_silent(&system, unreachable);
    if !cancel_first {
        cancel(&system, other).await;
    }
    until("the other node owns the pool", async || system.owner() == Some(other)).await;
    set_all_silent(&system, false);
    tokio::time::sleep(LONG_AFTER).await;
    until("nothing runs", async || !runs_somewhere(&system)).await;
    until_state(&system.nodes[other], ID, "cancelled").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_ends_with_its_cancelled_job_also_if_its_owner_is_gone() {
    owner_removed(72, false, false).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_ends_with_its_job_whose_owner_is_gone_right_after_the_cancel() {
    owner_removed(73, true, false).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_ends_with_its_cancelled_job_though_its_vm_could_not_be_reached() {
    owner_removed(74, false, true).await;
}
