//! Records in the pool's journal within what time the leases of unresponsive VMs expire, for the next owner.

use std::collections::BTreeMap;
use std::sync::Arc;

use thistle_platform::KeyedRecord;
use thistle_schedule::lease_bounds::{KEY, LeaseBound};
use thistle_schedule::{EarlierCalls, Ms, TaskLease, VmIncarnation};
use tokio::task::JoinError;

use super::Owner;
use super::link::Link;
use crate::clock::{now, steady_ms};
use crate::control::announce_overflow;
use crate::journal::{Fenced, Journal};
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::{OVERFLOW_PROGRESS, PROGRESS, PoolLog};

/// Returns the bounds that this node's claim of a pool lets its owner rely on.
pub(super) fn reliable_lease_bounds(
    node: &Node,
    log: &PoolLog,
) -> BTreeMap<VmIncarnation, LeaseBound> {
    let kept_since = lock(&node.ownership).lease_bounds_since(&log.pool);
    let bounds = log.lease_bounds().reliable(kept_since);
    for (vm, bound) in &bounds {
        let remaining_ms = bound.expires_at.saturating_sub(steady_ms());
        log::info!(
            "vm step=lease-bound vm={vm} pool={} since={}.{} remaining_ms={remaining_ms}",
            log.pool,
            bound.since.token,
            bound.since.number,
        );
    }
    bounds
}

/// The outcome of an attempt to write the record.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseBoundsWrite {
    is_written: bool,
    /// Whether the overflow partitions were opened for the record, if that was attempted.
    overflow_opened: Option<bool>,
}

/// An append of the record. It runs beside the steps of the owner, which go on while the store does not answer.
struct LeaseBoundsAppend {
    node: Arc<Node>,
    log: Arc<PoolLog>,
    token: u64,
    journal: Arc<tokio::sync::Mutex<Journal>>,
    record: KeyedRecord,
    may_open_overflow: bool,
}

impl LeaseBoundsAppend {
    /// Tries once to append the record.
    async fn run(self) -> Result<LeaseBoundsWrite, Fenced> {
        let Self { node, log, token, journal, record, may_open_overflow } = self;
        let mut locked = journal.lock().await;
        if let Some(position) = locked.try_append(&node, std::slice::from_ref(&record)).await? {
            if position.part != PROGRESS {
                let (pool, part) = (&log.pool, position.part);
                log::info!("progress step=spare pool={pool} part={part} key={KEY}");
            }
            // Applied before any lease is granted again: a release of the pool repeats what this node has applied.
            log.apply_own_lease_bounds(&record, position).await;
            return Ok(LeaseBoundsWrite { is_written: true, overflow_opened: None });
        }
        if !may_open_overflow || locked.has_any_partition(&OVERFLOW_PROGRESS) {
            return Ok(LeaseBoundsWrite { is_written: false, overflow_opened: None });
        }
        drop(locked);
        let opened = announce_overflow(&node, &log.pool, token, true).await;
        if opened {
            journal.lock().await.add_partitions(&OVERFLOW_PROGRESS);
        }
        Ok(LeaseBoundsWrite { is_written: false, overflow_opened: Some(opened) })
    }
}

impl Owner {
    /// Begins to write the record if it is due. It is tried once, and again when it is next due.
    pub(super) fn record_lease_bounds(&mut self) {
        let now = steady_ms();
        if self.links.values().any(Link::is_bound_outdated) {
            self.lease_recorder.hasten();
        }
        if self.lease_recorder.is_first_pending() && self.listed_vms_were_called() {
            self.lease_recorder.end_first_pause(now);
        }
        // The overflow partitions are not read any more once they are closed.
        let is_misplaced = OVERFLOW_PROGRESS.contains(&self.log.lease_bounds_part())
            && self.first_partition_is_due();
        let may_be_needed = is_misplaced
            || !self.orphans.is_empty()
            || self.pool.unreachable_with_runs().next().is_some();
        if !self.lease_recorder.is_due(may_be_needed, now) {
            return;
        }
        let bounds = self.bound_leases();
        if !self.lease_recorder.is_due(is_misplaced || !bounds.is_empty(), now) {
            return;
        }
        let record = KeyedRecord::new(KEY.to_owned(), self.lease_recorder.begin(bounds, now));
        let append = LeaseBoundsAppend {
            node: self.node.clone(),
            log: self.log.clone(),
            token: self.token,
            journal: self.journal.clone(),
            record,
            may_open_overflow: self.writer.overflow_is_due(),
        };
        self.lease_writes.spawn(append.run());
    }

