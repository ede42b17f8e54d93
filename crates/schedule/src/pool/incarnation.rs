//! One incarnation of a VM within a pool's schedule: what is known of it, and what it runs or may run.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::run::Run;
use crate::Ms;
use crate::id::{JobId, RunId, TaskId, VmLife};
use crate::vm::{Room, VmFacts};

/// Failures of different jobs in a row after which a VM is set aside. One job that can never be
/// done fails anywhere; two may meet by chance at today's share of such jobs (3%).
const STRIKES: usize = 3;
/// How long a VM that fails its tasks gets no new ones, in milliseconds: about the length of the
/// trouble that the users' sites describe.
const ASIDE_MS: Ms = 5_000;
/// How long a VM that turned a start away gets no new ones, in milliseconds.
const ASIDE_BRIEFLY_MS: Ms = 500;
/// How often that time doubles at most while it turns one away after the other for want of room: each costs a call and
/// a record. At 8 s one that has room again is used soon, and what it says of its room counts at once.
const MOST_ASIDE_DOUBLINGS: u32 = 4;
/// One incarnation of a VM.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    pub id: VmLife,
    /// What the platform lists; none for a VM known from records only.
    pub facts: Option<Arc<VmFacts>>,
    /// The platform lists it now.
    pub listed: bool,
    /// It has answered under this owner's token, so that no older order can start anything there.
    pub held: bool,
    /// Its last call was answered.
    pub reachable: bool,
    /// Since when it has not answered.
    pub silent_since: Option<Ms>,
    /// When it first answered although the platform did not list it: a question from before that may have been answered
    /// before it was gone.
    pub answered_unlisted: Option<Ms>,
    /// It answered what it was asked when the platform did not list it any more: it is leaving without a word.
    pub left_the_list: bool,
    /// Its room has shrunk since starts were last looked at.
    pub shrunk: bool,
    pub cordoned: bool,
    /// Its data hall is evacuated.
    pub evacuated: bool,
    pub used: Room,
    pub runs: BTreeMap<TaskId, Run>,
    /// Runs that are not ours, with when they were last told to stop; nothing is started beside them, since their
    /// room is unknown.
    pub strays: HashMap<RunId, Ms>,
    /// The highest number of an end that was taken in.
    pub ends_taken: u64,
    strikes: Vec<JobId>,
    pub aside_until: Ms,
    /// Starts in a row that it turned away for want of room.
    pub without_room: u32,
}
impl Vm {
    pub fn new(id: VmLife) -> Self {
        Self {
            id,
            facts: None,
            listed: false,
            held: false,
            reachable: true,
            silent_since: None,
            answered_unlisted: None,
            left_the_list: false,
            shrunk: false,
            cordoned: false,
            evacuated: false,
            used: Room::default(),
            runs: BTreeMap::new(),
            strays: HashMap::new(),
            ends_taken: 0,
            strikes: Vec::new(),
            aside_until: 0,
            without_room: 0,
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

    /// Returns whether new tasks may be ordered to run there, room aside.
    pub fn takes_work(&self) -> bool {
        let fit = self.listed && self.held && self.reachable && self.strays.is_empty();
        let readable = self.facts.as_ref().is_some_and(|f| !f.unreadable);
        fit && readable && !self.cordoned && !self.evacuated && !self.draining()
    }

    pub fn free(&self) -> Room {
        self.room().minus(self.used)
    }

    /// Counts the lasting tasks that it runs.
    pub fn lasting_runs(&self) -> usize {
        self.runs.values().filter(|run| run.lasting).count()
    }

    /// Adds a run and returns the one in whose place it comes, if there was one.
    pub fn add_run(&mut self, task: TaskId, run: Run) -> Option<Run> {
        self.used = self.used.plus(run.demand);
        let old = self.runs.insert(task, run)?;
        self.used = self.used.minus(old.demand);
        Some(old)
    }

    /// Returns whether a run counts as being there.
    pub fn has_run(&self, run: RunId) -> bool {
        self.runs.get(&run.task).is_some_and(|r| r.attempt == run.attempt)
    }

    /// Removes a run and returns it, if it was there.
    pub fn remove_run(&mut self, run: RunId) -> Option<Run> {
        self.runs.get(&run.task).filter(|r| r.attempt == run.attempt)?;
        let old = self.runs.remove(&run.task)?;
        self.used = self.used.minus(old.demand);
        Some(old)
    }

    /// Marks runs that it has not answered as told to stop, until the others fit, and returns them.
    pub fn stop_what_does_not_fit(&mut self, now: Ms) -> Vec<(TaskId, u32)> {
        let (room, mut used) = (self.room(), self.used);
        let mut stopped = Vec::new();
        for (&task, run) in self.runs.iter_mut().rev() {
            if room.holds(used) {
                break;
            }
            if run.confirmed.is_none() && !run.stopping {
                (run.stopping, run.stop_ordered) = (true, now);
                used = used.minus(run.demand);
                stopped.push((task, run.attempt));
            }
        }
        stopped
    }

    /// Takes in that it answered a question.
    pub fn note_answer(&mut self, asked_at: Ms, listing_is_sound: bool, now: Ms) {
        self.reachable = true;
        self.silent_since = None;
        if self.listed || !listing_is_sound {
            return;
        }
        let first = *self.answered_unlisted.get_or_insert(now);
        self.left_the_list |= asked_at >= first;
    }

    pub fn note_success(&mut self) {
        self.strikes.clear();
    }

    /// Notes a failed run; returns whether the VM is set aside for it.
    pub fn note_failure(&mut self, job: JobId, now: Ms) -> bool {
        if !self.strikes.contains(&job) {
            self.strikes.push(job);
        }
        if self.strikes.len() < STRIKES {
            return false;
        }
        // One more failure after the pause sets it aside again.
        self.strikes.remove(0);
        self.aside_until = now + ASIDE_MS;
        true
    }

    pub fn set_aside_briefly(&mut self, now: Ms) {
        self.aside_until = self.aside_until.max(now + ASIDE_BRIEFLY_MS);
    }

    /// Sets it aside as it turned a start away for want of room, for longer each time in a row.
    pub fn set_aside_for_room(&mut self, now: Ms) {
        let pause = ASIDE_BRIEFLY_MS << self.without_room.min(MOST_ASIDE_DOUBLINGS);
        self.without_room += 1;
        self.aside_until = self.aside_until.max(now + pause);
    }
}
