//! Claims of pools: which node claims a pool, and when; and the leases of tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use googletest::prelude::*;
use thistle_schedule::ownership::{
    Claim, Heartbeat, Means, NodeIncarnation, OWNER_LEASE_MS, Ownership, UNRESPONSIVE_MS,
};
use thistle_schedule::{Ms, TaskLease};

fn node(name: &str, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation { name: name.to_owned(), incarnation }
}

fn heartbeat(incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        incarnation,
        sequence,
        leaving: false,
        relay: None,
        speed: 0,
        means: Means::default(),
        reads_owner_heartbeats: false,
        reads_shard_heartbeats: false,
    }
}

fn claim(name: &str, incarnation: u64) -> Claim {
    Claim::new(node(name, incarnation))
}

fn pools(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|n| Arc::from(*n)).collect()
}

/// Returns the claims of a node that has just read the heartbeats.
fn claims_after_read(view: &mut Ownership, names: &[&str], now: Ms) -> Vec<Arc<str>> {
    view.record_read(now);
    claims_now(view, names, now)
}

fn claims_now(view: &mut Ownership, names: &[&str], now: Ms) -> Vec<Arc<str>> {
    view.to_claim(pools(names).iter(), now)
}

#[gtest]
fn new_nodes_share_unowned_pools_evenly() {
    let mut claimed = [0; 3];
    let mut views: Vec<Ownership> =
        (0..3).map(|i| Ownership::new(node(&format!("n{i}"), 1), 0)).collect();
    let names = ["a", "b", "c", "d", "e", "f"];
    for round in 0..40 {
        let now = 900 + round * 100;
        for view in &mut views {
            for i in 0..3 {
                view.record_heartbeat(&format!("n{i}"), &heartbeat(1, round + 1), now);
            }
        }
        for i in 0..3 {
            let Some(pool) = claims_after_read(&mut views[i], &names, now).first().cloned() else {
                continue;
            };
            claimed[i] += 1;
            for view in &mut views {
                view.record_claim(&pool, claim(&format!("n{i}"), 1), round * 10 + i as u64, now);
            }
        }
    }
    expect_that!(claimed.iter().sum::<i32>(), eq(6));
    expect_that!(claimed.iter().all(|&n| n == 2), eq(true), "{claimed:?}");
}

#[gtest]
fn an_unresponsive_owner_keeps_its_pool_for_longer_than_its_lease() {
    let mut view = Ownership::new(node("b", 1), 0);
    view.record_heartbeat("b", &heartbeat(1, 1), 0);
    view.record_heartbeat("a", &heartbeat(1, 1), 1_000);
    view.record_claim(&"desk".into(), claim("a", 1), 0, 900);
    for now in [1_000, 2_000, 3_000] {
        view.record_read(now);
    }
    expect_that!(claims_now(&mut view, &["desk"], 1_000 + OWNER_LEASE_MS), is_empty());
    view.record_heartbeat("b", &heartbeat(1, 2), 1_000 + UNRESPONSIVE_MS);
    view.record_read(1_000 + UNRESPONSIVE_MS);
    expect_that!(claims_now(&mut view, &["desk"], 1_000 + UNRESPONSIVE_MS), len(eq(1)));
}

#[gtest]
fn owner_timeouts_restart_after_this_node_could_not_read() {
    let mut view = Ownership::new(node("b", 1), 0);
    view.record_heartbeat("a", &heartbeat(1, 1), 1_000);
    view.record_claim(&"desk".into(), claim("a", 1), 0, 900);
    view.record_read(9_000);
    expect_that!(claims_now(&mut view, &["desk"], 9_100), is_empty());
    for now in [10_000, 11_000, 12_000] {
        view.record_read(now);
    }
    expect_that!(claims_now(&mut view, &["desk"], 12_000), len(eq(1)));
}

/// A node that the store refused for some seconds must read the missed heartbeats
/// before it looks for unresponsive owners. Otherwise it claims all pools.
#[gtest]
fn a_node_without_recent_reads_claims_nothing() {
    let mut view = Ownership::new(node("b", 1), 0);
    view.record_read(1_000);
    view.record_heartbeat("a", &heartbeat(1, 1), 1_000);
    view.record_claim(&"desk".into(), claim("a", 1), 0, 900);
    expect_that!(claims_now(&mut view, &["desk"], 9_000), is_empty());
}

#[gtest]
fn a_restarted_owner_reclaims_its_pool_at_once() {
    let mut view = Ownership::new(node("a", 2), 5_000);
    view.record_claim(&"desk".into(), claim("a", 1), 0, 5_010);
    expect_that!(claims_after_read(&mut view, &["desk"], 5_020), len(eq(1)));
}

