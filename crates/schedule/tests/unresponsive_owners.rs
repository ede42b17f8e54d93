//! When an owner whose heartbeats are missing counts as unresponsive.

use std::sync::Arc;

use googletest::prelude::*;
use thistle_schedule::Ms;
use thistle_schedule::ownership::{
    Claim, Heartbeat, HeartbeatPartition, LeaseRenewals, Means, NodeIncarnation, OWNER_LEASE_MS,
    Ownership, UNRESPONSIVE_MS,
};
use thistle_schedule::policy::OwnershipPolicy;

use HeartbeatPartition::{Common, Fallback, Owners};

fn node(name: &str, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation { name: name.to_owned(), incarnation }
}

fn view(owner_heartbeats: bool) -> Ownership {
    let policy = OwnershipPolicy { owner_heartbeats, ..OwnershipPolicy::default() };
    Ownership::new(node("b", 1), 0).with_policy(policy)
}

fn record_first_heartbeat(view: &mut Ownership, now: Ms) {
    let heartbeat = Heartbeat {
        incarnation: 1,
        sequence: 1,
        leaving: false,
        relay: None,
        speed: 0,
        means: Means::default(),
        reads_owner_heartbeats: true,
        reads_shard_heartbeats: false,
    };
    view.record_heartbeat("a", &heartbeat, now);
}

/// Records complete reads of all partitions and returns the shards that this node claims then.
fn claims_after_reads(view: &mut Ownership, shards: &[Arc<str>], now: Ms) -> Vec<Arc<str>> {
    for partition in [Owners, Common, Fallback] {
        view.record_partition_read(partition, Some(now), now);
    }
    view.to_claim(shards.iter(), now)
}

/// An accepted claim renews the lease of all shards of its node. If another node counts it for the claimed shard only, it
/// claims the others while their owner still acts, whose heartbeats are missing.
#[gtest]
fn no_shard_is_taken_from_an_owner_that_has_just_claimed_another_one() {
    let shards: Vec<Arc<str>> = ["y".into(), "x".into()].into();
    let heard_at = 1_000;
    let claimed_at = heard_at + OWNER_LEASE_MS - 100;
    // The owner may release the other shard right away, which does not shorten its lease.
    for (owner_heartbeats, releases) in [(true, false), (false, false), (true, true), (false, true)]
    {
        let mut view = view(owner_heartbeats);
        view.record_claim(&shards[0], Claim::new(node("a", 1)), 0, 900);
        record_first_heartbeat(&mut view, heard_at);
        let mut taken_at = None;
        for now in (heard_at..9_000).step_by(100) {
            if now == claimed_at {
                view.record_claim(&shards[1], Claim::new(node("a", 1)), 1, now);
                if releases {
                    let release = Claim::released(node("a", 1), None);
                    view.record_claim(&shards[1], release, 2, now);
                }
            }
            let claims = claims_after_reads(&mut view, &shards[..1], now);
            if !claims.is_empty() && taken_at.is_none() {
                taken_at = Some(now);
            }
        }
        let due = claimed_at + UNRESPONSIVE_MS;
        let on_time = all![ge(due), lt(due + 500)];
        expect_that!(taken_at, some(on_time), "{owner_heartbeats} {releases}");
    }
}

/// The fallback partition is read while an owner's heartbeat is overdue, which a claim shows not to be.
#[gtest]
fn a_claim_counts_as_contact_for_all_shards_of_its_node() {
    let mut view = view(true);
    view.record_claim(&"y".into(), Claim::new(node("a", 1)), 0, 900);
    record_first_heartbeat(&mut view, 1_000);
    expect_that!(view.has_overdue_owner(2_600), eq(true));
    view.record_claim(&"x".into(), Claim::new(node("a", 1)), 1, 2_600);
    expect_that!(view.has_overdue_owner(2_700), eq(false));
    expect_that!(view.has_overdue_owner(4_200), eq(true));
}

/// An owner whose lease has ended regains it by a record among the claims. A node that reads it before the heartbeats of that
/// owner would claim a shard whose owner acts.
#[gtest]
fn a_renewal_counts_as_contact_for_all_shards_of_its_node() {
    let shards: Vec<Arc<str>> = ["x".into(), "y".into()].into();
    for owner_heartbeats in [true, false] {
        for (incarnation, renews) in [(1, true), (2, false)] {
            let mut view = view(owner_heartbeats);
            view.record_claim(&shards[0], Claim::new(node("a", 1)), 0, 900);
            view.record_claim(&shards[1], Claim::new(node("a", 1)), 1, 900);
            record_first_heartbeat(&mut view, 1_000);
            for now in (1_000..3_600).step_by(100) {
                expect_that!(claims_after_reads(&mut view, &shards, now), is_empty());
            }
            view.record_renewal(&node("a", incarnation), 3_600);
            let mut taken_at = None;
            for now in (3_700..9_000).step_by(100) {
                if !claims_after_reads(&mut view, &shards, now).is_empty() {
                    taken_at = taken_at.or(Some(now));
                }
            }
            let due = 3_600 + UNRESPONSIVE_MS;
            let is_late = taken_at.is_some_and(|at| at >= due);
            expect_that!(is_late, eq(renews), "{owner_heartbeats} {taken_at:?}");
            expect_that!(taken_at, some(lt(due + 500)));
        }
    }
}

/// While the store is slow, leases of all owners end every few seconds. Each renewal rejects the claims, assignments and
/// renewals of other nodes that are in flight.
#[gtest]
fn renewals_of_a_lease_that_ends_again_and_again_do_not_flood_the_claims() {
    let mut renewals = LeaseRenewals::default();
    let mut sent = Vec::new();
    let mut lease_end = 0;
    for now in (0..60_000).step_by(10) {
        // The answer takes so long that little of the lease remains.
        if now >= lease_end && renewals.is_due(now) {
            renewals.record(now);
            sent.push(now);
            lease_end = now + 100;
        }
    }
    expect_that!(sent[0], eq(0), "the first one does not wait");
    expect_that!(sent, len(le(17)));
    expect_that!(renewals.is_due(70_000), eq(true));
    renewals.record(75_000);
    expect_that!(renewals.is_due(76_000), eq(true), "after a time without renewals");
}
