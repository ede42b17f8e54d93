//! Lists of a VM's runs that arrive after the reply to a start that they do not contain yet, with real nodes.
//!
//! Orders and lists use separate connections, so a list that was made before a start was carried out may arrive after the
//! start's reply. If the owner treats that list as newer than the start, the run counts as gone and its task is started again
//! elsewhere. Here a proxy in front of the VM holds a list back until the reply to the start. The node may also be paused in
//! between, so that it receives both at once.

mod proxy;
mod system;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use proxy::ReceivedCall;
use system::{System, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::paths::{HOLD, START};
use tokio::sync::watch;

const ID: &str = "5c0e7a21d94b36f8";
/// How long the node is paused.
const PAUSED_FOR: Duration = Duration::from_millis(1_500);

/// Controls when the proxy between a node and its VM forwards a list and the reply to a start.
#[derive(Default)]
struct Gate {
    /// Whether the next list is made at once and held back.
    armed: AtomicBool,
    list_made: watch::Sender<bool>,
    list_released: watch::Sender<bool>,
    start_done: watch::Sender<bool>,
    start_released: watch::Sender<bool>,
}

async fn wait_until_set(flag: &watch::Sender<bool>) {
    let mut flag = flag.subscribe();
    let _ = flag.wait_for(|&set| set).await;
}

async fn forward_through(gate: Arc<Gate>, request: ReceivedCall) -> Option<String> {
    // A list that is requested without waiting is not held back, as its request soon times out.
    let waits = request.path == HOLD && request.field("waitMs") != "null";
    if waits && gate.armed.swap(false, Ordering::Relaxed) {
        let list = request.without_wait().forward().await;
        gate.list_made.send_replace(true);
        wait_until_set(&gate.list_released).await;
        return list;
    }
    let reply = request.forward().await;
    if request.path == START && *gate.list_made.borrow() {
        gate.start_done.send_replace(true);
        wait_until_set(&gate.start_released).await;
    }
    reply
}

/// Starts a node with two VMs behind gates, has each VM make a list that its gate holds back, and then has a task started.
/// Returns the gate of the VM that got the task. If the run there counted as gone, the task would be started on the other VM.
async fn start_after_list(net: u8, ms: u32) -> (System, Arc<Gate>) {
    let mut system = System::start(net, 2, 0).await;
    let gates: Vec<Arc<Gate>> = vec![Arc::default(), Arc::default()];
    let vms = system.platform.machines.vms();
    for (vm, gate) in vms.iter().zip(&gates) {
        let gate = gate.clone();
        proxy::start_vm_proxy(&system.platform, vm, move |request| {
            forward_through(gate.clone(), request)
        })
        .await;
    }
    system.add_node(system::ip(net, 10));
    wait_until("the node is ready", || system.nodes[0].is_ready()).await;
    // Lists of both VMs are held back, as the node decides which VM gets the task.
    for gate in &gates {
        gate.armed.store(true, Ordering::Relaxed);
    }
    for gate in &gates {
        wait_until_set(&gate.list_made).await;
    }
    expect_that!(submit(&system.nodes[0], ID, &job(1, ms)).await.status, eq(200));
    let started = gates.iter().map(|gate| Box::pin(wait_until_set(&gate.start_done)));
    let (_, task_vm, _) = futures::future::select_all(started).await;
    for (i, gate) in gates.iter().enumerate() {
        if i != task_vm {
            gate.list_released.send_replace(true);
            gate.start_released.send_replace(true);
        }
    }
    (system, gates[task_vm].clone())
}

async fn expect_one_start(system: &System) {
    wait_until_state(&system.nodes[0], ID, "completed").await;
    let starts = system.platform.machines.started();
    expect_that!(starts.len(), eq(1), "{starts:?}");
    expect_that!(system.nodes[0].log().contains("step=not-listed"), eq(false));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_list_older_than_a_start_ends_no_run_after_the_reply() {
    let (system, gate) = start_after_list(91, 1_500).await;
    gate.start_released.send_replace(true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    gate.list_released.send_replace(true);
    expect_one_start(&system).await;
}

/// Which reply arrives first when the node resumes.
#[derive(Clone, Copy, Debug)]
enum First {
    List,
    Start,
}

async fn expect_one_start_after_pause(net: u8, ms: u32, first: First) {
    let (system, gate) = start_after_list(net, ms).await;
    let node = &system.nodes[0];
    node.signal("STOP");
    let (one, other) = match first {
        First::List => (&gate.list_released, &gate.start_released),
        First::Start => (&gate.start_released, &gate.list_released),
    };
    one.send_replace(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    other.send_replace(true);
    tokio::time::sleep(PAUSED_FOR).await;
    node.signal("CONT");
    expect_one_start(&system).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_node_that_receives_an_older_list_before_the_reply_starts_once() {
    expect_one_start_after_pause(92, 3_000, First::List).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_node_that_receives_an_older_list_after_the_reply_starts_once() {
    expect_one_start_after_pause(93, 3_000, First::Start).await;
}

/// The run ends while the node is paused, so that no list ever contains it as running.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_that_ended_during_a_pause_is_not_restarted_for_an_older_list() {
    expect_one_start_after_pause(94, 300, First::List).await;
}
