//! Owners that end unexpectedly and are restarted by their node, with real nodes.
//!
//! An owner ends after a panic, or when a VM reports that it has seen a higher token. Its node then starts another
//! owner. If the second owner has the same token, its records and orders cannot be distinguished from those of the
//! first owner:
//!
//! - It numbers its records from 1 again. Readers that know a record with a higher number ignore the new ones as older.
//!   So the job is never shown as completed. The next owner starts completed tasks once more, because the records that it
//!   knows still place them on a VM, and the VM does not list them.
//! - It numbers its appends from 0 again, within the same epoch. If the first owner sent at most five, the store takes
//!   the new ones for copies, answers as before, and stores nothing.
//! - VMs still accept orders of the first owner. A start that is executed late begins after the second owner's first
//!   list, in which it was missing, so that the second owner has started the task elsewhere.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::{RunEventKind, VmFake};

const ID: &str = "5c0e7a21d94b36f8";
/// The number of earlier jobs, so that the last numbers of their records are higher than those of a later job.
const MANY_JOBS: u64 = 20;
/// How long the tests wait for a wrong start.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

fn count_takeovers(system: &System) -> usize {
    system.nodes.iter().map(|node| node.log().matches("pool=desk step=took-over").count()).sum()
}

/// Has a VM report by mistake that it has seen a higher token, and waits until the owner is restarted.
async fn restart_owner(system: &System, vm: &VmFake) {
    let before = count_takeovers(system);
    vm.report_fenced_once();
    wait_until("the owner is restarted", async || count_takeovers(system) > before).await;
}

fn is_acknowledged_as_done(system: &System) -> bool {
    let mut events = system.platform.machines.histories().into_iter().flatten();
    let done =
        |kind: &RunEventKind| matches!(kind, RunEventKind::Acknowledged(how) if how == "done");
    events.any(|event| event.task.starts_with(ID) && done(&event.kind))
}

/// Runs `earlier_jobs` jobs, and then a job of one task during which the owner is restarted.
async fn run_under_two_owners(system: &System, earlier_jobs: u64) {
    let owner = &system.nodes[system.owner().expect("an owner")];
    for i in 1..=earlier_jobs {
        let other = format!("{i:016x}");
        expect_that!(submit(owner, &other, &job(1, 10)).await.status, eq(200));
        wait_until_state(owner, &other, "completed").await;
    }
    expect_that!(submit(owner, ID, &job(1, 1_500)).await.status, eq(200));
    wait_until("the job's task runs", async || system.starts_of(ID).len() == 1).await;
    restart_owner(system, &system.platform.machines.vms()[0]).await;
    wait_until("the end of the task is acknowledged", async || is_acknowledged_as_done(system))
        .await;
    // An owner writes its records before it acknowledges an end to the VM.
    expect_that!(
        system::state(owner, ID).await,
        eq("completed"),
        "after {earlier_jobs} earlier jobs"
    );
}

async fn expect_started_once_by_same_node(net: u8) {
    let system = System::start(net, 2, 1).await;
    run_under_two_owners(&system, MANY_JOBS).await;
    restart_owner(&system, &system.platform.machines.vms()[0]).await;
    tokio::time::sleep(SETTLING_TIME).await;
    expect_that!(system.starts_of(ID).values().sum::<usize>(), eq(1), "the same node");
}

async fn expect_started_once_by_other_node(net: u8, earlier_jobs: u64) {
    let mut system = System::start(net, 2, 2).await;
    run_under_two_owners(&system, earlier_jobs).await;
    let (owner, before) = (system.owner().expect("an owner"), count_takeovers(&system));
    system.nodes[owner].kill();
    wait_until("the other node owns the pool", async || count_takeovers(&system) > before).await;
    tokio::time::sleep(SETTLING_TIME).await;
    let starts = system.starts_of(ID).values().sum::<usize>();
    expect_that!(starts, eq(1), "another node after {earlier_jobs} earlier jobs");
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_is_done_stays_done_when_its_owner_is_restarted() {
    tokio::join!(
        expect_started_once_by_same_node(91),
        expect_started_once_by_other_node(92, MANY_JOBS),
        expect_started_once_by_other_node(93, 0),
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_start_ordered_before_its_owner_was_restarted_starts_nothing() {
    let system = System::start(94, 3, 1).await;
    let (node, vms) = (&system.nodes[0], system.platform.machines.vms());
    for vm in &vms {
        vm.execute_late(true);
    }
    expect_that!(submit(node, ID, &job(1, 4_000)).await.status, eq(200));
    let unanswered = format!("start step=no-answer run={ID}");
    let waiting_since = std::time::Instant::now();
    // The start is sent again after 0.2 s and would then be executed as usual.
    while !node.log().contains(&unanswered) {
        assert!(waiting_since.elapsed() < system::WAIT_TIMEOUT, "{unanswered}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let ordered =
        vms.iter().position(|vm| vm.orders() > 0).expect("one VM was ordered to start the task");
    for vm in &vms {
        vm.execute_late(false);
    }
    // This VM answers after the others, so that its task is started elsewhere.
    vms[ordered].set_unresponsive(true);
    restart_owner(&system, &vms[(ordered + 1) % vms.len()]).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    vms[ordered].set_unresponsive(false);
    wait_until_state(node, ID, "completed").await;
    tokio::time::sleep(SETTLING_TIME).await;
    expect_that!(system.starts_of(ID).values().sum::<usize>(), eq(1));
}
