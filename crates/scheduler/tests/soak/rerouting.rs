//! A queue that is routed to another pool, back, or nowhere for a moment, while its jobs are submitted, sent again and cancelled.
//!
//! Faults come in phases. In between there are only route changes, so that cancellations are checked while nodes are in touch
//! with the store.

use std::time::{Duration, Instant};

use rand::Rng;
use thistle_platform::standin::Fault;

use super::bursts::Repair;
use super::faults::Soak;
use super::system::{POOL, SECOND_POOL, ip};

/// The number of VMs in the second pool.
const SECOND_POOL_VMS: u8 = 4;
/// The length of a phase with faults and of one without. They alternate, beginning without.
const PHASE: Duration = Duration::from_secs(6);
/// How long a fault lasts, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..3_000;
/// The longest time for which a node is paused, and for which one that was killed is not back.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
const LONGEST_RESTART: Duration = Duration::from_secs(3);
/// The longest time until a repair that is due is made.
const REPAIR_DELAY: Duration = Duration::from_secs(1);

impl Soak {
    /// Adds the VMs of the second pool and routes the callers' queue to the first one.
    pub async fn add_second_pool(&mut self, net: u8) {
        for i in 0..SECOND_POOL_VMS {
            let name = format!("h-{i}");
            let added =
                self.system.platform.machines.add(&name, SECOND_POOL, ip(net, 120 + i)).await;
            added.expect("the VM starts");
        }
        self.route(Some(POOL));
    }

    /// Routes the callers' queue to a pool, or removes its route.
    pub fn route(&mut self, pool: Option<&'static str>) {
        self.system.first_queue = Some(pool);
        let version = self.put_next_config();
        self.faults.push(format!("route to {pool:?}, {version}"));
    }

    /// Changes the route, or injects a fault for a while.
    pub async fn reroute_or_fault(&mut self) {
        self.apply_due_repairs();
        let phase = self.started_at.elapsed().as_millis() / PHASE.as_millis();
        let with_faults = phase % 2 == 1;
        match self.rng.random_range(0..100) {
            0..20 => self.route(Some(POOL)),
            20..40 => self.route(Some(SECOND_POOL)),
            40..45 => self.route(None),
            45..52 => {
                self.route(Some(SECOND_POOL));
                self.route(Some(POOL));
            }
            52..56 => {
                let store = &self.system.platform.store;
                for topic in ["op", "control", "jobs.desk", "jobs.hub"] {
                    store.drop_history(topic);
                }
            }
            _ if with_faults => self.inject_fault_for_a_while().await,
            _ => (),
        }
        let pause = self.rng.random_range(20..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    async fn inject_fault_for_a_while(&mut self) {
        let node = self.rng.random_range(0..self.system.nodes.len());
        let now = Instant::now();
        let after = Duration::from_millis(self.rng.random_range(FAULT_MS));
        let kind = self.rng.random_range(0..6);
        let description = match kind {
            0 => self.kill_and_start(node),
            1 => self.pause_for_a_while(node),
            2 => {
                let faults = [
                    Fault::Busy,
                    Fault::Unresponsive,
                    Fault::Slow,
                    Fault::LosesAnswers,
                    Fault::Late,
                ];
                let fault = faults[self.rng.random_range(0..faults.len())];
                self.system.platform.store.set_fault(fault);
                self.scheduled_repairs.push((now + after, Repair::RestoreStore));
                format!("store {fault:?} for {after:?}")
            }
            3 | 4 => {
                let topic = ["jobs.desk", "jobs.hub"][self.rng.random_range(0..2)];
                let part = self.rng.random_range(0..4);
                let fault = [Fault::Busy, Fault::Unresponsive, Fault::Late];
                let fault = fault[self.rng.random_range(0..fault.len())];
                self.system.platform.store.set_part_fault(topic, part, fault);
                let repair = Repair::RestorePartition(topic, part);
                self.scheduled_repairs.push((now + after, repair));
                format!("{topic} {part} {fault:?} for {after:?}")
            }
            _ => self.inject_vm_fault().await,
        };
        let lasts = match kind {
            0 => Some((Some(node), LONGEST_RESTART)),
            1 => Some((Some(node), LONGEST_PAUSE)),
            2..=4 => Some((None, after)),
            // VMs do not matter: the time counts at which an order arrives.
            _ => None,
        };
        if let Some((node, lasts)) = lasts {
            self.add_trouble(node, lasts + REPAIR_DELAY);
        }
        self.faults.push(description);
    }
}
