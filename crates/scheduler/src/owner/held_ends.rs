//! Reports ends that VMs list again and again because the progress of a job is not written.

use std::collections::BTreeMap;

use metrics::gauge;
use thistle_schedule::{Ms, VmIncarnation};

use super::Owner;
use crate::clock::steady_ms;

/// How often such ends are logged, in milliseconds.
const LOG_EVERY_MS: Ms = 1_000;

/// Since when ends of VMs have not been acknowledged.
#[derive(Debug, Default)]
pub(super) struct HeldEndsReporter {
    since: BTreeMap<VmIncarnation, Ms>,
    logged_at: Ms,
}

impl Owner {
    /// Counts the VMs with ends that are not acknowledged, and logs the one that has waited longest.
    pub(super) fn report_held_ends(&mut self) {
        let (now, held) = (steady_ms(), self.pool.held_ends());
        let reporter = &mut self.held_ends_reporter;
        reporter.since.retain(|vm, _| held.contains_key(vm));
        for vm in held.keys() {
            reporter.since.entry(vm.clone()).or_insert(now);
        }
        gauge!("thistle_vms_with_held_ends", "pool" => self.log.pool.to_string())
            .set(held.len() as f64);
        let Some((vm, &since)) = reporter.since.iter().min_by_key(|(_, since)| **since) else {
            return;
        };
        if now.saturating_sub(reporter.logged_at) < LOG_EVERY_MS {
            return;
        }
        reporter.logged_at = now;
        let ends = held[vm];
        log::warn!(
            "ends step=held pool={} vms={} vm={vm} job={} listed={} of_other_jobs={} held_ms={}",
            self.log.pool,
            held.len(),
            ends.job,
            ends.listed,
            ends.of_other_jobs,
            now.saturating_sub(since),
        );
    }
}
