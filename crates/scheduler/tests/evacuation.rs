//! Data halls that the operator evacuates and returns to service.
//!
//! Guards against tasks that are started in a hall after the request to evacuate it was acknowledged, which happens if
//! no node reads the request and the VMs there are used as before.

mod system;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use system::{System, WAIT_TIMEOUT, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::Fault;

/// The time within which an evacuation must be in force, as in [`SETTINGS`].
const EVACUATE_WITHIN: Duration = Duration::from_secs(3);
const SETTINGS: &str = "evacuate_within: 3s\n";
const HALLS: [&str; 2] = ["hall-a", "hall-b"];

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Starts nodes, and two VMs in each hall.
async fn start_with_two_halls(net: u8, nodes: u8) -> System {
    let mut system = System::start(net, 0, 0).await;
    system.extra_settings = SETTINGS.to_owned();
    for (i, hall) in (0..).zip(HALLS) {
        for host in 0..2 {
            system.add_vm_in(hall, net, 100 + 10 * i + host).await;
        }
    }
    for i in 0..nodes {
        system.add_node(system::ip(net, 10 + i));
    }
    for node in &system.nodes {
        wait_until("a node is ready", || node.is_ready()).await;
    }
    system
}

/// Submits a job of more tasks than all VMs can run at once, and waits until it is completed.
async fn run_large_job(system: &System, number: u64) {
    submit(&system.nodes[0], &id(number), &job(24, 100)).await;
    wait_until_state(&system.nodes[0], &id(number), "completed").await;
}

/// Returns the number of runs started in a hall since `since`.
fn started_since(system: &System, hall: &str, since: Instant) -> usize {
    system.starts_in(hall).iter().filter(|(at, _)| *at >= since).count()
}

async fn wait_until_logged(system: &System, step: &str, times: usize) {
    let line = format!("step={step}");
    let all = async || system.nodes.iter().all(|node| node.log().matches(&line).count() >= times);
    wait_until(&format!("all nodes have logged step={step}"), all).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_starts_in_an_evacuated_hall_until_it_is_returned_to_service() {
    let system = start_with_two_halls(200, 2).await;
    system.platform.evacuate("hall-a");
    tokio::time::sleep(EVACUATE_WITHIN).await;
    let evacuated_at = Instant::now();
    for number in 0..4 {
        run_large_job(&system, number).await;
    }
    expect_that!(started_since(&system, "hall-a", evacuated_at), eq(0));
    expect_that!(started_since(&system, "hall-b", evacuated_at), ge(96));
    // The request is withdrawn and repeated in quick succession. The newest request counts.
    system.platform.return_to_service("hall-a");
    system.platform.evacuate("hall-a");
    tokio::time::sleep(EVACUATE_WITHIN).await;
    run_large_job(&system, 4).await;
    expect_that!(started_since(&system, "hall-a", evacuated_at), eq(0));
    system.platform.evacuate("hall-b");
    system.platform.return_to_service("hall-a");
    tokio::time::sleep(EVACUATE_WITHIN).await;
    let returned_at = Instant::now();
    run_large_job(&system, 5).await;
    expect_that!(started_since(&system, "hall-b", returned_at), eq(0));
    expect_that!(started_since(&system, "hall-a", returned_at), ge(24));
}

/// Guards against an evacuation that operators can only follow in the logs of all nodes: the metrics and `show` tell which VMs
/// are there, what still runs there and what waits.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_see_what_an_evacuation_does() {
    let system = start_with_two_halls(206, 1).await;
    let node = &system.nodes[0];
    submit(node, &id(1), &job(4, 0)).await;
    wait_until("both halls work", async || {
        HALLS.iter().all(|hall| !system.starts_in(hall).is_empty())
    })
    .await;
    let has = async |line: &str| node.metrics().await.lines().any(|found| found == line);
    wait_until("no hall is evacuated", async || has("thistle_halls_evacuated 0").await).await;
    expect_that!(node.show(&[]), not(contains_substring("evacuated")));
    system.platform.evacuate("hall-a");
    for line in [
        "thistle_halls_evacuated 1",
        "thistle_evacuated_vms{pool=\"desk\",state=\"listed\"} 2",
        "thistle_evacuated_vms{pool=\"desk\",state=\"busy\"} 2",
        "thistle_evacuated_vms{pool=\"desk\",state=\"cold\"} 0",
        "thistle_starts_held_by_evacuation{pool=\"desk\"} 0",
    ] {
        wait_until(line, async || has(line).await).await;
    }
    let age = async || -> f64 {
        let metrics = node.metrics().await;
        let line = metrics.lines().find(|l| l.starts_with("thistle_halls_read_age_seconds "));
        line.and_then(|l| l.split(' ').next_back()?.parse().ok()).unwrap_or(f64::NAN)
    };
    expect_that!(age().await, lt(WAIT_TIMEOUT.as_secs_f64()));
    let shown = node.show(&[]);
    expect_that!(shown, contains_substring("hall hall-a evacuated since offset"));
    expect_that!(
        shown,
        contains_substring("pool desk (node-10): 2 VMs, 0 cold, 2 tasks run there")
    );
    // A job with more tasks than the other hall has room for waits for the evacuated one.
    submit(node, &id(2), &job(100, 5_000)).await;
    let held = async || {
        let metrics = node.metrics().await;
        let line = metrics.lines().find(|l| l.starts_with("thistle_starts_held_by_evacuation{"));
        line.is_some_and(|l| !l.ends_with(" 0"))
    };
    wait_until("starts are held by the evacuation", async || held().await).await;
    system.platform.return_to_service("hall-a");
    wait_until("the evacuation is over", async || has("thistle_halls_evacuated 0").await).await;
    wait_until("no start is held any more", async || !held().await).await;
    expect_that!(node.show(&[]), not(contains_substring("evacuated since")));
}

/// Nothing starts while all halls are evacuated. Waiting tasks start as soon as a hall is back in service.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_wait_while_all_halls_are_evacuated() {
    let system = start_with_two_halls(201, 1).await;
    HALLS.iter().for_each(|hall| system.platform.evacuate(hall));
    wait_until_logged(&system, "evacuated", 2).await;
    expect_that!(submit(&system.nodes[0], &id(1), &job(4, 50)).await.status, eq(200));
    tokio::time::sleep(Duration::from_secs(1)).await;
    expect_that!(system.platform.machines.started(), is_empty());
    system.platform.return_to_service("hall-b");
    wait_until_state(&system.nodes[0], &id(1), "completed").await;
    expect_that!(system.starts_in("hall-a"), is_empty());
}

