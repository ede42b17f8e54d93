//! Failures with real nodes: owners killed, everything killed, the store down or losing answers,
//! its history dropped, VMs that crash.

mod system;

use googletest::prelude::*;
use hyper::Method;
use system::{System, job, send, submit, until, until_state};
use thistle_platform::standin::Fault;

const ID: &str = "5c0e7a21d94b36f8";

async fn until_owned(system: &System) -> usize {
    until("the pool has an owner", async || system.owner().is_some()).await;
    system.owner().expect("it has one")
}

/// Hands jobs in while the store has a fault: each is kept or may be, and runs once.
async fn run_jobs_under(system: &System, fault: Fault) {
    until_owned(system).await;
    system.platform.store.set_fault(fault);
    let ids: Vec<String> = (0..8).map(|i| format!("{i:016x}")).collect();
    for (i, id) in ids.iter().enumerate() {
        let answer = submit(&system.nodes[i % 2], id, &job(2, 100)).await;
        expect_that!(answer.status, any![eq(200), eq(504)]);
    }
    system.platform.store.set_fault(Fault::None);
    for id in &ids {
        until_state(&system.nodes[0], id, "completed").await;
        let starts = system.starts_of(id);
        expect_that!(starts.len(), eq(2));
        expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_is_killed_is_replaced_and_its_work_goes_on() {
    let mut system = System::start(11, 2, 2).await;
    let owner = until_owned(&system).await;
    let other = 1 - owner;
    submit(&system.nodes[other], ID, &job(4, 5_000)).await;
    until("all tasks were started", async || system.starts_of(ID).len() == 4).await;
    system.nodes[owner].kill();
    until_state(&system.nodes[other], ID, "completed").await;
    expect_that!(system.owner(), some(eq(other)));
    expect_that!(system.starts_of(ID).values().all(|&n| n == 1), eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_outlives_the_death_of_every_node_right_after_its_acceptance() {
    let mut system = System::start(12, 2, 2).await;
    until_owned(&system).await;
    let answer = submit(&system.nodes[0], ID, &job(3, 300)).await;
    for node in &mut system.nodes {
        node.kill();
    }
    expect_that!(answer.status, eq(200));
    for node in &mut system.nodes {
        node.start();
    }
    until("a node is ready", || system.nodes[0].is_ready()).await;
    until_state(&system.nodes[0], ID, "completed").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn while_the_store_is_down_jobs_are_refused_at_once_and_never_run() {
    let system = System::start(13, 2, 1).await;
    until_owned(&system).await;
    system.platform.store.set_fault(Fault::Busy);
    let refused = submit(&system.nodes[0], ID, &job(1, 10)).await;
    expect_that!(refused.status, eq(503));
    until("it is not ready", async || !system.nodes[0].is_ready().await).await;
    system.platform.store.set_fault(Fault::None);
    until("it is ready again", || system.nodes[0].is_ready()).await;
    expect_that!(
        send(&system.nodes[0], Method::GET, &format!("/quotes/{ID}")).await.status,
        eq(410)
    );
    let later = "00000000000000ab";
    submit(&system.nodes[0], later, &job(1, 10)).await;
    until_state(&system.nodes[0], later, "completed").await;
    expect_that!(system.starts_of(ID).len(), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_the_store_loses_double_no_job_and_no_task() {
    let system = System::start(14, 2, 2).await;
    run_jobs_under(&system, Fault::LosesAnswers).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_goes_silent_ends_the_owners_right_and_gives_it_back() {
    let system = System::start(15, 2, 2).await;
    until_owned(&system).await;
    submit(&system.nodes[0], ID, &job(2, 6_000)).await;
    until("both tasks were started", async || system.starts_of(ID).len() == 2).await;
    system.platform.store.set_fault(Fault::Unresponsive);
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    system.platform.store.set_fault(Fault::None);
    until_state(&system.nodes[0], ID, "completed").await;
    expect_that!(system.starts_of(ID).values().all(|&n| n == 1), eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_is_in_force_also_when_the_history_before_it_was_dropped() {
    let system = System::start(16, 1, 1).await;
    let node = &system.nodes[0];
    expect_that!(send(node, Method::GET, "/plans/").await.status, eq(404));
    system.put_config(5, &["/quotes/", "/plans/"]);
    system.platform.store.drop_history("op");
    let status = async |path: &str| send(node, Method::GET, path).await.status;
    until("the new queue is there", async || status("/plans/").await == 200).await;
    // An older version that comes late changes nothing.
    system.put_config(4, &["/quotes/"]);
    system.put_config(6, &["/plans/"]);
    until("the old queue is gone", async || status("/quotes/").await == 404).await;
    expect_that!(status("/plans/").await, eq(200));
}

/// Trasteo Listo, hunt seed 34770722813 (LOST): the lease of a VM that did not answer was counted as
/// given anew at each try to reach it, and its tasks never counted as over.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_a_vm_that_falls_silent_run_on_another_once_their_lease_is_over() {
    let system = System::start(18, 2, 1).await;
    until_owned(&system).await;
    submit(&system.nodes[0], ID, &job(4, 1_500)).await;
    until("all tasks were started", async || system.starts_of(ID).len() == 4).await;
    let busy = system.platform.machines.vms().into_iter().find(|vm| !vm.running().is_empty());
    busy.expect("one runs them").set_unresponsive(true);
    until_state(&system.nodes[0], ID, "completed").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_a_vm_that_crashes_run_on_another() {
    let system = System::start(17, 2, 1).await;
    until_owned(&system).await;
    submit(&system.nodes[0], ID, &job(4, 1_500)).await;
    until("all tasks were started", async || system.starts_of(ID).len() == 4).await;
    let busy = system.platform.machines.vms().into_iter().find(|vm| !vm.running().is_empty());
    let name = busy.expect("one runs them").place.name.clone();
    system.platform.machines.crash(&name).await.expect("it comes back");
    until_state(&system.nodes[0], ID, "completed").await;
}

/// Budnet, drawn day 65fb: while the store was slow, appends that were given up too soon and sent
/// again filled its queue, and 420 tries were refused or not answered.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_store_takes_every_job_in_the_end() {
    let system = System::start(19, 2, 2).await;
    until_owned(&system).await;
    system.platform.store.set_fault(Fault::Slow);
    // The nodes notice.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let system = std::sync::Arc::new(system);
    let submit_one = |i: usize| {
        let system = system.clone();
        tokio::spawn(async move {
            let id = format!("{i:016x}");
            submit(&system.nodes[i % 2], &id, &job(1, 10)).await.status
        })
    };
    let mut answers = Vec::new();
    for i in 0..40 {
        answers.push(submit_one(i));
        tokio::time::sleep(std::time::Duration::from_millis(25)).await;
    }
    for answer in answers {
        expect_that!(answer.await.expect("no panic"), eq(200));
    }
}

/// Meskel Deskworks grown, trouble-2, 9 to 14 s: while each append took a quarter of a second, those of
/// 32 nodes waited for each other, and 327 requests got no answer in time.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn while_the_store_is_slow_nodes_hand_submissions_to_the_owner() {
    let system = System::start(45, 1, 2).await;
    let owner = until_owned(&system).await;
    // The nodes hear of each other.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    system.platform.store.set_fault(Fault::Slow);
    // The nodes notice.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let other = &system.nodes[1 - owner];
    for i in 0..6 {
        let answer = submit(other, &format!("{i:016x}"), &job(1, 10)).await;
        expect_that!(answer.status, eq(200));
    }
    expect_that!(other.metrics().await, contains_substring("thistle_handed_over"));
    system.platform.store.set_fault(Fault::None);
    for i in 0..6 {
        until_state(other, &format!("{i:016x}"), "completed").await;
    }
}

/// Symptom: while the store was slow (50 times) at the onset of a turn, 244 of 441 callers were held until their deadline (the
/// large fleet, hunted trouble-2, 10 to 12 s). Sequence: 97 nodes append each job by itself until they notice; the first partition's
/// queue is full for seconds, those that it refuses fill the spare one's; what is handed to the owner waits behind both for 2.1 s, and what
/// comes meanwhile has no turn within a second. Cause: a node that was refused tried the spare partition, and the owner asked
/// one partition after the other. Here the first partition stays full; before, all twelve were refused.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_store_keeps_jobs_though_their_first_partition_is_full() {
    let system = System::start(46, 1, 2).await;
    let owner = until_owned(&system).await;
    // The nodes hear of each other.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    system.platform.store.set_fault(Fault::Slow);
    let others = std::sync::Arc::new(thistle_platform::Store::new(system.platform.store_addr()));
    for _ in 0..60 {
        let others = others.clone();
        tokio::spawn(async move {
            // A cancel of a job that never comes changes nothing.
            let record = thistle_platform::KeyedRecord::new("c00000000000000ee", vec![1]);
            loop {
                let guard = thistle_platform::Guard::Always;
                let _ = others.append("jobs.desk", 0, guard, std::slice::from_ref(&record)).await;
            }
        });
    }
    // The nodes notice.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    for i in 0..12 {
        let answer =
            submit(&system.nodes[(owner + i) % 2], &format!("{i:016x}"), &job(1, 10)).await;
        expect_that!(answer.status, eq(200), "job {i}");
    }
    system.platform.store.set_fault(Fault::None);
    for i in 0..12 {
        until_state(&system.nodes[owner], &format!("{i:016x}"), "completed").await;
    }
}

/// Budnet, sweep at 300 machines (LOST): a node that could not read on said that there was no such
/// job, as its other calls to the store went through.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_cannot_be_looked_up_is_not_said_to_be_unknown() {
    let system = System::start(20, 1, 2).await;
    until_owned(&system).await;
    expect_that!(submit(&system.nodes[0], ID, &job(1, 0)).await.status, eq(200));
    system.platform.store.set_fault(Fault::Busy);
    let unknown = send(&system.nodes[1], Method::GET, "/quotes/00000000000000ac").await;
    expect_that!(unknown.status, eq(503));
    system.platform.store.set_fault(Fault::None);
    until_state(&system.nodes[1], ID, "running").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn appends_that_are_done_late_double_no_job_and_no_task() {
    let system = System::start(21, 2, 2).await;
    run_jobs_under(&system, Fault::Late).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_that_are_carried_out_late_run_no_task_twice() {
    let system = System::start(22, 2, 1).await;
    until_owned(&system).await;
    for vm in system.platform.machines.vms() {
        vm.execute_late(true);
    }
    let ids: Vec<String> = (0..4).map(|i| format!("{i:016x}")).collect();
    for id in &ids {
        submit(&system.nodes[0], id, &job(2, 300)).await;
    }
    for id in &ids {
        until_state(&system.nodes[0], id, "completed").await;
    }
    // The late copies have come by then.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    for id in &ids {
        let starts = system.starts_of(id);
        expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
    }
}

/// Budnet grown, hunt-10af-7 (MIXED): a node that could not read on told an old count.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_count_that_cannot_be_read_is_not_told() {
    let system = System::start(23, 1, 1).await;
    until_owned(&system).await;
    expect_that!(send(&system.nodes[0], Method::GET, "/quotes/").await.status, eq(200));
    system.platform.store.set_fault(Fault::Busy);
    let status = async || send(&system.nodes[0], Method::GET, "/quotes/").await.status;
    until("the count is not told", async || status().await == 503).await;
}

/// Symptom: beside a store 46 times as slow a pool that was given up stood without an owner for 1.5 s after all nodes knew of
/// it. Cause: a node read the heartbeats of others only after its own was answered or given up, so that it took itself
/// for deaf, and a deaf node claims nothing.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_heartbeat_without_an_answer_makes_no_node_deaf() {
    let system = System::start(100, 2, 3).await;
    until("the pool has an owner", async || system.owner().is_some()).await;
    // One partition loses answers, and the other one says nothing.
    system.platform.store.set_part_fault("control", 1, Fault::LosesAnswers);
    system.platform.store.set_part_fault("control", 4, Fault::Unresponsive);
    let failed =
        async || system.nodes.iter().all(|node| node.log().contains("heartbeat step=failed"));
    until("each node has sent one that was not answered", failed).await;
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    for node in &system.nodes {
        // A node that starts has heard nothing yet.
        expect_that!(node.log().matches("heartbeat step=listening-again").count(), eq(1));
    }
}
