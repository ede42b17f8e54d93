//! The partition of heartbeats that owners have of their own.

use googletest::prelude::*;
use thistle_schedule::Ms;
use thistle_schedule::ownership::{
    Claim, HEARTBEAT_MS, Heartbeat, HeartbeatPartition, Means, NodeIncarnation, OWNER_LEASE_MS,
    Ownership, UNRESPONSIVE_MS,
};
use thistle_schedule::policy::OwnershipPolicy;

use HeartbeatPartition::{Common, Fallback, Owners};

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
        reads_owner_heartbeats: true,
        reads_shard_heartbeats: false,
    }
}

fn view(name: &str) -> Ownership {
    let policy = OwnershipPolicy { owner_heartbeats: true, ..OwnershipPolicy::default() };
    Ownership::new(node(name, 1), 0).with_policy(policy)
}

fn claim(view: &mut Ownership, name: &str, incarnation: u64, offset: u64, now: Ms) {
    let claim = Claim::new(node(name, incarnation));
    view.record_claim(&"desk".into(), claim, offset, now);
}

fn claims(view: &mut Ownership, now: Ms) -> usize {
    view.to_claim(std::iter::once(&"desk".into()), now).len()
}

/// An owner's last heartbeat may stand in any partition of heartbeats. A node that has not read all of them since the lease would
/// have ended takes a shard from an owner that is alive.
#[gtest]
fn an_owner_is_unresponsive_only_if_all_partitions_were_read_after_its_lease() {
    for unread in [Common, Owners, Fallback] {
        let mut view = view("b");
        claim(&mut view, "a", 1, 0, 900);
        let mut now = 1_000;
        let end = 1_000 + UNRESPONSIVE_MS + 100;
        view.record_partition_read(Owners, Some(now), now);
        view.record_owner_heartbeat("a", &heartbeat(1, 1), now);
        while now < end {
            now += 100;
            for partition in [Owners, Common, Fallback] {
                let stale = partition == unread && now > 1_000 + OWNER_LEASE_MS;
                // The partition was read, but not to its end.
                view.record_partition_read(partition, (!stale).then_some(now), now);
            }
        }
        expect_that!(claims(&mut view, now), eq(0), "{unread:?}");
        view.record_partition_read(unread, Some(now), now);
        expect_that!(claims(&mut view, now), eq(1), "{unread:?}");
    }
}

/// One read after an owner's lease is not enough if later reads of that partition hang while other nodes are given time to claim
/// first: the owner may have renewed its lease meanwhile.
#[gtest]
fn reads_of_all_partitions_are_recent_when_an_unresponsive_owner_is_replaced() {
    for hanging in [Common, Owners, Fallback] {
        let mut view = view("me");
        // Three nodes without shards go before this one, which owns a shard.
        view.record_claim(&"mine".into(), Claim::new(node("me", 1)), 0, 900);
        claim(&mut view, "a", 1, 1, 900);
        let last_contact = 1_000;
        view.record_partition_read(Owners, Some(last_contact), last_contact);
        view.record_owner_heartbeat("a", &heartbeat(1, 1), last_contact);
        let hangs_from = last_contact + OWNER_LEASE_MS + 200;
        let mut now = last_contact;
        while now < last_contact + UNRESPONSIVE_MS + 1_700 {
            now += 100;
            for (i, name) in ["x", "y", "z"].into_iter().enumerate() {
                view.record_heartbeat(name, &heartbeat(1, now + i as u64), now);
            }
            for partition in [Owners, Common, Fallback] {
                if partition != hanging || now < hangs_from {
                    view.record_partition_read(partition, Some(now), now);
                }
            }
            expect_that!(claims(&mut view, now), eq(0), "{hanging:?} {now}");
        }
        // Such a gap between reads of the owners' partition resets all timeouts.
        let is_gap = view.record_partition_read(hanging, Some(now), now);
        expect_that!(is_gap, eq(hanging == Owners));
        expect_that!(claims(&mut view, now), eq(usize::from(!is_gap)), "{hanging:?}");
    }
}

/// Each call to the store is paid for. The second partition must not add reads in calm, and an owner must read the common one
/// often enough to notice an older node before that node claims its shard.
#[gtest]
fn in_calm_a_read_covers_one_partition() {
    for (owner, every) in [("b", 5), ("me", 2)] {
        let mut view = view("me");
        claim(&mut view, owner, 1, 0, 10_000);
        let parts: Vec<_> =
            (0..10).flat_map(|count| view.partitions_to_read(count, false, 10_100)).collect();
        expect_that!(parts, len(eq(10)));
        let common = parts.iter().filter(|&&&partition| partition == Common).count();
        expect_that!(common, eq(10 / every));
        expect_that!(view.partitions_to_read(0, true, 10_100), len(eq(2)), "slow store");
        expect_that!(view.partitions_to_read(0, false, 500), len(eq(2)), "start of the node");
    }
    let mut view = view("me");
    claim(&mut view, "b", 1, 0, 10_000);
    expect_that!(view.partitions_to_read(0, false, 11_500), len(eq(2)), "overdue owner");
}

