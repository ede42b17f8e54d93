//! Nodes whose open connections stall without a reset while new ones work.

mod system;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use hyper::Method;
use system::{Node, System, job, send, submit, wait_until, wait_until_state};
use thistle_platform::standin::{Stall, TcpProxy};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The port of the proxy.
const PROXY_PORT: u16 = 7_101;

/// Starts a system of two nodes, of which the first owns the pool and reaches the store through a proxy of its own, over
/// which it has many connections open.
async fn owner_behind_proxy(net: u8) -> (System, TcpProxy) {
    let mut system = System::start(net, 2, 0).await;
    let from = (system::ip(net, 2), PROXY_PORT).into();
    let proxy = TcpProxy::open(from, system.platform.store_addr()).await.expect("the proxy opens");
    system.add_node_at(system::ip(net, 10), proxy.addr);
    wait_until("the first node owns the pool", async || system.owner() == Some(0)).await;
    system.add_node(system::ip(net, 11));
    for node in &system.nodes {
        wait_until("a node is ready", || node.is_ready()).await;
    }
    submit_all(&system, 0, 40).await;
    (system, proxy)
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Submits jobs at once to the first node, and returns the statuses.
async fn submit_all(system: &System, from: u64, count: u64) -> Vec<u16> {
    let submitted = (from..from + count).map(|i| async move {
        let answer = submit(&system.nodes[0], &id(i), &job(1, 50)).await;
        answer.status
    });
    futures::future::join_all(submitted).await
}

/// Checks that an owner keeps its pool, and its callers are served, while its connections to the store stall. Its lease must
/// not end because its heartbeats wait on one stalled connection after the other; see `stalled_connections.rs` of the
/// platform's tests.
async fn expect_owner_keeps_pool(net: u8, stall_kind: Stall) {
    let (system, proxy) = owner_behind_proxy(net).await;
    for round in 1..=2_u64 {
        proxy.stall(stall_kind);
        // The outcome of jobs in flight when the connections stall may be unknown (504).
        for status in submit_all(&system, round * 100, 10).await {
            expect_that!(status, any![eq(200), eq(504)]);
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        expect_that!(system.owner(), some(eq(0)), "the first node keeps its pool");
        let statuses = submit_all(&system, round * 100 + 50, 10).await;
        expect_that!(statuses, each(eq(&200)), "all jobs are accepted again");
        for i in 0..10 {
            wait_until_state(&system.nodes[1], &id(round * 100 + 50 + i), "completed").await;
        }
    }
    let claims = system.platform.store.offset_of("control", 0, "owner/desk");
    expect_that!(claims, some(eq(0)), "the pool was claimed once");
    for i in 0..40 {
        wait_until_state(&system.nodes[1], &id(i), "completed").await;
        expect_that!(system.starts_of(&id(i)).values().all(|&n| n == 1), eq(true));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_keeps_its_pool_when_its_connections_to_the_store_stall() {
    expect_owner_keeps_pool(60, Stall::BothWays).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_keeps_its_pool_when_no_replies_of_the_store_arrive() {
    expect_owner_keeps_pool(61, Stall::Answers).await;
}

/// Checks that orders to VMs and reported ends are neither lost nor done twice while the connections to the VMs stall again
/// and again.
async fn expect_orders_done_once(net: u8, stall_kind: Stall) {
    let system = System::start(net, 3, 1).await;
    let node = &system.nodes[0];
    for round in 0..6 {
        submit(node, &id(round), &job(6, 700)).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        for vm in system.platform.machines.vms() {
            vm.stall_connections(stall_kind);
        }
    }
    for round in 0..6 {
        wait_until_state(node, &id(round), "completed").await;
        let starts = system.starts_of(&id(round));
        expect_that!(starts.len(), eq(6));
        expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_to_vms_are_neither_lost_nor_done_twice_when_connections_stall() {
    expect_orders_done_once(66, Stall::BothWays).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_to_vms_are_neither_lost_nor_done_twice_when_replies_stop() {
    expect_orders_done_once(67, Stall::Answers).await;
}

/// A configuration that is written just as the connections stall still comes into force.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_arrives_over_new_connections() {
    let (system, proxy) = owner_behind_proxy(62).await;
    proxy.stall(Stall::BothWays);
    system.put_config(2, &["/quotes/", "/plans/"]);
    let status = async || send(&system.nodes[0], Method::GET, "/plans/").await.status;
    wait_until("the new queue is there", async || status().await == 200).await;
}

/// The number of stalled connections that are open at once.
const STALLED_CONNECTIONS: usize = 2_000;

/// The longest time that a node holds a stalled connection.
const MAX_HOLD: Duration = Duration::from_secs(3);
/// The number of connections that are opened in parallel.
const OPENERS: usize = 100;
/// The most connections that wait to be accepted while more are opened. If the node's queue of 1,024 is full, the kernel drops
/// the first packet of a connection, which is retried a second later, when the first connections may be closed already.
const MAX_UNACCEPTED: usize = 200;

/// How often a body is continued while further connections are opened.
const PROLONG_EVERY: Duration = Duration::from_secs(1);

/// Opens connections to a node with `before` descriptors, sends the same text on each, and sends nothing more. Opens no more
/// while too many are not accepted yet, unless the node may have closed some. A body is continued until all connections are open,
/// so that their number does not depend on how many a busy machine opens before the node closes the first.
async fn open_and_stall(
    node: &Node,
    before: usize,
    addr: SocketAddr,
    text: &str,
) -> Vec<TcpStream> {
    let open_one = || async {
        let mut stream = TcpStream::connect(addr).await.expect("the connection opens");
        stream.write_all(text.as_bytes()).await.expect("the text is sent");
        stream
    };
    let began = Instant::now();
    let mut open: Vec<TcpStream> = Vec::new();
    let is_body = text.contains("content-length");
    let mut prolonged = began;
    while open.len() < STALLED_CONNECTIONS {
        if is_body && prolonged.elapsed() >= PROLONG_EVERY {
            prolonged = Instant::now();
            for stream in &mut open {
                stream.write_all(b" ").await.expect("the connection is open");
            }
        }
        open.extend(futures::future::join_all((0..OPENERS).map(|_| open_one())).await);
        while node.descriptors() + MAX_UNACCEPTED < before + open.len()
            && (is_body || began.elapsed() < MAX_HOLD)
            && prolonged.elapsed() < PROLONG_EVERY
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    open
}

/// Checks that a node closes stalled connections, and returns the node's log. If only request heads had a time limit and
/// bodies had none, callers that send a head and part of a body and then stall would use up the node's descriptors.
async fn expect_stalled_connections_closed(
    net: u8,
    addr: impl Fn(&System) -> SocketAddr,
    text: &str,
) -> String {
    let system = System::start(net, 1, 1).await;
    let before = system.nodes[0].descriptors();
    let node = &system.nodes[0];
    // Opening all connections may take longer than a node holds each of them; the first are then closed before the last
    // are open. The test therefore checks the highest number held at any time.
    let mut opening = std::pin::pin!(open_and_stall(node, before, addr(&system), text));
    let mut max_held = before;
    let open = loop {
        tokio::select! {
            open = &mut opening => break open,
            () = tokio::time::sleep(Duration::from_millis(20)) => max_held = max_held.max(node.descriptors()),
        }
    };
    // Connections that the node has yet to accept, a thousand at most, do not count as its descriptors yet.
    let opened = Instant::now();
    while max_held < before + STALLED_CONNECTIONS / 2 && opened.elapsed() < MAX_HOLD {
        tokio::time::sleep(Duration::from_millis(20)).await;
        max_held = max_held.max(node.descriptors());
    }
    expect_that!(
        max_held,
        ge(before + STALLED_CONNECTIONS / 2),
        "the node holds stalled connections"
    );
    // Other callers are served meanwhile.
    expect_that!(submit(node, &id(1), &job(1, 10)).await.status, eq(200));
    wait_until("the stalled connections are closed", async || {
        node.descriptors() < before + STALLED_CONNECTIONS / 10
    })
    .await;
    wait_until_state(node, &id(1), "completed").await;
    drop(open);
    node.log()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_of_callers_that_stall_within_a_body_are_closed() {
    let head = "POST /quotes/00000000000000ff HTTP/1.1\r\nhost: jobs.example\r\ncontent-length: 900\r\n\r\n{";
    let log = expect_stalled_connections_closed(63, |s| s.nodes[0].callers_addr(), head).await;
    // A caller that gets status 408 must leave a log line too.
    expect_that!(
        log,
        contains_substring("accept id=00000000000000ff queue=r/quotes/ step=body-stopped")
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_of_callers_that_stall_within_a_head_are_closed() {
    expect_stalled_connections_closed(64, |s| s.nodes[0].callers_addr(), "GET /quo").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_of_nodes_that_stall_within_a_body_are_closed() {
    let head = "POST /submissions/desk HTTP/1.1\r\nhost: x\r\ncontent-length: 900\r\n\r\n{";
    expect_stalled_connections_closed(65, |s| s.nodes[0].relay_addr(), head).await;
}
