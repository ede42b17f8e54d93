//! At-most-once execution across entries, tested with random sequences of attempts, lost and
//! delayed messages, lagging members, crashes, and changes of the voters during claims.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use thistle_fold::State;
use thistle_model::clock::Instant;
use thistle_model::view::is_majority;
use thistle_model::{
    Change, HallName, MemberFacts, MemberId, Name, Offset, Record, RecordId, Revision,
};
use thistle_request::claim::{
    AttemptId, Claim, ClaimReply, ClaimState, ClaimTable, KeptAnswer, KeyedClaim, Tally,
};
use thistle_request::key::{ClaimKey, KeyAge, classify_age};

const NODES: usize = 7;
const FIRST_VOTERS: usize = 3;
const KEYS: u64 = 3;
const KEEP: Duration = Duration::from_secs(3_600);

fn cases() -> u32 {
    if std::env::var_os("THISTLE_LONG_RUN").is_some() { 100_000 } else { 400 }
}

/// A member with its claims; its state is the fold of the log up to `state.next`.
struct Node {
    state: State,
    claims: ClaimTable,
    merged: Revision,
    alive: bool,
}

/// An attempt with its messages in transit.
struct Attempt {
    key: u64,
    claim: Claim,
    revision: Revision,
    tally: Tally,
    to_voters: Vec<usize>,
    replies: Vec<(usize, Option<ClaimReply>)>,
    ended: bool,
}

struct World {
    log: Vec<Vec<u8>>,
    seq: u64,
    nodes: Vec<Node>,
    attempts: Vec<Attempt>,
    runs: BTreeMap<u64, u32>,
}

fn id(i: usize) -> MemberId {
    MemberId(i as u64 + 1)
}

impl World {
    fn new() -> Self {
        let node = || Node {
            state: State::new(),
            claims: ClaimTable::new(KEEP, 10_000, 1 << 20),
            merged: Revision::NONE,
            alive: true,
        };
        let nodes = (0..NODES).map(|_| node()).collect();
        let mut world =
            Self { log: Vec::new(), seq: 0, nodes, attempts: Vec::new(), runs: BTreeMap::new() };
        for i in 0..NODES {
            let facts = MemberFacts {
                name: Name::new("e").unwrap(),
                hall: HallName::new("h").unwrap(),
                peer_addr: ([127, 0, 0, 1], 1).into(),
            };
            world.append(Change::MemberJoin { member: id(i), facts });
        }
        let voters = (0..FIRST_VOTERS).map(id).collect();
        world.append(Change::VotersProposed { base: Revision::NONE, voters });
        for i in 0..NODES {
            while world.advance(i) {}
        }
        world
    }

    fn append(&mut self, change: Change) {
        self.seq += 1;
        let record = Record { id: RecordId { writer: 1, seq: self.seq }, at_ms: 0, change };
        self.log.push(thistle_model::record::encode(&[record]));
    }

    fn advance(&mut self, i: usize) -> bool {
        let node = &mut self.nodes[i];
        let next = usize::try_from(node.state.next.0).unwrap();
        let Some(entry) = self.log.get(next).filter(|_| node.alive) else {
            return false;
        };
        node.state.apply_entry(Offset(next as u64), entry);
        true
    }

    /// Lets a member propose the set of voters given by `bits`.
    fn propose(&mut self, by: usize, bits: u32) {
        let set: Vec<_> = (0..NODES).filter(|i| bits >> i & 1 == 1).map(id).collect();
        let base = self.nodes[by].state.voters.revision;
        if self.nodes[by].alive {
            self.append(Change::VotersProposed { base, voters: set });
        }
    }

    /// Lets a voter merge the claims of a majority of the current set of voters.
    fn merge(&mut self, i: usize, order: u32) {
        let voters = self.nodes[i].state.voters.clone();
        if !self.nodes[i].alive || voters.next.is_none() || !voters.contains(id(i)) {
            return;
        }
        let mut merged: Vec<MemberId> = Vec::new();
        for k in 0..NODES {
            let from = (k + order as usize) % NODES;
            if is_majority(&voters.current, &merged) || !voters.current.contains(&id(from)) {
                continue;
            }
            let peer = &self.nodes[from];
            if !peer.alive || peer.state.voters.revision < voters.revision {
                continue;
            }
            let page = peer.claims.page(None);
            self.nodes[i].claims.merge(page, Instant::from_micros(1));
            merged.push(id(from));
        }
        if is_majority(&voters.current, &merged) {
            self.nodes[i].merged = voters.revision;
        }
    }

    fn commit(&mut self, by: usize) {
        let voters = self.nodes[by].state.voters.clone();
        let adopted: Vec<_> = (0..NODES)
            .filter(|&i| {
                let n = &self.nodes[i];
                n.alive && n.merged == voters.revision && n.state.voters.revision == voters.revision
            })
            .map(id)
            .collect();
        if voters.next.is_some() && voters.is_quorum(&adopted) {
            self.append(Change::VotersCommitted { base: voters.revision, adopted });
        }
    }