/// In calm an owner reads the owners' partition at every second turn, and other nodes leave it out at every fifth one. If a read
/// that takes 0.3 s reset all timeouts, each would delay takeovers by 2.7 s.
#[gtest]
fn a_late_read_in_calm_resets_no_timeouts() {
    for owner in ["me", "b"] {
        let mut view = view("me");
        claim(&mut view, owner, 1, 0, 500);
        let mut now = 1_000;
        view.record_partition_read(Owners, Some(now), now);
        for answer_ms in [0, 350, 10, 700] {
            now += 2 * HEARTBEAT_MS + answer_ms;
            expect_that!(view.record_partition_read(Owners, Some(now), now), eq(false), "{now}");
        }
        now += 1_800;
        expect_that!(view.record_partition_read(Owners, Some(now), now), eq(true));
    }
}

/// An older node reads only the common partition and the fallback one. If owners did not send all their heartbeats there, it
/// would take them for unresponsive after 2.7 s and claim their shards. It may do so even after it was silent for long, as its
/// own heartbeats may not be accepted.
#[gtest]
fn owners_send_to_the_common_partition_until_no_older_node_can_run() {
    let mut view = view("me");
    view.record_heartbeat("new", &heartbeat(1, 1), 1_000);
    expect_that!(view.must_send_to_common_partition(), eq(false));
    let older = Heartbeat { reads_owner_heartbeats: false, ..heartbeat(1, 1) };
    view.record_heartbeat("old", &older, 1_000);
    expect_that!(view.must_send_to_common_partition(), eq(true));
    view.record_heartbeat("old", &Heartbeat { leaving: true, ..older.clone() }, 3_000);
    expect_that!(view.must_send_to_common_partition(), eq(false));
    view.record_heartbeat("old", &Heartbeat { sequence: 2, ..older }, 4_000);
    // Long after the last heartbeat, other nodes still send theirs.
    view.record_heartbeat("new", &heartbeat(1, 2), 60_000);
    expect_that!(view.must_send_to_common_partition(), eq(true));
    view.record_heartbeat("old", &heartbeat(2, 1), 61_000);
    expect_that!(view.must_send_to_common_partition(), eq(false));
}

/// A node that restarts sends its first heartbeats to the common partition, while the last ones from before the restart still
/// stand in the owners' partition. Taken for newer, they make the node's new claims seem to be those of an incarnation that has
/// ended.
#[gtest]
fn late_heartbeats_of_an_earlier_incarnation_take_no_shard_from_the_next_one() {
    let mut view = view("b");
    view.record_heartbeat("a", &heartbeat(2, 1), 1_000);
    claim(&mut view, "a", 2, 0, 1_010);
    for now in (1_100..4_000).step_by(100) {
        for partition in [Owners, Common] {
            view.record_partition_read(partition, Some(now), now);
        }
        view.record_owner_heartbeat("a", &heartbeat(1, 9 + now), now);
        view.record_owner_heartbeat("a", &heartbeat(2, now), now);
        view.record_owner_heartbeat("a", &heartbeat(1, 10 + now), now);
        expect_that!(claims(&mut view, now), eq(0), "{now}");
    }
}

/// A node that restarts while the store is slow has reclaimed one of its shards, when heartbeats from before the restart are
/// still read: from the owners' partition, as the earlier incarnation owns the other shard, or from the common one, which is
/// read later. Taken for newer, they make a shard of a live owner seem to be that of an incarnation that has ended.
#[gtest]
fn late_heartbeats_take_no_reclaimed_shard_from_its_owner() {
    for (late_from, owns_other) in [(Owners, true), (Common, true), (Common, false)] {
        let mut view = view("b");
        claim(&mut view, "a", 1, 0, 500);
        let other = Claim::new(node("a", if owns_other { 1 } else { 2 }));
        view.record_heartbeat("a", &heartbeat(1, 1), 600);
        claim(&mut view, "a", 2, 1, 1_000);
        view.record_claim(&"other".into(), other, u64::from(!owns_other) * 2, 1_000);
        view.record_owner_heartbeat("a", &heartbeat(2, 1), 1_010);
        for now in (1_100..4_000).step_by(100) {
            for partition in [Owners, Common, Fallback] {
                view.record_partition_read(partition, Some(now), now);
            }
            view.record_owner_heartbeat("a", &heartbeat(2, now), now);
            let late = heartbeat(1, now);
            match late_from {
                Owners => view.record_owner_heartbeat("a", &late, now),
                _ => view.record_heartbeat("a", &late, now),
            }
            expect_that!(claims(&mut view, now), eq(0), "{late_from:?} {owns_other} {now}");
        }
    }
}

