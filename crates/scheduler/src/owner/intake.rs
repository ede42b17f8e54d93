//! Intake of submissions and cancellations: the owner adopts the jobs that belong to its pool, and passes everything else on to
//! the pool to which the queue is assigned or the job is bound.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use metrics::counter;
use thistle_platform::KeyedRecord;
use thistle_schedule::assignment::{EarlierJobs, Home, HomeFacts, Undecided};
use thistle_schedule::job_log::{
    JobEntry, encode_cancel, encode_origin, encode_spec, origin_key, submit_key,
};
use thistle_schedule::{Assignments, Caller, Catalog, JobId, JobSpec, Ms, Phase};

use super::handover::pass_on;
use super::origins::Notices;
use super::{Event, Owner};
use crate::cancel_records::cancel_records;
use crate::clock::{now, steady_ms};

/// Pause before a failed attempt to pass something on or to change an assignment is repeated, in milliseconds.
const RETRY_MS: Ms = 100;

/// The longest time until all nodes in touch with the store have read a new assignment, in milliseconds.
const ASSIGNMENT_DELAY_MS: Ms = 500;

/// The jobs whose pool is not decided, what is being passed on, and the queues that are being handed over.
#[derive(Default)]
pub(super) struct Intake {
    /// The assignments by which jobs are decided.
    pub assignments: Arc<Assignments>,
    /// When the current assignment of each queue was noted, by the steady clock.
    pub assigned_at: HashMap<Arc<str>, Ms>,
    /// The configuration by which jobs are decided.
    pub catalog: Option<Arc<Catalog>>,
    /// The jobs that wait, and why.
    pub undecided: BTreeMap<JobId, Undecided>,
    /// The jobs of which a record is being passed on.
    pub passing_on: HashSet<JobId>,
    /// The callers whose cancellations of each job were passed on, and when the last ones were, by the steady clock.
    pub cancels_passed_on: HashMap<JobId, (BTreeSet<Caller>, Ms)>,
    /// Jobs that belong to other pools, with the phase to be recorded.
    pub elsewhere: BTreeMap<JobId, Phase>,
    /// Jobs that were passed on and belong to this pool again, to be bound.
    pub returned: BTreeSet<JobId>,
    /// The notices that jobs which other pools have passed on are bound.
    pub notices: Notices,
    /// The queues that this owner hands over, each with the offset of the assignment to its pool.
    pub handing_over: BTreeMap<Arc<str>, u64>,
    /// The jobs bound to earlier pools, with the offset of the assignment after which they were read.
    pub earlier: HashMap<Arc<str>, (u64, Option<EarlierJobs>)>,
    /// Whether changes of assignments are being written.
    pub is_writing: bool,
    /// When undecided jobs are reviewed although nothing has changed, by the steady clock.
    pub review_at: Option<Ms>,
}

impl Intake {
    /// Returns the jobs that are bound to the earlier pools of a queue, if they were read after its current assignment.
    fn earlier_of(&self, queue: &str) -> Option<&EarlierJobs> {
        let (offset, jobs) = self.earlier.get(queue)?;
        jobs.as_ref().filter(|_| self.assignments.offset_of(queue) == Some(*offset))
    }
}

impl Owner {
    /// Handles a submission that was read.
    pub(super) fn take_in(&mut self, id: JobId) {
        let log = self.log.clone();
        let jobs = log.jobs();
        if let Some(entry) = jobs.get(id) {
            self.take_in_entry(id, entry);
        }
    }

    /// Handles a cancellation that was read.
    pub(super) fn take_in_cancel(&mut self, id: JobId) {
        log::info!("cancel step=handled id={id} pool={}", self.log.pool);
        let (is_cancelled, is_bound) = {
            let jobs = self.log.jobs();
            let entry = jobs.get(id);
            // The submission may have been read since, and other workspaces cannot cancel the job.
            let is_cancelled = entry.is_none_or(|e| e.cancelled || e.spec.is_none());
            (is_cancelled, entry.is_none_or(JobEntry::is_bound))
        };
        if is_cancelled {
            self.pool.cancel(id, now());
        }
        if !is_bound {
            self.take_in(id);
        }
    }

