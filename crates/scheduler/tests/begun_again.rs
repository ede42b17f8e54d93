//! Owners that end by mistake and are begun again by their node under the same token, with real nodes.
//!
//! An owner ends by a panic, or as a VM says that it has seen a higher token. Its node then begins another one under the token that it
//! still has. Neither the records of the second one nor its orders could be told from those of the first:
//!
//! - It numbers its records from 1 again. Whoever has read a record of a job with a higher number under this token takes the newer ones for
//!   older: the job is never shown as completed, and the next owner, on this node or on one that reads the pool on, takes tasks that are done
//!   for placed, misses them on their VM, and starts them again.
//!
//!       05:17:37.683 WARN owner pool=desk step=fenced token=1
//!       05:17:37.745 INFO owner pool=desk step=took-over token=1 jobs=1 placed=1 took_ms=47
//!       05:17:39.139 INFO end run=JOB.0.0.0#1 vm=i-m-0-1 how=Done number=21
//!       05:17:39.747 INFO owner pool=desk step=took-over token=1 jobs=1 placed=1 took_ms=48
//!       05:17:39.752 INFO run step=not-listed run=JOB.0.0.0#1 vm=i-m-0-1
//!       05:17:39.762 INFO start step=ordered run=JOB.0.0.0#2 vm=i-m-1-1 queue=r/quotes/ token=1 free_cpu=15500
//!
//! - It numbers its appends from 0 again, within the same epoch. While the first owner has sent five at most, the store takes them for copies,
//!   answers as it did before, and keeps nothing.
//! - The VMs go on taking the first owner's orders. A start that is carried out late begins after the second owner's first list, which did
//!   not have it and released its task.
//!
//!       05:17:36.426 INFO start step=no-answer run=JOB.0.0.0#1 vm=i-m-1-1 error="did not answer: connection closed"
//!       05:17:36.527 INFO owner pool=desk step=took-over token=1 jobs=1 placed=1 took_ms=8
//!       05:17:36.537 INFO start step=ordered run=JOB.0.0.0#2 vm=i-m-0-1 queue=r/quotes/ token=1 free_cpu=15500
//!       05:17:39.537 INFO end run=JOB.0.0.0#1 vm=i-m-1-1 how=Stopped number=1

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, until, until_state};
use thistle_platform::standin::{RunEventKind, VmFake};

const ID: &str = "5c0e7a21d94b36f8";
/// So many jobs that their records are numbered beyond those of a later one.
const MANY: u64 = 20;
/// How long what should not happen is waited for.
const SETTLED: Duration = Duration::from_millis(2_500);

fn took_over(system: &System) -> usize {
    system.nodes.iter().map(|node| node.log().matches("pool=desk step=took-over").count()).sum()
}

/// Has a VM say by mistake that it has seen a higher token, and waits until the owner was begun again.
async fn begin_again(system: &System, vm: &VmFake) {
    let before = took_over(system);
    vm.report_fenced_once();
    until("the owner was begun again", async || took_over(system) > before).await;
}

fn is_noted_as_done(system: &System) -> bool {
    let mut all = system.platform.machines.histories().into_iter().flatten();
    let done =
        |step: &RunEventKind| matches!(step, RunEventKind::Acknowledged(how) if how == "done");
    all.any(|h| h.task.starts_with(ID) && done(&h.step))
}

/// Runs a job of one task during which its owner is begun again, after so many other jobs.
async fn run_under_two_owners(system: &System, others: u64) {
    let owner = &system.nodes[system.owner().expect("an owner")];
    for i in 1..=others {
        let other = format!("{i:016x}");
        expect_that!(submit(owner, &other, &job(1, 10)).await.status, eq(200));
        until_state(owner, &other, "completed").await;
    }
    expect_that!(submit(owner, ID, &job(1, 1_500)).await.status, eq(200));
    until("its task runs", async || system.starts_of(ID).len() == 1).await;
    begin_again(system, &system.platform.machines.vms()[0]).await;
    until("its end is noted", async || is_noted_as_done(system)).await;
    // An owner writes what it knows before it lets the VM forget the end.
    expect_that!(system::state(owner, ID).await, eq("completed"), "after {others} others");
}

async fn is_started_once_by_the_next_owner_there(net: u8) {
    let system = System::start(net, 2, 1).await;
    run_under_two_owners(&system, MANY).await;
    begin_again(&system, &system.platform.machines.vms()[0]).await;
    tokio::time::sleep(SETTLED).await;
    expect_that!(system.starts_of(ID).values().sum::<usize>(), eq(1), "the same node");
}

async fn is_started_once_by_another_node(net: u8, others: u64) {
    let mut system = System::start(net, 2, 2).await;
    run_under_two_owners(&system, others).await;
    let (owner, before) = (system.owner().expect("an owner"), took_over(&system));
    system.nodes[owner].kill();
    until("the other node owns the pool", async || took_over(&system) > before).await;
    tokio::time::sleep(SETTLED).await;
    let starts = system.starts_of(ID).values().sum::<usize>();
    expect_that!(starts, eq(1), "another node after {others} others");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_is_done_stays_done_when_its_owner_is_begun_again() {
    tokio::join!(
        is_started_once_by_the_next_owner_there(91),
        is_started_once_by_another_node(92, MANY),
        is_started_once_by_another_node(93, 0),
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_start_of_an_owner_that_was_begun_again_starts_nothing() {
    let system = System::start(94, 3, 1).await;
    let (node, vms) = (&system.nodes[0], system.platform.machines.vms());
    for vm in &vms {
        vm.execute_late(true);
    }
    expect_that!(submit(node, ID, &job(1, 4_000)).await.status, eq(200));
    let unanswered = format!("start step=no-answer run={ID}");
    let began = std::time::Instant::now();
    // Sent again, which is 0.2 s later, the start would be taken as usual.
    while !node.log().contains(&unanswered) {
        assert!(began.elapsed() < system::PATIENCE, "{unanswered}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let ordered = vms.iter().position(|vm| vm.orders() > 0).expect("one was ordered to start it");
    for vm in &vms {
        vm.execute_late(false);
    }
    // It answers after the others, so that its task is started elsewhere.
    vms[ordered].set_unresponsive(true);
    begin_again(&system, &vms[(ordered + 1) % vms.len()]).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    vms[ordered].set_unresponsive(false);
    until_state(node, ID, "completed").await;
    tokio::time::sleep(SETTLED).await;
    expect_that!(system.starts_of(ID).values().sum::<usize>(), eq(1));
}