/// A restarted node has reclaimed its shard, and only the fallback partition accepts its heartbeats. Dropped as possibly
/// outdated, they leave the shard to another node although its owner is alive.
#[gtest]
fn heartbeats_in_the_fallback_partition_keep_the_shard_of_a_restarted_owner() {
    for (owner_heartbeats, outdated_too) in
        [(true, false), (false, false), (true, true), (false, true)]
    {
        let policy = OwnershipPolicy { owner_heartbeats, ..OwnershipPolicy::default() };
        let mut view = Ownership::new(node("b", 1), 0).with_policy(policy);
        claim(&mut view, "a", 1, 0, 500);
        view.record_heartbeat("a", &heartbeat(1, 1), 600);
        claim(&mut view, "a", 2, 1, 1_000);
        for now in (1_100..6_000).step_by(100) {
            for partition in [Owners, Common, Fallback] {
                view.record_partition_read(partition, Some(now), now);
            }
            view.record_fallback_heartbeat("a", &heartbeat(2, now), now);
            if outdated_too {
                // They do not bring the earlier incarnation back.
                view.record_fallback_heartbeat("a", &heartbeat(1, now), now);
            }
            let case = format!("{owner_heartbeats} {outdated_too} {now}");
            expect_that!(claims(&mut view, now), eq(0), "{case}");
        }
    }
}

/// The first heartbeats of a restarted node must count before it has claimed anything: they show whether it reads the owners'
/// partition, and that its shards have no owner.
#[gtest]
fn a_restarted_owner_that_claims_nothing_is_replaced() {
    let mut view = view("b");
    claim(&mut view, "a", 1, 0, 500);
    view.record_owner_heartbeat("a", &heartbeat(1, 1), 600);
    let older = |sequence| Heartbeat { reads_owner_heartbeats: false, ..heartbeat(2, sequence) };
    view.record_heartbeat("a", &older(1), 1_000);
    expect_that!(view.must_send_to_common_partition(), eq(true));
    // One late heartbeat does not exclude the later incarnation.
    view.record_owner_heartbeat("a", &heartbeat(1, 2), 1_050);
    let mut claimed_at = None;
    for now in (1_100..2_500).step_by(100) {
        for partition in [Owners, Common, Fallback] {
            view.record_partition_read(partition, Some(now), now);
        }
        view.record_heartbeat("a", &older(now), now);
        if claimed_at.is_none() && claims(&mut view, now) == 1 {
            claimed_at = Some(now);
        }
    }
    expect_that!(view.must_send_to_common_partition(), eq(true));
    // Sooner than a silent owner.
    expect_that!(claimed_at, some(lt(1_100 + UNRESPONSIVE_MS)));
}

/// Returns the longest time from the sending of an owner's accepted heartbeat to the answer of the next one. The partition
/// appends one record at a time, each in `append_ms`; the owners' first heartbeats come 37 ms after each other.
fn longest_renewal(owners: u64, append_ms: Ms) -> Ms {
    let mut due: Vec<Ms> = (0..owners).map(|i| i * 37).collect();
    let mut renewed_from: Vec<Option<Ms>> = vec![None; due.len()];
    let (mut free_at, mut longest) = (0, 0);
    for _ in 0..owners * 50 {
        let (i, &sent_at) = due.iter().enumerate().min_by_key(|(_, at)| **at).expect("owners");
        free_at = sent_at.max(free_at) + append_ms;
        let renewed = renewed_from[i].replace(sent_at);
        longest = longest.max(renewed.map_or(0, |from| free_at - from));
        due[i] = free_at + HEARTBEAT_MS;
    }
    longest
}

/// The owners' heartbeats must not queue so long behind each other that their leases expire. How many nodes own nothing does
/// not matter, with 37 nodes or with 585, because theirs go to another partition.
#[gtest]
fn the_leases_of_owners_hold_while_the_store_is_slow() {
    // 60 times, 34 times and 10 times as slow. On the largest sites 22 pools, the fleet and the caps have owners.
    for (most, append_ms) in [(4, 240), (8, 136), (24, 40)] {
        for owners in 1..=most {
            let longest = longest_renewal(owners, append_ms);
            expect_that!(longest, lt(OWNER_LEASE_MS), "{owners} at {append_ms} ms");
        }
    }
    // The same partition for all 37 nodes.
    expect_that!(longest_renewal(37, 136), gt(OWNER_LEASE_MS));
}
