//! Caps of workspaces in a pool's owner: applies the shares lent to the pool and reports what it uses.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use metrics::counter;
use thistle_platform::Guard;
use thistle_schedule::Ms;
use thistle_schedule::quota::Held;

use super::{Event, Owner};
use crate::caps::{USES, read_lent, use_record};
use crate::clock::steady_ms;
use crate::control::TOPIC;

/// The shortest time between two reports of cap use, in milliseconds: a share moves to another pool within about two
/// reports, and a pool's demand changes with each task.
const REPORT_EVERY_MS: Ms = 40;
/// Pause before a failed read of the records is retried.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The shortest time between two log lines about workspaces held back by their caps, in milliseconds.
const LOG_EVERY_MS: Ms = 1_000;

/// An owner's state of the caps of workspaces.
#[derive(Debug, Default)]
pub(super) struct Quota {
    /// Whether this owner has started to read the records.
    requested: bool,
    /// Whether the records were read; changes to them are applied from then on.
    read: bool,
    /// The number of reports made.
    report_count: u64,
    reported_at: Ms,
    logged_at: Ms,
    in_flight: Arc<AtomicBool>,
}

impl Owner {
    /// Applies the workspaces of the current configuration, and starts reading the records of their caps once there
    /// are any workspaces: one call to the store each time a pool changes its owner.
    pub(super) fn apply_workspaces(&mut self) {
        let Some(catalog) = self.node.catalog.borrow().clone() else { return };
        self.pool.set_workspaces(catalog.version, catalog.workspaces.all());
        if self.quota.requested || catalog.workspaces.all().is_empty() {
            return;
        }
        self.quota.requested = true;
        let (node, tx) = (self.node.clone(), self.tx.clone());
        tokio::spawn(async move {
            while let Err(e) = read_lent(&node).await {
                log::info!("caps step=not-read error=\"{e}\"");
                if tx.is_closed() {
                    return;
                }
                tokio::time::sleep(READ_RETRY_PAUSE).await;
            }
            // The owner may have ended, and then needs no event.
            let _ = tx.send(Event::LentRead);
        });
    }

    /// Handles the end of the first read of the records by this owner.
    pub(super) fn handle_lent_read(&mut self) {
        self.quota.read = true;
        self.apply_lent_shares();
    }

    /// Applies the lent shares of caps.
    pub(super) fn apply_lent_shares(&mut self) {
        if self.quota.read {
            let table = self.node.lent.borrow().clone();
            self.pool.set_lent_caps(table.as_of, table.lent.values());
        }
    }

    /// Reports the use of workspaces that need larger shares or whose shares have changed.
    pub(super) fn report_cap_use(&mut self) {
        let now = steady_ms();
        let reported_recently = now.saturating_sub(self.quota.reported_at) < REPORT_EVERY_MS;
        if !self.quota.read || reported_recently || self.quota.in_flight.load(Ordering::Relaxed) {
            return;
        }
        self.quota.reported_at = now;
        self.log_held_workspaces(now);
        let reports = self.pool.report_cap_use(self.token, &mut self.quota.report_count);
        if reports.is_empty() {
            return;
        }
        self.quota.in_flight.store(true, Ordering::Relaxed);
        let records: Vec<_> = reports.iter().map(use_record).collect();
        let (node, tx, in_flight) =
            (self.node.clone(), self.tx.clone(), self.quota.in_flight.clone());
        tokio::spawn(async move {
            let result = node.store.append(TOPIC, USES, Guard::Always, &records).await;
            node.store_health.record_call(result.is_ok());
            if let Err(e) = result {
                log::info!("caps step=use-not-written count={} error=\"{e}\"", records.len());
                let _ = tx.send(Event::CapUseNotWritten);
            }
            in_flight.store(false, Ordering::Relaxed);
        });
    }

    /// Logs which workspaces are held back by their caps, with the cap, the lent share and the use of each.
    fn log_held_workspaces(&mut self, now: Ms) {
        if now.saturating_sub(self.quota.logged_at) < LOG_EVERY_MS {
            return;
        }
        self.quota.logged_at = now;
        for Held { workspace, cap, share, used, number } in self.pool.held_by_caps() {
            log::info!(
                "caps step=held workspace={workspace} pool={} cap_cpu={} cap_mem_mb={} lent_cpu={} lent_mem_mb={} \
                 used_cpu={} used_mem_mb={} number={number}",
                self.log.pool,
                cap.cpu,
                cap.mem_mb,
                share.cpu,
                share.mem_mb,
                used.cpu,
                used.mem_mb,
            );
            let catalog = self.node.catalog.borrow();
            let name = catalog.as_ref().map_or("", |c| c.workspaces.metric_name(&workspace));
            let (pool, name) = (self.log.pool.to_string(), name.to_owned());
            counter!("thistle_held_by_caps", "pool" => pool, "workspace" => name).increment(1);
        }
    }
}