    /// Takes in the outcome of an attempt to write the record. An attempt that panicked leaves the journal in an unknown state,
    /// so it ends the owner.
    pub(super) fn finish_lease_record(
        &mut self,
        write: Result<Result<LeaseBoundsWrite, Fenced>, JoinError>,
    ) -> Result<(), Fenced> {
        let write = write.unwrap_or_else(|e| {
            log::error!("vm step=lease-bounds-failed pool={} error=\"{e}\"", self.log.pool);
            Err(Fenced)
        })?;
        if let Some(opened) = write.overflow_opened {
            self.writer.record_overflow_tried();
            if opened {
                self.writer.record_overflow_opened();
            }
        }
        for vm in self.lease_recorder.finish(write.is_written, steady_ms()) {
            if let Some(link) = self.link(&vm) {
                link.lift_lease_bound();
                log::info!("vm step=lease-bound-lifted vm={vm}");
            }
        }
        Ok(())
    }

    /// Returns whether each listed VM that has runs has answered a call of this owner or failed to answer one.
    fn listed_vms_were_called(&self) -> bool {
        let mut listed = self.lease_recorder.listed().filter(|(vm, _)| self.pool.has_runs(vm));
        listed.all(|(vm, _)| self.link(vm).is_some_and(Link::was_called))
    }

    /// Bounds the leases of the VMs that have runs and do not answer, and returns the times by which they expire.
    fn bound_leases(&self) -> Vec<(VmIncarnation, Ms)> {
        let listed = self.lease_recorder.listed().filter(|(vm, _)| self.pool.has_runs(vm));
        let orphans = self.orphans.iter().map(|(vm, orphan)| (vm, orphan.expires_at));
        let unreachable = self.pool.unreachable_with_runs().filter(|vm| self.link(vm).is_some());
        let others = orphans.chain(unreachable.map(|vm| (vm, Ms::MAX)));
        let others = others.filter(|(vm, _)| self.lease_recorder.bound_of(vm).is_none());
        let vms = listed.chain(others).map(|(vm, expires_at)| (vm.clone(), expires_at));
        self.lease_recorder.choose(vms, |vm, expires_at| {
            // A VM without a link gets no lease.
            self.link(vm).map_or(Some(expires_at), Link::bound_lease)
        })
    }

    /// Returns the lease of a VM as this owner knows it before it has called the VM.
    pub(super) fn lease_of(&self, vm: &VmIncarnation, earlier: EarlierCalls) -> TaskLease {
        let (node, now) = (&self.node, steady_ms());
        let lease = TaskLease::new(node.task_lease(), now);
        let lease = lease.with_earlier_calls(earlier, node.max_task_lease(), now);
        // A record in the store may list the VM.
        match self.lease_recorder.bound_of(vm) {
            Some(expires_at) => lease.with_bound(expires_at),
            None => lease,
        }
    }
}

/// Returns what an owner knows of calls to earlier incarnations that it has not made. Without a start time, the VM may have restarted
/// just now.
pub(super) fn earlier_calls(vm: &VmIncarnation) -> EarlierCalls {
    let age = vm.started_at().map_or(0, |started_at| now().wall.saturating_sub(started_at));
    EarlierCalls::MadeBefore(age)
}
