//! Whether a job is accepted, by the load of its pool.
//!
//! Load pattern: a pool gets five times its mean load for some seconds while half of its VMs are gone, or while another pool
//! bursts too. Jobs are accepted that cannot end before they are worthless, and hold VMs and their callers. A refused caller can
//! come back when the backlog has drained or go elsewhere. A burst that can be served must lose nothing, so each estimate
//! errs towards accepting: it counts all VMs that the pool may still get, and of the open work only what can be of use and
//! goes first.

use super::outlook::Outlook;
use super::queue::Class;
use crate::Ms;
use crate::pool::LATE_FACTOR;
use crate::spec::JobSpec;

/// The time between two outlooks at a node, in milliseconds.
pub(super) const OUTLOOK_INTERVAL_MS: Ms = 450;
/// The number of seconds over which the returns of callers refused at the same time are spread.
pub const RETRY_SPREAD_S: u64 = 2;
/// The longest time after which a caller is told to come back, in seconds. A job's time counts from its first attempt, so
/// after a longer time it would be refused again.
const MAX_RETRY_S: u64 = 10;

/// A job that arrives at a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// The rank class.
    pub class: Class,
    /// When it is due, in milliseconds from now.
    pub due_in: Ms,
    /// Its last useful moment, in milliseconds from now.
    pub last_in: Ms,
    /// Its work, in thousandths of a core times milliseconds.
    pub work: u64,
}

impl Arrival {
    /// Creates the arrival of a job, or returns `None` for a job that load never refuses: one with lasting tasks or set times.
    /// `waited` is the time since the job's first attempt.
    pub fn new(spec: &JobSpec, outlook: &Outlook, waited: Ms) -> Option<Self> {
        if spec.is_lasting() || spec.repeats.is_some() {
            return None;
        }
        let slowed = |ms: u64| ms * u64::from(outlook.slowdown_percent.max(100)) / 100;
        let chain = slowed(spec.critical_paths().into_iter().max().unwrap_or(0));
        let objective = spec.objective.time_for(chain);
        let work = spec.steps.iter().map(|step| {
            u64::from(step.count) * u64::from(step.room().cpu) * u64::from(step.estimated_ms)
        });
        let priority = spec.objective.priority;
        let beyond_share = outlook.is_beyond_share(&spec.workspace);
        Some(Self {
            class: Class { priority, beyond_share },
            due_in: objective.saturating_sub(waited),
            last_in: (objective * LATE_FACTOR).saturating_sub(waited),
            work: slowed(work.sum()),
        })
    }
}

/// Whether a job is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job is accepted.
    Accept,
    /// The job cannot be of use.
    Refuse {
        /// When the work that goes before it is done, in milliseconds.
        begins_in: Ms,
        /// After how long a new job can be of use, in milliseconds.
        drains_in: Ms,
    },
}

/// The submissions to a pool at all nodes, and which part of them one submission stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Competition {
    /// The CPU that arriving jobs ask for, by their rate and work, in thousandths of a core.
    pub offered_cpu: u64,
    /// The position of the job among those that compete with it, in thousandths: the first ones are accepted.
    pub position: u64,
}

impl Outlook {
    /// Decides on an arriving job. `age` is the age of the outlook. Many nodes decide by one outlook, so of the jobs that arrive
    /// until the next one, only the part is accepted for which there is time.
    pub fn judge(&self, arrival: &Arrival, age: Ms, competition: &Competition) -> Verdict {
        let Some(class) = self.class(arrival.class) else { return Verdict::Accept };
        let time_for = |work: u64| work.checked_div(self.drain_cpu).unwrap_or(0);
        let competing = competition.offered_cpu.saturating_mul(OUTLOOK_INTERVAL_MS);
        let before = time_for(competing.saturating_mul(competition.position) / 1_000);
        // A job that can be in time goes before late ones; otherwise it is one of them.
        let limits = [(&class.in_time, arrival.due_in), (&class.of_use, arrival.last_in)];
        let mut refusal = Verdict::Accept;
        for (curve, ends_by) in limits {
            let done_in = curve.done_in(ends_by, age);
            let begins_in = done_in.saturating_sub(age);
            let ends_in = begins_in + time_for(arrival.work);
            if ends_in <= ends_by && done_in + before <= ends_by + OUTLOOK_INTERVAL_MS {
                return Verdict::Accept;
            }
            refusal = Verdict::Refuse { begins_in, drains_in: ends_in.saturating_sub(ends_by) };
        }
        refusal
    }
}

/// Returns the number of seconds after which a refused caller is told to come back: when the backlog has drained, spread by the
/// job's ID.
pub const fn retry_after_s(drains_in: Ms, job: u64) -> u64 {
    let drained = drains_in.div_ceil(1_000);
    let drained = if drained > MAX_RETRY_S { MAX_RETRY_S } else { drained };
    let earliest = if drained == 0 { 1 } else { drained };
    earliest + mix(job) % RETRY_SPREAD_S
}

/// Returns an evenly distributed number for a job ID, as the bits of IDs may follow a pattern.
pub(super) const fn mix(id: u64) -> u64 {
    id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32
}
