//! Assignment of queues to pools: which changes an owner writes, and where a job belongs.

use std::collections::BTreeSet;
use std::sync::Arc;

use googletest::prelude::*;
use thistle_schedule::assignment::{Change, EarlierJobs, Home, HomeFacts, Undecided};
use thistle_schedule::{Assignments, Catalog, JobId, Limits, Objective, Queue};

const JOB: JobId = JobId(1);

fn queue(name: &str, path: &str, pool: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "Jobs.example".to_owned(),
        path_prefix: path.to_owned(),
        pool: pool.into(),
        objective: Objective::default(),
        advice: None,
        open: true,
    }
}

fn catalog(version: u64, queues: &[(&str, &str, &str)]) -> Catalog {
    let limits =
        Limits { header_bytes: 0, body_bytes: 0, header_timeout_ms: 0, idle_timeout_ms: 0 };
    let queues = queues.iter().map(|(name, path, pool)| queue(name, path, pool)).collect();
    Catalog::new(version, queues, Vec::new(), limits)
}

fn names(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|&name| name.into()).collect()
}

/// Writes all changes that the owner of `pool` has to write, and returns them.
fn write(assignments: &mut Assignments, catalog: &Catalog, pool: &str) -> Vec<Change> {
    let changes = assignments.changes(catalog, pool, &BTreeSet::new(), |_| false);
    for change in &changes {
        let offset = assignments.offset_of(&change.queue).map_or(0, |offset| offset + 1);
        assignments.record(&change.queue, change.assignment.clone(), offset);
    }
    changes
}

fn home(assignments: &Assignments, catalog: &Catalog, pool: &str, handing_over: bool) -> Home {
    let facts =
        HomeFacts { pool, catalog: Some(catalog), is_handing_over: handing_over, earlier: None };
    assignments.home_of(JOB, "quotes", &facts)
}

#[gtest]
fn a_queue_is_assigned_once_to_the_pool_of_its_route() {
    let first = catalog(1, &[("quotes", "/quotes/", "desk"), ("orders", "/orders/", "hub")]);
    let mut assignments = Assignments::default();
    expect_that!(
        home(&assignments, &first, "desk", false),
        eq(&Home::Undecided(Undecided::NotAssigned))
    );
    expect_that!(write(&mut assignments, &first, "desk").len(), eq(1));
    expect_that!(write(&mut assignments, &first, "desk"), is_empty());
    expect_that!(home(&assignments, &first, "desk", false), eq(&Home::Here));
    expect_that!(home(&assignments, &first, "hub", false), eq(&Home::AssignedTo("desk".into())));
}

#[gtest]
fn only_the_owner_of_the_assigned_pool_hands_a_queue_over() {
    let first = catalog(1, &[("quotes", "/quotes/", "desk")]);
    let second = catalog(2, &[("quotes", "/quotes/", "hub")]);
    let mut assignments = Assignments::default();
    write(&mut assignments, &first, "desk");
    expect_that!(write(&mut assignments, &second, "hub"), is_empty());
    expect_that!(
        home(&assignments, &second, "hub", false),
        eq(&Home::Undecided(Undecided::HandoverDue))
    );
    expect_that!(
        home(&assignments, &second, "desk", true),
        eq(&Home::Undecided(Undecided::HandingOver))
    );
    let changes = write(&mut assignments, &second, "desk");
    expect_that!(changes.iter().all(|change| change.is_handover), eq(true));
    expect_that!(
        assignments.pools_of("quotes"),
        elements_are![eq(&"hub".into()), eq(&"desk".into())]
    );
    expect_that!(
        home(&assignments, &second, "hub", false),
        eq(&Home::Undecided(Undecided::EarlierNotRead))
    );
    // An owner with an older configuration does not take it back.
    expect_that!(write(&mut assignments, &first, "hub"), is_empty());
}

#[gtest]
fn a_job_that_is_bound_to_an_earlier_pool_belongs_there() {
    let mut assignments = Assignments::default();
    write(&mut assignments, &catalog(1, &[("quotes", "/quotes/", "desk")]), "desk");
    let second = catalog(2, &[("quotes", "/quotes/", "hub")]);
    write(&mut assignments, &second, "desk");
    let earlier = EarlierJobs::from([("desk".into(), [JOB].into())]);
    let facts = HomeFacts {
        pool: "hub",
        catalog: Some(&second),
        is_handing_over: false,
        earlier: Some(&earlier),
    };
    expect_that!(assignments.home_of(JOB, "quotes", &facts), eq(&Home::BoundTo("desk".into())));
    expect_that!(assignments.home_of(JobId(2), "quotes", &facts), eq(&Home::Here));
}

#[gtest]
fn a_renamed_queue_remembers_the_pools_of_its_address() {
    let mut assignments = Assignments::default();
    write(&mut assignments, &catalog(1, &[("quotes", "/quotes/", "desk")]), "desk");
    let renamed = catalog(2, &[("offers", "/quotes/", "hub")]);
    // The queue of the old name is handed over first.
    expect_that!(write(&mut assignments, &renamed, "hub"), is_empty());
    expect_that!(write(&mut assignments, &renamed, "desk").len(), eq(1));
    expect_that!(write(&mut assignments, &renamed, "hub").len(), eq(1));
    let earlier = assignments.get("offers").map(|offers| &offers.earlier);
    expect_that!(earlier, some(eq(&names(&["desk"]))));
}

#[gtest]
fn a_handover_that_may_still_be_written_is_followed_by_another_record() {
    let mut assignments = Assignments::default();
    write(&mut assignments, &catalog(1, &[("quotes", "/quotes/", "desk")]), "desk");
    // The operator has routed the queue to another pool and back before the change was answered.
    let third = catalog(3, &[("quotes", "/quotes/", "desk")]);
    let changes = assignments.changes(&third, "desk", &BTreeSet::new(), |_| true);
    expect_that!(changes.len(), eq(1));
    expect_that!(changes[0].is_handover, eq(false));
    expect_that!(changes[0].assignment.version, eq(3));
}

#[gtest]
fn a_queue_that_no_configuration_names_is_assigned_to_the_pool_that_has_a_job_of_it() {
    let empty = catalog(3, &[]);
    let assignments = Assignments::default();
    let changes = assignments.changes(&empty, "desk", &names(&["quotes"]), |_| false);
    expect_that!(changes.len(), eq(1));
    expect_that!(&*changes[0].assignment.pool, eq("desk"));
    expect_that!(changes[0].assignment.version, eq(0));
}

#[gtest]
fn the_pools_of_an_address_include_those_of_other_names() {
    let mut assignments = Assignments::default();
    write(&mut assignments, &catalog(1, &[("quotes", "/quotes/", "desk")]), "desk");
    write(&mut assignments, &catalog(2, &[("quotes", "/quotes/", "hub")]), "desk");
    let third = catalog(3, &[("new", "/quotes/", "bare"), ("orders", "/orders/", "bare")]);
    write(&mut assignments, &third, "bare");
    let pools = |name| {
        let address = third.queue(name).map(Queue::address).unwrap_or_default();
        assignments.pools_at(&address).map(ToString::to_string).collect::<Vec<_>>()
    };
    expect_that!(pools("new"), elements_are![eq("hub"), eq("desk")]);
    expect_that!(pools("orders"), elements_are![eq("bare")]);
}
