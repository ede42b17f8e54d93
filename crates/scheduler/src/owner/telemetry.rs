//! Metrics and log lines of an owner: its load, abandoned tasks and ends of runs.

use metrics::{counter, gauge};
use thistle_schedule::pool::{AbandonedTask, EvacuationLoad, Load, ReportChanges};
use thistle_schedule::{CrashHistory, EndKind, VmIncarnation, VmReport};

use super::Owner;
use crate::clock::{now, steady_ms};

impl Owner {
    /// Logs the tasks that were abandoned because VMs crashed under them.
    pub(super) fn log_abandoned_tasks(&mut self) {
        for AbandonedTask { task, crash_history } in self.pool.take_abandoned() {
            let CrashHistory { crashes, at_start, alone, .. } = crash_history;
            log::warn!(
                "job step=given-up task={task} crashes={crashes} at_start={at_start} alone={alone}"
            );
            counter!("thistle_given_up", "pool" => self.log.pool.to_string()).increment(1);
        }
    }

    /// Tells the pool up to when submissions are known, and logs when its forecast begins and ends to be held.
    pub(super) fn update_forecast(&mut self) {
        let known_until = self.log.submissions_known_until();
        self.pool.set_submissions_known_until(known_until);
        let now = steady_ms();
        let held = self.pool.forecast_held_for(now).is_some();
        if std::mem::replace(&mut self.forecast_held, held) == held {
            return;
        }
        let step = if held { "held" } else { "released" };
        let age_ms = now.saturating_sub(known_until);
        log::info!("forecast step={step} pool={} age_ms={age_ms}", self.log.pool);
        let pool = self.log.pool.to_string();
        gauge!("thistle_forecast_held", "pool" => pool).set(f64::from(u8::from(held)));
    }

    /// Tells the pool whether all cancellations that have to be in force are known, and logs when that changes.
    pub(super) fn update_cancels_known(&mut self) {
        let known = self.log.knows_cancels(&self.node);
        self.pool.set_cancels_known(known);
        if std::mem::replace(&mut self.cancels_known, known) == known {
            return;
        }
        let step = if known { "starting-again" } else { "starting-nothing" };
        let (pool, ages) = (&self.log.pool, self.log.read_ages());
        log::info!("cancel step={step} pool={pool} read_ages_ms={ages:?}");
        gauge!("thistle_cancels_known", "pool" => pool.to_string()).set(f64::from(u8::from(known)));
    }

    pub(super) fn update_load_metrics(&self) {
        let Load { waiting, placed, jobs, unanswered_jobs, vms, used_cpu, cpu, .. } =
            self.pool.load(now());
        let pool = self.log.pool.to_string();
        gauge!("thistle_pool_tasks_waiting", "pool" => pool.clone()).set(f64::from(waiting));
        gauge!("thistle_pool_tasks_placed", "pool" => pool.clone()).set(f64::from(placed));
        gauge!("thistle_pool_jobs", "pool" => pool.clone()).set(f64::from(jobs));
        gauge!("thistle_pool_jobs_unanswered", "pool" => pool.clone())
            .set(f64::from(unanswered_jobs));
        gauge!("thistle_pool_vms", "pool" => pool.clone()).set(f64::from(vms));
        let used = used_cpu as f64 / (cpu as f64).max(1.0);
        gauge!("thistle_pool_cpu_used", "pool" => pool).set(used);
        self.update_evacuation_metrics();
    }

    fn update_evacuation_metrics(&self) {
        let EvacuationLoad { vms, busy, cold, held } = self.pool.evacuation_load();
        let pool = self.log.pool.to_string();
        for (state, count) in [("listed", vms), ("busy", busy), ("cold", cold)] {
            gauge!("thistle_evacuated_vms", "pool" => pool.clone(), "state" => state)
                .set(f64::from(count));
        }
        gauge!("thistle_starts_held_by_evacuation", "pool" => pool).set(f64::from(held));
    }
}

/// Logs the ends of runs that a VM reports.
pub(super) fn log_ends(vm: &VmIncarnation, report: &VmReport) {
    for end in &report.ended {
        log::info!("end run={} vm={vm} how={:?} number={}", end.run, end.kind, end.sequence);
        counter!("thistle_ends", "how" => format!("{:?}", end.kind)).increment(1);
    }
}

/// Logs runs that a VM turns out not to have, and ends of runs that were abandoned before, whose work may be done twice.
pub(super) fn log_report_changes(vm: &VmIncarnation, changes: &ReportChanges) {
    for run in &changes.not_listed {
        log::info!("run step=not-listed run={run} vm={vm}");
    }
    for end in &changes.of_abandoned {
        let (run, how, number) = (end.run, end.kind, end.sequence);
        if how == EndKind::Done {
            log::warn!("run step=done-after-given-up run={run} vm={vm} number={number}");
            counter!("thistle_done_after_given_up").increment(1);
        } else {
            log::info!(
                "run step=ended-after-given-up run={run} vm={vm} how={how:?} number={number}"
            );
        }
    }
}
