//! VMs that announce that they will leave, with long or short notice or not at all, and fall silent around that, during bursts.
//!
//! The store and its links stay sound and no node is paused, so every running owner knows of announcements and cancellations in time.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use thistle_platform::standin::{Connectivity, RunEvent, RunEventKind, VmFake};

use super::checks::BrokenGuarantee;
use super::faults::Soak;

/// The time after an announcement from which nothing may be started on its VM.
const DRAIN_WITHIN: Duration = Duration::from_secs(3);
/// How long before its end a VM announces it, in milliseconds: a planned end, and the end of a spot VM.
const PLANNED_NOTICE_MS: std::ops::Range<u64> = 3_500..8_000;
const SPOT_NOTICE_MS: std::ops::Range<u64> = 200..2_000;
/// How long a VM is down after its end, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 200..1_500;
/// How long a VM is silent around its announcement, in milliseconds. Most leases have not expired by then.
const SILENCE_MS: std::ops::Range<u64> = 3_000..7_000;
/// The longest time from the begin of a silence to the announcement, in milliseconds.
const MAX_LEAD_MS: u64 = 600;
/// The number of VMs that stay when others leave.
const MIN_REMAINING_VMS: usize = 2;

impl Soak {
    /// Makes VMs leave, or injects a fault of VMs or a planned change.
    pub async fn drain_or_fault(&mut self) {
        self.apply_due_repairs();
        self.start_nodes_ended_by_sighup();
        let node = self.rng.random_range(0..self.system.nodes.len());
        let description = match self.rng.random_range(0..100) {
            0..24 => self.drain_several(PLANNED_NOTICE_MS).await,
            24..36 => self.drain_several(SPOT_NOTICE_MS).await,
            36..48 => self.cut_off_several(SILENCE_MS),
            48..58 => self.cut_off_partly(),
            58..66 => self.remove_entries_for_a_while(),
            66..84 => self.inject_vm_fault().await,
            84..92 => self.kill_and_start(node),
            _ => self.put_next_config(),
        };
        self.faults.push(description);
        let pause = self.rng.random_range(20..700);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    /// Makes one or two VMs leave, those with runs first. Some are silent before and after their announcement.
    async fn drain_several(&mut self, notice_ms: std::ops::Range<u64>) -> String {
        let mut vms = self.system.platform.machines.vms();
        vms.retain(|vm| !vm.is_draining());
        vms.shuffle(&mut self.rng);
        vms.sort_by_key(|vm| vm.running().is_empty());
        vms.truncate(vms.len().saturating_sub(MIN_REMAINING_VMS));
        vms.truncate(self.rng.random_range(1..=2));
        let silences = [
            Connectivity::Nothing,
            Connectivity::Delayed,
            Connectivity::RequestsOnly,
            Connectivity::HoldsOnly,
        ];
        let mut description = String::new();
        if self.rng.random_bool(0.6) {
            let silence = silences[self.rng.random_range(0..silences.len())];
            description = self.limit_connectivity(vms.clone(), silence, SILENCE_MS) + ", ";
            let lead = self.rng.random_range(0..MAX_LEAD_MS);
            tokio::time::sleep(Duration::from_millis(lead)).await;
        }
        for vm in vms {
            description += &self.shut_down(vm, notice_ms.clone());
        }
        description
    }

    fn shut_down(&mut self, vm: Arc<VmFake>, notice_ms: std::ops::Range<u64>) -> String {
        let notice = Duration::from_millis(self.rng.random_range(notice_ms));
        let downtime = Duration::from_millis(self.rng.random_range(DOWNTIME_MS));
        let description = format!("shut down {} in {notice:?}; ", vm.id);
        let machines = self.system.platform.machines.clone();
        tokio::spawn(async move {
            machines.shut_down(vm, notice, downtime).await.expect("the VM comes up again");
        });
        description
    }

    /// Returns the starts on VMs that had announced their end too long before.
    pub fn starts_on_draining_vms(&self) -> Vec<BrokenGuarantee> {
        let histories = self.system.platform.machines.histories();
        histories.iter().flat_map(|history| starts_after_announcement(history)).collect()
    }
}

/// Returns the starts whose orders arrived at a VM too long after its announcement. An order that arrived before and was carried
/// out late does not count.
fn starts_after_announcement(history: &[RunEvent]) -> Vec<BrokenGuarantee> {
    let Some(announced) = history.iter().find(|event| event.kind == RunEventKind::Draining) else {
        return Vec::new();
    };
    let late = |event: &&RunEvent| {
        event.kind == RunEventKind::Started && event.arrived_at > announced.at + DRAIN_WITHIN
    };
    let broken = |event: &RunEvent| BrokenGuarantee::OnDrainingVm {
        run: format!("{}#{}", event.task, event.attempt),
        after: event.arrived_at - announced.at,
    };
    history.iter().filter(late).map(broken).collect()
}

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use googletest::prelude::*;

    use super::*;

    /// Returns the broken guarantees if a VM drains and an order arrives and is carried out at these times, in milliseconds.
    fn broken_by_start(arrived: u64, started: u64) -> usize {
        let base = Instant::now();
        let event = |arrived, at, kind| RunEvent {
            at: base + Duration::from_millis(at),
            arrived_at: base + Duration::from_millis(arrived),
            task: "00000001.0.0.0".to_owned(),
            attempt: 1,
            fencing_token: None,
            kind,
        };
        let draining = event(0, 0, RunEventKind::Draining);
        let history = [draining, event(arrived, started, RunEventKind::Started)];
        starts_after_announcement(&history).len()
    }

    #[googletest::test]
    fn an_order_that_arrives_too_long_after_the_announcement_counts() {
        expect_that!(broken_by_start(2_900, 2_900), eq(0));
        expect_that!(broken_by_start(3_100, 3_100), eq(1));
    }

    #[googletest::test]
    fn an_order_that_the_vm_carries_out_late_does_not_count() {
        expect_that!(broken_by_start(2_900, 5_000), eq(0));
    }
}
