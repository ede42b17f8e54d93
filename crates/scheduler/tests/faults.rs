//! Faults with real nodes: killed nodes, a store that is down, slow, loses answers or drops its history, and VMs that crash.

mod system;

use googletest::prelude::*;
use hyper::Method;
use system::{System, job, send, submit, wait_until, wait_until_state};
use thistle_platform::standin::Fault;

const ID: &str = "5c0e7a21d94b36f8";

async fn wait_until_owned(system: &System) -> usize {
    wait_until("the pool has an owner", async || system.owner().is_some()).await;
    system.owner().expect("the pool has an owner")
}

/// Submits jobs while the store has a fault. Checks that each job is accepted or its outcome is unknown, and that its
/// tasks run once.
async fn expect_jobs_run_once_under(system: &System, fault: Fault) {
    wait_until_owned(system).await;
    system.platform.store.set_fault(fault);
    let ids: Vec<String> = (0..8).map(|i| format!("{i:016x}")).collect();
    for (i, id) in ids.iter().enumerate() {
        let answer = submit(&system.nodes[i % 2], id, &job(2, 100)).await;
        expect_that!(answer.status, any![eq(200), eq(504)]);
    }
    system.platform.store.set_fault(Fault::None);
    for id in &ids {
        wait_until_state(&system.nodes[0], id, "completed").await;
        let starts = system.starts_of(id);
        expect_that!(starts.len(), eq(2));
        expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_owner_is_replaced_and_its_tasks_go_on() {
    let mut system = System::start(11, 2, 2).await;
    let owner = wait_until_owned(&system).await;
    let other = 1 - owner;
    submit(&system.nodes[other], ID, &job(4, 5_000)).await;
    wait_until("all tasks were started", async || system.starts_of(ID).len() == 4).await;
    system.nodes[owner].kill();
    wait_until_state(&system.nodes[other], ID, "completed").await;
    expect_that!(system.owner(), some(eq(other)));
    expect_that!(system.starts_of(ID).values().all(|&n| n == 1), eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_survives_the_death_of_every_node_right_after_its_acceptance() {
    let mut system = System::start(12, 2, 2).await;
    wait_until_owned(&system).await;
    let answer = submit(&system.nodes[0], ID, &job(3, 300)).await;
    for node in &mut system.nodes {
        node.kill();
    }
    expect_that!(answer.status, eq(200));
    for node in &mut system.nodes {
        node.start();
    }
    wait_until("a node is ready", || system.nodes[0].is_ready()).await;
    wait_until_state(&system.nodes[0], ID, "completed").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn while_the_store_is_down_jobs_are_refused_at_once_and_never_run() {
    let system = System::start(13, 2, 1).await;
    wait_until_owned(&system).await;
    system.platform.store.set_fault(Fault::Busy);
    let refused = submit(&system.nodes[0], ID, &job(1, 10)).await;
    expect_that!(refused.status, eq(503));
    wait_until("the node is not ready", async || !system.nodes[0].is_ready().await).await;
    system.platform.store.set_fault(Fault::None);
    wait_until("the node is ready again", || system.nodes[0].is_ready()).await;
    expect_that!(
        send(&system.nodes[0], Method::GET, &format!("/quotes/{ID}")).await.status,
        eq(410)
    );
    let later = "00000000000000ab";
    submit(&system.nodes[0], later, &job(1, 10)).await;
    wait_until_state(&system.nodes[0], later, "completed").await;
    expect_that!(system.starts_of(ID).len(), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_the_store_loses_duplicate_no_job_and_no_task() {
    let system = System::start(14, 2, 2).await;
    expect_jobs_run_once_under(&system, Fault::LosesAnswers).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_when_the_owners_right_to_act_lapses_during_a_store_outage() {
    let system = System::start(15, 2, 2).await;
    wait_until_owned(&system).await;
    submit(&system.nodes[0], ID, &job(2, 6_000)).await;
    wait_until("both tasks were started", async || system.starts_of(ID).len() == 2).await;
    system.platform.store.set_fault(Fault::Unresponsive);
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    system.platform.store.set_fault(Fault::None);
    wait_until_state(&system.nodes[0], ID, "completed").await;
    expect_that!(system.starts_of(ID).values().all(|&n| n == 1), eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_is_in_force_when_the_history_before_it_was_dropped() {
    let system = System::start(16, 1, 1).await;
    let node = &system.nodes[0];
    expect_that!(send(node, Method::GET, "/plans/").await.status, eq(404));
    system.put_config(5, &["/quotes/", "/plans/"]);
    system.platform.store.drop_history("op");
    let status = async |path: &str| send(node, Method::GET, path).await.status;
    wait_until("the new queue is there", async || status("/plans/").await == 200).await;
    // An older version that arrives late has no effect.
    system.put_config(4, &["/quotes/"]);
    system.put_config(6, &["/plans/"]);
    wait_until("the old queue is gone", async || status("/quotes/").await == 404).await;
    expect_that!(status("/plans/").await, eq(200));
}

/// Guards against tasks of an unresponsive VM that never run elsewhere. If each try to reach the VM counts as a renewal
/// of its lease, the lease never expires and the runs never count as ended.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_an_unresponsive_vm_run_on_another_once_their_lease_expires() {
    let system = System::start(18, 2, 1).await;
    wait_until_owned(&system).await;
    submit(&system.nodes[0], ID, &job(4, 1_500)).await;
    wait_until("all tasks were started", async || system.starts_of(ID).len() == 4).await;
    let busy = system.platform.machines.vms().into_iter().find(|vm| !vm.running().is_empty());
    busy.expect("one VM runs the tasks").set_unresponsive(true);
    wait_until_state(&system.nodes[0], ID, "completed").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_a_vm_that_crashes_run_on_another() {
    let system = System::start(17, 2, 1).await;
    wait_until_owned(&system).await;
    submit(&system.nodes[0], ID, &job(4, 1_500)).await;
    wait_until("all tasks were started", async || system.starts_of(ID).len() == 4).await;
    let busy = system.platform.machines.vms().into_iter().find(|vm| !vm.running().is_empty());
    let name = busy.expect("one VM runs the tasks").place.name.clone();
    system.platform.machines.crash(&name).await.expect("the VM comes up again");
    wait_until_state(&system.nodes[0], ID, "completed").await;
}

/// Guards against submissions that are refused or not answered while the store is slow, because appends that time out
/// too early are sent again and fill the store's queue.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_store_accepts_every_job() {
    let system = System::start(19, 2, 2).await;
    wait_until_owned(&system).await;
    system.platform.store.set_fault(Fault::Slow);
    // The nodes notice that the store is slow.
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

/// Guards against requests that time out while the store is slow. If an append takes a quarter of a second and each of
/// 32 nodes sends its own, the appends wait for each other. So nodes forward submissions to the owner instead.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_forward_submissions_to_the_owner_while_the_store_is_slow() {
    let system = System::start(45, 1, 2).await;
    let owner = wait_until_owned(&system).await;
    // The nodes receive the heartbeats of each other.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    system.platform.store.set_fault(Fault::Slow);
    // The nodes notice that the store is slow.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let other = &system.nodes[1 - owner];
    for i in 0..6 {
        let answer = submit(other, &format!("{i:016x}"), &job(1, 10)).await;
        expect_that!(answer.status, eq(200));
    }
    expect_that!(other.metrics().await, contains_substring("thistle_handed_over"));
    system.platform.store.set_fault(Fault::None);
    for i in 0..6 {
        wait_until_state(other, &format!("{i:016x}"), "completed").await;
    }
}

/// Guards against callers that wait until their deadline when the store becomes 50 times slower. Until 97 nodes notice,
/// each appends its jobs by itself, so that the first partition's queue is full for seconds. If refused nodes then use
/// the fallback partition, its queue is full as well, and an owner that tries one partition after the other waits 2.1 s
/// for both, while new submissions get no place in the queue within a second. In this test the first partition's queue
/// stays full.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_store_accepts_jobs_while_their_first_partition_is_full() {
    let system = System::start(46, 1, 2).await;
    let owner = wait_until_owned(&system).await;
    // The nodes receive the heartbeats of each other.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    system.platform.store.set_fault(Fault::Slow);
    let other_client =
        std::sync::Arc::new(thistle_platform::Store::new(system.platform.store_addr()));
    for _ in 0..60 {
        let other_client = other_client.clone();
        tokio::spawn(async move {
            // A cancel of a job that is never submitted has no effect.
            let record = thistle_platform::KeyedRecord::new("c00000000000000ee", vec![1]);
            loop {
                let guard = thistle_platform::Guard::Always;
                let _ =
                    other_client.append("jobs.desk", 0, guard, std::slice::from_ref(&record)).await;
            }
        });
    }
    // The nodes notice that the store is slow.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    for i in 0..12 {
        let answer =
            submit(&system.nodes[(owner + i) % 2], &format!("{i:016x}"), &job(1, 10)).await;
        expect_that!(answer.status, eq(200), "job {i}");
    }
    system.platform.store.set_fault(Fault::None);
    for i in 0..12 {
        wait_until_state(&system.nodes[owner], &format!("{i:016x}"), "completed").await;
    }
}

/// Guards against a node that replies that there is no such job although it cannot read new records, because its other
/// calls to the store succeed.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_cannot_be_looked_up_is_not_reported_as_unknown() {
    let system = System::start(20, 1, 2).await;
    wait_until_owned(&system).await;
    expect_that!(submit(&system.nodes[0], ID, &job(1, 0)).await.status, eq(200));
    system.platform.store.set_fault(Fault::Busy);
    let unknown = send(&system.nodes[1], Method::GET, "/quotes/00000000000000ac").await;
    expect_that!(unknown.status, eq(503));
    system.platform.store.set_fault(Fault::None);
    wait_until_state(&system.nodes[1], ID, "running").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn appends_that_are_executed_late_duplicate_no_job_and_no_task() {
    let system = System::start(21, 2, 2).await;
    expect_jobs_run_once_under(&system, Fault::Late).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_that_are_executed_late_run_no_task_twice() {
    let system = System::start(22, 2, 1).await;
    wait_until_owned(&system).await;
    for vm in system.platform.machines.vms() {
        vm.execute_late(true);
    }
    let ids: Vec<String> = (0..4).map(|i| format!("{i:016x}")).collect();
    for id in &ids {
        submit(&system.nodes[0], id, &job(2, 300)).await;
    }
    for id in &ids {
        wait_until_state(&system.nodes[0], id, "completed").await;
    }
    // Late copies have been executed after this delay.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    for id in &ids {
        let starts = system.starts_of(id);
        expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
    }
}

/// Guards against a node that cannot read new records and reports an outdated count.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_count_that_cannot_be_read_is_not_reported() {
    let system = System::start(23, 1, 1).await;
    wait_until_owned(&system).await;
    expect_that!(send(&system.nodes[0], Method::GET, "/quotes/").await.status, eq(200));
    system.platform.store.set_fault(Fault::Busy);
    let status = async || send(&system.nodes[0], Method::GET, "/quotes/").await.status;
    wait_until("the count is not reported", async || status().await == 503).await;
}

/// Guards against a pool that has no owner for 1.5 s after its owner released it, when the store is 46 times slower than
/// usual. If a node reads the heartbeats of others only after its own was answered or timed out, it concludes that it
/// cannot receive, and such a node claims no pool.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_whose_heartbeat_has_no_answer_still_receives_heartbeats() {
    let system = System::start(100, 2, 3).await;
    wait_until("the pool has an owner", async || system.owner().is_some()).await;
    // One partition loses answers, and the other one does not respond.
    system.platform.store.set_part_fault("control", 1, Fault::LosesAnswers);
    system.platform.store.set_part_fault("control", 4, Fault::Unresponsive);
    let failed =
        async || system.nodes.iter().all(|node| node.log().contains("heartbeat step=failed"));
    wait_until("each node has sent a heartbeat that was not answered", failed).await;
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    for node in &system.nodes {
        // A node logs this once at its start, when it has not received anything yet.
        expect_that!(node.log().matches("heartbeat step=listening-again").count(), eq(1));
    }
}
