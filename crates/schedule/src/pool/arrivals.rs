//! How fast work comes: what waits tells it only after it has piled up.

use std::collections::{HashMap, VecDeque};

use super::{Ms, Pool};
use crate::policy::NeedPolicy;
use crate::spec::{JobSpec, Step};

/// The shortest time that a rate is taken over, in milliseconds: arrivals come in bunches when
/// records are read together.
const LEAST_SPAN_MS: Ms = 300;
/// Arrivals of a queue that are remembered: what comes within the shortest span at 400 a second.
const REMEMBERED: usize = 128;
/// Weight of a new job in the mean work of its queue's jobs: about the last thirty count.
const WEIGHT: f64 = 1.0 / 30.0;
/// By how many times the spread of a count the true rate is held to lie within what the count
/// says, so that nine changes of ten that are seen are none of chance.
const DOUBT: f64 = 1.3;
/// Added to a count for the most that may have been expected: none in a time says that fewer than
/// this were expected, at the same odds.
const NONE_SEEN: f64 = 1.5;

/// The newest arrivals, after which a time without others tells that fewer come.
const NEWEST: usize = 3;

/// What came to each queue of late.
#[derive(Clone, Debug)]
pub(super) struct Arrivals {
    by_queue: HashMap<String, QueueArrivals>,
    /// Arrivals that a rate is taken from.
    counted: usize,
}

impl Default for Arrivals {
    fn default() -> Self {
        Self::new(NeedPolicy::default().arrivals)
    }
}

#[derive(Clone, Debug, Default)]
struct QueueArrivals {
    /// The newest first.
    at: VecDeque<Ms>,
    /// Mean work of a job, in thousandths of a core times milliseconds.
    work: f64,
    /// Mean time of a job's longest chain of steps, in milliseconds.
    chain: f64,
}

impl Arrivals {
    /// Makes an empty account that takes rates from so many arrivals.
    pub fn new(counted: usize) -> Self {
        Self { by_queue: HashMap::new(), counted }
    }

    fn note(&mut self, queue: &str, work: f64, chain: f64, now: Ms) {
        if !self.by_queue.contains_key(queue) {
            let first = QueueArrivals { work, chain, ..QueueArrivals::default() };
            self.by_queue.insert(queue.to_owned(), first);
        }
        let Some(known) = self.by_queue.get_mut(queue) else { return };
        known.work += WEIGHT * (work - known.work);
        known.chain += WEIGHT * (chain - known.chain);
        known.at.push_front(now);
        known.at.truncate(REMEMBERED);
    }

    /// Returns the processor that jobs use in `lead` milliseconds which come until then, if they go
    /// on coming like this, in thousandths of a core.
    pub fn arriving(&self, lead: Ms, now: Ms) -> u64 {
        self.by_queue.values().map(|queue| queue.arriving(self.counted, lead, now)).sum()
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and times are far below 2^52, and work is not negative"
)]
impl QueueArrivals {
    /// Of the work that comes until then, what came longer ago than its chain takes has ended.
    fn arriving(&self, counted: usize, lead: Ms, now: Ms) -> u64 {
        let chain = self.chain.max(1.0);
        let share = (lead as f64 / chain).min(1.0);
        (self.rate(counted, now) * self.work * share) as u64
    }

    /// Returns the rate at which jobs come, in jobs a millisecond: by the last few arrivals, within
    /// what fewer and newer ones allow.
    fn rate(&self, counted: usize, now: Ms) -> f64 {
        if counted == 0 {
            return 0.0;
        }
        let (mut low, mut high) = (0.0_f64, f64::INFINITY);
        let mut rate = 0.0;
        for (before, &at) in self.at.iter().enumerate() {
            let passed = now.saturating_sub(at);
            // Older spans say nothing against a rise.
            if before <= NEWEST {
                high = high.min(most_expected(before) / passed.max(1) as f64);
            }
            let span = passed.max(LEAST_SPAN_MS) as f64;
            let came = before + 1;
            low = low.max(least_expected(came) / span);
            if came <= counted || passed <= LEAST_SPAN_MS {
                rate = before as f64 / span;
            }
            if came >= counted && passed >= LEAST_SPAN_MS {
                break;
            }
        }
        if self.at.len() < counted {
            rate = 0.0;
        }
        rate.max(low).min(high)
    }
}

/// Returns how many arrivals were expected at least where so many came.
fn least_expected(came: usize) -> f64 {
    let came = f64::from(u32::try_from(came).unwrap_or(u32::MAX));
    (came - DOUBT * came.sqrt() - 1.0).max(0.0)
}

/// Returns how many arrivals were expected at most where so many came.
fn most_expected(came: usize) -> f64 {
    let came = f64::from(u32::try_from(came).unwrap_or(u32::MAX));
    came + DOUBT * came.sqrt() + NONE_SEEN
}

impl Pool {
    /// Notes that a job has come, for the pool's need of VMs.
    pub(super) fn note_arrival(&mut self, spec: &JobSpec, now: Ms) {
        // Lasting tasks come once and stay; repetitions fall due at their own times.
        if spec.is_lasting() || spec.repeats.is_some() {
            return;
        }
        let factor = self.estimates.factor(&spec.queue);
        let work: f64 = spec.steps.iter().map(work_of).sum();
        let chain = spec.chains().into_iter().max().unwrap_or(0);
        let chain = super::rank::scale(chain, factor);
        let chain = f64::from(u32::try_from(chain).unwrap_or(u32::MAX));
        self.arrivals.note(&spec.queue, work * factor, chain, now);
    }
}

/// Returns a step's work, as its caller guesses, in thousandths of a core times milliseconds.
fn work_of(step: &Step) -> f64 {
    f64::from(step.count) * f64::from(step.room().cpu) * f64::from(step.estimated_ms)
}
