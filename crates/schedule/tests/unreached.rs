//! Pools whose VMs do not answer their owner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use googletest::prelude::*;
use thistle_schedule::Ms;
use thistle_schedule::ownership::{
    Claim, HandoverReason, Heartbeat, Means, NodeIncarnation, Ownership, Reach, VmAnswer, token_of,
};

const STEP_MS: Ms = 100;
/// How long a new owner takes to notice that no VM answers.
const FIRST_FAILURE_MS: Ms = 300;
const POOL: &str = "p";

/// Nodes that read all claims and heartbeats at once, and may be cut off from all VMs of their pool.
struct Site {
    now: Ms,
    pool: Arc<str>,
    views: BTreeMap<String, Ownership>,
    cut_off: BTreeSet<String>,
    leaving: BTreeSet<String>,
    newest: Option<(Claim, u64)>,
    /// The owners with the times of their claims.
    owners: Vec<(Ms, String)>,
}

impl Site {
    fn new(nodes: usize) -> Self {
        let now = 1_000;
        let view = |i: usize| {
            let me = incarnation(&format!("n{i}"));
            (me.name.clone(), Ownership::new(me, now))
        };
        let views = (0..nodes).map(view).collect();
        let (cut_off, leaving) = (BTreeSet::new(), BTreeSet::new());
        let mut site = Self {
            now,
            pool: POOL.into(),
            views,
            cut_off,
            leaving,
            newest: None,
            owners: Vec::new(),
        };
        site.run_for(10_000);
        assert_eq!(site.owners.len(), 1);
        site
    }

    fn owner(&self) -> String {
        self.owners.last().expect("an owner").1.clone()
    }

    fn append(&mut self, claim: Claim) {
        let offset = self.newest.as_ref().map_or(0, |(_, offset)| offset + 1);
        if !claim.released {
            self.owners.push((self.now, claim.owner.name.clone()));
        }
        for view in self.views.values_mut() {
            view.record_claim(&self.pool, claim.clone(), offset, self.now);
        }
        self.newest = Some((claim, offset));
    }

    fn run_for(&mut self, ms: Ms) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.views.keys().cloned().collect();
        for name in &names {
            let heartbeat = heartbeat(now, self.leaving.contains(name));
            for view in self.views.values_mut() {
                view.record_read(now);
                view.record_heartbeat(name, &heartbeat, now);
            }
        }
        for name in &names {
            let is_cut_off = self.cut_off.contains(name);
            let claimed_at = self.owners.last().map_or(0, |(at, _)| *at);
            let view = self.views.get_mut(name).expect("the node runs");
            if let Some(token) = view.my_token(&self.pool) {
                let since = claimed_at + FIRST_FAILURE_MS;
                let reach = match is_cut_off {
                    true if now >= since => Reach::None { since },
                    true => Reach::Unknown,
                    false => Reach::Some,
                };
                view.record_reach(&self.pool, token, reach, now);
            }
            let pools = [self.pool.clone()];
            if !view.to_claim(pools.iter(), now).is_empty() {
                let unreached = view.unreached_to_claim(&self.pool);
                self.append(Claim::new(incarnation(name)).with_unreached(unreached));
            } else if let Some(handover) = view.to_release_unreached(&pools, now) {
                expect_that!(handover.reason, eq(HandoverReason::Unreachable));
                let unreached = view.unreached_after_release(&self.pool);
                let claim = Claim::released(incarnation(name), Some(handover.successor));
                self.append(claim.with_unreached(Some(unreached)));
            }
        }
    }
}

fn incarnation(name: &str) -> NodeIncarnation {
    NodeIncarnation { name: name.to_owned(), incarnation: 1 }
}

fn heartbeat(sequence: u64, leaving: bool) -> Heartbeat {
    Heartbeat {
        incarnation: 1,
        sequence,
        leaving,
        relay: None,
        speed: 100,
        means: Means::default(),
        reads_owner_heartbeats: true,
        reads_shard_heartbeats: false,
    }
}

fn silent(since: Ms) -> VmAnswer {
    VmAnswer::Unanswered { since, calls: 2, was_answered: true }
}

/// Guards against a node that is cut off from all VMs and keeps its pool because the store accepts its heartbeats.
#[gtest]
fn an_owner_that_is_cut_off_from_all_vms_is_replaced_within_two_seconds() {
    let mut site = Site::new(4);
    let owner = site.owner();
    site.run_for(30_000);
    let cut_off_at = site.now;
    site.owners.last_mut().expect("an owner").0 = cut_off_at;
    site.cut_off.insert(owner.clone());
    site.run_for(300_000);
    expect_that!(site.owners.len(), eq(2), "{:?}", site.owners);
    let (at, next) = site.owners[1].clone();
    expect_that!(next, not(eq(&owner)));
    expect_that!(at - cut_off_at, le(2_000));
}

/// The same for a new owner that is cut off as well, and has never reached a VM.
#[gtest]
fn the_pool_finds_the_only_node_that_reaches_its_vms() {
    let mut site = Site::new(4);
    let owner = site.owner();
    let connected = site.views.keys().rfind(|name| **name != owner).expect("a node").clone();
    site.cut_off = site.views.keys().filter(|name| **name != connected).cloned().collect();
    site.run_for(60_000);
    expect_that!(site.owner(), eq(&connected));
    expect_that!(site.owners.len(), le(4), "{:?}", site.owners);
    expect_that!(site.owners.last().expect("an owner").0, le(1_000 + 10_000 + 10_000));
}

