//! Promises between members, and the proof of membership that they form.
//!
//! A member may send new work only while it has proof, not older than the fence time, that it still
//! is a member: it has read the log to its end, or a quorum of voters has promised not to state
//! that it is gone. Proof counts from before the member's call, by the member's own clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use thistle_model::clock::Instant;
use thistle_model::view::Voters;
use thistle_model::{MemberId, Revision};

/// A promise that was received from a voter.
#[derive(Clone, Copy, Debug)]
struct Promise {
    voters: Revision,
    until: Instant,
}

/// A member's proof of its membership.
#[derive(Clone, Debug)]
pub struct Proof {
    fence: Duration,
    log_until: Instant,
    promises: BTreeMap<MemberId, Promise>,
}

impl Proof {
    /// Creates a proof that does not hold.
    pub fn new(fence: Duration) -> Self {
        Self { fence, log_until: Instant::default(), promises: BTreeMap::new() }
    }

    /// Records that the log was read to its end by a call made at `called_at`.
    pub fn on_log_end(&mut self, called_at: Instant) {
        self.log_until = self.log_until.max(called_at + self.fence);
    }

    /// Records a voter's promise from a call made at `called_at`, under a revision of the voters.
    pub fn on_promise(&mut self, from: MemberId, voters: Revision, called_at: Instant) {
        self.promises.insert(from, Promise { voters, until: called_at + self.fence });
    }

    /// Clears the proof, for a member that rejoins.
    pub fn clear(&mut self) {
        self.promises.clear();
        self.log_until = Instant::default();
    }

    /// Returns until when the proof holds for `me` under the given voters.
    pub fn until(&self, me: MemberId, voters: &Voters, now: Instant) -> Instant {
        self.log_until.max(self.until_by_promises(me, voters, now))
    }

    /// Returns the latest time until which the promises of a quorum hold.
    fn until_by_promises(&self, me: MemberId, voters: &Voters, now: Instant) -> Instant {
        if voters.current.is_empty() {
            return Instant::default();
        }
        let mut held: Vec<(Instant, MemberId)> = self
            .promises
            .iter()
            .filter(|(_, p)| p.voters == voters.revision)
            .map(|(&id, p)| (p.until, id))
            .collect();
        held.push((now + self.fence, me));
        held.sort_unstable_by(|a, b| b.cmp(a));
        let mut ids = Vec::new();
        for (until, id) in held {
            ids.push(id);
            if voters.is_quorum(&ids) {
                return until;
            }
        }
        Instant::default()
    }
}

/// The promises that a voter has given.
#[derive(Clone, Debug)]
pub struct Promises {
    fence: Duration,
    given: BTreeMap<MemberId, Instant>,
    last_contacts: BTreeMap<MemberId, Instant>,
    refused: BTreeSet<MemberId>,
}

impl Promises {
    /// Creates the record of a voter that has given no promises.
    ///
    /// A restarted voter is a new member, so it need not know the promises of its previous
    /// incarnation.
    pub fn new(fence: Duration) -> Self {
        Self {
            fence,
            given: BTreeMap::new(),
            last_contacts: BTreeMap::new(),
            refused: BTreeSet::new(),
        }
    }

    /// Handles a heartbeat; returns whether a promise for the fence time is given.
    pub fn on_heartbeat(&mut self, from: MemberId, now: Instant) -> bool {
        if self.refused.contains(&from) {
            return false;
        }
        self.last_contacts.insert(from, now);
        self.given.insert(from, now + self.fence);
        true
    }

    /// Returns whether the last heartbeat of `id` is no older than `max_age`.
    pub fn had_contact_within(&self, id: MemberId, max_age: Duration, now: Instant) -> bool {
        self.last_contacts.get(&id).is_some_and(|&t| now.since(t) <= max_age)
    }

    /// Refuses further promises to members whose last contact is longer ago than `timeout`. A
    /// refused member stays refused, as the statement that it is gone may reach the log at any
    /// later time.
    pub fn refuse_unresponsive(
        &mut self,
        members: impl Iterator<Item = MemberId>,
        timeout: Duration,
        now: Instant,
    ) {
        for id in members {
            let last_contact = *self.last_contacts.entry(id).or_insert(now);
            if now.since(last_contact) > timeout {
                self.refused.insert(id);
            }
        }
    }

    /// Clears the last contacts, as a member that is not a voter receives no heartbeats.
    ///
    /// Otherwise a member that becomes a voter again would at once regard all others as
    /// unresponsive.
    pub fn clear_contacts(&mut self) {
        self.last_contacts.clear();
    }

    /// Returns whether `id` is refused further promises.
    pub fn is_refused(&self, id: MemberId) -> bool {
        self.refused.contains(&id)
    }

    /// Returns the members that this voter states to be gone: no promise to them is outstanding and none will
    /// be given.
    pub fn stated_gone(&self, now: Instant) -> Vec<MemberId> {
        let lapsed = |id: &&MemberId| self.given.get(id).is_none_or(|&until| until <= now);
        self.refused.iter().filter(lapsed).copied().collect()
    }

    /// Drops the data of all but `members`.
    pub fn retain(&mut self, members: &BTreeSet<MemberId>) {
        self.given.retain(|id, _| members.contains(id));
        self.last_contacts.retain(|id, _| members.contains(id));
        self.refused.retain(|id| members.contains(id));
    }
}