#[gtest]
fn a_released_pool_is_claimed_at_once_by_one_node() {
    let mut views = [Ownership::new(node("a", 1), 0), Ownership::new(node("b", 1), 0)];
    let released = Claim::released(node("c", 1), None);
    let mut first = 0;
    for view in &mut views {
        view.record_heartbeat("a", &heartbeat(1, 1), 2_000);
        view.record_heartbeat("b", &heartbeat(1, 1), 2_000);
        view.record_claim(&"desk".into(), claim("c", 1), 0, 1_000);
        view.record_claim(&"desk".into(), released.clone(), 1, 2_000);
        first += claims_after_read(view, &["desk"], 2_010).len();
    }
    expect_that!(first, eq(1));
}

#[gtest]
fn a_late_release_by_a_previous_owner_changes_nothing() {
    let mut view = Ownership::new(node("b", 1), 0);
    view.record_claim(&"desk".into(), claim("a", 1), 0, 100);
    view.record_claim(&"desk".into(), claim("b", 1), 1, 200);
    let late = Claim::released(node("a", 1), None);
    view.record_claim(&"desk".into(), late, 2, 300);
    expect_that!(view.my_token("desk"), some(eq(2)));
}

#[gtest]
fn tokens_increase_and_an_older_claim_is_ignored() {
    let mut view = Ownership::new(node("a", 1), 0);
    view.record_claim(&"desk".into(), claim("a", 1), 7, 100);
    view.record_claim(&"desk".into(), claim("b", 1), 3, 200);
    expect_that!(view.my_token("desk"), some(eq(8)));
    view.record_claim(&"desk".into(), claim("b", 1), 9, 300);
    expect_that!(view.my_token("desk"), none());
}

#[gtest]
fn a_lease_of_unknown_start_expires_after_its_full_length_on_a_slow_clock() {
    let lease = TaskLease::new(6_000, 1_000);
    expect_that!(lease.is_expired(7_100), eq(false));
    expect_that!(lease.is_expired(7_300), eq(true));
}

#[gtest]
fn a_lease_granted_on_an_old_clock_reading_is_bounded_from_that_reading() {
    let mut lease = TaskLease::new(6_000, 0);
    expect_that!(lease.grant(10), none());
    lease.record_clock(500_000, 100);
    expect_that!(lease.grant(1_100), some(eq(507_000)));
    // The VM's clock may have run 2% slow since the reading: 7,000 of its ms take 7,143 of ours.
    expect_that!(lease.is_expired(100 + 7_143), eq(false));
    expect_that!(lease.is_expired(100 + 7_143 + 200), eq(true));
}

#[gtest]
fn an_owner_with_heartbeats_in_the_fallback_partition_is_responsive() {
    let mut view = Ownership::new(node("b", 1), 0);
    view.record_claim(&"desk".into(), claim("a", 1), 0, 900);
    view.record_heartbeat("a", &heartbeat(1, 1), 1_000);
    expect_that!(view.has_overdue_owner(1_500), eq(false));
    expect_that!(view.has_overdue_owner(2_000), eq(true));
    for (now, sequence) in [(2_000, 2), (3_000, 3), (4_000, 4), (5_000, 5)] {
        view.record_read(now);
        view.record_fallback_heartbeat("a", &heartbeat(1, sequence), now);
        expect_that!(claims_now(&mut view, &["desk"], now), is_empty());
    }
    // A late heartbeat of a previous incarnation does not count.
    view.record_fallback_heartbeat("a", &heartbeat(9, 90), 5_500);
    view.record_read(6_000);
    view.record_read(7_000);
    expect_that!(claims_now(&mut view, &["desk"], 7_600), is_empty());
    view.record_read(7_700);
    expect_that!(claims_now(&mut view, &["desk"], 7_700), len(eq(1)));
}

#[gtest]
fn owner_timeouts_restart_when_not_all_heartbeats_can_be_read() {
    let mut view = Ownership::new(node("b", 1), 0);
    view.record_claim(&"desk".into(), claim("a", 1), 0, 900);
    view.record_heartbeat("a", &heartbeat(1, 1), 1_000);
    for now in [1_000, 2_000, 3_000] {
        view.record_read(now);
        view.reset_timeouts(now);
    }
    view.record_read(4_000);
    expect_that!(claims_now(&mut view, &["desk"], 4_000), is_empty());
}

/// Starts queued for an unresponsive VM are tried one after the other. None of them may be granted a new lease,
/// as the lasting tasks of the VM would then count as running for seconds longer.
#[gtest]
fn an_unresponsive_vm_is_granted_no_new_lease() {
    let mut lease = TaskLease::new(6_000, 0);
    lease.record_clock(50_000, 1_000);
    expect_that!(lease.grant(1_000), some(eq(56_000)));
    lease.set_unresponsive();
    for now in [2_000, 4_000, 6_000] {
        expect_that!(lease.grant(now), none());
    }
    expect_that!(lease.is_expired(7_300), eq(true));
    lease.record_clock(58_000, 9_000);
    expect_that!(lease.grant(9_000), some(eq(64_000)));
}

