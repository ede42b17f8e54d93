//! Assignments of queues as the owner of a pool sees them: it hands queues over when the configuration routes them to other pools,
//! and decides on waiting jobs when an assignment has changed.

use std::collections::BTreeSet;
use std::sync::Arc;

use metrics::gauge;
use thistle_schedule::assignment::{Change, EarlierJobs, Undecided};
use thistle_schedule::{Catalog, JobId, Progress};

use super::handover::{read_earlier, write_changes};
use super::intake::passed_on_cancel;
use super::{Event, Owner};
use crate::clock::{now, steady_ms};
use crate::journal::Fenced;

impl Owner {
    /// Handles the end of an attempt to change assignments.
    pub(super) fn handle_changes_written(&mut self) {
        self.intake.is_writing = false;
        self.review_later();
    }

    /// Handles the jobs that are bound to the earlier pools of a queue, read after its assignment at `offset`.
    pub(super) fn handle_earlier_read(&mut self, queue: Arc<str>, offset: u64, jobs: EarlierJobs) {
        if self.intake.earlier.get(&queue).is_some_and(|(known, _)| *known == offset) {
            self.intake.earlier.insert(queue, (offset, Some(jobs)));
            self.review_now();
        }
    }

    /// Decides where jobs belong by the current assignments, and changes assignments as the configuration requires.
    pub(super) async fn review_queues(&mut self) -> Result<(), Fenced> {
        let is_due = self.intake.review_at.is_some_and(|at| at <= steady_ms());
        if self.note_changes() || is_due {
            self.intake.review_at = None;
            self.change_assignments().await?;
            let undecided: Vec<JobId> = self.intake.undecided.keys().copied().collect();
            for id in undecided {
                self.take_in(id);
            }
            gauge!("thistle_jobs_undecided", "pool" => self.log.pool.to_string())
                .set(self.intake.undecided.len() as f64);
        }
        self.bind_returned().await?;
        self.record_elsewhere().await
    }

    /// Takes note of the current assignments and configuration, and returns whether they have changed.
    pub(super) fn note_changes(&mut self) -> bool {
        let assignments = self.node.assignments.borrow().clone();
        let catalog = self.node.catalog.borrow().clone();
        let version = |catalog: &Option<Arc<Catalog>>| catalog.as_ref().map(|c| c.version);
        let has_new_catalog = version(&catalog) != version(&self.intake.catalog);
        if Arc::ptr_eq(&assignments, &self.intake.assignments) && !has_new_catalog {
            return false;
        }
        let before = std::mem::replace(&mut self.intake.assignments, assignments.clone());
        self.intake.catalog = catalog;
        let changed = |queue: &str| before.offset_of(queue) != assignments.offset_of(queue);
        self.intake.handing_over.retain(|queue, &mut at| assignments.offset_of(queue) == Some(at));
        for (queue, assignment) in assignments.iter().filter(|(queue, _)| changed(queue)) {
            self.intake.assigned_at.insert(queue.clone(), steady_ms());
            if assignment.pool == self.log.pool && !assignment.earlier.is_empty() {
                self.read_earlier(queue, assignment.earlier.iter().cloned().collect());
            }
        }
        if assignments.iter().any(|(queue, _)| changed(queue)) {
            let log = self.log.clone();
            let jobs = log.jobs();
            let open = jobs.iter().filter(|(id, e)| !e.is_bound() && !self.pool.contains(*id));
            for (id, _) in open.filter(|(_, e)| e.queues().into_iter().any(changed)) {
                self.intake.cancels_passed_on.remove(&id);
                self.intake.undecided.entry(id).or_insert(Undecided::NotAssigned);
            }
            self.intake.cancels_passed_on.retain(|id, _| jobs.get(*id).is_some());
        }
        true
    }

    fn read_earlier(&mut self, queue: &Arc<str>, pools: Vec<Arc<str>>) {
        let Some(offset) = self.intake.assignments.offset_of(queue) else { return };
        self.intake.earlier.insert(queue.clone(), (offset, None));
        let (node, tx, queue) = (self.node.clone(), self.tx.clone(), queue.clone());
        tokio::spawn(async move {
            let jobs = read_earlier(&node, &queue, pools, &tx).await;
            // The owner may have ended.
            let _ = tx.send(Event::EarlierRead(queue, offset, jobs));
        });
    }

