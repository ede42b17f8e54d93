//! Real nodes and a task that crashes each VM on which it starts.
//!
//! Such a task was started on VM after VM for as long as its job was open, and took with it what ran beside it: a
//! run that goes with its VM was not counted. Here it is to be given up after a few VMs, also if each of its starts is
//! ordered by another owner, and a job that shared its VMs is to be done.

mod system;

use googletest::prelude::*;
use system::{System, job, submit, until, until_state};
use thistle_platform::standin::bodies;

const ID: &str = "5c0e7a21d94b36f8";
const BESIDE: &str = "00000000000000b1";
/// The platform allows two starts after the third crash.
const MOST_STARTS: usize = 5;

/// Returns a job of one task that crashes its VM a moment after it started.
fn crashing() -> serde_json::Value {
    let step = serde_json::json!({ "count": 1, "cpu": 500, "memMb": 256, "estimatedMs": 300 });
    bodies::job_of("ms=20 how=crash", &[step])
}

fn starts_of_task(system: &System) -> usize {
    system.starts_of(ID).values().sum()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_crashes_its_vms_is_started_a_few_times_only() {
    expect_given_up(&System::start(60, 3, 2).await).await;
}

/// A VM that starts again under its ID is a crash as any other. It was none: a list without the run was all that the owner took in,
/// so that the task counted as one that had never begun.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_is_given_up_if_the_vms_that_it_crashes_keep_their_ids() {
    let system = System::start(62, 3, 2).await;
    system.platform.machines.restart_with_same_ids();
    expect_given_up(&system).await;
}

async fn expect_given_up(system: &System) {
    expect_that!(submit(&system.nodes[0], BESIDE, &job(4, 600)).await.status, eq(200));
    expect_that!(submit(&system.nodes[0], ID, &crashing()).await.status, eq(200));
    until("it is given up, or started too often", async || {
        starts_of_task(system) > MOST_STARTS
            || system::state(&system.nodes[0], ID).await == "failed"
    })
    .await;
    expect_that!(starts_of_task(system), le(MOST_STARTS));
    until_state(&system.nodes[0], BESIDE, "completed").await;
    // Operators can see why.
    let shown = system.nodes[0].show(&["--job", ID]);
    expect_that!(shown, contains_substring("VMs that crashed under it"));
    expect_that!(shown, contains_substring("GivenUp"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_crashes_its_vms_is_given_up_whoever_owns_its_pool() {
    let mut system = System::start(61, 3, 2).await;
    expect_that!(submit(&system.nodes[0], ID, &crashing()).await.status, eq(200));
    for round in 1..=MOST_STARTS {
        let over = async || {
            let states = [&system.nodes[0], &system.nodes[1]].map(|node| system::state(node, ID));
            let [one, other] = states;
            tokio::join!(one, other) == ("failed".to_owned(), "failed".to_owned())
        };
        until("it is started again or given up", async || {
            starts_of_task(&system) >= round || over().await
        })
        .await;
        if over().await {
            break;
        }
        // Its owner is lost before the VM is known to be.
        let owner = system.owner().unwrap_or(0);
        system.nodes[owner].kill();
        system.nodes[owner].start();
        until("it is ready again", || system.nodes[owner].is_ready()).await;
    }
    until("it is given up, or started too often", async || {
        starts_of_task(&system) > MOST_STARTS
            || system::state(&system.nodes[0], ID).await == "failed"
    })
    .await;
    expect_that!(starts_of_task(&system), le(MOST_STARTS));
}
