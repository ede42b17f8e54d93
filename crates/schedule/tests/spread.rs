//! Shards that are handed over, so that no node owns several while another owns none.

use std::collections::BTreeMap;
use std::sync::Arc;

use googletest::prelude::*;
use thistle_schedule::Ms;
use thistle_schedule::ownership::{
    Claim, Handover, HandoverReason, Heartbeat, Means, NodeIncarnation, Ownership,
};
use thistle_schedule::policy::OwnershipPolicy;

const STEP_MS: Ms = 100;

fn policy(spread: bool) -> OwnershipPolicy {
    OwnershipPolicy { spread, ..OwnershipPolicy::default() }
}

/// Nodes that read all claims and heartbeats at once.
struct Site {
    now: Ms,
    spread: bool,
    shards: Vec<Arc<str>>,
    /// The running nodes by name; a new one begins with the newest claims.
    views: BTreeMap<String, (NodeIncarnation, Ownership)>,
    speeds: BTreeMap<String, u32>,
    claims: BTreeMap<Arc<str>, (Claim, u64)>,
    next_offset: u64,
    handovers: Vec<(Ms, Handover)>,
}

impl Site {
    fn new(nodes: usize, shards: &[&str], spread: bool) -> Self {
        let mut site = Self {
            now: 1_000,
            spread,
            shards: shards.iter().map(|&shard| shard.into()).collect(),
            views: BTreeMap::new(),
            speeds: BTreeMap::new(),
            claims: BTreeMap::new(),
            next_offset: 0,
            handovers: Vec::new(),
        };
        (0..nodes).for_each(|i| site.start_node(&format!("n{i}"), 1));
        site
    }

    fn start_node(&mut self, name: &str, incarnation: u64) {
        let me = NodeIncarnation { name: name.to_owned(), incarnation };
        let mut view = Ownership::new(me.clone(), self.now).with_policy(policy(self.spread));
        for (shard, (claim, offset)) in &self.claims {
            view.record_claim(shard, claim.clone(), *offset, self.now);
        }
        self.views.insert(name.to_owned(), (me, view));
    }

    fn append(&mut self, shard: &Arc<str>, claim: &Claim) {
        for (_, view) in self.views.values_mut() {
            view.record_claim(shard, claim.clone(), self.next_offset, self.now);
        }
        self.claims.insert(shard.clone(), (claim.clone(), self.next_offset));
        self.next_offset += 1;
    }

    /// Stops a node, which releases its shards.
    fn stop_node(&mut self, name: &str) -> Vec<Option<String>> {
        let (me, view) = self.views.remove(name).expect("the node runs");
        let mine = |shard: &&Arc<str>| view.my_token(shard).is_some();
        let mine: Vec<Arc<str>> = self.shards.iter().filter(mine).cloned().collect();
        let successors = view.successors(&mine, self.now);
        for (shard, successor) in mine.iter().zip(&successors) {
            self.append(shard, &Claim::released(me.clone(), successor.clone()));
        }
        successors
    }

    fn run(&mut self, until: Ms) {
        while self.now < until {
            self.now += STEP_MS;
            let now = self.now;
            let names: Vec<String> = self.views.keys().cloned().collect();
            for name in &names {
                let heartbeat = Heartbeat {
                    incarnation: self.views[name].0.incarnation,
                    sequence: now,
                    leaving: false,
                    relay: None,
                    speed: self.speeds.get(name).copied().unwrap_or(100),
                    means: Means::default(),
                    reads_owner_heartbeats: true,
                    reads_shard_heartbeats: false,
                };
                for (_, view) in self.views.values_mut() {
                    view.record_read(now);
                    view.record_heartbeat(name, &heartbeat, now);
                }
            }
            for name in &names {
                let (me, view) = self.views.get_mut(name).expect("the node runs");
                let me = me.clone();
                let claimed = view.to_claim(self.shards.iter(), now);
                let handover = view.to_hand_over(&self.shards, true, now);
                if let Some(shard) = claimed.first() {
                    self.append(shard, &Claim::new(me));
                } else if let Some(handover) = handover {
                    let to = Some(handover.successor.clone());
                    self.append(&handover.shard.clone(), &Claim::released(me, to));
                    self.handovers.push((now, handover));
                }
            }
        }
    }

    fn owned(&self) -> Vec<usize> {
        let owns = |name: &String| {
            let is_owner = |c: &&(Claim, u64)| !c.0.released && c.0.owner.name == *name;
            self.claims.values().filter(is_owner).count()
        };
        self.views.keys().map(owns).collect()
    }

    fn is_spread(&self) -> bool {
        let owned = self.owned();
        !(owned.contains(&0) && owned.iter().any(|&count| count > 1))
    }

    /// Has one node own all shards, and adds the others.
    fn with_one_owner(nodes: usize, shards: &[&str], spread: bool) -> Self {
        let mut site = Self::new(1, shards, spread);
        site.run(20_000);
        (1..nodes).for_each(|i| site.start_node(&format!("n{i}"), 1));
        site
    }
}