/// Each change of the owner costs callers a pause, and none of them helps while all VMs are gone.
#[gtest]
fn a_pool_whose_vms_are_all_gone_changes_its_owner_ever_more_rarely() {
    for nodes in [2, 3, 10] {
        let mut site = Site::new(nodes);
        site.cut_off = site.views.keys().cloned().collect();
        site.run_for(60_000);
        expect_that!(site.owners.len() - 1, le(6), "{nodes} nodes: {:?}", site.owners);
        site.run_for(540_000);
        expect_that!(site.owners.len() - 1, le(14), "{nodes} nodes: {:?}", site.owners);
        // Once VMs have answered for a while, the next loss is handled as a first one.
        site.cut_off.clear();
        site.run_for(6_000);
        let (changes, owner) = (site.owners.len(), site.owner());
        site.cut_off.insert(owner);
        site.run_for(2_000);
        expect_that!(site.owners.len(), eq(changes + 1));
    }
}

/// Guards against VMs that answer a call now and then and change their owner each time.
#[gtest]
fn a_pool_whose_vms_answer_now_and_then_changes_its_owner_ever_more_rarely() {
    let mut site = Site::new(6);
    for _ in 0..20 {
        site.cut_off = site.views.keys().cloned().collect();
        site.run_for(2_500);
        site.cut_off.clear();
        site.run_for(500);
    }
    expect_that!(site.owners.len() - 1, le(6), "{:?}", site.owners);
}

#[gtest]
fn a_node_that_is_alone_or_beside_leaving_ones_keeps_its_pool() {
    let mut alone = Site::new(1);
    alone.cut_off.insert(alone.owner());
    alone.run_for(60_000);
    expect_that!(alone.owners.len(), eq(1));
    let mut site = Site::new(3);
    let owner = site.owner();
    site.leaving = site.views.keys().filter(|name| **name != owner).cloned().collect();
    site.cut_off.insert(owner);
    site.run_for(60_000);
    expect_that!(site.owners.len(), eq(1));
}

/// Guards against a pool that goes back to a node which may still be cut off.
#[gtest]
fn a_node_that_did_not_reach_the_vms_claims_the_pool_only_if_no_other_does() {
    let mut site = Site::new(3);
    let owner = site.owner();
    site.cut_off.insert(owner.clone());
    site.run_for(5_000);
    let next = site.owner();
    site.views.remove(&next);
    site.run_for(30_000);
    expect_that!(site.owner(), not(eq(&owner)));
    expect_that!(site.owners.len(), eq(3), "{:?}", site.owners);
    site.cut_off.clear();
    let last = site.owner();
    site.views.remove(&last);
    site.run_for(30_000);
    expect_that!(site.owner(), eq(&owner));
}

#[gtest]
fn a_release_waits_for_an_answer_that_may_still_come() {
    let mut site = Site::new(2);
    let (owner, now) = (site.owner(), site.now);
    let token = token_of(site.newest.as_ref().expect("a claim").1);
    let (pool, pools) = (site.pool.clone(), [site.pool.clone()]);
    let view = site.views.get_mut(&owner).expect("runs");
    view.record_reach(&pool, token, Reach::None { since: now - 900 }, now);
    expect_that!(view.to_release_unreached(&pools, now), none());
    view.record_reach(&pool, token, Reach::None { since: now - 1_000 }, now);
    expect_that!(view.to_release_unreached(&pools, now), some(anything()));
    // What an earlier owner found, or found long ago, does not count.
    expect_that!(view.to_release_unreached(&pools, now + 600), none());
    view.record_reach(&pool, token - 1, Reach::None { since: now - 1_000 }, now);
    expect_that!(view.to_release_unreached(&pools, now), none());
}

#[gtest]
fn an_owner_reaches_its_vms_while_one_of_them_answers() {
    let of = |vms: &[VmAnswer]| Reach::of(vms.iter().copied());
    expect_that!(of(&[silent(5), silent(9)]), eq(Reach::None { since: 9 }));
    expect_that!(of(&[silent(5), silent(9), VmAnswer::Answered]), eq(Reach::Some));
    expect_that!(of(&[silent(5), silent(9), VmAnswer::Unknown]), eq(Reach::Unknown));
    expect_that!(of(&[silent(5)]), eq(Reach::Unknown), "a single VM");
    expect_that!(of(&[]), eq(Reach::Unknown));
    let mut vm = VmAnswer::Answered;
    for (failures, reach) in [(1, Reach::Unknown), (2, Reach::None { since: 10 })] {
        vm = vm.after_failure(10 * failures);
        expect_that!(of(&[silent(5), vm]), eq(reach), "{failures} calls");
    }
}

/// Guards against an owner that keeps its pool because ever more VMs come to it, as it has none that it can use.
#[gtest]
fn vms_that_come_to_a_cut_off_owner_do_not_delay_the_release() {
    let of = |vms: &[VmAnswer]| Reach::of(vms.iter().copied());
    let new = |since: Ms, calls: u32| VmAnswer::Unanswered { since, calls, was_answered: false };
    expect_that!(of(&[silent(5), silent(9), new(900, 1)]), eq(Reach::None { since: 9 }));
    expect_that!(of(&[new(20, 5), new(10, 5), new(900, 2)]), eq(Reach::None { since: 10 }));
    expect_that!(of(&[new(20, 5), new(900, 1)]), eq(Reach::Unknown), "a single VM");
}
