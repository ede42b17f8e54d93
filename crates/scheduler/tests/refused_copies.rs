//! Starts of which a copy had no answer and another one was refused, with real nodes.
//!
//! A task ran on two VMs at once. The first copy of its start had no answer, and the VM carried it out two seconds later; the second one
//! was refused for want of room. That was taken for an outcome: the next list without the run freed its task. Only a VM that has the
//! run, had it or barred it (`Old`), or for which the lease that all copies bear is over (`Late`), refuses the first copy too:
//!
//!     05:21:16.368 INFO start step=no-answer run=JOB.0.0.0#2 vm=i-m-0-1 error="connection closed before message completed"
//!     05:21:16.572 INFO start step=refused run=JOB.0.0.0#2 vm=i-m-0-1 answer=NoRoom
//!     05:21:16.572 INFO start step=Unclear run=JOB.0.0.0#2 vm=i-m-0-1
//!     05:21:18.286 INFO run step=not-listed run=JOB.0.0.0#2 vm=i-m-0-1
//!     05:21:18.291 INFO start step=ordered run=JOB.0.0.0#3 vm=i-m-1-1 queue=r/quotes/ token=1 free_cpu=15500
//!     05:21:20.290 INFO stop step=ordered run=JOB.0.0.0#2 vm=i-m-0-1 token=1

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, until, until_state};

const ID: &str = "5c0e7a21d94b36f8";

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_is_refused_for_want_of_room_after_a_copy_without_an_answer_runs_once() {
    let system = System::start(112, 2, 1).await;
    let node = &system.nodes[0];
    let first = "00000000000000ff";
    expect_that!(submit(node, first, &job(1, 10)).await.status, eq(200));
    until_state(node, first, "completed").await;
    let vms = system.platform.machines.vms();
    for vm in &vms {
        vm.execute_late(true);
        vm.reject_starts(true);
    }
    expect_that!(submit(node, ID, &job(1, 6_000)).await.status, eq(200));
    let refused = format!("start step=refused run={ID}");
    until("a copy was refused", async || node.log().contains(&refused)).await;
    for vm in &vms {
        vm.reject_starts(false);
        vm.execute_late(false);
    }
    // The first copy is carried out within this time.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
    until_state(node, ID, "completed").await;
}
