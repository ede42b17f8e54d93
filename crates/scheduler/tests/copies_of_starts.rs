//! Starts of which one copy has no answer and another one is refused, with real nodes.
//!
//! Tasks that were done were started once more. One way to that is a refusal which is taken for the whole order's: a copy that had no
//! answer may have been carried out, or may be seconds later, whatever the VM says to the next. Here a bare socket before each VM loses
//! answers, holds copies up and refuses others.

mod middle;
mod system;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use googletest::prelude::*;
use middle::{Asked, answer};
use system::{System, job, submit, until, until_state};
use thistle_platform::standin::paths::START;

const ID: &str = "5c0e7a21d94b36f8";
const TASKS: u32 = 6;
/// How late a copy is carried out that had no answer.
const LATE_BY: Duration = Duration::from_millis(2_500);
/// Copies that are refused after the first one.
const REFUSED: usize = 2;

/// How many copies of each run's start have come.
#[derive(Clone, Default)]
struct Copies(Arc<Mutex<HashMap<String, usize>>>);

impl Copies {
    /// Counts a copy and returns how many came before it.
    fn count(&self, asked: &Asked) -> usize {
        let run = format!("{}#{}", asked.field("task"), asked.field("attempt"));
        let mut copies = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let copies = copies.entry(run).or_default();
        *copies += 1;
        *copies - 1
    }
}

/// What becomes of the first copy of each start.
#[derive(Clone, Copy, Debug)]
enum FirstCopy {
    /// It is carried out at once, and its answer is lost.
    CarriedOut,
    /// It is carried out late, and its answer is lost.
    CarriedOutLate,
}

/// Starts a node with two VMs that lose the first copy's answer and refuse the next copies.
async fn refusing(net: u8, first: FirstCopy, refusal: &str) -> System {
    let mut system = System::start(net, 2, 0).await;
    for vm in system.platform.machines.vms() {
        let (copies, refusal) = (Copies::default(), refusal.to_owned());
        let rule = move |asked: Asked| {
            let (copies, refusal) = (copies.clone(), refusal.clone());
            async move {
                // A run that is started again is a failure already, and is to end soon.
                if asked.path != START || asked.field("attempt") != "1" {
                    return asked.forward().await;
                }
                match (copies.count(&asked), first) {
                    (0, FirstCopy::CarriedOut) => {
                        asked.forward().await;
                        None
                    }
                    (0, FirstCopy::CarriedOutLate) => {
                        tokio::spawn(async move {
                            tokio::time::sleep(LATE_BY).await;
                            asked.forward().await;
                        });
                        None
                    }
                    (1..=REFUSED, _) if !refusal.is_empty() => Some(refusal),
                    _ => asked.forward().await,
                }
            }
        };
        middle::stand_for_vm(&system.platform, &vm, rule).await;
    }
    system.add_node(system::ip(net, 10));
    until("the node is ready", || system.nodes[0].is_ready()).await;
    system
}

/// Lets tasks run under such refusals, and expects that each was started once.
async fn each_starts_once(net: u8, first: FirstCopy, refusal: &str) {
    let system = refusing(net, first, refusal).await;
    expect_that!(submit(&system.nodes[0], ID, &job(TASKS, 1_500)).await.status, eq(200));
    until_state(&system.nodes[0], ID, "completed").await;
    // What is carried out late has come by then.
    tokio::time::sleep(LATE_BY).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.len(), eq(TASKS as usize));
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{first:?} {refusal:?}: {starts:?}");
}

fn refused_for(reason: &str) -> String {
    answer(409, &format!(r#"{{"clockMs":5,"reason":"{reason}"}}"#))
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_whose_answer_is_lost_is_not_started_elsewhere() {
    each_starts_once(95, FirstCopy::CarriedOut, "").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unhealthy_vm_that_has_a_run_is_not_taken_for_one_that_has_done_nothing() {
    each_starts_once(96, FirstCopy::CarriedOut, &answer(503, "")).await;
    each_starts_once(97, FirstCopy::CarriedOutLate, &answer(429, "")).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_has_a_run_and_refuses_a_copy_of_its_start_keeps_it() {
    for (net, reason) in [(98, "room"), (99, "ticket"), (100, "old")] {
        each_starts_once(net, FirstCopy::CarriedOut, &refused_for(reason)).await;
    }
}

/// A VM had no room for the second copy, so the order was left to its next list, which did not hold the run: its first copy was still to
/// come. Only a stop bars such a copy, and none was sent, so that the task ran on two VMs at once:
///
///     05:23:42.235 INFO start step=no-answer run=JOB.0.0.6#1 vm=i-m-0-1 error="connection closed before message completed"
///     05:23:42.437 INFO start step=refused run=JOB.0.0.6#1 vm=i-m-0-1 answer=NoRoom
///     05:23:42.437 INFO start step=Unclear run=JOB.0.0.6#1 vm=i-m-0-1
///     05:23:43.601 INFO run step=not-listed run=JOB.0.0.6#1 vm=i-m-0-1
///     05:23:43.607 INFO start step=ordered run=JOB.0.0.6#2 vm=i-m-1-1 queue=r/quotes/ token=1 free_cpu=15500
///     05:23:44.103 INFO stop step=ordered run=JOB.0.0.6#1 vm=i-m-0-1 token=1
///     05:23:44.105 INFO run step=ended-after-given-up run=JOB.0.0.6#1 vm=i-m-0-1 how=Stopped number=1
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_copy_that_is_carried_out_after_another_was_refused_for_want_of_room_runs_once() {
    each_starts_once(101, FirstCopy::CarriedOutLate, &refused_for("room")).await;
}