    /// Adopts a job, or passes on what was read of it.
    pub(super) fn take_in_entry(&mut self, id: JobId, entry: &JobEntry) {
        if entry.is_bound() || self.pool.contains(id) {
            self.pool.adopt(id, entry, now());
            return;
        }
        let queues = entry.queues();
        if queues.is_empty() || self.intake.passing_on.contains(&id) {
            return;
        }
        if entry.is_bound_elsewhere && self.phase_of(id, entry) != Phase::Copy {
            self.record_copy(id, None);
        }
        let before = self.intake.undecided.remove(&id);
        for queue in queues {
            self.take_in_as(id, entry, queue, before);
        }
    }

    /// Adopts a job, or passes on what was read of it, as one of a queue. `before` is why it was undecided.
    fn take_in_as(&mut self, id: JobId, entry: &JobEntry, queue: &str, before: Option<Undecided>) {
        let facts = HomeFacts {
            pool: &self.log.pool,
            catalog: self.intake.catalog.as_deref(),
            is_handing_over: self.intake.handing_over.contains_key(queue),
            earlier: self.intake.earlier_of(queue),
        };
        match self.intake.assignments.home_of(id, queue, &facts) {
            Home::Here => match self.phase_of(id, entry) {
                Phase::Copy => (),
                Phase::Moved(_) if entry.is_elsewhere() => {
                    self.intake.elsewhere.remove(&id);
                    self.intake.returned.insert(id);
                }
                _ => {
                    self.intake.elsewhere.remove(&id);
                    self.pool.adopt(id, entry, now());
                }
            },
            Home::AssignedTo(pool) => {
                let Some(offset) = self.intake.assignments.offset_of(queue) else { return };
                let (known, phase) = (self.phase_of(id, entry), Phase::Moved(offset));
                let is_passed_on = known == phase || known == Phase::Copy || entry.spec.is_none();
                if !is_passed_on && !entry.cancelled && !self.knows_cancels_of(queue) {
                    self.set_undecided(id, entry, Undecided::CancelsNotRead, before);
                    self.review_later();
                    return;
                }
                self.pass_on(id, entry, queue, &pool, phase);
            }
            Home::BoundTo(pool) => self.pass_on(id, entry, queue, &pool, Phase::Copy),
            Home::Undecided(reason) => self.set_undecided(id, entry, reason, before),
        }
    }

    /// Returns whether this owner has read the cancellations that were written to its pool alone, by nodes that did not know the
    /// assignment of the queue to another pool. They have to be passed on before the submissions of their jobs.
    fn knows_cancels_of(&self, queue: &str) -> bool {
        let noted_at = self.intake.assigned_at.get(queue);
        noted_at.is_some_and(|at| self.log.has_known_cancels_since(at + ASSIGNMENT_DELAY_MS))
    }

    fn set_undecided(
        &mut self,
        id: JobId,
        entry: &JobEntry,
        reason: Undecided,
        before: Option<Undecided>,
    ) {
        if entry.spec.is_some() && before != Some(reason) {
            log::info!("job id={id} step=undecided pool={} reason={reason:?}", self.log.pool);
        }
        self.intake.undecided.insert(id, reason);
    }

    /// Returns the phase of a job that is recorded or about to be.
    fn phase_of(&self, id: JobId, entry: &JobEntry) -> Phase {
        self.intake.elsewhere.get(&id).copied().unwrap_or(entry.progress.phase)
    }

    /// Records a job as a copy of one that is bound to another pool, for good.
    fn record_copy(&mut self, id: JobId, bound_to: Option<&str>) {
        log::info!("job id={id} step=copy pool={} bound_to={bound_to:?}", self.log.pool);
        counter!("thistle_job_copies").increment(1);
        self.intake.returned.remove(&id);
        self.intake.elsewhere.insert(id, Phase::Copy);
    }