    fn attempt(&mut self, entry: usize, key: u64) {
        let voters = self.nodes[entry].state.voters.clone();
        let attempt = AttemptId(self.attempts.len() as u64);
        let all = voters.all();
        let to_voters = (0..NODES).filter(|&i| all.contains(&id(i))).collect();
        self.attempts.push(Attempt {
            key,
            claim: Claim { attempt, fingerprint: 1, answer: None },
            revision: voters.revision,
            tally: Tally::new(voters),
            to_voters,
            replies: Vec::new(),
            ended: false,
        });
    }

    /// Delivers one claim request, which puts the voter's reply in transit.
    fn deliver_request(&mut self, a: usize, pick: usize, lost: bool) {
        let attempt = &mut self.attempts[a];
        if attempt.to_voters.is_empty() {
            return;
        }
        let to = attempt.to_voters.swap_remove(pick % attempt.to_voters.len());
        let node = &mut self.nodes[to];
        if lost || !node.alive {
            attempt.replies.push((to, None));
            return;
        }
        let voter_revision = node.state.voters.revision;
        let reply = if node.state.voters.contains(id(to)) {
            let key = ClaimKey(u128::from(attempt.key));
            let now = Instant::from_micros(1);
            node.claims.claim(key, &attempt.claim, attempt.revision, voter_revision, now)
        } else {
            ClaimReply::WrongRevision(voter_revision)
        };
        attempt.replies.push((to, Some(reply)));
    }

    /// Delivers one reply; a successful attempt runs its request, a failed one releases its claims.
    fn deliver_reply(&mut self, a: usize, pick: usize, lost: bool) {
        let attempt = &mut self.attempts[a];
        if attempt.replies.is_empty() || attempt.ended {
            return;
        }
        let (from, reply) = attempt.replies.swap_remove(pick % attempt.replies.len());
        attempt.tally.record_reply(id(from), reply.filter(|_| !lost));
        match attempt.tally.claim_state() {
            ClaimState::Pending => {}
            ClaimState::Won => {
                attempt.ended = true;
                *self.runs.entry(attempt.key).or_default() += 1;
            }
            ClaimState::Held(_) | ClaimState::NoQuorum => {
                attempt.ended = true;
                let key = ClaimKey(u128::from(attempt.key));
                let claim = attempt.claim.attempt;
                for node in self.nodes.iter_mut().filter(|n| n.alive) {
                    node.claims.release(key, claim);
                }
            }
        }
    }

    /// Kills a member, whose claims are lost, unless the rest would no longer be a quorum of the
    /// voters.
    fn kill(&mut self, i: usize) {
        let newest = self.nodes.iter().map(|n| n.state.next).max().unwrap();
        let state = &self.nodes.iter().find(|n| n.state.next == newest).unwrap().state;
        let voters = state.voters.all();
        let rest: Vec<_> = (0..NODES).filter(|&k| k != i && self.nodes[k].alive).map(id).collect();
        if voters.contains(&id(i)) && !state.voters.is_quorum(&rest) {
            return;
        }
        self.nodes[i].alive = false;
    }

    /// Makes an attempt whose messages arrive immediately, except those that `bits` delays.
    fn attempt_now(&mut self, entry: usize, key: u64, bits: u32) {
        self.attempt(entry, key);
        let a = self.attempts.len() - 1;
        for i in 0..NODES {
            let unsent = self.attempts[a].to_voters.len();
            if bits >> i & 1 == 1 && unsent > 0 {
                self.deliver_request(a, (bits >> 8) as usize, false);
                self.deliver_reply(a, 0, false);
            }
        }
    }

    /// Changes the voters in one step, except at the members that `bits` delays.
    fn change_voters(&mut self, by: usize, bits: u32) {
        while self.advance(by) {}
        self.propose(by, bits);
        let undelayed: Vec<_> =
            (0..NODES).filter(|&i| bits >> (i + 8) & 1 == 1 || i == by).collect();
        for &i in &undelayed {
            while self.advance(i) {}
        }
        for &i in &undelayed {
            self.merge(i, bits >> 16);
        }
        self.commit(by);
        for &i in &undelayed {
            if bits >> (i + 20) & 1 == 1 {
                while self.advance(i) {}
            }
        }
    }

    fn step(&mut self, s: &[u32; 3]) {
        let [kind, a, b] = *s;
        let node = a as usize % NODES;
        let attempts = self.attempts.len().max(1);
        let lost = b.is_multiple_of(11);
        match kind % 24 {
            0..=2 => {
                self.advance(node);
            }
            3 => self.propose(node, b),
            4 => self.merge(node, b),
            5 => self.commit(node),
            6 => self.attempt(node, u64::from(b) % KEYS),
            7 if b.is_multiple_of(16) => self.kill(node),
            8..=11 if !self.attempts.is_empty() => {
                self.deliver_request(a as usize % attempts, b as usize, lost);
            }
            12..=15 if !self.attempts.is_empty() => {
                self.deliver_reply(a as usize % attempts, b as usize, lost);
            }
            16..=19 => self.attempt_now(node, u64::from(a >> 16) % KEYS, b),
            20..=23 => self.change_voters(node, b),
            _ => {}
        }
        let twice = self.runs.iter().find(|&(_, &n)| n > 1);
        assert!(twice.is_none(), "a key was run twice: {twice:?}");
    }
}

