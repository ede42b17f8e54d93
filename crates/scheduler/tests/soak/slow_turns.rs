//! Demand by turns beside a store that is slow, loses answers or turns some nodes away from the onset of a turn on.
//!
//! Nodes that own nothing send heartbeats beside those of the run. Their heartbeats fill the common partitions while the store is
//! slow.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IndexedRandom;
use serde_json::json;
use thistle_platform::standin::Fault;

use super::bursts::Repair;
use super::checks::BrokenGuarantee;
use super::faults::Soak;
use super::idle_nodes;
use super::load_pattern::LoadPattern;

/// The number of nodes that own nothing, beside those of the run.
const IDLE_NODES: usize = 42;
/// When a fault begins after the onset of a turn, and how long it lasts, in milliseconds.
const AFTER_ONSET_MS: std::ops::Range<u64> = 0..2_000;
const FAULT_MS: std::ops::Range<u64> = 1_000..9_000;
/// The part of the description of a slow store.
const SLOW: &str = "is slow";
/// How long an append takes while the store is slow, in milliseconds: 5 to 60 times as long as usual.
const SLOW_MS: std::ops::Range<u64> = 20..240;

impl Soak {
    /// Starts the heartbeats of further nodes.
    pub fn add_idle_nodes(&self) {
        let store = self.system.platform.store_addr();
        idle_nodes::add(store, IDLE_NODES, &json!({ "reads_shard_heartbeats": true }));
    }

    /// Injects a fault of the store soon after each onset of a turn.
    pub async fn store_fault_at_a_turn(&mut self) {
        self.apply_due_repairs();
        let is_turn = LoadPattern::TurnsToServe.is_burst(self.started_at);
        let begins = is_turn && !std::mem::replace(&mut self.last_fault_in_burst, is_turn);
        let pause = if begins { self.rng.random_range(AFTER_ONSET_MS) } else { 50 };
        tokio::time::sleep(Duration::from_millis(pause)).await;
        if begins && self.scheduled_repairs.is_empty() {
            self.inject_fault_of_turn();
        }
    }

    fn inject_fault_of_turn(&mut self) {
        let slow_time = Duration::from_millis(self.rng.random_range(SLOW_MS));
        let length = Duration::from_millis(self.rng.random_range(FAULT_MS));
        let nodes = self.store_endpoints.len();
        let description = match self.rng.random_range(0..4) {
            0 => {
                let node = self.rng.random_range(0..nodes);
                let faults = [Fault::Busy, Fault::Unresponsive];
                let fault = *faults.choose(&mut self.rng).unwrap_or(&Fault::Busy);
                self.store_endpoints[node].set_fault(fault);
                self.scheduled_repairs
                    .push((Instant::now() + length, Repair::RestoreEndpoint(node)));
                format!("store {fault:?} for {node} for {length:?}")
            }
            1 => {
                self.system.platform.store.set_fault(Fault::LosesAnswers);
                self.scheduled_repairs.push((Instant::now() + length, Repair::RestoreStore));
                format!("store loses answers for {length:?}")
            }
            _ => {
                self.system.platform.store.set_slow_time(slow_time);
                self.system.platform.store.set_fault(Fault::Slow);
                self.scheduled_repairs.push((Instant::now() + length, Repair::RestoreStore));
                format!("store {SLOW} for {length:?}, {slow_time:?} an append")
            }
        };
        self.faults.push(description);
    }

    /// Returns the owners that stopped because their leases had ended, in a run in which the store was slow and nothing else failed.
    pub fn owners_stopped_by_a_slow_store(&self) -> Option<BrokenGuarantee> {
        let was_only_slow = self.faults.iter().all(|fault| fault.contains(SLOW));
        match self.count_log_matches("step=stopped lease_valid=false") {
            count if was_only_slow && count > 0 => Some(BrokenGuarantee::LeasesEnded { count }),
            _ => None,
        }
    }
}
