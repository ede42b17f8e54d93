//! How much work comes: what waits tells it only after it has piled up.

use std::collections::{HashMap, VecDeque};

use super::{Ms, Pool};
use crate::policy::NeedPolicy;
use crate::spec::{JobSpec, Step};

/// The shortest time that a rate is taken over, in milliseconds: arrivals come in bunches when
/// records are read together.
const LEAST_SPAN_MS: Ms = 300;
/// Weight of a new job in the mean work of its queue's jobs: about the last thirty count.
const WEIGHT: f64 = 1.0 / 30.0;

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
    at: VecDeque<Ms>,
    /// Mean work of a job, in thousandths of a core times milliseconds.
    work: f64,
}

impl Arrivals {
    /// Makes an empty account that takes rates from so many arrivals.
    pub fn new(counted: usize) -> Self {
        Self { by_queue: HashMap::new(), counted }
    }

    fn note(&mut self, queue: &str, work: f64, now: Ms) {
        if !self.by_queue.contains_key(queue) {
            let first = QueueArrivals { work, ..QueueArrivals::default() };
            self.by_queue.insert(queue.to_owned(), first);
        }
        let Some(known) = self.by_queue.get_mut(queue) else { return };
        known.work += WEIGHT * (work - known.work);
        known.at.push_back(now);
        if known.at.len() > self.counted {
            known.at.pop_front();
        }
    }

    /// Returns the processor that work would keep busy if it went on coming like this, in
    /// thousandths of a core.
    pub fn coming_cpu(&self, now: Ms) -> u64 {
        self.by_queue.values().map(|queue| queue.coming_cpu(self.counted, now)).sum()
    }
}

impl QueueArrivals {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "counts and times are far below 2^52, and work is not negative"
    )]
    fn coming_cpu(&self, counted: usize, now: Ms) -> u64 {
        let whole = counted > 0 && self.at.len() == counted;
        let Some(&first) = self.at.front().filter(|_| whole) else { return 0 };
        let span = now.saturating_sub(first).max(LEAST_SPAN_MS);
        ((counted - 1) as f64 * self.work / span as f64) as u64
    }
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
        self.arrivals.note(&spec.queue, work * factor, now);
    }
}

/// Returns a step's work, as its caller guesses, in thousandths of a core times milliseconds.
fn work_of(step: &Step) -> f64 {
    f64::from(step.count) * f64::from(step.room().cpu) * f64::from(step.estimated_ms)
}
