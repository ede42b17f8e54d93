//! Workspace keys on real nodes.
//!
//! A queue of a workspace serves only calls with one of the workspace's configured keys. If calls with an unknown key, a
//! withdrawn key or none were served, anyone who knows a job's ID could see and cancel the job.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use hyper::Method;
use system::{Node, POOL, System, job, request, wait_until};
use thistle_platform::http::Answer;
use thistle_platform::standin::{Fault, bodies};
use thistle_schedule::job_log::{cancel_key, encode_cancel, encode_spec, submit_key};
use thistle_schedule::{Caller, JobSpec, Room, Step};

const ID: &str = "5c0e7a21d94b36f8";
const OTHER_ID: &str = "6c0e7a21d94b36f8";
const PATHS: [&str; 2] = ["/quotes/", "/open/"];

/// Publishes a configuration in which `/quotes/` belongs to two workspaces with these keys.
fn put_workspaces(system: &System, version: u64, lunch: &[&str], night: &[&str]) {
    let config = bodies::config(version, POOL, "off", &PATHS);
    let workspaces =
        [bodies::workspace("lunch", lunch, 0, 3), bodies::workspace("night", night, 0, 1)];
    let config = bodies::with_workspaces(&config, &workspaces, &["/open/"]);
    system.platform.store.put("op", "config", config);
}

async fn call(node: &Node, method: Method, path: &str, key: Option<&str>) -> Answer {
    let call = match key {
        Some(key) => request(method, path).with_header("api-key", key),
        None => request(method, path),
    };
    node.callers_client().call(call).await.expect("the node answers")
}

async fn submit(node: &Node, path: &str, key: Option<&str>) -> u16 {
    let call = request(Method::POST, path).with_json(&job(1, 0));
    let call = match key {
        Some(key) => call.with_header("api-key", key),
        None => call,
    };
    node.callers_client().call(call).await.expect("the node answers").status
}

async fn wait_until_status(node: &Node, key: &str, status: u16) {
    let is_in_force =
        async || call(node, Method::GET, "/quotes/", Some(key)).await.status == status;
    wait_until("the newest configuration is in force", is_in_force).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_callers_with_a_configured_key_are_served() {
    let system = System::start(92, 2, 1).await;
    let node = &system.nodes[0];
    put_workspaces(&system, 2, &["key-a", "key-b"], &["key-n"]);
    wait_until_status(node, "no-such-key", 401).await;
    for key in [None, Some("no-such-key"), Some("key-"), Some("")] {
        expect_that!(submit(node, &format!("/quotes/{ID}"), key).await, eq(401), "{key:?}");
        for method in [Method::GET, Method::DELETE] {
            let answer = call(node, method, &format!("/quotes/{ID}"), key).await;
            expect_that!(answer.status, eq(401), "{key:?}");
        }
        expect_that!(call(node, Method::GET, "/quotes/", key).await.status, eq(401), "{key:?}");
    }
    expect_that!(system.starts_of(ID).len(), eq(0));
    expect_that!(submit(node, &format!("/quotes/{ID}"), Some("key-b")).await, eq(200));
    expect_that!(submit(node, &format!("/open/{OTHER_ID}"), None).await, eq(200));
    wait_until("both jobs run", async || {
        system.starts_of(ID).len() + system.starts_of(OTHER_ID).len() == 2
    })
    .await;
    expect_that!(node.log(), not(contains_substring("key-")));
    expect_that!(node.show(&["--job", ID]), not(contains_substring("key-")));
    expect_that!(node.metrics().await, contains_substring("thistle_denied"));
}

/// A workspace sees nothing of another workspace's job, neither on the node that holds the job nor on one that has to query
/// it.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_workspace_neither_sees_nor_cancels_anothers_job() {
    let system = System::start(93, 2, 2).await;
    put_workspaces(&system, 2, &["key-a"], &["key-n"]);
    for node in &system.nodes {
        wait_until_status(node, "no-such-key", 401).await;
    }
    let path = format!("/quotes/{ID}");
    expect_that!(submit(&system.nodes[0], &path, Some("key-a")).await, eq(200));
    wait_until("the job runs", async || system.starts_of(ID).len() == 1).await;
    for node in &system.nodes {
        expect_that!(call(node, Method::GET, &path, Some("key-n")).await.status, eq(410));
        expect_that!(call(node, Method::DELETE, &path, Some("key-n")).await.status, eq(410));
        expect_that!(call(node, Method::GET, &path, Some("key-a")).await.status, eq(200));
    }
    let is_running = async || {
        system
            .platform
            .machines
            .vms()
            .iter()
            .any(|vm| vm.running().iter().any(|t| t.starts_with(ID)))
    };
    expect_that!(is_running().await, eq(true));
    let cancelled = call(&system.nodes[1], Method::DELETE, &path, Some("key-a")).await;
    expect_that!(cancelled.status, eq(200));
    wait_until("the cancelled job is stopped", async || !is_running().await).await;
}

