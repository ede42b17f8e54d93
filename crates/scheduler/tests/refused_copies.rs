//! Starts of which the first copy has no reply and the second one is refused, with real nodes.
//!
//! The VM carries out the first copy two seconds later, though it refused the second one for lack of room. If that refusal
//! counts as the outcome of the start, the owner starts the task elsewhere after the next list without the run, and the task
//! runs on two VMs at once. A refusal settles the first copy too only if the VM has the run, had it or may not start it any
//! more (`Old`), or if the lease that all copies carry has ended (`Late`).

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, wait_until, wait_until_state};

const ID: &str = "5c0e7a21d94b36f8";

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_refused_for_lack_of_room_after_an_unanswered_copy_runs_once() {
    let system = System::start(112, 2, 1).await;
    let node = &system.nodes[0];
    let first = "00000000000000ff";
    expect_that!(submit(node, first, &job(1, 10)).await.status, eq(200));
    wait_until_state(node, first, "completed").await;
    let vms = system.platform.machines.vms();
    for vm in &vms {
        vm.execute_late(true);
        vm.reject_starts(true);
    }
    expect_that!(submit(node, ID, &job(1, 6_000)).await.status, eq(200));
    let refused = format!("start step=refused run={ID}");
    wait_until("a copy was refused", async || node.log().contains(&refused)).await;
    for vm in &vms {
        vm.reject_starts(false);
        vm.execute_late(false);
    }
    // The VM carries out the first copy within this time.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
    wait_until_state(node, ID, "completed").await;
}
