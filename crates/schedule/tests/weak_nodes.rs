//! Which nodes own pools if nodes differ in their processors and links.

use googletest::prelude::*;
use thistle_schedule::ownership::{Heartbeat, Means, NodeIncarnation, Ownership};

const POOLS: [&str; 3] = ["p", "q", "r"];

fn heartbeat(speed: u32, means: Means) -> Heartbeat {
    Heartbeat {
        incarnation: 1,
        sequence: 1,
        leaving: false,
        relay: None,
        speed,
        means,
        reads_owner_heartbeats: false,
    }
}

/// Returns the number of pools that each node claims first.
fn claimed(nodes: &[(&str, Heartbeat)]) -> Vec<usize> {
    let claims = |name: &str| {
        let me = NodeIncarnation { name: name.to_owned(), incarnation: 1 };
        let mut view = Ownership::new(me, 0);
        for (other, heartbeat) in nodes {
            view.record_read(900);
            view.record_heartbeat(other, heartbeat, 900);
        }
        view.record_read(1_000);
        view.to_claim(POOLS.map(Into::into).iter(), 1_000).len()
    };
    nodes.iter().map(|(name, _)| claims(name)).collect()
}

const fn means(cpu_share: u32, link_kbps: u32) -> Means {
    Means { cpu_share, link_kbps }
}

/// Guards against a pool whose starts do not fit the link of its owner, beside idle nodes with wide links.
#[gtest]
fn nodes_with_narrow_links_leave_pools_to_others() {
    let narrow = heartbeat(1_000, means(500, 10_000));
    let wide = heartbeat(1_000, means(500, 200_000));
    let nodes = [("a", narrow.clone()), ("b", narrow.clone()), ("c", wide), ("d", narrow)];
    let claims = claimed(&nodes);
    expect_that!([claims[0], claims[1], claims[3]], eq([0, 0, 0]));
    expect_that!(claims[2], gt(0));
}

/// A node whose processor was disturbed while it determined its speed must not lose its pools to small nodes.
#[gtest]
fn the_stated_cpu_share_goes_before_the_speed_at_the_start() {
    let disturbed = heartbeat(100, means(500, 200_000));
    let small = heartbeat(1_000, means(120, 200_000));
    let claims = claimed(&[("a", small.clone()), ("b", disturbed), ("c", small)]);
    expect_that!([claims[0], claims[2]], eq([0, 0]));
}

/// Nodes of an older build state nothing, and must neither lose their pools nor be preferred for that.
#[gtest]
fn nodes_that_state_nothing_are_compared_by_their_speed() {
    let older = heartbeat(1_000, Means::default());
    let slow_older = heartbeat(100, Means::default());
    let wide = heartbeat(1_000, means(500, 200_000));
    let claims = claimed(&[("a", older), ("b", slow_older), ("c", wide)]);
    expect_that!(claims[1], eq(0));
    expect_that!(claims[0] + claims[2], ge(2));
}

/// If no node has most of everything, those that are nearest to it own the pools.
#[gtest]
fn a_node_with_some_of_everything_goes_before_one_that_lacks_something() {
    let fast = heartbeat(1_000, means(1_000, 10_000));
    let wide = heartbeat(1_000, means(50, 1_000_000));
    let balanced = heartbeat(1_000, means(500, 500_000));
    let claims = claimed(&[("a", fast), ("b", wide), ("c", balanced)]);
    expect_that!([claims[0], claims[1]], eq([0, 0]));
}
