//! The state of one VM incarnation within a pool's schedule, and the runs that it has or may have.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::run::Run;
use super::start_wait::AnswerTime;
use crate::Ms;
use crate::id::{JobId, RunId, TaskId, VmIncarnation};
use crate::vm::{Room, VmFacts};

/// The number of different jobs that fail in a row before a VM is excluded. One job that can never succeed fails on any VM, and
/// two such jobs may run on the same VM coincidentally, as 3% of jobs are of this kind.
const FAILED_JOBS_TO_EXCLUDE: usize = 3;
/// How long a VM that fails its tasks receives no new ones, in milliseconds. This is about as long as such faults
/// last on the sites.
const EXCLUSION_MS: Ms = 5_000;
/// How long a VM that rejected a start receives no new tasks, in milliseconds.
const BRIEF_EXCLUSION_MS: Ms = 500;
/// The maximum number of doublings of [`BRIEF_EXCLUSION_MS`] while a VM rejects starts for lack of room, each of which costs a
/// call and a record. The maximum of 8 s still lets a VM that has room again be used soon; a listed change of its room ends the
/// exclusion at once.
const MAX_EXCLUSION_DOUBLINGS: u32 = 4;

/// One incarnation of a VM.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    pub id: VmIncarnation,
    /// The platform's listing of the VM, or `None` if it is known from records only.
    pub facts: Option<Arc<VmFacts>>,
    /// Whether the platform lists the VM now.
    pub listed: bool,
    /// Whether the VM has answered under this owner's token, after which no older order can start a run there.
    pub token_confirmed: bool,
    /// Whether the last call to the VM was answered.
    pub reachable: bool,
    /// When the VM became unresponsive, if it is.
    pub unresponsive_since: Option<Ms>,
    /// When the VM was first seen to answer while the platform did not list it. An answer to a query sent before this time may
    /// come from before the VM left the listing.
    pub answered_unlisted: Option<Ms>,
    /// Whether the VM answered a query that was sent after it left the listing: it is leaving without an announcement.
    pub leaving_unannounced: bool,
    /// Whether the VM's room has shrunk since unanswered starts were last checked.
    pub shrunk: bool,
    pub cordoned: bool,
    /// Whether the VM gets a lease now; without one, no start can be sent to it.
    pub gets_lease: bool,
    /// Whether the VM's data hall is evacuated.
    pub evacuated: bool,
    pub used: Room,
    pub runs: BTreeMap<TaskId, Run>,
    /// Reported runs that are not in the schedule, with the time of the last stop order. The VM receives no new tasks meanwhile,
    /// because their demand is unknown.
    pub unknown_runs: HashMap<RunId, Ms>,
    /// The highest sequence number of an applied run end.
    pub last_end_sequence: u64,
    /// The different jobs whose runs failed here since the last run that completed its work.
    failed_jobs: Vec<JobId>,
    pub excluded_until: Ms,
    /// The number of consecutive starts rejected for lack of room.
    pub room_rejections: u32,
    /// The starts that the VM has not answered, as counted in the current step.
    pub unanswered_starts: usize,
    /// How long the VM usually takes to answer a start.
    pub answer_time: AnswerTime,
    /// By queue, whether its policy allows the VM to run the last step for which advice named the VM.
    pub allowed_by_queue: BTreeMap<String, bool>,
}

impl Vm {
    pub fn new(id: VmIncarnation) -> Self {
        Self {
            id,
            facts: None,
            listed: false,
            token_confirmed: false,
            reachable: true,
            unresponsive_since: None,
            answered_unlisted: None,
            leaving_unannounced: false,
            shrunk: false,
            cordoned: false,
            gets_lease: true,
            evacuated: false,
            used: Room::default(),
            runs: BTreeMap::new(),
            unknown_runs: HashMap::new(),
            last_end_sequence: 0,
            failed_jobs: Vec::new(),
            excluded_until: 0,
            room_rejections: 0,
            unanswered_starts: 0,
            answer_time: AnswerTime::default(),
            allowed_by_queue: BTreeMap::new(),
        }
    }

