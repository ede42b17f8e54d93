//! Answers by which something is taken for not done, or for done, that is not, with real nodes.

mod middle;
mod system;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use googletest::prelude::*;
use hyper::Method;
use middle::{Asked, answer};
use system::{System, job, submit, until, until_state};
use thistle_platform::http::{Call, HttpClient};
use thistle_platform::standin::paths::{APPEND, HOLD};
use thistle_platform::{NOT_ANSWERED, NOT_FORWARDED};

/// What the log says when the owner of the pool begins.
const TOOK_OVER: &str = "owner pool=desk step=took-over";

/// Returns a record as the store takes it.
fn record(key: &str, value: &str) -> BytesMut {
    let mut record = BytesMut::new();
    record.put_u32(u32::try_from(1 + key.len() + value.len()).expect("it is short"));
    record.put_u8(u8::try_from(key.len()).expect("it is short"));
    record.put_slice(key.as_bytes());
    record.put_slice(value.as_bytes());
    record
}

/// A node that passes calls on says with status 502 that it has not. The store's own answer of that status goes on as it is, so that
/// the node which has asked takes an append that was done for not sent.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_answers_502_to_a_call_that_is_passed_on_may_have_done_it() {
    let mut system = System::start(102, 0, 0).await;
    let rule = |asked: Asked| async move {
        let is_ours = asked.path.starts_with(APPEND) && asked.path.contains("keyed.passed");
        let told = asked.forward().await;
        if is_ours { Some(answer(NOT_FORWARDED, "")) } else { told }
    };
    let store = system.platform.store_addr();
    let door = middle::stand_for(store, system::ip(102, 2), rule).await;
    system.add_node_at(system::ip(102, 10), door);
    until("the node is ready", || system.nodes[0].is_ready()).await;
    let path = format!("{APPEND}?topic=keyed.passed&part=0");
    let call = Call::new(Method::POST, path, Duration::from_secs(2));
    let call = call.with_bytes(record("key", "value").freeze());
    let told = HttpClient::new(system.nodes[0].relay_addr(), 0).call(call).await;
    expect_that!(system.platform.store.newest("passed", 0, "key").is_some(), eq(true));
    expect_that!(told.map(|a| a.status), ok(eq(&NOT_ANSWERED)));
}

/// A VM that has seen a higher token ends its pool's owner, who is begun again under the token that it had. It numbers what it writes
/// from the start again, and the store takes a number that it has seen under a token for a copy: it answers as it did before, and keeps
/// nothing. The end of a task that was told so was lost with its owner, and the next one started the task again:
///
///     05:30:07.668 INFO owner pool=desk step=took-over token=1 jobs=0 placed=0 took_ms=8
///     05:30:09.236 WARN owner pool=desk step=fenced token=1
///     05:30:09.301 INFO owner pool=desk step=took-over token=1 jobs=0 placed=0 took_ms=8
///     05:30:09.378 INFO end run=00000000000000a2.0.0.0#1 vm=i-m-0-1 how=Done number=2
///     05:30:10.503 INFO owner pool=desk step=took-over token=3 jobs=1 placed=0 took_ms=8
///     05:30:10.512 INFO start step=refused run=00000000000000a2.0.0.0#1 vm=i-m-0-1 answer=Old
///     05:30:10.518 INFO start step=ordered run=00000000000000a2.0.0.0#2 vm=i-m-0-1 queue=r/quotes/ token=3 free_cpu=15500
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_is_begun_again_under_its_token_loses_no_end() {
    let net = 103;
    let mut system = System::start(net, 1, 0).await;
    let fences = Arc::new(AtomicBool::new(false));
    let vm = system.platform.machines.vms().remove(0);
    let fencing = fences.clone();
    let rule = move |asked: Asked| {
        let fencing = fencing.clone();
        async move {
            if asked.path == HOLD && fencing.swap(false, Ordering::Relaxed) {
                return Some(answer(409, r#"{"clockMs":5,"reason":"fence"}"#));
            }
            asked.forward().await
        }
    };
    middle::stand_for_vm(&system.platform, &vm, rule).await;
    system.add_node(system::ip(net, 10));
    until("the node is ready", || system.nodes[0].is_ready()).await;
    let (first, second) = ("00000000000000a1", "00000000000000a2");
    expect_that!(submit(&system.nodes[0], first, &job(1, 10)).await.status, eq(200));
    until_state(&system.nodes[0], first, "completed").await;
    fences.store(true, Ordering::Relaxed);
    let began_again = || async { system.nodes[0].log().matches(TOOK_OVER).count() >= 2 };
    until("the owner is begun again", began_again).await;
    expect_that!(submit(&system.nodes[0], second, &job(1, 10)).await.status, eq(200));
    until_state(&system.nodes[0], second, "completed").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    system.nodes[0].kill();
    system.nodes[0].start();
    until("the node is ready", || system.nodes[0].is_ready()).await;
    until_state(&system.nodes[0], second, "completed").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for id in [first, second] {
        let starts = system.starts_of(id);
        expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
    }
}