#[gtest]
fn slow_nodes_leave_pools_to_faster_ones() {
    let mut views: Vec<Ownership> =
        ["a", "b", "c"].map(|name| Ownership::new(node(name, 1), 0)).into();
    let speeds = [("a", 250), ("b", 1_000), ("c", 900)];
    let mut claimed: Vec<(&str, usize)> = Vec::new();
    for view in &mut views {
        for (name, speed) in speeds {
            view.record_heartbeat(name, &Heartbeat { speed, ..heartbeat(1, 1) }, 900);
        }
    }
    for (i, (name, _)) in speeds.into_iter().enumerate() {
        let claims = claims_after_read(&mut views[i], &["p", "q", "r"], 1_000);
        claimed.push((name, claims.len()));
    }
    expect_that!(claimed[0], eq(("a", 0)));
    expect_that!(claimed[1].1 + claimed[2].1, ge(2));
}

/// An owner that the store refuses writes its records through a relay. Through a slow one, with an eighth of a core
/// and a link of 10 Mbit/s, ends are known seconds late and the VMs of the pool stay full of ended tasks.
#[gtest]
fn an_owner_prefers_fast_nodes_as_relays() {
    let relay = |i: u16| Some(SocketAddr::from(([10, 0, 0, 1], i)));
    let record_heartbeats = |view: &mut Ownership| {
        for i in 0..12 {
            let speed = if i % 4 == 0 { 20_000 } else { 5_000 };
            let heartbeat = Heartbeat { speed, relay: relay(i), ..heartbeat(1, 1) };
            view.record_heartbeat(&format!("n{i}"), &heartbeat, 1_000);
        }
    };
    let mut view = Ownership::new(node("me", 1), 0);
    record_heartbeats(&mut view);
    view.record_claim(&"desk".into(), claim("me", 1), 0, 900);
    let first: Vec<u16> = view.relays(1_000).iter().take(3).map(|addr| addr.port() % 4).collect();
    expect_that!(first, eq(&vec![0, 0, 0]));
    expect_that!(view.relays(1_000), len(eq(12)));
    // Nodes that own nothing send few calls and leave the fast relays to owners.
    let mut firsts = Vec::new();
    for i in 0..40 {
        let mut view = Ownership::new(node(&format!("me{i}"), 1), 0);
        record_heartbeats(&mut view);
        firsts.push(view.relays(1_000)[0].port().is_multiple_of(4));
    }
    expect_that!(firsts.iter().filter(|&&fast| fast).count(), lt(30));
}

/// An owner ends unexpectedly after a panic or a VM's wrong report. Restarted under its old token, it numbers its records
/// from 1 again, so that newer records pass for older ones, and earlier orders are not fenced: finished tasks run again.
#[gtest]
fn an_owner_that_ended_unexpectedly_is_restarted_only_under_a_new_token() {
    let mut view = Ownership::new(node("a", 1), 0);
    let desk: Arc<str> = "desk".into();
    view.record_claim(&desk, claim("a", 1), 0, 1_000);
    expect_that!(claims_after_read(&mut view, &["desk"], 1_000), is_empty());
    expect_that!(view.has_ended("desk"), eq(false));
    view.record_owner_end(&desk, 1, 2_000);
    expect_that!(view.has_ended("desk"), eq(true));
    expect_that!(view.my_token("desk"), none());
    expect_that!(claims_after_read(&mut view, &["desk"], 2_200), len(eq(1)));
    // The previous claim, read again, changes nothing.
    view.record_claim(&desk, claim("a", 1), 0, 2_200);
    expect_that!(view.my_token("desk"), none());
    view.record_claim(&desk, claim("a", 1), 7, 2_300);
    expect_that!(view.my_token("desk"), some(eq(8)));
    expect_that!(claims_after_read(&mut view, &["desk"], 2_300), is_empty());
}

#[gtest]
fn a_pool_whose_owner_ended_is_left_to_another_node_that_claimed_it() {
    let mut view = Ownership::new(node("a", 1), 0);
    let desk: Arc<str> = "desk".into();
    view.record_claim(&desk, claim("a", 1), 0, 1_000);
    view.record_owner_end(&desk, 1, 2_000);
    view.record_claim(&desk, claim("b", 1), 3, 2_050);
    view.record_heartbeat("b", &heartbeat(1, 1), 2_200);
    expect_that!(claims_after_read(&mut view, &["desk"], 2_300), is_empty());
}

