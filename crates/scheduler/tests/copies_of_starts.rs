//! Starts that are sent several times, where one copy has no answer and another copy is refused, with real nodes.
//!
//! Guards against tasks that are started again although they ran. A copy without an answer may have been executed, or
//! may be executed seconds later, even if the VM refuses the next copy. So the refusal of one copy must not count as
//! the refusal of the order. Here a proxy in front of each VM loses answers, delays copies and refuses others.

mod proxy;
mod system;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use googletest::prelude::*;
use proxy::{ReceivedCall, http_response};
use system::{System, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::paths::START;

const ID: &str = "5c0e7a21d94b36f8";
const TASKS: u32 = 6;
/// The delay after which a copy is executed that had no answer.
const LATE_EXECUTION_DELAY: Duration = Duration::from_millis(2_500);
/// The number of copies that are refused after the first one.
const REFUSED_COPIES: usize = 2;

/// The number of received copies of each run's start.
#[derive(Clone, Default)]
struct CopyCounts(Arc<Mutex<HashMap<String, usize>>>);

impl CopyCounts {
    /// Records a copy and returns the number of earlier copies.
    fn record_copy(&self, request: &ReceivedCall) -> usize {
        let run = format!("{}#{}", request.field("task"), request.field("attempt"));
        let mut copies = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let copies = copies.entry(run).or_default();
        *copies += 1;
        *copies - 1
    }
}

/// What happens to the first copy of each start.
#[derive(Clone, Copy, Debug)]
enum FirstCopy {
    /// The copy is executed at once, and its answer is lost.
    Executed,
    /// The copy is executed late, and its answer is lost.
    ExecutedLate,
}

/// Starts a node and two VMs behind proxies that lose the answer to the first copy and refuse the next copies.
async fn start_refusing_system(net: u8, first: FirstCopy, refusal: &str) -> System {
    let mut system = System::start(net, 2, 0).await;
    for vm in system.platform.machines.vms() {
        let (copies, refusal) = (CopyCounts::default(), refusal.to_owned());
        let rule = move |request: ReceivedCall| {
            let (copies, refusal) = (copies.clone(), refusal.clone());
            async move {
                // A second attempt fails the test anyway and is let through, so that the job completes soon.
                if request.path != START || request.field("attempt") != "1" {
                    return request.forward().await;
                }
                match (copies.record_copy(&request), first) {
                    (0, FirstCopy::Executed) => {
                        request.forward().await;
                        None
                    }
                    (0, FirstCopy::ExecutedLate) => {
                        tokio::spawn(async move {
                            tokio::time::sleep(LATE_EXECUTION_DELAY).await;
                            request.forward().await;
                        });
                        None
                    }
                    (1..=REFUSED_COPIES, _) if !refusal.is_empty() => Some(refusal),
                    _ => request.forward().await,
                }
            }
        };
        proxy::start_vm_proxy(&system.platform, &vm, rule).await;
    }
    system.add_node(system::ip(net, 10));
    wait_until("the node is ready", || system.nodes[0].is_ready()).await;
    system
}

/// Runs a job whose starts are refused in this way, and checks that each task is started once.
async fn expect_each_started_once(net: u8, first: FirstCopy, refusal: &str) {
    let system = start_refusing_system(net, first, refusal).await;
    expect_that!(submit(&system.nodes[0], ID, &job(TASKS, 1_500)).await.status, eq(200));
    wait_until_state(&system.nodes[0], ID, "completed").await;
    // Late copies have been executed after this delay.
    tokio::time::sleep(LATE_EXECUTION_DELAY).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.len(), eq(TASKS as usize));
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{first:?} {refusal:?}: {starts:?}");
}

fn refusal_answer(reason: &str) -> String {
    http_response(409, &format!(r#"{{"clockMs":5,"reason":"{reason}"}}"#))
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_is_started_once_if_the_answer_to_its_start_is_lost() {
    expect_each_started_once(95, FirstCopy::Executed, "").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_is_started_once_if_its_vm_answers_a_copy_with_503_or_429() {
    expect_each_started_once(96, FirstCopy::Executed, &http_response(503, "")).await;
    expect_each_started_once(97, FirstCopy::ExecutedLate, &http_response(429, "")).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_is_started_once_if_its_vm_refuses_a_copy_of_its_start() {
    for (net, reason) in [(98, "room"), (99, "ticket"), (100, "old")] {
        expect_each_started_once(net, FirstCopy::Executed, &refusal_answer(reason)).await;
    }
}

/// Guards against a task that runs on two VMs at once. A VM has no capacity for the second copy, and its next list does
/// not contain the run, because the first copy is still to be executed. If the task is then started elsewhere, and no
/// stop is sent that keeps the VM from executing the first copy, both runs begin.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_is_started_once_if_a_copy_is_executed_after_another_was_refused_for_lack_of_capacity()
 {
    expect_each_started_once(101, FirstCopy::ExecutedLate, &refusal_answer("room")).await;
}