    pub fn room(&self) -> Room {
        self.facts.as_ref().map(|f| f.room).unwrap_or_default()
    }

    pub fn name(&self) -> Option<&Arc<str>> {
        self.facts.as_ref().map(|f| &f.name)
    }

    pub fn draining(&self) -> bool {
        self.facts.as_ref().is_some_and(|f| f.draining)
    }

    /// Returns whether new tasks may be placed on the VM, regardless of its free room.
    pub fn accepts_work(&self) -> bool {
        self.could_accept_work() && !self.evacuated
    }

    /// Returns whether new tasks may be placed on the VM unless its hall is evacuated.
    pub fn could_accept_work(&self) -> bool {
        let usable =
            self.listed && self.token_confirmed && self.reachable && self.unknown_runs.is_empty();
        let readable = self.facts.as_ref().is_some_and(|f| !f.unreadable);
        usable && readable && self.gets_lease && !self.cordoned && !self.draining()
    }

    pub fn free(&self) -> Room {
        self.room().minus(self.used)
    }

    /// Returns the number of lasting tasks on the VM.
    pub fn lasting_runs(&self) -> usize {
        self.runs.values().filter(|run| run.lasting).count()
    }

    /// Adds a run and returns the run of the same task that it replaces, if any.
    pub fn add_run(&mut self, task: TaskId, run: Run) -> Option<Run> {
        self.used = self.used.plus(run.reserved);
        let old = self.runs.insert(task, run)?;
        self.used = self.used.minus(old.reserved);
        Some(old)
    }

    /// Returns whether a run is assigned to the VM.
    pub fn has_run(&self, run: RunId) -> bool {
        self.runs.get(&run.task).is_some_and(|r| r.attempt == run.attempt)
    }

    /// Removes a run and returns it if it was assigned to the VM.
    pub fn remove_run(&mut self, run: RunId) -> Option<Run> {
        self.runs.get(&run.task).filter(|r| r.attempt == run.attempt)?;
        let old = self.runs.remove(&run.task)?;
        self.used = self.used.minus(old.reserved);
        Some(old)
    }

    /// Marks unconfirmed runs as stopping until the others fit, and returns the marked runs.
    pub fn stop_runs_beyond_room(&mut self, now: Ms) -> Vec<(TaskId, u32)> {
        let (room, mut used) = (self.room(), self.used);
        let mut stopped = Vec::new();
        for (&task, run) in self.runs.iter_mut().rev() {
            if room.fits(used) {
                break;
            }
            if run.confirmed.is_none() && !run.stopping {
                (run.stopping, run.stop_ordered) = (true, now);
                used = used.minus(run.reserved);
                stopped.push((task, run.attempt));
            }
        }
        stopped
    }

    /// Records an answer to a query sent at `requested_at`.
    pub fn record_answer(&mut self, requested_at: Ms, listing_is_complete: bool, now: Ms) {
        self.reachable = true;
        self.unresponsive_since = None;
        if self.listed || !listing_is_complete {
            return;
        }
        let first = *self.answered_unlisted.get_or_insert(now);
        self.leaving_unannounced |= requested_at >= first;
    }

    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
    }

    /// Records a failed run. Returns whether the VM is excluded because of it.
    pub fn record_failure(&mut self, job: JobId, now: Ms) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        if self.failed_jobs.len() < FAILED_JOBS_TO_EXCLUDE {
            return false;
        }
        // One more failure after the exclusion excludes the VM again.
        self.failed_jobs.remove(0);
        self.excluded_until = now + EXCLUSION_MS;
        true
    }

    pub fn exclude_briefly(&mut self, now: Ms) {
        self.excluded_until = self.excluded_until.max(now + BRIEF_EXCLUSION_MS);
    }

    /// Excludes the VM after it rejected a start for lack of room, for longer after each consecutive rejection.
    pub fn exclude_for_room(&mut self, now: Ms) {
        let pause = BRIEF_EXCLUSION_MS << self.room_rejections.min(MAX_EXCLUSION_DOUBLINGS);
        self.room_rejections += 1;
        self.excluded_until = self.excluded_until.max(now + pause);
    }
}
