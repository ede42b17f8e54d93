//! The decisions of one node on the jobs of one pool, between two outlooks of the pool's owner.

use std::collections::VecDeque;

use super::load::{Arrival, Competition, OUTLOOK_INTERVAL_MS, Verdict, mix, retry_after_s};
use super::outlook::Outlook;
use super::starts::{StartCompetition, StartOutlook};
use crate::Ms;
use crate::id::JobId;
use crate::policy::AdmissionPolicy;
use crate::spec::JobSpec;

/// The age from which an outlook is ignored, in milliseconds. The age counts from the read before the one that received it. At
/// the next read it is two intervals, or four at a node that owns a pool, which reads half as often.
const MAX_AGE_MS: Ms = 4 * OUTLOOK_INTERVAL_MS;
/// The same for an outlook on starts. Its wait ends as it gets older, and a record takes longer over a full link.
const MAX_STARTS_AGE_MS: Ms = 2_000;
/// How long a node remembers a refused job, in milliseconds. Callers retry within 3 s of their first attempt.
const REMEMBER_MS: Ms = 4_000;
/// The number of latest submissions from which a node estimates the rate at which all nodes together receive them.
const COUNTED: usize = 4;
/// The maximum number of refused jobs that a node remembers for a pool.
const MAX_REMEMBERED: usize = 4_096;

/// The decision on a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The job is accepted.
    Accept,
    /// The job is refused.
    Refuse {
        /// When the job would begin, in milliseconds.
        begins_in: Ms,
        /// The age of the outlook, in milliseconds.
        age: Ms,
        /// After how many seconds the caller may come back.
        retry_after_s: u64,
        /// Whether the job's workspace exceeds its share.
        beyond_share: bool,
    },
}

/// One node's view of the load of a pool.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// The newest outlook and the time before which it was not made.
    newest: Option<(Outlook, Ms)>,
    /// The newest outlook on starts and the time before which it was not made.
    newest_starts: Option<(StartOutlook, Ms)>,
    /// The latest submissions to this node with an outlook on starts: when they arrived and their tasks, oldest first.
    submitted_starts: VecDeque<(Ms, u64)>,
    /// The latest submissions to this node: when they arrived and their work, oldest first.
    submitted: VecDeque<(Ms, u64)>,
    /// The jobs that this node refused lately, with the time of their first refusal, oldest first.
    refused: VecDeque<(JobId, Ms)>,
}

impl Gate {
    /// Sets an outlook that was made at `made_at` or later. An older one than the newest is ignored.
    pub fn update(&mut self, outlook: Outlook, made_at: Ms) {
        let number = |o: &Outlook| (o.token, o.number);
        if self.newest.as_ref().is_some_and(|(newest, _)| number(newest) >= number(&outlook)) {
            return;
        }
        self.newest = Some((outlook, made_at));
    }

    /// The same for an outlook on starts.
    pub fn update_starts(&mut self, outlook: StartOutlook, made_at: Ms) {
        let number = |o: &StartOutlook| (o.token, o.number);
        if self.newest_starts.is_some_and(|(newest, _)| number(&newest) >= number(&outlook)) {
            return;
        }
        self.newest_starts = Some((outlook, made_at));
    }

    /// Sets the token of the pool's current owner. What its predecessors could start says nothing about it.
    pub fn set_owner(&mut self, token: u64) {
        self.newest_starts = self.newest_starts.filter(|(outlook, _)| outlook.token >= token);
    }

    /// Decides on a submission. `nodes` is the number of live nodes, which are assumed to receive as many submissions each. A
    /// job that returns after a refusal here goes before those that compete with it.
    pub fn decide(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        nodes: usize,
        policy: &AdmissionPolicy,
        now: Ms,
    ) -> Decision {
        self.forget_refused(now);
        let nodes = u64::try_from(nodes).unwrap_or(u64::MAX);
        let by_starts = self.decide_by_starts(id, spec, nodes, policy, now);
        if by_starts != Decision::Accept {
            return by_starts;
        }
        let Some((outlook, made_at)) = &self.newest else { return Decision::Accept };
        let age = now.saturating_sub(*made_at);
        let applies = policy.by_load || outlook.is_link_bound;
        if !applies || age >= MAX_AGE_MS {
            return Decision::Accept;
        }
        let refused_at = self.refused.iter().find(|(refused, _)| *refused == id).map(|r| r.1);
        let waited = refused_at.map_or(0, |at| now.saturating_sub(at));
        let Some(arrival) = Arrival::new(spec, outlook, waited) else { return Decision::Accept };
        let position = if refused_at.is_some() { 0 } else { mix(id.0 ^ outlook.number) % 1_000 };
        let offered_cpu = offered(&mut self.submitted, arrival.work, now).saturating_mul(nodes);
        match outlook.judge(&arrival, age, &Competition { offered_cpu, position }) {
            Verdict::Accept => Decision::Accept,
            Verdict::Refuse { begins_in, drains_in } => {
                self.remember_refused(id, now);
                let retry_after_s = retry_after_s(drains_in, id.0);
                let beyond_share = arrival.class.beyond_share;
                Decision::Refuse { begins_in, age, retry_after_s, beyond_share }
            }
        }
    }

    /// Decides by how long the first start of the job would wait beside room.
    fn decide_by_starts(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        nodes: u64,
        policy: &AdmissionPolicy,
        now: Ms,
    ) -> Decision {
        let Some((outlook, made_at)) = self.newest_starts else { return Decision::Accept };
        let age = now.saturating_sub(made_at);
        let never = spec.is_lasting() || spec.repeats.is_some();
        if never || policy.start_within_ms == 0 || age >= MAX_STARTS_AGE_MS {
            return Decision::Accept;
        }
        let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.count)).sum();
        let offered = offered(&mut self.submitted_starts, tasks * 1_000, now);
        let is_back = self.refused.iter().any(|(refused, _)| *refused == id);
        let position = if is_back { 0 } else { mix(id.0 ^ outlook.number) % 1_000 };
        let competition = StartCompetition { offered: offered.saturating_mul(nodes), position };
        match outlook.judge(age, &competition, policy.start_within_ms) {
            Verdict::Accept => Decision::Accept,
            Verdict::Refuse { begins_in, drains_in } => {
                self.remember_refused(id, now);
                let retry_after_s = retry_after_s(drains_in, id.0);
                Decision::Refuse { begins_in, age, retry_after_s, beyond_share: false }
            }
        }
    }

    fn remember_refused(&mut self, id: JobId, now: Ms) {
        let is_known = self.refused.iter().any(|(refused, _)| *refused == id);
        if !is_known && self.refused.len() < MAX_REMEMBERED {
            self.refused.push_back((id, now));
        }
    }

    fn forget_refused(&mut self, now: Ms) {
        while self.refused.front().is_some_and(|&(_, at)| now >= at + REMEMBER_MS) {
            self.refused.pop_front();
        }
    }
}

/// Records a submission, and returns what the latest ones at this node ask for, per millisecond.
fn offered(submitted: &mut VecDeque<(Ms, u64)>, work: u64, now: Ms) -> u64 {
    submitted.push_back((now, work));
    if submitted.len() > COUNTED {
        submitted.pop_front();
    }
    let since = submitted.front().map_or(now, |&(at, _)| at);
    // The first one only marks the beginning of the span.
    let work: u64 = submitted.iter().skip(1).map(|&(_, work)| work).sum();
    work / now.saturating_sub(since).max(1)
}
