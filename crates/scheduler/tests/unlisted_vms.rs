//! VMs that go on working while the store does not list them, with real nodes.
//!
//! If the store does not list a VM and the VM does not reply, its runs may be abandoned at once only when a newer incarnation
//! of the VM is listed. The listed incarnation may be the older one: the entry of a crashed incarnation stays for three
//! heartbeats, the store may drop entries while it is down, and replies may be lost for a second. Here the entry of the
//! newer incarnation is dropped while that of the older one stays. If the tasks were started elsewhere, they would be done
//! twice and both ends acknowledged.

mod system;

use std::time::Duration;

use googletest::prelude::*;
use system::{System, job, submit, wait_until, wait_until_state};
use thistle_platform::listing;
use thistle_platform::standin::Stall;

const ID: &str = "5c0e7a21d94b36f8";
/// Tasks that fill the VMs.
const TASKS: u32 = 96;
/// How long the VM is not listed and does not reply: far less than a lease.
const UNLISTED_FOR: Duration = Duration::from_secs(2);

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_is_not_replaced_by_its_older_incarnation() {
    let system = System::start(98, 3, 1).await;
    let (node, platform) = (&system.nodes[0], &system.platform);
    let incarnation_of_m0 = || {
        platform.machines.vms().iter().find(|vm| vm.place.name == "m-0").map(|vm| vm.incarnation())
    };
    let older = incarnation_of_m0().expect("the VM is up");
    platform.machines.crash_keeping_entry("m-0").await.expect("the next incarnation starts");
    let newer = incarnation_of_m0().expect("the VM is up");
    let both = [
        format!("step=listed vm={newer} "),
        format!("vm step=reachable vm={older} reachable=false"),
    ];
    let known = async || both.iter().all(|line| node.log().contains(line));
    wait_until("the older one is known as unresponsive and the newer one is listed", known).await;
    expect_that!(submit(node, ID, &job(TASKS, 1_000)).await.status, eq(200));
    wait_until("the job's tasks run", async || system.starts_of(ID).len() == TASKS as usize).await;
    let vms = platform.machines.vms();
    let vm = vms.iter().find(|vm| &*vm.id == "i-m-0-2").expect("the VM is up");
    platform.store.put(listing::TOPIC, &vm.id, "");
    vm.set_unresponsive(true);
    vm.stall_connections(Stall::Answers);
    tokio::time::sleep(UNLISTED_FOR).await;
    vm.set_unresponsive(false);
    platform.store.put(listing::TOPIC, &vm.id, vm.entry());
    wait_until_state(node, ID, "completed").await;
    tokio::time::sleep(UNLISTED_FOR).await;
    let starts = system.starts_of(ID);
    expect_that!(starts.len(), eq(TASKS as usize));
    expect_that!(starts.values().all(|&n| n == 1), eq(true), "{starts:?}");
}
