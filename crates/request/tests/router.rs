//! The router's decisions in individual cases.

use std::time::Duration;

use googletest::prelude::*;
use thistle_model::clock::Instant;
use thistle_model::view::{ViewDrain, ViewPool, ViewUpdate, ViewVm};
use thistle_model::{
    HallName, Offset, PoolName, RackName, RefusalReason, Revision, Service, ServiceName, Template,
    Tier, VmFacts, VmName,
};
use thistle_request::admit::Ticket;
use thistle_request::breaker::SendResult;
use thistle_request::router::{
    Decision, FailedVms, RouteRequest, Router, RouterConfig, VmKey, Wake,
};
use thistle_request::slot_home::SlotGrant;

const SECOND: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Instant {
    Instant::from_micros(1_000_000 + ms * 1_000)
}

fn vm(i: usize) -> VmName {
    VmName::new(&format!("vm-{i}")).unwrap()
}

/// Returns a view of a pool with VMs `0..vms`, of which those in `drained` are drained.
fn view(vms: usize, drained: &[usize]) -> ViewUpdate {
    let service = Service {
        name: ServiceName::new("s").unwrap(),
        repeatable: true,
        deadline_ms: 1_000,
        echoes_request_id: true,
        tier: None,
    };
    let facts = VmFacts {
        addr: ([127, 0, 0, 1], 1).into(),
        hall: HallName::new("h").unwrap(),
        rack: RackName::new("r").unwrap(),
        slots: 8,
        connections: 64,
    };
    let pool = ViewPool {
        name: PoolName::new("pool").unwrap(),
        tier: Tier::Gold,
        template: Template { title: String::new(), services: vec![service] }.into(),
        vms: (0..vms)
            .filter(|i| !drained.contains(i))
            .map(|i| ViewVm { name: vm(i), facts: facts.clone() })
            .collect(),
        drains: drained.iter().map(|&i| ViewDrain { name: vm(i), revision: Revision(9) }).collect(),
    };
    ViewUpdate { offset: Offset(1), pools: vec![pool], ..ViewUpdate::default() }
}

/// Returns a router with `slots` leased on each of `vms` VMs and proof of membership for an hour.
fn router(vms: usize, slots: u16, max_queue: usize) -> Router {
    let mut router = Router::new(RouterConfig { max_queue, ..RouterConfig::default() });
    router.apply_view(&view(vms, &[]));
    router.set_proof(at(3_600_000));
    for i in 0..vms {
        lease(&mut router, i, slots, at(0));
    }
    router
}

fn lease(router: &mut Router, i: usize, slots: u16, requested_at: Instant) {
    router.apply_grant(&SlotGrant { vm: vm(i), slots, share: slots, free: 0 }, requested_at);
}

fn request(router: &Router, ticket: u64, tier: Tier, deadline: Instant) -> RouteRequest {
    let pool = router.pool_key("pool").unwrap();
    RouteRequest {
        ticket: Ticket(ticket),
        pool,
        tier,
        deadline,
        repeatable: true,
        failed_vms: FailedVms::default(),
    }
}

fn submit(router: &mut Router, ticket: u64, tier: Tier, deadline_ms: u64) -> Decision {
    let request = request(router, ticket, tier, at(deadline_ms));
    router.submit(request, at(0))
}

fn sent_to(decision: Decision) -> VmKey {
    match decision {
        Decision::Send(vm) => vm,
        other => panic!("not sent: {other:?}"),
    }
}

fn refused(wakes: &[Wake]) -> Vec<u64> {
    let is_refused = |w: &&Wake| matches!(w.decision, Decision::Refuse(..));
    wakes.iter().filter(is_refused).map(|w| w.ticket.0).collect()
}

#[gtest]
fn nothing_is_sent_without_a_lease() {
    let mut router = router(2, 0, 10);
    expect_that!(submit(&mut router, 1, Tier::Gold, 1_000), eq(Decision::Wait));
}

#[gtest]
fn nothing_is_sent_after_the_lease_expired() {
    let mut router = router(1, 4, 10);
    let request = request(&router, 1, Tier::Gold, at(10_000));
    expect_that!(router.submit(request, at(2_000)), eq(Decision::Wait));
}

#[gtest]
fn request_is_refused_immediately_after_the_proof_expired() {
    let mut router = router(1, 4, 10);
    let request = request(&router, 1, Tier::Gold, at(4_000_000));
    let decision = router.submit(request, at(3_600_000));
    expect_that!(
        decision,
        matches_pattern!(Decision::Refuse(eq(RefusalReason::NoProof), anything()))
    );
}

