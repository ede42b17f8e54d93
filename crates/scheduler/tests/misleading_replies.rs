//! Replies that misrepresent whether an operation was done, with real nodes.

mod proxy;
mod system;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use googletest::prelude::*;
use hyper::Method;
use proxy::{ReceivedCall, http_response};
use system::{System, job, submit, wait_until, wait_until_state};
use thistle_platform::http::{Call, HttpClient};
use thistle_platform::standin::paths::{APPEND, HOLD};
use thistle_platform::{NOT_ANSWERED, NOT_FORWARDED};

/// The log line with which an owner takes over the pool.
const TOOK_OVER: &str = "owner pool=desk step=took-over";

/// Returns a record in the encoding of the store.
fn record(key: &str, value: &str) -> BytesMut {
    let mut record = BytesMut::new();
    record.put_u32(u32::try_from(1 + key.len() + value.len()).expect("it is short"));
    record.put_u8(u8::try_from(key.len()).expect("it is short"));
    record.put_slice(key.as_bytes());
    record.put_slice(value.as_bytes());
    record
}

/// A node that relays a call replies with status 502 if it has not forwarded it. If it passed on the store's own 502
/// unchanged, the caller would conclude that an append that was done was never sent.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_502_of_the_store_to_a_relayed_append_leaves_the_outcome_unknown() {
    let mut system = System::start(102, 0, 0).await;
    let rule = |request: ReceivedCall| async move {
        let is_test_append =
            request.path.starts_with(APPEND) && request.path.contains("keyed.passed");
        let reply = request.forward().await;
        if is_test_append { Some(http_response(NOT_FORWARDED, "")) } else { reply }
    };
    let store = system.platform.store_addr();
    let endpoint = proxy::start_proxy(store, system::ip(102, 2), rule).await;
    system.add_node_at(system::ip(102, 10), endpoint);
    wait_until("the node is ready", || system.nodes[0].is_ready()).await;
    let path = format!("{APPEND}?topic=keyed.passed&part=0");
    let call = Call::new(Method::POST, path, Duration::from_secs(2));
    let call = call.with_bytes(record("key", "value").freeze());
    let reply = HttpClient::new(system.nodes[0].relay_addr(), 0).call(call).await;
    expect_that!(system.platform.store.newest("passed", 0, "key").is_some(), eq(true));
    expect_that!(reply.map(|a| a.status), ok(eq(&NOT_ANSWERED)));
}

/// A VM's reply that it has seen a higher token ends its pool's owner. If the owner restarts under the same token, it
/// numbers its writes from the start again. The store treats a number that it has already seen under a token as a copy: it
/// acknowledges the write and keeps nothing. An end that is recorded this way is lost with its owner, and the next owner
/// starts the task again.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_owner_loses_no_end() {
    let net = 103;
    let mut system = System::start(net, 1, 0).await;
    let fence_next = Arc::new(AtomicBool::new(false));
    let vm = system.platform.machines.vms().remove(0);
    let fence = fence_next.clone();
    let rule = move |request: ReceivedCall| {
        let fence = fence.clone();
        async move {
            if request.path == HOLD && fence.swap(false, Ordering::Relaxed) {
                return Some(http_response(409, r#"{"clockMs":5,"reason":"fence"}"#));
            }
            request.forward().await
        }
    };
    proxy::start_vm_proxy(&system.platform, &vm, rule).await;
    system.add_node(system::ip(net, 10));
    wait_until("the node is ready", || system.nodes[0].is_ready()).await;
    let (first, second) = ("00000000000000a1", "00000000000000a2");
    expect_that!(submit(&system.nodes[0], first, &job(1, 10)).await.status, eq(200));
    wait_until_state(&system.nodes[0], first, "completed").await;
    fence_next.store(true, Ordering::Relaxed);
    let has_restarted = || async { system.nodes[0].log().matches(TOOK_OVER).count() >= 2 };
    wait_until("the owner has restarted", has_restarted).await;
    expect_that!(submit(&system.nodes[0], second, &job(1, 10)).await.status, eq(200));
    wait_until_state(&system.nodes[0], second, "completed").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    system.nodes[0].kill();
    system.nodes[0].start();
    wait_until("the node is ready", || system.nodes[0].is_ready()).await;
    wait_until_state(&system.nodes[0], second, "completed").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for id in [first, second] {
        let starts = system.starts_of(id);
        expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
    }
}