/// A withdrawn key gives no access. A job that was submitted with it goes on and is visible with other keys of its workspace.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_goes_on_after_the_key_that_submitted_it_is_withdrawn() {
    let system = System::start(94, 2, 1).await;
    let node = &system.nodes[0];
    put_workspaces(&system, 2, &["key-a", "key-b"], &["key-n"]);
    wait_until_status(node, "no-such-key", 401).await;
    let path = format!("/quotes/{ID}");
    expect_that!(submit(node, &path, Some("key-a")).await, eq(200));
    expect_that!(node.metrics().await, contains_substring("outcome=\"Kept\""));
    put_workspaces(&system, 3, &["key-b"], &["key-n"]);
    wait_until_status(node, "key-a", 401).await;
    expect_that!(submit(node, &path, Some("key-a")).await, eq(401));
    expect_that!(call(node, Method::GET, &path, Some("key-a")).await.status, eq(401));
    expect_that!(call(node, Method::GET, &path, Some("key-b")).await.status, eq(200));
    wait_until("the job runs", async || system.starts_of(ID).len() == 1).await;
    put_workspaces(&system, 4, &["key-b", "key-c"], &["key-n"]);
    wait_until_status(node, "key-c", 200).await;
}

/// A key of two workspaces, a repeated key, one that is too long and one that is not ASCII give no access, and other callers
/// are not affected.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_and_ambiguous_keys_give_no_access() {
    let system = System::start(95, 2, 1).await;
    let node = &system.nodes[0];
    put_workspaces(&system, 2, &["key-a", "same"], &["key-n", "same"]);
    wait_until_status(node, "no-such-key", 401).await;
    let long = "k".repeat(8_000);
    for key in ["same", "key-a,key-a", "key-a ,", "k\u{e9}y", &long] {
        let answer = call(node, Method::GET, "/quotes/", Some(key)).await;
        expect_that!(answer.status, eq(401), "{key:.20}");
    }
    expect_that!(call(node, Method::GET, "/quotes/", Some("key-a")).await.status, eq(200));
    expect_that!(call(node, Method::GET, "/open/", Some("nonsense")).await.status, eq(200));
    expect_that!(node.log(), contains_substring("step=doubtful"));
}

/// Guards against a job that is cancelled by callers of other workspaces, whose cancellations its owner reads together with the
/// submission.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_workspaces_do_not_cancel_a_job_that_is_read_after_their_cancellations() {
    let system = System::start(96, 2, 1).await;
    let node = &system.nodes[0];
    put_workspaces(&system, 2, &["key-a"], &["key-n"]);
    wait_until_status(node, "no-such-key", 401).await;
    expect_that!(submit(node, &format!("/quotes/{OTHER_ID}"), Some("key-a")).await, eq(200));
    wait_until("the first job runs", async || system.starts_of(OTHER_ID).len() == 1).await;
    let (topic, part) = ("jobs.desk", 0);
    let store = &system.platform.store;
    store.set_part_fault(topic, part, Fault::Unresponsive);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let id = ID.parse().expect("a job ID");
    let queue = "r/quotes/".to_owned();
    for workspace in ["night", "morning", "noon"] {
        let caller = Caller { queue: queue.clone(), workspace: Some(workspace.to_owned()) };
        store.put(topic, &cancel_key(id), encode_cancel(&caller));
    }
    let demand = Room { cpu: 500, mem_mb: 256, gpu: 0 };
    let spec = JobSpec {
        steps: vec![Step { count: 1, demand, estimated_ms: 100, ..Step::default() }],
        queue,
        workspace: "lunch".to_owned(),
        admitted_by: 2,
        ..JobSpec::default()
    };
    store.put(topic, &submit_key(id), encode_spec(&spec));
    store.set_part_fault(topic, part, Fault::None);
    wait_until("the job runs", async || system.starts_of(ID).len() == 1).await;
}

/// Guards against a cancellation that another workspace's cancellation of the same ID replaces in the store.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_workspace_does_not_replace_a_cancellation_that_counts() {
    let mut system = System::start(98, 2, 1).await;
    put_workspaces(&system, 2, &["key-a"], &["key-n"]);
    wait_until_status(&system.nodes[0], "no-such-key", 401).await;
    // Both cancellations are acknowledged before the submission arrives.
    for key in ["key-a", "key-n"] {
        let path = format!("/quotes/{ID}");
        let answer = call(&system.nodes[0], Method::DELETE, &path, Some(key)).await;
        expect_that!(answer.status, eq(410));
    }
    system.nodes[0].kill();
    let demand = Room { cpu: 500, mem_mb: 256, gpu: 0 };
    let spec = JobSpec {
        steps: vec![Step { count: 1, demand, estimated_ms: 100, ..Step::default() }],
        queue: "r/quotes/".to_owned(),
        workspace: "lunch".to_owned(),
        admitted_by: 2,
        ..JobSpec::default()
    };
    let id = ID.parse().expect("a job ID");
    system.platform.store.put("jobs.desk", &submit_key(id), encode_spec(&spec));
    system.nodes[0].start();
    wait_until("the node is ready", || system.nodes[0].is_ready()).await;
    let next = submit(&system.nodes[0], &format!("/quotes/{OTHER_ID}"), Some("key-a")).await;
    expect_that!(next, eq(200));
    wait_until("a later job runs", async || system.starts_of(OTHER_ID).len() == 1).await;
    expect_that!(system.starts_of(ID).len(), eq(0));
}
