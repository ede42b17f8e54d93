//! Pools and nodes with narrow links, with real nodes.

mod system;

use googletest::prelude::*;
use system::{System, ip, wait_until};

/// The last part of the addresses of the nodes.
const HOSTS: [u8; 3] = [10, 11, 12];

/// Too little is served if a pool is owned by a node whose link cannot carry its starts, beside a node with a wide link.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pool_is_owned_by_the_node_with_the_wide_link() {
    for (net, wide) in [(145, 0), (146, 1), (147, 2)] {
        let mut system = System::start(net, 1, 0).await;
        for (i, host) in HOSTS.into_iter().enumerate() {
            let mbps = if i == wide { 200 } else { 10 };
            system.extra_settings = format!("link_mbps: {mbps}\ncpu_share: 0.5\n");
            system.add_node(ip(net, host));
        }
        wait_until("the pool has an owner", async || system.owner().is_some()).await;
        expect_that!(system.owner(), some(eq(wide)), "node {wide} has the wide link");
    }
}
