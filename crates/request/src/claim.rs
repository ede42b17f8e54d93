//! Claims on idempotency keys, which let at most one attempt send a request that is not repeatable.
//!
//! Voters hold the claims. An attempt may send only after a quorum of the voters of one revision
//! has accepted its claim. Quorums of successive revisions intersect (see the voters in the fold),
//! and a new set of voters copies the claims of a quorum of the old set before the new set is
//! committed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thistle_model::clock::Instant;
use thistle_model::view::Voters;
use thistle_model::{MemberId, Revision};

use crate::key::ClaimKey;

/// The maximum body size of an answer that is kept for later attempts, in bytes.
pub const MAX_KEPT_BODY: usize = 4 * 1024;
/// The number of keys whose claims one page of a transfer between voters holds.
pub const PAGE_KEYS: usize = 512;

/// The identifier of an attempt, generated at random by its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// An answer that is kept for later attempts with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type; empty if the answer had none.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A claim on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that holds the claim.
    pub attempt: AttemptId,
    /// The fingerprint of the attempt's request.
    pub fingerprint: u64,
    /// The answer, once known; boxed, as most claims have none.
    pub answer: Option<Box<KeptAnswer>>,
}

/// A claim with its key, as transferred between voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedClaim {
    /// The key.
    pub key: ClaimKey,
    /// The claim.
    pub claim: Claim,
}

/// A voter's reply to a claim request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The attempt holds the key at this voter, under this revision of the voters.
    Accepted(Revision),
    /// Another attempt holds the key at this voter.
    Held(Claim),
    /// The voter is at a different revision of the voters.
    WrongRevision(Revision),
    /// The voter has no room for another claim.
    Full,
}

/// The claims on one key. There is more than one only after a transfer between voters that merged
/// the claim of a successful attempt with those of unsuccessful attempts.
#[derive(Clone, Debug)]
struct HeldClaims {
    claims: SmallVec<[Claim; 1]>,
    claimed_at: Instant,
}

impl HeldClaims {
    /// Returns the claim of another attempt, preferably one with an answer.
    fn claim_of_other(&self, attempt: AttemptId) -> Option<&Claim> {
        let others = self.claims.iter().filter(|c| c.attempt != attempt);
        others.max_by_key(|c| c.answer.is_some())
    }

    fn claim_of(&mut self, attempt: AttemptId) -> Option<&mut Claim> {
        self.claims.iter_mut().find(|c| c.attempt == attempt)
    }
}

/// The claims held by one voter.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, HeldClaims>,
    by_age: VecDeque<(Instant, ClaimKey)>,
    keep: Duration,
    max: usize,
    body_bytes: usize,
    max_body_bytes: usize,
}

impl ClaimTable {
    /// Creates a table that keeps at most `max` keys, each for `keep`, with answer bodies of at
    /// most `max_body_bytes` in total.
    pub fn new(keep: Duration, max: usize, max_body_bytes: usize) -> Self {
        Self {
            claims: BTreeMap::new(),
            by_age: VecDeque::new(),
            keep,
            max,
            body_bytes: 0,
            max_body_bytes,
        }
    }

    /// Returns the number of keys with claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Handles a claim request. It is accepted only if the attempt and this voter are at the same
    /// revision of the voters.
    pub fn claim(
        &mut self,
        key: ClaimKey,
        wanted: &Claim,
        attempt_revision: Revision,
        voter_revision: Revision,
        now: Instant,
    ) -> ClaimReply {
        self.expire(now);
        let known = self.claims.get(&key);
        if let Some(other) = known.and_then(|held| held.claim_of_other(wanted.attempt)) {
            return ClaimReply::Held(other.clone());
        }
        if attempt_revision != voter_revision {
            return ClaimReply::WrongRevision(voter_revision);
        }
        if known.is_none() && self.claims.len() >= self.max {
            return ClaimReply::Full;
        }
        self.insert(key, wanted.clone(), now);
        ClaimReply::Accepted(voter_revision)
    }

    /// Releases the claim of an attempt that did not send its request.
    pub fn release(&mut self, key: ClaimKey, attempt: AttemptId) {
        let Some(held) = self.claims.get_mut(&key) else {
            return;
        };
        held.claims.retain(|c| c.attempt != attempt);
        if held.claims.is_empty() {
            self.claims.remove(&key);
        }
    }

