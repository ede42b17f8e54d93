//! Tests of the stages of a VM, budgets, acknowledgements and compare-and-set, case by case.

mod common;

use common::{Log, pool_name, template, vm_name, workspace};
use googletest::prelude::*;
use thistle_fold::{Reject, Stage};
use thistle_model::{Change, DrainReason, MemberId, Record, RecordId, Revision, TemplateName};

fn drain(log: &Log, i: usize) -> Change {
    Change::Drain { vm: vm_name(i), base: log.revision(i), reason: DrainReason::Maintenance }
}

#[gtest]
fn second_drain_beyond_budget_is_rejected() {
    let mut log = Log::with_pools(1);
    let first = drain(&log, 0);
    log.accept(first);
    let second = drain(&log, 1);
    let verdict = log.apply(second);
    expect_that!(
        verdict.result,
        err(eq(&Reject::BudgetSpent { pool: pool_name(0), available: 3, floor: 3 }))
    );
}

#[gtest]
fn drain_from_a_stale_view_is_rejected() {
    let mut log = Log::with_pools(1);
    let stale_drain = drain(&log, 0);
    let base = log.revision(0);
    log.accept(Change::Cordon { vm: vm_name(0), base, on: true, force: false });
    let verdict = log.apply(stale_drain);
    expect_that!(verdict.result, err(matches_pattern!(Reject::Stale { .. })));
}

#[gtest]
fn drained_needs_every_member() {
    let mut log = Log::with_pools(1);
    log.join(1);
    log.join(2);
    let change = drain(&log, 0);
    log.accept(change);
    let base = log.revision(0);
    let acks = vec![MemberId(1)];
    let early = log.apply(Change::Drained { vm: vm_name(0), base, acks });
    expect_that!(early.result, err(eq(&Reject::MissingAcks(vec![MemberId(2)]))));
    let acks = vec![MemberId(1), MemberId(2)];
    log.accept(Change::Drained { vm: vm_name(0), base, acks });
}

#[gtest]
fn gone_member_still_counts_until_fenced() {
    let mut log = Log::with_pools(1);
    for i in 1..=3 {
        log.join(i);
    }
    let voters = (1..=3).map(MemberId).collect();
    log.accept(Change::VotersProposed { base: Revision::NONE, voters });
    let change = drain(&log, 0);
    log.accept(change);
    let base = log.revision(0);
    let acks = vec![MemberId(1), MemberId(2)];
    let statements = acks.clone();
    let voters = log.state.voters.revision;
    log.accept(Change::MemberGone { member: MemberId(3), voters, statements });
    let drained = Change::Drained { vm: vm_name(0), base, acks };
    expect_that!(log.apply(drained.clone()).result, err(anything()));
    log.accept(Change::MemberFenced { member: MemberId(3) });
    expect_that!(log.apply(drained).result, ok(anything()));
}

#[gtest]
fn member_gone_needs_a_quorum_of_the_present_voters() {
    let mut log = Log::new();
    for i in 1..=5 {
        log.join(i);
    }
    let voters = (1..=3).map(MemberId).collect();
    log.accept(Change::VotersProposed { base: Revision::NONE, voters });
    let old = log.state.voters.revision;
    let next = (3..=5).map(MemberId).collect();
    log.accept(Change::VotersProposed { base: old, voters: next });
    let current = log.state.voters.revision;
    let gone = |voters, statements: &[u64]| Change::MemberGone {
        member: MemberId(1),
        voters,
        statements: statements.iter().copied().map(MemberId).collect(),
    };
    // The old revision is rejected, and so is a majority of only one of the two sets.
    expect_that!(log.apply(gone(old, &[2, 3])).result, err(matches_pattern!(Reject::Stale { .. })));
    expect_that!(log.apply(gone(current, &[3, 4, 5])).result, err(eq(&Reject::NoQuorum)));
    expect_that!(log.apply(gone(current, &[2, 3])).result, err(eq(&Reject::NoQuorum)));
    expect_that!(log.apply(gone(current, &[2, 3, 4])).result, ok(anything()));
}

#[gtest]
fn second_copy_of_a_record_changes_nothing() {
    let mut log = Log::with_pools(1);
    let id = RecordId { writer: 7, seq: 1 };
    let record = Record { id, at_ms: 0, change: drain(&log, 0) };
    expect_that!(log.apply_record(record.clone()).result, ok(anything()));
    let before = log.state.accepted;
    expect_that!(log.apply_record(record).result, err(eq(&Reject::Duplicate)));
    expect_that!(log.state.accepted, eq(before));
}

#[gtest]
fn second_of_two_racing_operators_is_rejected() {
    let mut log = Log::with_pools(1);
    let name = TemplateName::new("t").unwrap();
    let base = log.state.templates[&name].revision;
    let publish = |ms| Change::PublishTemplate { name: name.clone(), base, template: template(ms) };
    log.accept(publish(2_000));
    let verdict = log.apply(publish(3_000));
    expect_that!(verdict.result, err(matches_pattern!(Reject::Stale { .. })));
    expect_that!(log.state.templates[&name].template.services[0].deadline_ms, eq(2_000));
}

#[gtest]
fn move_changes_the_pool_only_after_the_drain() {
    let mut log = Log::with_pools(2);
    log.join(1);
    let reason = DrainReason::Move(pool_name(1));
    let base = log.revision(0);
    log.accept(Change::Drain { vm: vm_name(0), base, reason });
    let to = Some(pool_name(1));
    let assign = |base| Change::Assign { vm: vm_name(0), base, to: to.clone() };
    let early = assign(log.revision(0));
    expect_that!(log.apply(early).result, err(matches_pattern!(Reject::WrongStage { .. })));
    let base = log.revision(0);
    log.accept(Change::Drained { vm: vm_name(0), base, acks: vec![MemberId(1)] });
    let change = assign(log.revision(0));
    log.accept(change);
    let key = log.state.vm_key(&vm_name(0)).unwrap();
    let pool = &log.state.pools[log.state.vms[key].pool];
    expect_that!(pool.label(), eq("pool-1"));
    expect_that!(log.state.vms[key].stage, eq(&Stage::InService));
}

#[gtest]
fn malformed_entry_is_counted_and_skipped() {
    let mut log = Log::with_pools(1);
    let next = log.state.next;
    let verdicts = log.state.apply_entry(next, b"{ not a record");
    expect_that!(verdicts, is_empty());
    expect_that!(log.state.malformed, eq(1));
    expect_that!(log.state.next, eq(next.next()));
}

#[gtest]
fn budget_as_large_as_the_pool_is_refused() {
    let mut log = Log::with_pools(1);
    let base = log.state.pools[log.state.pool_key(&pool_name(0)).unwrap()].revision;
    let change = Change::SetWorkspace { name: pool_name(0), base, workspace: workspace(4, 4) };
    expect_that!(log.apply(change).result, err(matches_pattern!(Reject::Invalid(anything()))));
}