/// Runs in an evacuated hall go on. A start without an answer is not sent again, and its task runs elsewhere.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_without_an_answer_is_not_sent_again_into_an_evacuated_hall() {
    let system = start_with_two_halls(202, 1).await;
    system.platform.evacuate("hall-b");
    wait_until_logged(&system, "evacuated", 1).await;
    let set_hall_a_unresponsive = |unresponsive| {
        for vm in system.platform.machines.vms().iter().filter(|vm| vm.place.hall == "hall-a") {
            vm.set_unresponsive(unresponsive);
        }
    };
    set_hall_a_unresponsive(true);
    submit(&system.nodes[0], &id(1), &job(4, 50)).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    system.platform.evacuate("hall-a");
    system.platform.return_to_service("hall-b");
    wait_until_logged(&system, "taken-back", 1).await;
    set_hall_a_unresponsive(false);
    wait_until_state(&system.nodes[0], &id(1), "completed").await;
    expect_that!(system.starts_in("hall-a"), is_empty());
}

/// A new owner reads the request before it takes over a pool, so it does not start anything there either.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_owner_starts_nothing_in_an_evacuated_hall() {
    let mut system = start_with_two_halls(203, 2).await;
    system.platform.evacuate("hall-a");
    wait_until_logged(&system, "evacuated", 1).await;
    let evacuated_at = Instant::now();
    let owner = system.owner().expect("the pool has an owner");
    system.nodes[owner].kill();
    let other = 1 - owner;
    submit(&system.nodes[other], &id(1), &job(8, 50)).await;
    wait_until_state(&system.nodes[other], &id(1), "completed").await;
    expect_that!(started_since(&system, "hall-a", evacuated_at), eq(0));
}

/// A node that cannot read the operator's requests does not know which halls are evacuated. It starts nothing until it
/// has read them.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_cannot_read_evacuation_requests_stops_starting_tasks() {
    let system = start_with_two_halls(204, 1).await;
    system.platform.store.set_part_fault("op", 0, Fault::Busy);
    tokio::time::sleep(EVACUATE_WITHIN + Duration::from_secs(1)).await;
    let cannot_read_since = Instant::now();
    submit(&system.nodes[0], &id(1), &job(4, 50)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for hall in HALLS {
        expect_that!(started_since(&system, hall, cannot_read_since), eq(0), "{hall}");
    }
    system.platform.evacuate("hall-a");
    system.platform.store.set_part_fault("op", 0, Fault::None);
    wait_until_state(&system.nodes[0], &id(1), "completed").await;
    expect_that!(started_since(&system, "hall-a", cannot_read_since), eq(0));
}

/// Guards against VMs of an evacuated hall that stay paid for: idle ones are switched off after their replacements from another
/// hall are there, and work again once the hall is back in service.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_vms_of_an_evacuated_hall_are_switched_off_and_come_back() {
    let net = 207;
    let mut system = System::start(net, 0, 0).await;
    let machines = &system.platform.machines;
    machines.set_off_pool("off");
    for (hall, pool, host) in
        [("hall-a", "desk", 100), ("hall-a", "desk", 101), ("hall-b", "desk", 110)]
            .into_iter()
            .chain([("hall-b", "desk", 111), ("hall-c", "off", 120), ("hall-c", "off", 121)])
    {
        let (name, ip) = (format!("m-{hall}-{host}"), system::ip(net, host));
        machines.add_in(hall, &name, pool, ip).await.expect("the VM starts");
    }
    let policy = "policy:\n  need:\n    floor_vms: 4\n  moves:\n    switch_off_evacuated: true\n";
    system.extra_settings = format!("{SETTINGS}{policy}");
    system.add_node(system::ip(net, 10));
    wait_until("the node is ready", || system.nodes[0].is_ready()).await;
    run_large_job(&system, 1).await;
    let in_desk = |hall: &str| {
        let vms = system.platform.machines.vms();
        vms.iter().filter(|vm| vm.place.hall == hall && vm.place.pool == system::POOL).count()
    };
    expect_that!(HALLS.map(in_desk), eq([2, 2]));
    system.platform.evacuate("hall-a");
    wait_until("the VMs of hall c replace those of hall a", async || {
        (in_desk("hall-a"), in_desk("hall-b"), in_desk("hall-c")) == (0, 2, 2)
    })
    .await;
    run_large_job(&system, 2).await;
    // Both other halls are evacuated, so that all work needs the VMs that were switched off.
    system.platform.return_to_service("hall-a");
    HALLS[1..].iter().chain(&["hall-c"]).for_each(|hall| system.platform.evacuate(hall));
    let returned_at = Instant::now();
    submit(&system.nodes[0], &id(3), &job(24, 100)).await;
    wait_until("work starts in hall a", async || started_since(&system, "hall-a", returned_at) > 0)
        .await;
    wait_until_state(&system.nodes[0], &id(3), "completed").await;
}