    /// Stores the answer of an attempt that holds the key, if the size limits allow.
    pub fn store_answer(&mut self, key: ClaimKey, attempt: AttemptId, answer: KeptAnswer) {
        let room = self.max_body_bytes.saturating_sub(self.body_bytes);
        let fits = answer.body.len() <= MAX_KEPT_BODY.min(room);
        let claim = self.claims.get_mut(&key).and_then(|held| held.claim_of(attempt));
        if let Some(claim) = claim.filter(|c| c.answer.is_none() && fits) {
            self.body_bytes += answer.body.len();
            claim.answer = Some(Box::new(answer));
        }
    }

    /// Returns a page of claims, ordered by key, that starts after the key `after`.
    pub fn page(&self, after: Option<ClaimKey>) -> Vec<KeyedClaim> {
        let from = after.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let rest = self.claims.range((from, std::ops::Bound::Unbounded)).take(PAGE_KEYS);
        let keyed = |(&key, held): (&ClaimKey, &HeldClaims)| {
            let claims = held.claims.clone().into_iter();
            claims.map(move |claim| KeyedClaim { key, claim })
        };
        rest.flat_map(keyed).collect()
    }

    /// Merges claims from another voter into this table.
    ///
    /// If two attempts claimed a key, either may have succeeded, so both claims are kept.
    pub fn merge(&mut self, page: Vec<KeyedClaim>, now: Instant) {
        for KeyedClaim { key, mut claim } in page {
            let (attempt, answer) = (claim.attempt, claim.answer.take());
            self.insert(key, claim, now);
            if let Some(answer) = answer {
                self.store_answer(key, attempt, *answer);
            }
        }
    }

    fn insert(&mut self, key: ClaimKey, claim: Claim, now: Instant) {
        let ages = &mut self.by_age;
        let held = self.claims.entry(key).or_insert_with(|| {
            ages.push_back((now, key));
            HeldClaims { claims: SmallVec::new(), claimed_at: now }
        });
        if held.claim_of(claim.attempt).is_none() {
            held.claims.push(claim);
        }
    }

    fn remove(&mut self, key: ClaimKey) {
        let claims = self.claims.remove(&key).map_or_else(SmallVec::new, |held| held.claims);
        let answers = claims.into_iter().filter_map(|c| c.answer);
        self.body_bytes -= answers.map(|a| a.body.len()).sum::<usize>();
    }

    /// Removes the claims on keys that were claimed at least `keep` ago; a key that was released and
    /// claimed again counts from the later claim.
    fn expire(&mut self, now: Instant) {
        while let Some(&(since, key)) = self.by_age.front() {
            if now.since(since) < self.keep {
                return;
            }
            self.by_age.pop_front();
            if self.claims.get(&key).is_some_and(|h| h.claimed_at == since) {
                self.remove(key);
            }
        }
    }
}

/// The state of an attempt's claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// More replies are needed.
    Pending,
    /// The claim is granted; the attempt may send.
    Won,
    /// Another attempt holds the key; its claim includes the answer if known.
    Held(Claim),
    /// No quorum can be reached.
    NoQuorum,
}

/// Counts the voters' replies to one attempt under one revision of the voters.
#[derive(Clone, Debug)]
pub struct Tally {
    voters: Voters,
    accepted: Vec<MemberId>,
    not_accepted: Vec<MemberId>,
    held: Option<Claim>,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new(voters: Voters) -> Self {
        Self { voters, accepted: Vec::new(), not_accepted: Vec::new(), held: None }
    }

    /// Records a voter's reply; `None` means that the voter did not reply.
    pub fn record_reply(&mut self, from: MemberId, reply: Option<ClaimReply>) {
        match reply {
            Some(ClaimReply::Accepted(revision)) if revision == self.voters.revision => {
                self.accepted.push(from);
            }
            Some(ClaimReply::Held(claim)) => {
                self.not_accepted.push(from);
                let better = self.held.as_ref().is_none_or(|h| h.answer.is_none());
                if better {
                    self.held = Some(claim);
                }
            }
            _ => self.not_accepted.push(from),
        }
    }

    /// Returns the state of the claim.
    pub fn claim_state(&self) -> ClaimState {
        if !self.voters.current.is_empty() && self.voters.is_quorum(&self.accepted) {
            return ClaimState::Won;
        }
        if let Some(held) = self.held.as_ref().filter(|h| h.answer.is_some()) {
            return ClaimState::Held(held.clone());
        }
        let not_accepted = |id: &MemberId| self.not_accepted.contains(id);
        let possible: Vec<_> =
            self.voters.all().into_iter().filter(|id| !not_accepted(id)).collect();
        if !self.voters.current.is_empty() && self.voters.is_quorum(&possible) {
            return ClaimState::Pending;
        }
        match &self.held {
            Some(held) => ClaimState::Held(held.clone()),
            None => ClaimState::NoQuorum,
        }
    }
}