/// All nodes are restarted one after the other, faster than each is back. The shards gather at the node that is left, which
/// keeps all pools and the fleet as the oldest one, and their decisions wait for each other.
#[gtest]
fn after_a_rolling_restart_the_shards_are_spread() {
    for spread in [false, true] {
        let mut site = Site::new(5, &["p", "q", "r", "#fleet"], spread);
        site.run(10_000);
        for i in 1..5 {
            site.stop_node(&format!("n{i}"));
            site.run(site.now + 2_500);
        }
        expect_that!(site.owned(), eq(&vec![4]));
        for i in 1..5 {
            site.start_node(&format!("n{i}"), 2);
            site.run(site.now + 1_000);
        }
        site.run(site.now + 120_000);
        expect_that!(site.is_spread(), eq(spread), "{:?}", site.owned());
        let handovers = site.handovers.len();
        site.run(site.now + 600_000);
        expect_that!(site.handovers.len(), eq(handovers), "shards change owners without need");
    }
}

/// One node owns all shards. It hands them over one at a time, each no sooner than the previous one has settled, and no shard
/// changes its owner twice. Several at once would stop the decisions of all pools together.
#[gtest]
fn one_shard_at_a_time_is_handed_over() {
    let mut site = Site::with_one_owner(6, &["p", "q", "r", "s", "#fleet"], true);
    site.run(200_000);
    expect_that!(site.is_spread(), eq(true), "{:?}", site.owned());
    expect_that!(site.handovers, len(eq(4)));
    let pauses = site.handovers.windows(2).map(|pair| pair[1].0 - pair[0].0);
    expect_that!(pauses.min(), some(ge(5_000)));
    let shards: std::collections::BTreeSet<_> = site.handovers.iter().map(|h| &h.1.shard).collect();
    expect_that!(shards.len(), eq(4));
}

/// A handover costs the pool a pause. It must not be made to a slow node, to one that has just joined or is about to stop, while
/// the store is slow, or with the switch off.
#[gtest]
fn shards_stay_where_they_are_unless_a_handover_helps() {
    let mut slow = Site::with_one_owner(2, &["p", "q"], true);
    slow.speeds.insert("n1".to_owned(), 40);
    slow.run(120_000);
    expect_that!(slow.handovers, is_empty(), "slow receiver");
    let mut off = Site::with_one_owner(2, &["p", "q"], false);
    off.run(120_000);
    expect_that!(off.handovers, is_empty(), "switch off");
    let mut new = Site::with_one_owner(2, &["p", "q"], true);
    new.run(29_900);
    expect_that!(new.handovers, is_empty(), "new receiver");
    let view = &mut new.views.get_mut("n0").expect("runs").1;
    expect_that!(view.to_hand_over(&new.shards, false, 30_200), none(), "slow store");
    expect_that!(view.to_hand_over(&new.shards, true, 30_200), some(anything()));
    let leaving = Heartbeat {
        incarnation: 1,
        sequence: 99_999,
        leaving: true,
        relay: None,
        speed: 100,
        means: Means::default(),
        reads_owner_heartbeats: true,
        reads_shard_heartbeats: false,
    };
    view.record_heartbeat("n1", &leaving, 30_200);
    expect_that!(view.to_hand_over(&new.shards, true, 30_200), none(), "leaving receiver");
}

/// While the only strong node is gone, a weak one owns all shards. Once it is back, pools would stay where their starts do not fit
/// the link until that node ends.
#[gtest]
fn a_weak_node_hands_its_shards_over_to_a_strong_one() {
    let mut site = Site::new(1, &["p", "q", "r"], false);
    site.speeds.insert("n0".to_owned(), 40);
    site.run(20_000);
    site.start_node("n1", 1);
    site.run(120_000);
    expect_that!(site.owned(), eq(&vec![0, 3]));
    let reasons = site.handovers.iter().map(|(_, handover)| handover.reason);
    expect_that!(reasons.collect::<Vec<_>>(), each(eq(&HandoverReason::Weak)));
    expect_that!(site.handovers, len(eq(3)));
}

/// A node that stops and owns several shards must not leave them all to the one that claims first.
#[gtest]
fn a_node_that_stops_names_different_successors() {
    let mut site = Site::with_one_owner(4, &["p", "q", "#fleet"], true);
    site.run(22_000);
    let successors = site.stop_node("n0");
    let different: std::collections::BTreeSet<_> = successors.iter().flatten().collect();
    expect_that!(different.len(), eq(3), "{successors:?}");
    site.run(site.now + 200);
    expect_that!(site.owned(), eq(&vec![1, 1, 1]));
}

/// Only the named node claims a released shard within the first 400 ms; if it is gone, the others claim the shard as usual.
#[gtest]
fn a_released_shard_is_left_to_its_successor_for_a_while() {
    let mut site = Site::with_one_owner(3, &["p"], true);
    site.run(22_000);
    let owner = site.views["n0"].0.clone();
    let (shards, now) = (site.shards.clone(), site.now);
    site.append(&shards[0], &Claim::released(owner.clone(), Some("n2".to_owned())));
    let mut claims = |name: &str, now: Ms| {
        let view = &mut site.views.get_mut(name).expect("runs").1;
        view.record_read(now);
        view.to_claim(shards.iter(), now).len()
    };
    for name in ["n0", "n1"] {
        expect_that!(claims(name, now), eq(0), "{name}");
        expect_that!(claims(name, now + 390), eq(0), "{name}");
    }
    expect_that!(claims("n2", now), eq(1));
    expect_that!(claims("n0", now + 400) + claims("n1", now + 400), eq(1));
    let mut gone = Site::with_one_owner(2, &["p"], true);
    gone.run(22_000);
    gone.append(&shards[0], &Claim::released(owner, Some("n9".to_owned())));
    gone.run(22_200);
    expect_that!(gone.owned().iter().sum::<usize>(), eq(1));
}
