//! Orders to the machine service by a node that no longer owns the fleet, with real nodes.
//!
//! An owner of the fleet is paused for longer than its right to act lasts, while an order that the machine service has
//! refused waits to be repeated. Another node claims the fleet and gives that order under its higher token. The first
//! node resumes: the store accepts its heartbeat, which renews its right to act, before it has read the new claim. A
//! repeated order needs no new record that the store could refuse, so it would go out under the lower token. Here the
//! partition of claims does not answer, so that the first node cannot read the claim and both nodes would give the
//! order alternately.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, wait_until, wait_until_state};
use thistle_platform::standin::{Fault, bodies};

const ID: &str = "5c0e7a21d94b36f8";
/// How long the test watches for orders that must not come: several pauses between attempts of a refused order.
const WATCH_TIME: Duration = Duration::from_secs(6);

/// Returns the index of the node that owns the fleet according to the store.
fn fleet_owner(system: &System) -> Option<usize> {
    let claim = system.platform.store.newest("control", 0, "owner/#fleet")?;
    let claim: serde_json::Value = serde_json::from_slice(&claim).ok()?;
    system.nodes.iter().position(|n| claim["owner"]["name"] == n.name.as_str())
}

/// Pauses the fleet's owner until another node has given an order, and resumes it while it cannot read the claims. Returns
/// the tokens of all orders in the sequence of their arrival.
async fn tokens_across_pause(net: u8, settings: &str) -> Vec<u64> {
    let system = System::start_with_settings(net, 4, 2, settings).await;
    expect_that!(submit(&system.nodes[0], ID, &job(1, 10)).await.status, eq(200));
    wait_until_state(&system.nodes[0], ID, "completed").await;
    wait_until("the fleet has an owner", async || fleet_owner(&system).is_some()).await;
    let first = fleet_owner(&system).expect("an owner");
    let machines = &system.platform.machines;
    machines.refuse_orders(true);
    system.platform.store.put("op", "wave/1", bodies::wave(1, &["m-0".to_owned()], 1));
    wait_until("an order was refused", async || !machines.orders().is_empty()).await;
    system.nodes[first].signal("STOP");
    let name = &system.nodes[1 - first].name;
    let next_has_ordered = async || machines.orders().iter().any(|o| o.holder == *name);
    wait_until("the next owner has given the order", next_has_ordered).await;
    system.platform.store.set_part_fault("control", 0, Fault::Unresponsive);
    system.nodes[first].signal("CONT");
    tokio::time::sleep(WATCH_TIME).await;
    machines.orders().iter().map(|order| order.token).collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_fleet_owner_that_cannot_read_the_claims_gives_no_order_after_its_successor() {
    let tokens = tokens_across_pause(113, "policy: { moves: { pipelined: false } }\n").await;
    expect_that!(tokens.is_sorted(), eq(true), "{tokens:?}");
}

/// A pipelined owner keeps orders that wait for their rows over the pause.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_pipelined_owner_gives_no_order_after_its_successor() {
    let tokens = tokens_across_pause(140, "policy: { moves: { pipelined: true } }\n").await;
    expect_that!(tokens.is_sorted(), eq(true), "{tokens:?}");
}
