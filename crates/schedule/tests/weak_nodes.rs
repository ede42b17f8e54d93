//! Which nodes own pools if nodes differ in their processors and links.

use googletest::prelude::*;
use thistle_schedule::Ms;
use thistle_schedule::ownership::{
    Claim, HEARTBEAT_MS, Heartbeat, Means, NodeIncarnation, Ownership, UNRESPONSIVE_MS,
};

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
        reads_shard_heartbeats: false,
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

const STRONG: Means = means(500, 40_000);
const WEAK: Means = means(120, 2_000);
const WEAK_NODES: [&str; 4] = ["w", "x", "y", "z"];
/// When the owner of the pool sends its last heartbeat, in milliseconds.
const LAST_HEARTBEAT: Ms = 30_000;

/// Returns how long after the owner's last heartbeat the first weak node claims the pool of strong node a. Node b, which is
/// strong too, claims another shard at `claim_of_b` and sends heartbeats at `heartbeats_of_b`.
fn takeover_by_weak_node(claim_of_b: Option<Ms>, heartbeats_of_b: &[Ms]) -> Ms {
    let node = |name: &str| NodeIncarnation { name: name.to_owned(), incarnation: 1 };
    let mut views = WEAK_NODES.map(|name| Ownership::new(node(name), 0));
    for now in (0..).step_by(50) {
        for view in &mut views {
            view.record_read(now);
            let mut record = |name: &str, means: Means| {
                let heartbeat = Heartbeat { sequence: now + 1, ..heartbeat(1_000, means) };
                view.record_heartbeat(name, &heartbeat, now);
            };
            if now <= LAST_HEARTBEAT && now % HEARTBEAT_MS == LAST_HEARTBEAT % HEARTBEAT_MS {
                record("a", STRONG);
            }
            if heartbeats_of_b.contains(&now) {
                record("b", STRONG);
            }
            if now % 2_500 == 0 {
                WEAK_NODES.iter().for_each(|name| record(name, WEAK));
            }
            if now == 0 {
                view.record_claim(&"p".into(), Claim::new(node("a")), 0, now);
            }
            if claim_of_b == Some(now) {
                view.record_claim(&"q".into(), Claim::new(node("b")), 1, now);
            }
            if !view.to_claim(std::iter::once(&"p".into()), now).is_empty() {
                return now - LAST_HEARTBEAT;
            }
        }
    }
    unreachable!("the pool is claimed")
}

/// Guards against weak nodes that give dead strong ones time to claim, while accepted work waits beside room.
#[gtest]
fn a_weak_node_does_not_wait_for_strong_nodes_that_are_dead() {
    let idle: Vec<Ms> = (0..LAST_HEARTBEAT - 500).step_by(2_700).collect();
    expect_that!(takeover_by_weak_node(None, &idle), le(UNRESPONSIVE_MS + 50));
    let owner: Vec<Ms> = (0..=LAST_HEARTBEAT).step_by(450).collect();
    expect_that!(takeover_by_weak_node(Some(0), &owner), le(UNRESPONSIVE_MS + 50));
}

/// A strong node that owns nothing sends heartbeats less often, and less often still while the store is slow.
#[gtest]
fn a_weak_node_waits_for_a_strong_one_that_is_alive() {
    for interval in [2_500, 2_700, 5_000] {
        let idle: Vec<Ms> = (0..60_000).step_by(interval).collect();
        let delay = takeover_by_weak_node(None, &idle);
        expect_that!(delay, ge(UNRESPONSIVE_MS + 400), "{interval}");
    }
}

/// A strong node that takes over another shard at that moment goes on claiming, before its next heartbeat too.
#[gtest]
fn a_weak_node_waits_for_a_strong_one_that_has_just_claimed() {
    let idle: Vec<Ms> = (250..LAST_HEARTBEAT).step_by(2_700).collect();
    let delay = takeover_by_weak_node(Some(LAST_HEARTBEAT + 2_600), &idle);
    expect_that!(delay, ge(UNRESPONSIVE_MS + 400));
}