#[test]
fn key_is_never_run_twice() {
    let config = Config { cases: cases(), failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = prop::collection::vec(any::<[u32; 3]>(), 1..200);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ran = std::cell::Cell::new(0u32);
    let committed = std::cell::Cell::new(0u64);
    runner
        .run(&steps, |steps| {
            let mut world = World::new();
            steps.iter().for_each(|s| world.step(s));
            ran.set(ran.get() + world.runs.values().sum::<u32>());
            let revisions: BTreeSet<_> =
                world.nodes.iter().map(|n| n.state.voters.revision).collect();
            committed.set(committed.get() + revisions.len() as u64);
            Ok(())
        })
        .unwrap();
    // The test is meaningful only if attempts do win and the voters do change.
    assert!(ran.get() > cases() / 2, "only {} attempts won", ran.get());
    assert!(committed.get() > u64::from(cases()) * 2, "the voters hardly changed");
}

fn claim(attempt: u64) -> Claim {
    Claim { attempt: AttemptId(attempt), fingerprint: 1, answer: None }
}

#[gtest]
fn second_attempt_gets_the_answer_of_the_first() {
    let mut table = ClaimTable::new(KEEP, 10, 1 << 20);
    let (key, r, now) = (ClaimKey(1), Revision(1), Instant::from_micros(1));
    expect_that!(table.claim(key, &claim(1), r, r, now), eq(&ClaimReply::Accepted(r)));
    let answer = KeptAnswer { status: 201, content_type: String::new(), body: b"crew 7".to_vec() };
    table.store_answer(key, AttemptId(1), answer.clone());
    let held = Claim { answer: Some(Box::new(answer)), ..claim(1) };
    expect_that!(table.claim(key, &claim(2), r, r, now), eq(&ClaimReply::Held(held)));
}

#[gtest]
fn full_table_refuses_claims_and_drops_none() {
    let mut table = ClaimTable::new(KEEP, 2, 1 << 20);
    let (r, now) = (Revision(1), Instant::from_micros(1));
    for k in 0..2 {
        table.claim(ClaimKey(k), &claim(1), r, r, now);
    }
    expect_that!(table.claim(ClaimKey(9), &claim(1), r, r, now), eq(&ClaimReply::Full));
    expect_that!(table.len(), eq(2));
}

#[gtest]
fn key_claimed_again_after_a_release_is_kept_for_the_full_time() {
    let mut table = ClaimTable::new(KEEP, 10, 1 << 20);
    let (key, r) = (ClaimKey(1), Revision(1));
    table.claim(key, &claim(1), r, r, Instant::from_micros(0));
    table.release(key, AttemptId(1));
    let later = Instant::from_micros(0) + KEEP / 2;
    table.claim(key, &claim(2), r, r, later);
    let first_is_old = Instant::from_micros(1) + KEEP;
    let reply = table.claim(key, &claim(3), r, r, first_is_old);
    expect_that!(reply, eq(&ClaimReply::Held(claim(2))));
}

#[gtest]
fn key_older_than_its_claim_is_not_run() {
    // A version 7 UUID with the timestamp 2026-11-01 08:00:00 UTC.
    let created = 1_793_520_000_000u64;
    let hex = format!("{created:012x}");
    let key = format!("{}-{}-7000-8000-000000000000", &hex[..8], &hex[8..]);
    expect_that!(classify_age(&key, created + 1_000, KEEP, 0), eq(KeyAge::Fresh));
    expect_that!(classify_age(&key, created + 3_601_000, KEEP, 0), eq(KeyAge::TooOld));
    expect_that!(classify_age(&key, created + 1_000, KEEP, created + 500), eq(KeyAge::TooOld));
    expect_that!(classify_age(&key, created - 120_000, KEEP, 0), eq(KeyAge::InFuture));
    expect_that!(classify_age("opaque", created, KEEP, 0), eq(KeyAge::Fresh));
    expect_that!(classify_age("opaque", created, KEEP, created - 1), eq(KeyAge::TooOld));
}

/// Guards against a merge that keeps only the first claim on a key: the claim of a failed attempt
/// then replaces that of the successful one, and its release frees the key.
#[gtest]
fn merge_keeps_the_winning_claim_next_to_a_losing_one() {
    let (key, r, now) = (ClaimKey(1), Revision(1), Instant::from_micros(1));
    let mut table = ClaimTable::new(KEEP, 10, 1 << 20);
    let claim_page = |attempt| vec![KeyedClaim { key, claim: claim(attempt) }];
    let (loser, winner) = (1, 2);
    table.merge(claim_page(loser), now);
    table.merge(claim_page(winner), now);
    table.release(key, AttemptId(loser));
    expect_that!(table.claim(key, &claim(3), r, r, now), eq(&ClaimReply::Held(claim(winner))));
}
