//! The largest CPU capacity that a pool may reach.

use std::collections::HashMap;
use std::sync::Arc;

use crate::fleet::{FleetRecord, FleetVm, PoolReport, Purpose, VmState, VmWork};

/// What is known about the VMs of all pools.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// All VMs, by the machine service.
    pub vms: &'a [FleetVm],
    /// The newest reports of the pools' owners.
    pub reports: &'a HashMap<Arc<str>, PoolReport>,
    /// The VMs on their way.
    pub record: &'a FleetRecord,
    /// The pool of VMs that are switched off.
    pub switched_off: Option<&'a str>,
}

impl FleetView<'_> {
    /// Returns the largest CPU capacity that a pool may reach, in thousandths of a core: its own VMs that are not down, those that
    /// move to it, all VMs that are switched off, and what other pools have beyond their demand. Another pool may get some
    /// of these, so this is never too low while no VM returns from a failure. Returns `None` if no report tells the size of VMs.
    pub fn reachable_cpu(&self, pool: &str) -> Option<u64> {
        let average = |report: &PoolReport| report.cpu.checked_div(u64::from(report.vms));
        let vm_cpu = self.reports.values().filter_map(average).max().filter(|&cpu| cpu > 0)?;
        let is_on_way = |work: &VmWork| matches!(&work.purpose, Purpose::Move { to } if to == pool);
        let reaches = |vm: &&FleetVm| {
            let is_own = &*vm.pool == pool && vm.state != VmState::Down;
            let is_off = self.switched_off == Some(&*vm.pool);
            is_own || is_off || self.record.work_on(&vm.name).is_some_and(is_on_way)
        };
        let vms = u64::try_from(self.vms.iter().filter(reaches).count()).unwrap_or(u64::MAX);
        let others = self.reports.iter().filter(|(name, _)| &***name != pool);
        let spare = others.map(|(_, report)| report.cpu.saturating_sub(report.soon_cpu));
        Some(vms.saturating_mul(vm_cpu) + spare.sum::<u64>())
    }
}
