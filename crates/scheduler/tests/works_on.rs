//! VMs that work on though the store tells that they are gone, with real nodes.
//!
//! The runs on a VM that the store does not list and that does not answer are given up at once if another incarnation of its name is listed, as that
//! one came after it. It need not have: the entry of an incarnation that has crashed stands for three heartbeats, the store drops entries at times
//! while it is down, and answers are lost for a second. Here the entry of the newer incarnation is dropped while that of the older one
//! stands; its tasks are started elsewhere, end as done there too, and both ends are acknowledged.
//!
//!     05:24:02.202 INFO vm step=listed vm=i-m-0-2 name=m-0 pool=desk
//!     05:24:09.052 INFO vm step=unlisted vm=i-m-0-2 name=m-0 pool=desk
//!     05:24:10.243 INFO vm step=reachable vm=i-m-0-2 reachable=false
//!     05:24:10.244 INFO vm step=lost vm=i-m-0-2 reason=Replaced runs=4
//!     05:24:11.085 INFO vm step=listed vm=i-m-0-2 name=m-0 pool=desk
//!     05:24:11.091 WARN run step=done-after-given-up run=JOB.0.0.4#2 vm=i-m-0-2 number=5
//!     05:24:11.254 INFO end run=JOB.0.0.4#3 vm=i-m-2-1 how=Done number=5

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, until, until_state};
use thistle_platform::listing;
use thistle_platform::standin::Stall;

const ID: &str = "5c0e7a21d94b36f8";
/// Tasks that fill the VMs.
const TASKS: u32 = 96;
/// How long a VM is neither listed nor answers: far less than a lease.
const AWAY: Duration = Duration::from_secs(2);

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_is_not_taken_for_replaced_by_an_older_life_of_it() {
    let system = System::start(98, 3, 1).await;
    let (node, platform) = (&system.nodes[0], &system.platform);
    let life = || {
        platform.machines.vms().iter().find(|vm| vm.place.name == "m-0").map(|vm| vm.incarnation())
    };
    let older = life().expect("it is up");
    platform.machines.crash_keeping_entry("m-0").await.expect("the next one starts");
    let newer = life().expect("it is up");
    let both = [
        format!("step=listed vm={newer} "),
        format!("vm step=reachable vm={older} reachable=false"),
    ];
    let known = async || both.iter().all(|line| node.log().contains(line));
    until("the older one is known as silent and the newer one is listed", known).await;
    expect_that!(submit(node, ID, &job(TASKS, 1_000)).await.status, eq(200));
    until("its tasks run", async || system.starts_of(ID).len() == TASKS as usize).await;
    let vms = platform.machines.vms();
    let vm = vms.iter().find(|vm| &*vm.id == "i-m-0-2").expect("it is up");
    platform.store.put(listing::TOPIC, &vm.id, "");
    vm.set_unresponsive(true);
    vm.stall_connections(Stall::Answers);
    tokio::time::sleep(AWAY).await;
    vm.set_unresponsive(false);
    platform.store.put(listing::TOPIC, &vm.id, vm.entry());
    until_state(node, ID, "completed").await;
    tokio::time::sleep(AWAY).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.len(), eq(TASKS as usize));
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}
