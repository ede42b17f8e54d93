//! Which nodes are the standbys of a pool: the nodes that follow its records besides the owner.

use googletest::prelude::*;
use thistle_schedule::Ms;
use thistle_schedule::ownership::{
    Claim, Heartbeat, Means, NodeIncarnation, Ownership, STANDBYS, token_of,
};

const POOLS: [&str; 5] = ["desk", "routes", "hub", "zones", "portal"];

fn node(i: usize) -> NodeIncarnation {
    NodeIncarnation { name: format!("node-{i}"), incarnation: 1 }
}

fn heartbeat(speed: u32, i: usize) -> Heartbeat {
    let relay = format!("10.0.{}.{}:7060", i / 200, i % 200).parse().ok();
    Heartbeat {
        incarnation: 1,
        sequence: 1,
        leaving: false,
        relay,
        speed,
        means: Means::default(),
        reads_owner_heartbeats: false,
        reads_shard_heartbeats: false,
    }
}

/// Returns the views of nodes that have all received each other's heartbeats at `now`. Every fifth node is slow.
fn views(nodes: usize, now: Ms) -> Vec<Ownership> {
    let speed = |i: usize| if i % 5 == 4 { 100 } else { 1_000 };
    let view = |i: usize| {
        let mut view = Ownership::new(node(i), 0);
        view.record_read(now);
        for other in 0..nodes {
            view.record_heartbeat(&node(other).name, &heartbeat(speed(other), other), now);
        }
        view
    };
    (0..nodes).map(view).collect()
}

fn standbys_of(views: &[Ownership], pool: &str, now: Ms) -> Vec<usize> {
    (0..views.len()).filter(|&i| views[i].is_standby(pool, now) == Some(true)).collect()
}

/// If every node were a standby of every pool, 97 nodes that start again after a loss of power would request 13 MB each.
#[gtest]
fn the_number_of_standbys_of_a_pool_does_not_grow_with_the_number_of_nodes() {
    for nodes in [6, 9, 32, 97, 300] {
        let views = views(nodes, 3_000);
        for pool in POOLS {
            let standbys = standbys_of(&views, pool, 3_000);
            expect_that!(standbys.len(), eq(STANDBYS.min(nodes)), "{nodes} nodes, {pool}");
        }
    }
}

#[gtest]
fn nodes_that_have_just_started_leave_the_store_to_owners() {
    let views = views(97, 1_900);
    expect_that!(standbys_of(&views, "desk", 1_900), is_empty());
}

#[gtest]
fn slow_nodes_are_standbys_only_if_there_are_no_others() {
    let views = views(97, 3_000);
    for pool in POOLS {
        expect_that!(
            standbys_of(&views, pool, 3_000),
            each(predicate(|i: &usize| i % 5 != 4)),
            "{pool}"
        );
    }
}

#[gtest]
fn the_node_that_claims_a_vacant_pool_first_is_one_of_its_standbys() {
    let mut views = views(97, 3_000);
    for pool in POOLS {
        let name = [pool.into()];
        let standbys = standbys_of(&views, pool, 3_000);
        let mut first = None;
        for now in (3_000..30_000).step_by(100) {
            for (i, view) in views.iter_mut().enumerate() {
                view.record_read(now);
                for other in 0..97 {
                    let sequence = now;
                    let speed = if other % 5 == 4 { 100 } else { 1_000 };
                    view.record_heartbeat(
                        &node(other).name,
                        &Heartbeat { sequence, ..heartbeat(speed, other) },
                        now,
                    );
                }
                if first.is_none() && !view.to_claim(name.iter(), now).is_empty() {
                    first = Some(i);
                }
            }
            if first.is_some() {
                break;
            }
        }
        expect_that!(first, some(predicate(|i: usize| standbys.contains(&i))), "{pool}");
    }
}

#[gtest]
fn a_node_without_contact_to_the_others_does_not_know_whether_it_is_a_standby() {
    let views = views(9, 3_000);
    expect_that!(views[0].is_standby("desk", 9_000), none());
}

#[gtest]
fn standbys_other_than_the_owner_and_the_querying_node_are_queried() {
    let mut views = views(97, 3_000);
    let owner = Claim::new(node(7));
    for view in &mut views {
        view.record_claim(&"desk".into(), owner.clone(), token_of(0), 3_000);
    }
    let relay = |i: usize| heartbeat(0, i).relay.unwrap();
    let standbys: Vec<_> = standbys_of(&views, "desk", 3_000).into_iter().map(relay).collect();
    for (i, view) in views.iter().enumerate() {
        let queried = view.standbys_to_query("desk", 3_000);
        expect_that!(queried, not(is_empty()));
        expect_that!(queried, not(contains(eq(&relay(i)))));
        expect_that!(queried, not(contains(eq(&relay(7)))));
        expect_that!(queried, each(predicate(|a| standbys.contains(a))), "node {i}");
    }
}

/// The starts that an owner asked a node for that did not follow the pool were all refused.
#[gtest]
fn starts_go_only_through_nodes_that_follow_the_pool() {
    let mut views = views(97, 3_000);
    let means = Means { cpu_share: 500, link_kbps: 10_000 };
    for view in &mut views {
        for other in 0..97 {
            let speed = if other % 5 == 4 { 100 } else { 1_000 };
            let beat = Heartbeat { sequence: 2, means, ..heartbeat(speed, other) };
            view.record_heartbeat(&node(other).name, &beat, 3_000);
        }
    }
    let relay = |i: usize| heartbeat(0, i).relay.unwrap();
    for pool in POOLS {
        let standbys = standbys_of(&views, pool, 3_000);
        // A standby owns the pool, or another node does.
        for (offset, owner) in [standbys[0], 9].into_iter().enumerate() {
            let claim = Claim::new(node(owner));
            for view in &mut views {
                view.record_claim(&pool.into(), claim.clone(), token_of(offset as u64), 3_000);
            }
            let links = views[owner].standby_links(pool, 3_000);
            let used: Vec<_> = links.into_iter().map(|(addr, _)| addr).collect();
            let others = standbys.iter().filter(|i| **i != owner).map(|&i| relay(i));
            let others: Vec<_> = others.collect();
            expect_that!(used, len(eq(others.len())), "{pool}");
            expect_that!(used, each(predicate(|a| others.contains(a))), "{pool}");
        }
    }
}
