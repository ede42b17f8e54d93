//! Reports the load of a pool to the owner of the fleet.

use std::collections::HashSet;
use std::sync::Arc;

use thistle_schedule::Ms;
use thistle_schedule::fleet::PoolReport;
use thistle_schedule::pool::Demand;

use super::Owner;
use super::direct_report::Delivery;
use crate::clock::{now, steady_ms};

/// The shortest time between two reports, in milliseconds, if a VM has become empty or the pool needs many more VMs.
/// These intervals, together with following the store's records only on the nodes that need them, cut calls to the
/// store from 365 to 280 a second on a calm day of 49 VMs and nine nodes.
const URGENT_INTERVAL_MS: Ms = 50;
/// The shortest time, in milliseconds, if VMs have become idle or busy, or the need has changed.
const CHANGE_INTERVAL_MS: Ms = 250;
/// The shortest time, in milliseconds, if only the work on the pool's VMs has changed.
const WORK_INTERVAL_MS: Ms = 1_000;
/// A need that has grown by more than one part in this many, and by more than an average VM's CPU, is reported with
/// the shortest interval.
const JUMP_DIVISOR: u64 = 8;
/// The unit to which needs are rounded up, in thousandths of a core: smaller changes are not reported.
const NEED_UNIT: u64 = 1_000;

/// The last report and when it was sent.
#[derive(Debug, Default)]
pub(super) struct Reporter {
    last: PoolReport,
    at: Ms,
    /// The number of the last report, if reports are sent directly.
    number: u64,
    delivery: Arc<Delivery>,
}

impl Owner {
    /// Reports the pool's load, if it has changed.
    pub(super) fn report_load(&mut self) {
        let pipelined = self.node.settings.policy.moves.pipelined;
        let delivery = &self.reporter.delivery;
        if pipelined && delivery.is_store_due(self.reporter.number) {
            let newest = self.numbered(&self.reporter.last);
            delivery.store_sent(&self.node, &self.log.pool, newest);
        }
        let waited = steady_ms().saturating_sub(self.reporter.at);
        if waited < URGENT_INTERVAL_MS || delivery.is_in_flight() {
            return;
        }
        let demand = self.pool.demand(self.lead_time_ms(), now());
        let report = self.make_report(demand);
        if waited < report_interval(&self.reporter.last, &report) {
            return;
        }
        log::info!(
            "need pool={} vms={} staying={} waiting={} following={} arriving={} late={}",
            self.log.pool,
            report.vms,
            demand.staying,
            demand.waiting,
            demand.following,
            demand.arriving,
            demand.late,
        );
        self.reporter.at = steady_ms();
        let before = std::mem::replace(&mut self.reporter.last, report.clone());
        let (node, pool) = (&self.node, &self.log.pool);
        if !pipelined {
            self.reporter.delivery.send_to_store(node, pool, report);
            return;
        }
        self.reporter.number += 1;
        let also_store = self.withdraws(&before, &report);
        let report = self.numbered(&report);
        self.reporter.delivery.send(node, pool, report, also_store);
    }

    fn numbered(&self, report: &PoolReport) -> PoolReport {
        PoolReport { token: self.token, number: self.reporter.number, ..report.clone() }
    }

    /// Returns whether a VM that was reported as emptied may run tasks again in the same incarnation. A successor of the
    /// fleet's owner must not find the earlier report in the store for longer than an append takes.
    fn withdraws(&self, before: &PoolReport, next: &PoolReport) -> bool {
        let emptied: HashSet<&(String, String)> = next.emptied.iter().collect();
        let mut withdrawn = before.emptied.iter().filter(|vm| !emptied.contains(vm)).peekable();
        if withdrawn.peek().is_none() {
            return false;
        }
        let accepting = self.pool.vm_summaries().into_iter().filter(|vm| vm.accepts_work);
        let accepting: HashSet<Arc<str>> = accepting.map(|vm| vm.name).collect();
        withdrawn.any(|(name, _)| accepting.contains(name.as_str()))
    }

    /// Returns how far ahead the need is computed, in milliseconds.
    pub(super) fn lead_time_ms(&self) -> Ms {
        match self.node.settings.policy.need.lead_ms {
            0 => 0,
            usual => self.node.fleet.borrow().lead_ms().unwrap_or(usual),
        }
    }

    fn make_report(&self, demand: Demand) -> PoolReport {
        let load = self.pool.load(now());
        let text = |s: Arc<str>| s.as_ref().to_owned();
        let emptied = self.pool.emptied();
        PoolReport {
            waiting_cpu: load.waiting_cpu,
            used_cpu: load.used_cpu,
            soon_cpu: demand.in_time().next_multiple_of(NEED_UNIT),
            late_cpu: demand.late.next_multiple_of(NEED_UNIT),
            cpu: load.cpu,
            vms: load.vms,
            spread: load.spread,
            emptied: emptied.into_iter().map(|(name, id)| (text(name), id.to_string())).collect(),
            idle: self.pool.idle().into_iter().map(text).collect(),
            evacuated_idle: match self.node.settings.policy.moves.switch_off_evacuated {
                true => self.pool.idle_in_evacuated_halls().into_iter().map(text).collect(),
                false => Vec::new(),
            },
            light: self.pool.without_lasting_tasks(now()).into_iter().map(text).collect(),
            token: 0,
            number: 0,
        }
    }
}

/// Returns how long after the last report the next one is due, by how they differ.
fn report_interval(last: &PoolReport, next: &PoolReport) -> Ms {
    let jumped =
        next.soon_cpu > last.soon_cpu + (last.soon_cpu / JUMP_DIVISOR).max(average_vm_cpu(next));
    if jumped || next.emptied != last.emptied {
        URGENT_INTERVAL_MS
    } else if next.idle != last.idle
        || next.evacuated_idle != last.evacuated_idle
        || next.vms != last.vms
        || next.soon_cpu != last.soon_cpu
    {
        CHANGE_INTERVAL_MS
    } else if next == last {
        Ms::MAX
    } else {
        WORK_INTERVAL_MS
    }
}

/// Returns the average CPU capacity of the pool's VMs, in thousandths of a core.
fn average_vm_cpu(report: &PoolReport) -> u64 {
    report.cpu / u64::from(report.vms.max(1))
}
