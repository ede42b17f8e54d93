//! Cancellations, counts and states of jobs whose queue is routed to another pool, with real nodes.
//!
//! Guards against calls that reach only the pool of the present route, although another pool has the job.

mod rerouting;
mod system;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hyper::Method;
use rerouting::{BARE, HUB, QUEUE, Rerouting, ids};
use serde_json::json;
use system::{POOL, job, send, state, submit, wait_until, wait_until_state};
use thistle_platform::standin::{Fault, RunEvent, RunEventKind, bodies};
use thistle_schedule::Caller;

const NODES: u8 = 3;
const JOBS: u64 = 6;
const BY_LOAD: &str = "policy:\n  admission:\n    by_load: true\n";
/// The time after the acknowledgement of a cancellation from which no task of the job may be started.
const CANCEL_WITHIN: Duration = Duration::from_secs(3);
/// How long a job occupies the VMs of a pool, in milliseconds. A cancellation is acknowledged in the first half of it.
const FILLER_MS: u64 = 8_000;
/// How long the store must have been healthy before jobs are refused, and a margin.
const HEALTHY: Duration = Duration::from_millis(3_500);
/// More jobs of 64 tasks than any pool accepts at once.
const MAX_FILLING_JOBS: u32 = 80;

fn running(rerouting: &Rerouting, id: &str) -> usize {
    let vms = rerouting.system.platform.machines.vms();
    vms.iter().flat_map(|vm| vm.running()).filter(|task| task.starts_with(id)).count()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_reaches_a_job_whose_pool_cannot_be_read_after_a_route_change() {
    let mut rerouting = Rerouting::start(1, NODES).await;
    let ids = ids(JOBS);
    for id in &ids {
        submit(&rerouting.system.nodes[0], id, &job(1, 0)).await;
    }
    wait_until("all jobs run", async || ids.iter().all(|id| running(&rerouting, id) == 1)).await;
    rerouting.route_to(Some(HUB)).await;
    // No node has the jobs in memory, and none can read their submissions.
    rerouting.system.nodes.iter_mut().for_each(system::Node::kill);
    let store = rerouting.system.platform.store.clone();
    let set_fault =
        |fault| [0, 2].iter().for_each(|&part| store.set_part_fault("jobs.desk", part, fault));
    set_fault(Fault::Unresponsive);
    rerouting.system.nodes.iter_mut().for_each(system::Node::start);
    for node in &rerouting.system.nodes {
        wait_until("a node is ready", || node.is_ready()).await;
    }
    for (i, id) in ids.iter().enumerate() {
        let node = &rerouting.system.nodes[i % usize::from(NODES)];
        let answer = send(node, Method::DELETE, &format!("/quotes/{id}")).await;
        // The pool that has the job may start it before the cancellation is passed on.
        expect_that!(answer.status, any![eq(503), eq(504)], "{id}");
    }
    set_fault(Fault::None);
    for node in &rerouting.system.nodes {
        for id in &ids {
            wait_until_state(node, id, "cancelled").await;
        }
    }
    wait_until("no job runs", async || ids.iter().all(|id| running(&rerouting, id) == 0)).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_before_a_route_change_stops_a_job_that_arrives_after_it() {
    let mut rerouting = Rerouting::start(2, NODES).await;
    let ids = ids(JOBS);
    for id in &ids {
        let answer =
            send(&rerouting.system.nodes[0], Method::DELETE, &format!("/quotes/{id}")).await;
        expect_that!(answer.status, eq(410), "{id}");
    }
    rerouting.route_to(Some(HUB)).await;
    for id in &ids {
        expect_that!(submit(&rerouting.system.nodes[1], id, &job(1, 10)).await.status, eq(200));
    }
    for id in &ids {
        wait_until_state(&rerouting.system.nodes[2], id, "cancelled").await;
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for id in &ids {
        expect_that!(rerouting.system.starts_of(id).len(), eq(0), "{id}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_in_the_new_pool_stops_a_job_that_runs_in_the_previous_one() {
    let mut rerouting = Rerouting::start(3, NODES).await;
    let ids = ids(JOBS);
    for id in &ids {
        submit(&rerouting.system.nodes[0], id, &job(1, 0)).await;
    }
    wait_until("all jobs run", async || ids.iter().all(|id| running(&rerouting, id) == 1)).await;
    rerouting.route_to(Some(HUB)).await;
    for id in &ids {
        // The copies are in the new pool when the cancellations are written there.
        submit(&rerouting.system.nodes[1], id, &job(1, 0)).await;
        rerouting.write_cancellation(HUB, id);
    }
    wait_until("no job runs", async || ids.iter().all(|id| running(&rerouting, id) == 0)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    expect_that!(rerouting.started_again(&ids), is_empty());
}

/// Guards against a cancellation that is not passed on because a caller of another queue, which no pool has, cancelled the ID too.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_cancellation_in_the_previous_pool_is_passed_on_by_its_own_queue() {
    let mut rerouting = Rerouting::start(9, NODES).await;
    rerouting.route_to(Some(HUB)).await;
    let ids = ids(1);
    let other = Caller { queue: "r/nowhere/".to_owned(), workspace: None };
    rerouting.write_cancellation_of(&other, POOL, &ids[0]);
    rerouting.write_cancellation(POOL, &ids[0]);
    let passed_on = format!("job id={} step=passed-on from=desk to=hub", ids[0]);
    tokio::time::sleep(Duration::from_secs(3)).await;
    expect_that!(rerouting.has_logged(&passed_on), eq(true));
    submit(&rerouting.system.nodes[0], &ids[0], &job(1, 0)).await;
    wait_until_state(&rerouting.system.nodes[0], &ids[0], "cancelled").await;
    expect_that!(running(&rerouting, &ids[0]), eq(0));
}

/// Guards against a cancellation that is not passed on because one of another workspace was, before the submission was read.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_is_passed_on_after_one_of_another_workspace() {
    let mut rerouting = Rerouting::start(10, NODES).await;
    rerouting.cap = Some(16_000);
    rerouting.route_to(Some(HUB)).await;
    let ids = ids(1);
    let caller =
        |workspace: &str| Caller { queue: QUEUE.to_owned(), workspace: Some(workspace.to_owned()) };
    rerouting.write_cancellation_of(&caller("night"), POOL, &ids[0]);
    let passed_on = format!("job id={} step=passed-on from=desk to=hub", ids[0]);
    wait_until("it is passed on", async || rerouting.has_logged(&passed_on)).await;
    rerouting.write_submission_of("lunch", POOL, &ids[0], 0);
    wait_until("the job runs", async || running(&rerouting, &ids[0]) > 0).await;
    rerouting.write_cancellation_of(&caller("lunch"), POOL, &ids[0]);
    wait_until("the job is stopped", async || running(&rerouting, &ids[0]) == 0).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_count_of_pending_jobs_includes_those_accepted_before_a_route_change() {
    let mut rerouting = Rerouting::start(4, NODES).await;
    let ids = ids(JOBS);
    rerouting.route_to(Some(BARE)).await;
    for id in &ids {
        submit(&rerouting.system.nodes[0], id, &job(1, 100)).await;
    }
    let expected = format!("{{\"pending\":{JOBS}}}");
    for node in 0..usize::from(NODES) {
        wait_until("all are pending", async || rerouting.pending(node).await == expected).await;
    }
    rerouting.route_to(None).await;
    rerouting.route_to(Some(HUB)).await;
    for node in 0..usize::from(NODES) {
        expect_that!(rerouting.pending(node).await, eq(&expected), "node {node}");
    }
    // Copies are not counted again once the new pool's owner has decided on them.
    for id in &ids {
        submit(&rerouting.system.nodes[1], id, &job(1, 100)).await;
    }
    for node in 0..usize::from(NODES) {
        wait_until("copies do not count", async || rerouting.pending(node).await == expected).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_node_knows_a_job_while_its_queue_is_routed_back_and_forth() {
    let mut rerouting = Rerouting::start(5, NODES).await;
    let ids = ids(JOBS);
    for (i, id) in ids.iter().enumerate() {
        rerouting.put_route(Some([HUB, POOL][i % 2]));
        let accepted = async || {
            let answer = submit(&rerouting.system.nodes[i % 3], id, &job(2, 600)).await;
            answer.status == 200
        };
        wait_until("the job is accepted", accepted).await;
        for _ in 0..10 {
            for known in &ids[..=i] {
                for node in &rerouting.system.nodes {
                    expect_that!(state(node, known).await, not(eq("410")), "{known}");
                }
            }
        }
    }
    rerouting.wait_until_completed(&ids).await;
    expect_that!(rerouting.started_again(&ids), is_empty());
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_see_the_assignment_of_a_queue_and_the_pool_of_a_job_after_a_route_change() {
    let mut rerouting = Rerouting::start(6, NODES).await;
    let id = &ids(1)[0];
    submit(&rerouting.system.nodes[0], id, &job(1, 0)).await;
    wait_until("the job runs", async || running(&rerouting, id) == 1).await;
    rerouting.route_to(Some(HUB)).await;
    submit(&rerouting.system.nodes[1], id, &job(1, 0)).await;
    let shown = async || {
        let shown = rerouting.system.nodes[0].show(&["--job", id]);
        shown.contains("queue r/quotes/ assigned to hub by version 3, before to: desk")
            && shown.contains(&format!("job {id} running queue r/quotes/ pool desk"))
    };
    wait_until("the assignment and the job are shown", shown).await;
}

/// Guards against a refusal that is not true: the job was accepted before its queue was routed to a pool that is full.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_sent_again_to_a_full_pool_after_a_route_change_is_not_refused() {
    let mut rerouting = Rerouting::start_with_settings(7, NODES, BY_LOAD).await;
    let ids = ids(JOBS);
    for id in &ids {
        expect_that!(submit(&rerouting.system.nodes[0], id, &job(1, 0)).await.status, eq(200));
    }
    wait_until("all jobs run", async || ids.iter().all(|id| running(&rerouting, id) == 1)).await;
    rerouting.route_to(Some(HUB)).await;
    tokio::time::sleep(HEALTHY).await;
    let (mut number, node) = (0, &rerouting.system.nodes[0]);
    while number < MAX_FILLING_JOBS {
        number += 1;
        if submit(node, &format!("{number:016x}"), &job(64, 1_000)).await.status == 503 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    expect_that!(number, lt(MAX_FILLING_JOBS), "a new job is refused");
    for (i, id) in ids.iter().enumerate() {
        let node = &rerouting.system.nodes[i % usize::from(NODES)];
        expect_that!(submit(node, id, &job(1, 0)).await.status, eq(200), "{id}");
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    expect_that!(rerouting.started_again(&ids), is_empty());
}

/// Guards against a workspace that runs more than its cap as its jobs are in two pools.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cap_holds_and_jobs_run_once_while_their_queue_is_routed_to_another_pool() {
    let mut rerouting = Rerouting::start(8, NODES).await;
    rerouting.cap = Some(2_000);
    rerouting.route_to(Some(POOL)).await;
    let ids = ids(2 * JOBS);
    let submit_all = async |rerouting: &Rerouting, ids: &[String]| {
        for (i, id) in ids.iter().enumerate() {
            let node = &rerouting.system.nodes[i % usize::from(NODES)];
            expect_that!(submit(node, id, &job(2, 500)).await.status, eq(200), "{id}");
        }
    };
    submit_all(&rerouting, &ids[..JOBS as usize]).await;
    wait_until("four tasks run", async || running(&rerouting, "") == 4).await;
    rerouting.route_to(Some(HUB)).await;
    submit_all(&rerouting, &ids).await;
    let tasks = || ids.iter().map(|id| rerouting.system.starts_of(id).len()).sum::<usize>();
    wait_until("all tasks have run", async || {
        let running_now = running(&rerouting, "");
        expect_that!(running_now, le(4));
        tasks() == 2 * ids.len() && running_now == 0
    })
    .await;
    expect_that!(rerouting.started_again(&ids), is_empty());
    let pools: Vec<_> = ids.iter().flat_map(|id| rerouting.pools_of(id)).collect();
    expect_that!(pools.len(), eq(ids.len()), "each job runs in one pool");
    expect_that!(pools.iter().any(|pool| pool == HUB), eq(true));
}

/// Guards against a cancellation that waits in the new pool of its queue while the previous pool, which nobody could ask, starts
/// the job.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_binds_the_previous_pool_though_its_records_cannot_be_read() {
    let mut rerouting = Rerouting::start(11, NODES).await;
    let ids = ids(2);
    let step = json!({ "count": 3, "cpu": 16_000, "memMb": 256, "estimatedMs": 100 });
    let filler = bodies::job_of(&format!("ms={FILLER_MS}"), &[step]);
    submit(&rerouting.system.nodes[0], &ids[0], &filler).await;
    wait_until("the VMs are full", async || running(&rerouting, &ids[0]) == 3).await;
    submit(&rerouting.system.nodes[0], &ids[1], &job(1, 100)).await;
    rerouting.route_to(Some(HUB)).await;
    let bound = async || rerouting.has_logged("step=bound pool=desk");
    wait_until("the job is bound to its pool", bound).await;
    let assigned = async || rerouting.has_logged("step=read-earlier pool=desk");
    wait_until("the queue is assigned to the new pool", assigned).await;
    rerouting.system.nodes.iter_mut().for_each(system::Node::kill);
    let store = rerouting.system.platform.store.clone();
    let set_fault = |parts: [u32; 2], fault| {
        parts.iter().for_each(|&part| store.set_part_fault("jobs.desk", part, fault));
    };
    // Without its progress the pool gets no owner.
    set_fault([1, 3], Fault::Unresponsive);
    rerouting.system.nodes.iter_mut().for_each(system::Node::start);
    for node in &rerouting.system.nodes {
        wait_until("a node is ready", || node.is_ready()).await;
    }
    let node = &rerouting.system.nodes[0];
    let cancelled = async || {
        let answer = send(node, Method::DELETE, &format!("/quotes/{}", ids[1])).await;
        answer.status == 200
    };
    wait_until("the cancellation is acknowledged", cancelled).await;
    let acknowledged = Instant::now();
    // The owner of the new pool cannot pass the cancellation on.
    set_fault([0, 2], Fault::RejectsAppends);
    set_fault([1, 3], Fault::None);
    tokio::time::sleep(Duration::from_millis(FILLER_MS)).await;
    let histories = rerouting.system.platform.machines.histories();
    let is_start = |e: &&RunEvent| e.kind == RunEventKind::Started && e.task.starts_with(&ids[1]);
    let late: Vec<Duration> = histories
        .iter()
        .flatten()
        .filter(is_start)
        .map(|event| event.arrived_at.saturating_duration_since(acknowledged))
        .filter(|after| *after > CANCEL_WITHIN)
        .collect();
    expect_that!(late, is_empty(), "starts, by the time since the acknowledgement");
}