#[gtest]
fn owners_that_end_repeatedly_are_restarted_after_growing_delays() {
    let mut view = Ownership::new(node("a", 1), 0);
    let desk: Arc<str> = "desk".into();
    let (mut now, mut claims) = (1_000, 0);
    while now < 61_000 {
        now += 100;
        let owns = view.my_token("desk").is_some();
        if owns {
            view.record_owner_end(&desk, claims, now);
        }
        if !claims_after_read(&mut view, &["desk"], now).is_empty() {
            view.record_claim(&desk, claim("a", 1), claims, now);
            claims += 1;
        }
    }
    // A restart every 100 ms would make 600 claims in a minute.
    expect_that!(claims, le(25));
    view.record_owner_end(&desk, claims, now);
    // An owner that ran for a long time is restarted soon.
    view.record_claim(&desk, claim("a", 1), claims, now);
    view.record_owner_end(&desk, claims + 1, now + 20_000);
    expect_that!(claims_after_read(&mut view, &["desk"], now + 20_200), len(eq(1)));
}

/// A restarted node must not take its own previous incarnation for the owner of a pool. Otherwise it is ready before any node
/// can answer queries about the jobs of the pool, and refuses callers that ask for such a job.
#[gtest]
fn a_previous_incarnation_of_this_node_is_no_owner_to_query() {
    let mut view = Ownership::new(node("a", 2), 0);
    let relay: SocketAddr = ([127, 0, 0, 1], 7_060).into();
    let previous = Heartbeat { relay: Some(relay), ..heartbeat(1, 9) };
    view.record_heartbeat("a", &previous, 100);
    view.record_claim(&"desk".into(), claim("a", 1), 0, 100);
    expect_that!(view.relay_of_owner("desk"), none());
}

/// A slow node that starts with many others must not claim an unowned pool after its first read of the heartbeats
/// (0.36 s after its start), when the fast nodes have not sent theirs yet. The pool would stall under its slow owner.
#[gtest]
fn a_node_receives_first_heartbeats_before_it_claims_an_unowned_pool() {
    let mut slow = Ownership::new(node("b", 1), 0);
    expect_that!(claims_after_read(&mut slow, &["desk"], 360), is_empty());
    expect_that!(claims_after_read(&mut slow, &["desk"], 820), is_empty());
    slow.record_heartbeat("b", &Heartbeat { speed: 10_770, ..heartbeat(1, 1) }, 820);
    slow.record_heartbeat("a", &Heartbeat { speed: 45_000, ..heartbeat(1, 1) }, 820);
    expect_that!(claims_after_read(&mut slow, &["desk"], 1_000), is_empty());
    expect_that!(claims_after_read(&mut slow, &["desk"], 1_450), len(eq(1)));
}

/// A partition carries 250 heartbeats a second. When 585 nodes start together and each waits for one second only, slow ones
/// claim the busiest pool and the fleet before the heartbeats of faster ones arrive. Such owners are slow to take over.
#[gtest]
fn a_node_waits_for_as_long_as_the_first_heartbeats_of_all_nodes_take() {
    let first_claim = |nodes: u64| {
        let mut view = Ownership::new(NodeIncarnation { name: "me".to_owned(), incarnation: 1 }, 0);
        let pool = ["desk".into()];
        (900..60_000).step_by(50).find(|&now| {
            view.record_read(now);
            // This node is the fastest of all known nodes.
            let slow = Heartbeat { speed: 10, ..heartbeat(1, now) };
            (0..nodes).for_each(|i| view.record_heartbeat(&format!("n{i}"), &slow, now));
            view.record_heartbeat("me", &Heartbeat { speed: 100, ..heartbeat(1, now) }, now);
            !view.to_claim(pool.iter(), now).is_empty()
        })
    };
    for nodes in [0, 97, 585, 1_200] {
        let extra_ms = 4 * (nodes + 1_u64).saturating_sub(100);
        expect_that!(first_claim(nodes), some(ge(1_000 + extra_ms)), "{nodes}");
        expect_that!(first_claim(nodes), some(le(1_100 + extra_ms)), "{nodes}");
    }
}

/// Guards against a restart that stays unnoticed because the VM's new clock has passed the last reading of the old one: the link
/// then acknowledges ends of the next incarnation that it has not received, and their tasks run again.
#[gtest]
fn a_clock_that_lags_behind_the_time_since_its_last_reading_shows_a_restart() {
    let mut lease = TaskLease::new(6_000, 0);
    expect_that!(lease.is_clock_behind(0, 1_000), eq(false), "there is no reading yet");
    lease.record_clock(50, 1_000);
    // A clock that runs 2% slow is allowed, and the call may be answered later.
    expect_that!(lease.is_clock_behind(50 + 980, 2_000), eq(false));
    expect_that!(lease.is_clock_behind(50 + 3_000, 2_000), eq(false));
    expect_that!(lease.was_clock_reset(200), eq(false));
    expect_that!(lease.is_clock_behind(200, 2_000), eq(true), "down for 100 ms, up for 200 ms");
}