#[gtest]
fn request_that_cannot_meet_its_deadline_is_refused_immediately() {
    let mut router = router(1, 1, 100);
    let first = sent_to(submit(&mut router, 1, Tier::Gold, 1_000));
    // The mean service time becomes 200 ms; a second request then occupies the only slot.
    for n in 0..100 {
        router.finish(first, SendResult::Success, SECOND / 5, at(0));
        sent_to(submit(&mut router, 2 + n, Tier::Gold, 1_000));
    }
    let decision = submit(&mut router, 500, Tier::Gold, 300);
    let Decision::Refuse(reason, retry_after) = decision else {
        panic!("not refused: {decision:?}");
    };
    expect_that!(reason, eq(RefusalReason::Overload));
    expect_that!(retry_after, gt(Duration::ZERO));
    expect_that!(submit(&mut router, 501, Tier::Gold, 2_000), eq(Decision::Wait));
}

#[gtest]
fn waiting_request_is_refused_as_soon_as_it_is_too_late() {
    let mut router = router(1, 1, 100);
    sent_to(submit(&mut router, 1, Tier::Gold, 10_000));
    expect_that!(submit(&mut router, 2, Tier::Gold, 1_000), eq(Decision::Wait));
    expect_that!(refused(&router.poll(at(500))), is_empty());
    // The request is refused 20 ms (the initial service time) before its deadline, not at it.
    expect_that!(refused(&router.poll(at(985))), elements_are![eq(&2)]);
}

#[gtest]
fn full_queue_evicts_a_request_for_a_higher_tier() {
    let mut router = router(1, 1, 1);
    sent_to(submit(&mut router, 1, Tier::Gold, 10_000));
    expect_that!(submit(&mut router, 2, Tier::Bronze, 10_000), eq(Decision::Wait));
    expect_that!(submit(&mut router, 3, Tier::Gold, 10_000), eq(Decision::Wait));
    expect_that!(refused(&router.poll(at(1))), elements_are![eq(&2)]);
    let bronze = submit(&mut router, 4, Tier::Bronze, 10_000);
    expect_that!(bronze, matches_pattern!(Decision::Refuse(anything(), anything())));
}

#[gtest]
fn drain_is_acknowledged_only_when_nothing_is_in_flight() {
    let mut router = router(1, 4, 10);
    let key = sent_to(submit(&mut router, 1, Tier::Gold, 1_000));
    router.apply_view(&view(1, &[0]));
    expect_that!(router.acks(), is_empty());
    let next = submit(&mut router, 2, Tier::Gold, 1_000);
    expect_that!(next, matches_pattern!(Decision::Refuse(eq(RefusalReason::NoVm), anything())));
    router.finish(key, SendResult::Success, SECOND / 100, at(10));
    let acks: Vec<_> = router.acks().into_iter().map(|a| (a.vm, a.revision)).collect();
    expect_that!(acks, elements_are![eq(&(vm(0), Revision(9)))]);
}

#[gtest]
fn leaving_vm_gets_no_new_requests() {
    let mut router = router(2, 8, 10);
    router.set_leaving(&[vm(0)]);
    for n in 0..8 {
        let key = sent_to(submit(&mut router, n, Tier::Gold, 1_000));
        expect_that!(router.vm(key).unwrap().name, eq(&vm(1)));
    }
}

#[gtest]
fn failing_vm_is_excluded_and_readmitted_after_a_trial() {
    let mut router = router(4, 8, 10);
    let bad = sent_to(submit(&mut router, 0, Tier::Gold, 1_000));
    router.finish(bad, SendResult::ConnectFailed, Duration::ZERO, at(0));
    for n in 1..20 {
        let key = sent_to(submit(&mut router, n, Tier::Gold, 1_000));
        expect_that!(key, not(eq(bad)));
        router.finish(key, SendResult::Success, SECOND / 100, at(0));
    }
    let later = request(&router, 50, Tier::Gold, at(5_000));
    expect_that!(router.submit(later, at(1_500)), eq(Decision::Send(bad)));
    let meanwhile = request(&router, 51, Tier::Gold, at(5_000));
    expect_that!(router.submit(meanwhile, at(1_500)), not(eq(Decision::Send(bad))));
    router.finish(bad, SendResult::Success, SECOND / 100, at(1_600));
    expect_that!(router.vm(bad).unwrap().breaker.is_excluded(), eq(false));
}
