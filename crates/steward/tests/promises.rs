//! Tests of promises and proofs, case by case.

use std::time::Duration;

use googletest::prelude::*;
use thistle_model::clock::Instant;
use thistle_model::view::Voters;
use thistle_model::{MemberId, Revision};
use thistle_steward::promise::{Promises, Proof};

const FENCE: Duration = Duration::from_secs(4);
const CONTACT_TIMEOUT: Duration = Duration::from_secs(6);

fn at(secs: u64) -> Instant {
    Instant::from_micros(secs * 1_000_000)
}

/// If the last contacts were kept, a member that becomes a voter again after a minute would at once
/// state that another member is gone, and that member would have to rejoin.
#[gtest]
fn member_that_votes_again_refuses_nobody_at_once() {
    let mut promises = Promises::new(FENCE);
    promises.refuse_unresponsive([MemberId(2)].into_iter(), CONTACT_TIMEOUT, at(0));
    promises.clear_contacts();
    promises.refuse_unresponsive([MemberId(2)].into_iter(), CONTACT_TIMEOUT, at(60));
    expect_that!(promises.is_refused(MemberId(2)), eq(false));
    promises.refuse_unresponsive([MemberId(2)].into_iter(), CONTACT_TIMEOUT, at(67));
    expect_that!(promises.is_refused(MemberId(2)), eq(true));
}

#[gtest]
fn statement_waits_until_the_last_promise_has_lapsed() {
    let mut promises = Promises::new(FENCE);
    let id = MemberId(2);
    expect_that!(promises.on_heartbeat(id, at(0)), eq(true));
    promises.refuse_unresponsive([id].into_iter(), Duration::from_secs(1), at(2));
    expect_that!(promises.stated_gone(at(3)), is_empty());
    expect_that!(promises.stated_gone(at(4)), elements_are![eq(&id)]);
    expect_that!(promises.on_heartbeat(id, at(5)), eq(false));
}

#[gtest]
fn promises_under_another_revision_of_voters_are_no_proof() {
    let ids: Vec<_> = (1..=3).map(MemberId).collect();
    let voters = Voters { revision: Revision(9), current: ids, next: None, claims_from_ms: 0 };
    let mut proof = Proof::new(FENCE);
    proof.on_promise(MemberId(2), Revision(8), at(10));
    expect_that!(proof.until(MemberId(1), &voters, at(11)), eq(Instant::default()));
    proof.on_promise(MemberId(2), Revision(9), at(10));
    expect_that!(proof.until(MemberId(1), &voters, at(11)), eq(at(14)));
}

#[gtest]
fn while_voters_change_both_sets_must_promise() {
    let set = |ids: &[u64]| ids.iter().copied().map(MemberId).collect::<Vec<_>>();
    let voters = Voters {
        revision: Revision(9),
        current: set(&[1, 2, 3]),
        next: Some(set(&[3, 4, 5])),
        claims_from_ms: 0,
    };
    let mut proof = Proof::new(FENCE);
    proof.on_promise(MemberId(2), Revision(9), at(10));
    expect_that!(proof.until(MemberId(1), &voters, at(11)), eq(Instant::default()));
    proof.on_promise(MemberId(4), Revision(9), at(10));
    proof.on_promise(MemberId(5), Revision(9), at(9));
    expect_that!(proof.until(MemberId(1), &voters, at(11)), eq(at(13)));
}
