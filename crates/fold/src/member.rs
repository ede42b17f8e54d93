//! Members and voters.
//!
//! A member is a steward with the entry on its VM; each member must acknowledge every drain. Voters
//! are a few members that give promises and hold claims. A set of voters is replaced by two records
//! (proposed, committed); between them a quorum needs a majority of both sets, so quorums of any
//! two successive sets overlap.

use serde::{Deserialize, Serialize};
use thistle_model::{MemberFacts, MemberId, Revision};

use crate::reject::Reject;
use crate::state::State;

/// The maximum number of voters in a set.
pub const MAX_VOTERS: usize = 7;

/// How long after a reset, by its wall-clock time, claims are trusted again, in milliseconds; this allows
/// for clock skew.
pub const RESET_SKEW_MS: u64 = 5_000;

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member has joined.
    Joined,
    /// A quorum of the voters stated that the member is gone; its acknowledgements are required until the
    /// fence time has passed.
    Gone,
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The facts with which the member joined.
    pub facts: MemberFacts,
    /// The state of the member.
    pub state: MemberState,
    /// The revision at which the member joined.
    pub joined: Revision,
}

impl State {
    pub(crate) fn member_join(&mut self, id: MemberId, facts: &MemberFacts) -> Result<(), Reject> {
        if self.members.contains_key(&id) {
            return Err(Reject::WrongMemberState(id));
        }
        let joined = self.next_revision();
        let member = Member { facts: facts.clone(), state: MemberState::Joined, joined };
        self.members.insert(id, member);
        Ok(())
    }

    pub(crate) fn member_remove(&mut self, id: MemberId) -> Result<(), Reject> {
        self.members.remove(&id).map(|_| ()).ok_or(Reject::NoSuchMember(id))
    }

    pub(crate) fn member_gone(
        &mut self,
        id: MemberId,
        voters: Revision,
        statements: &[MemberId],
    ) -> Result<(), Reject> {
        self.expect_voters_revision(voters)?;
        if self.voters.current.is_empty() || !self.voters.is_quorum(statements) {
            return Err(Reject::NoQuorum);
        }
        if statements.contains(&id) {
            return Err(Reject::WrongMemberState(id));
        }
        let member = self.members.get_mut(&id).ok_or(Reject::NoSuchMember(id))?;
        if member.state == MemberState::Gone {
            return Err(Reject::WrongMemberState(id));
        }
        member.state = MemberState::Gone;
        Ok(())
    }

    pub(crate) fn member_fenced(&mut self, id: MemberId) -> Result<(), Reject> {
        let member = self.members.get(&id).ok_or(Reject::NoSuchMember(id))?;
        if member.state != MemberState::Gone {
            return Err(Reject::WrongMemberState(id));
        }
        self.member_remove(id)
    }

    pub(crate) fn voters_proposed(
        &mut self,
        base: Revision,
        voters: &[MemberId],
    ) -> Result<(), Reject> {
        self.expect_voters_revision(base)?;
        self.check_voter_set(voters)?;
        self.voters.revision = self.next_revision();
        if self.voters.current.is_empty() {
            self.voters.current = voters.to_vec();
            return Ok(());
        }
        self.voters.next = Some(voters.to_vec());
        Ok(())
    }

    pub(crate) fn voters_committed(
        &mut self,
        base: Revision,
        adopted: &[MemberId],
    ) -> Result<(), Reject> {
        self.expect_voters_revision(base)?;
        let Some(next) = self.voters.next.clone() else {
            return Err(Reject::BadVoters);
        };
        if !self.voters.is_quorum(adopted) {
            return Err(Reject::NoQuorum);
        }
        self.voters.revision = self.next_revision();
        self.voters.current = next;
        self.voters.next = None;
        Ok(())
    }

    pub(crate) fn voters_reset(
        &mut self,
        base: Revision,
        voters: &[MemberId],
        at_ms: u64,
    ) -> Result<(), Reject> {
        self.expect_voters_revision(base)?;
        self.check_voter_set(voters)?;
        self.voters.revision = self.next_revision();
        self.voters.current = voters.to_vec();
        self.voters.next = None;
        self.voters.claims_from_ms = self.voters.claims_from_ms.max(at_ms + RESET_SKEW_MS);
        Ok(())
    }

    fn expect_voters_revision(&self, base: Revision) -> Result<(), Reject> {
        let current = self.voters.revision;
        if base == current {
            return Ok(());
        }
        Err(Reject::Stale { what: "the set of voters".to_owned(), base, current })
    }

    fn check_voter_set(&self, voters: &[MemberId]) -> Result<(), Reject> {
        let is_joined =
            |id: &MemberId| self.members.get(id).is_some_and(|m| m.state == MemberState::Joined);
        let has_duplicate = (1..voters.len()).any(|i| voters[..i].contains(&voters[i]));
        if voters.is_empty()
            || voters.len() > MAX_VOTERS
            || has_duplicate
            || !voters.iter().all(is_joined)
        {
            return Err(Reject::BadVoters);
        }
        Ok(())
    }
}