    /// Passes a job's cancellations on to another pool, and its submission too if that pool decides on the job. `phase` is the
    /// job's phase in this pool from then on.
    fn pass_on(&mut self, id: JobId, entry: &JobEntry, queue: &str, pool: &Arc<str>, phase: Phase) {
        if self.intake.passing_on.contains(&id) {
            // The rest follows once this was passed on.
            return;
        }
        // What was passed on by an earlier assignment may have come back, or have been passed on in a circle.
        let known = self.phase_of(id, entry);
        let is_known = known == phase || known == Phase::Copy;
        let mut callers = entry.cancelling_callers(queue);
        if let Some((passed_on, _)) = self.intake.cancels_passed_on.get(&id) {
            callers.retain(|caller| !passed_on.contains(caller));
        }
        let new_phase = entry.spec.as_ref().filter(|_| !is_known).map(|_| phase);
        let spec = entry.spec.as_ref().filter(|_| !is_known && phase != Phase::Copy);
        if spec.is_none() && callers.is_empty() {
            if new_phase.is_some() {
                self.record_copy(id, Some(pool));
            }
            return;
        }
        log::info!(
            "job id={id} step=passed-on from={} to={pool} submission={} cancels={}",
            self.log.pool,
            spec.is_some(),
            callers.len(),
        );
        let submission =
            spec.map_or(Vec::new(), |spec| self.submission_records(id, entry, spec, pool));
        let cancels = callers.iter().flat_map(|caller| passed_on_cancel(id, caller)).collect();
        self.intake.passing_on.insert(id);
        let (node, tx, pool) = (self.node.clone(), self.tx.clone(), pool.clone());
        tokio::spawn(async move {
            let done = pass_on(&node, &pool, cancels, submission).await;
            // The owner may have ended, and its successor passes everything on again.
            let _ = tx.send(Event::PassedOn(id, new_phase, done.then_some(callers)));
        });
    }

    /// Returns the records by which `pool` gets a submission: the submission and its origins.
    fn submission_records(
        &self,
        id: JobId,
        entry: &JobEntry,
        spec: &JobSpec,
        pool: &str,
    ) -> Vec<KeyedRecord> {
        let origins = entry.origins.iter().chain([&self.log.pool]);
        let origins: BTreeSet<&Arc<str>> = origins.filter(|origin| ***origin != *pool).collect();
        let record =
            |origin: &Arc<str>| KeyedRecord::new(origin_key(id, origin), encode_origin(origin));
        let submission = KeyedRecord::new(submit_key(id), encode_spec(spec));
        std::iter::once(submission).chain(origins.into_iter().map(record)).collect()
    }

    /// Handles the end of an attempt to pass on a job's records. `phase` is the job's phase in this pool from now on, and `callers`
    /// those whose cancellations were among them, if all records were written.
    pub(super) fn handle_passed_on(
        &mut self,
        id: JobId,
        phase: Option<Phase>,
        callers: Option<BTreeSet<Caller>>,
    ) {
        self.intake.passing_on.remove(&id);
        let Some(callers) = callers else {
            self.intake.undecided.insert(id, Undecided::NotPassedOn);
            self.review_later();
            return;
        };
        counter!("thistle_jobs_passed_on").increment(1);
        if !callers.is_empty() {
            let (known, at) = self.intake.cancels_passed_on.entry(id).or_default();
            known.extend(callers);
            *at = steady_ms();
        }
        if let Some(phase) = phase {
            self.intake.elsewhere.insert(id, phase);
        }
        // It may have been cancelled, or its queue assigned to this pool, in the meantime.
        self.take_in(id);
    }

    /// Reviews the undecided jobs at the next step, although nothing has changed.
    pub(super) fn review_now(&mut self) {
        self.intake.review_at = Some(0);
    }

    /// Reviews the undecided jobs after a pause.
    pub(super) fn review_later(&mut self) {
        self.intake.review_at.get_or_insert(steady_ms() + RETRY_MS);
    }
}

/// Returns the records by which another pool gets a cancellation.
pub(super) fn passed_on_cancel(id: JobId, caller: &Caller) -> [KeyedRecord; 2] {
    cancel_records(id, caller, encode_cancel(caller))
}
