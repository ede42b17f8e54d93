//! Caps of workspaces, with real nodes.
//!
//! Guards against a workspace that fills the whole fleet when its callers submit more than usual.

mod system;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use hyper::Method;
use serde_json::Value;
use system::{Node, POOL, System, job, request, wait_until};
use thistle_platform::standin::bodies;

const ID: &str = "5c0e7a21d94b36f8";
const PATHS: [&str; 1] = ["/quotes/"];

/// Writes a configuration with a workspace whose cap is given in thousandths of a core.
fn put_cap(system: &System, version: u64, cap: u32) {
    let config = bodies::config(version, POOL, "off", &PATHS);
    let workspace = bodies::workspace("lunch", &["key-a"], cap, 3);
    system.platform.store.put("op", "config", bodies::with_workspaces(&config, &[workspace], &[]));
}

async fn submit(node: &Node, id: &str, job: &Value) -> u16 {
    let path = format!("/quotes/{id}");
    let call = request(Method::POST, &path).with_json(job).with_header("api-key", "key-a");
    node.callers_client().call(call).await.expect("the node answers").status
}

async fn wait_until_in_force(system: &System, version: u64) {
    let line = format!("step=in-force version={version} ");
    let all = async || system.nodes.iter().all(|node| node.log().contains(&line));
    wait_until("the configuration is in force", all).await;
}

fn running(system: &System) -> BTreeSet<String> {
    system.platform.machines.vms().iter().flat_map(|vm| vm.running()).collect()
}

/// Polls the running tasks until all tasks of a job have run, and returns the largest number that ran at once.
async fn max_running_at_once(system: &System, id: &str, tasks: usize) -> usize {
    let max_running = AtomicUsize::new(0);
    wait_until("all tasks have run", async || {
        let running_now = running(system).len();
        max_running.fetch_max(running_now, Ordering::Relaxed);
        system.starts_of(id).len() == tasks && running_now == 0
    })
    .await;
    max_running.into_inner()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_workspace_runs_no_more_than_its_cap() {
    let system = System::start(96, 3, 2).await;
    put_cap(&system, 2, 1_000);
    wait_until_in_force(&system, 2).await;
    // Each task takes half a core, and the VMs have twelve cores.
    expect_that!(submit(&system.nodes[0], ID, &job(8, 300)).await, eq(200));
    expect_that!(max_running_at_once(&system, ID, 8).await, eq(2));
    let shown = system.nodes[0].show(&["--job", ID]);
    expect_that!(shown, contains_substring("workspace lunch cap 1000"));
    let is_logged =
        system.nodes.iter().any(|node| node.log().contains("caps step=held workspace=lunch"));
    expect_that!(is_logged, eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cap_holds_when_the_owner_dies_and_when_it_is_lowered() {
    let mut system = System::start(97, 3, 3).await;
    put_cap(&system, 2, 2_000);
    wait_until_in_force(&system, 2).await;
    expect_that!(submit(&system.nodes[0], ID, &job(24, 400)).await, eq(200));
    wait_until("four tasks run", async || running(&system).len() == 4).await;
    let owner = system.owner().expect("the pool has an owner");
    system.nodes[owner].kill();
    put_cap(&system, 3, 1_000);
    system.nodes[owner].start();
    let started_at = std::time::Instant::now();
    // Tasks that were running before may go on, but no others start.
    while started_at.elapsed() < Duration::from_secs(2) {
        expect_that!(running(&system).len(), le(4));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    wait_until("tasks beyond the lowered cap have ended", async || running(&system).len() <= 2)
        .await;
    expect_that!(max_running_at_once(&system, ID, 24).await, le(2));
}

/// Guards against starts that were placed under a cap, waited behind unanswered ones, and are sent after the cap was lowered.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn starts_that_waited_are_not_sent_under_a_lowered_cap() {
    let system = System::start(95, 1, 1).await;
    put_cap(&system, 2, 16_000);
    wait_until_in_force(&system, 2).await;
    let node = &system.nodes[0];
    expect_that!(submit(node, "00000000000000b1", &job(1, 10)).await, eq(200));
    expect_that!(max_running_at_once(&system, "00000000000000b1", 1).await, le(1));
    let vm = system.platform.machines.vms().remove(0);
    vm.set_unresponsive(true);
    expect_that!(submit(node, ID, &job(16, 1_500)).await, eq(200));
    let ordered = format!("start step=ordered run={ID}");
    wait_until("all starts were ordered", async || node.log().matches(&ordered).count() >= 16)
        .await;
    put_cap(&system, 3, 1_000);
    wait_until_in_force(&system, 3).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    vm.set_unresponsive(false);
    expect_that!(max_running_at_once(&system, ID, 16).await, le(2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_caps_no_record_of_caps_is_written() {
    let system = System::start(98, 2, 2).await;
    put_cap(&system, 2, 0);
    wait_until_in_force(&system, 2).await;
    expect_that!(submit(&system.nodes[0], ID, &job(4, 100)).await, eq(200));
    expect_that!(max_running_at_once(&system, ID, 4).await, ge(2));
    let claimed = system.platform.store.newest("control", 0, "owner/#caps");
    expect_that!(claimed, none());
}

/// A gang that exceeds its workspace's cap would wait for ever.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gang_larger_than_its_cap_is_refused_at_once() {
    let system = System::start(99, 2, 1).await;
    put_cap(&system, 2, 1_000);
    wait_until_in_force(&system, 2).await;
    let gang = |count: u32| {
        let step = serde_json::json!({ "count": count, "cpu": 500, "memMb": 256, "gang": true });
        bodies::job_of("ms=100", &[step])
    };
    expect_that!(submit(&system.nodes[0], ID, &gang(3)).await, eq(400));
    expect_that!(submit(&system.nodes[0], "6c0e7a21d94b36f8", &gang(2)).await, eq(200));
    wait_until("the gang that fits runs", async || system.starts_of("6c0e7a21d94b36f8").len() == 2)
        .await;
    expect_that!(system.starts_of(ID).len(), eq(0));
}