    /// Writes changes of assignments that the configuration requires. Jobs of queues that are handed over are bound first.
    async fn change_assignments(&mut self) -> Result<(), Fenced> {
        let Some(catalog) = self.intake.catalog.clone().filter(|_| !self.intake.is_writing) else {
            return Ok(());
        };
        let unassigned = self.unassigned_queues();
        let is_handing_over = |queue: &str| self.intake.handing_over.contains_key(queue);
        let assignments = self.intake.assignments.clone();
        let changes = assignments.changes(&catalog, &self.log.pool, &unassigned, is_handing_over);
        if changes.is_empty() {
            return Ok(());
        }
        let handed_over: Vec<&Change> = changes.iter().filter(|c| c.is_handover).collect();
        for Change { queue, replaces, assignment, .. } in &handed_over {
            log::info!(
                "queue queue={queue} step=handing-over from={} to={} version={} token={}",
                self.log.pool,
                assignment.pool,
                assignment.version,
                self.token,
            );
            self.intake.handing_over.insert(queue.clone(), replaces.unwrap_or_default());
        }
        let (mut unbound, mut cancels) = (Vec::new(), Vec::new());
        for (id, entry) in self.log.jobs().iter() {
            let queues = entry.queues();
            for change in handed_over.iter().filter(|change| queues.contains(&*change.queue)) {
                if entry.spec.is_none() {
                    let callers = entry.cancelling_callers(&change.queue);
                    let records = callers.iter().flat_map(|caller| passed_on_cancel(id, caller));
                    cancels.extend(records.map(|record| (change.assignment.pool.clone(), record)));
                } else if !entry.is_bound() && self.pool.contains(id) {
                    unbound.push(id);
                }
            }
        }
        self.bind(unbound).await?;
        self.intake.is_writing = true;
        let (node, tx) = (self.node.clone(), self.tx.clone());
        let (pool, token) = (self.log.pool.clone(), self.token);
        tokio::spawn(async move {
            write_changes(&node, &pool, token, changes, cancels).await;
            // The owner may have ended.
            let _ = tx.send(Event::ChangesWritten);
        });
        Ok(())
    }

    /// Returns the queues of jobs that wait for a first assignment.
    fn unassigned_queues(&self) -> BTreeSet<Arc<str>> {
        let jobs = self.log.jobs();
        let ids = self.intake.undecided.keys().filter_map(|id| jobs.get(*id));
        ids.filter_map(|entry| entry.spec.as_ref().map(|spec| spec.queue.as_str().into())).collect()
    }

    /// Writes progress of jobs that have none, so that they belong to this pool whoever reads its records.
    async fn bind(&mut self, ids: Vec<JobId>) -> Result<(), Fenced> {
        if ids.is_empty() {
            return Ok(());
        }
        log::info!("jobs step=bound pool={} count={}", self.log.pool, ids.len());
        let records = ids.into_iter().map(|id| (id, Progress::default())).collect();
        self.write_progress(records).await.map(drop)
    }

    /// Binds jobs that were passed on and belong to this pool again, and adopts them.
    async fn bind_returned(&mut self) -> Result<(), Fenced> {
        let returned: Vec<JobId> = std::mem::take(&mut self.intake.returned).into_iter().collect();
        if returned.is_empty() {
            return Ok(());
        }
        self.bind(returned.clone()).await?;
        for id in returned {
            self.take_in(id);
        }
        Ok(())
    }

    /// Records which jobs belong to other pools.
    async fn record_elsewhere(&mut self) -> Result<(), Fenced> {
        let elsewhere = std::mem::take(&mut self.intake.elsewhere);
        if elsewhere.is_empty() {
            return Ok(());
        }
        let wall = now().wall;
        let record =
            |(id, phase)| (id, Progress { phase, settled_ms: wall, ..Progress::default() });
        self.write_progress(elsewhere.into_iter().map(record).collect()).await.map(drop)
    }
}
