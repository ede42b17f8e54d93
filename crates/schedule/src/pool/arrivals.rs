//! Estimation of the rate at which work arrives. Waiting tasks show a rise only after a backlog has built up.

use std::collections::{HashMap, VecDeque};

use super::{Ms, Pool};
use crate::policy::NeedPolicy;
use crate::spec::{JobSpec, Step};

/// The shortest span for which a rate is computed, in milliseconds. Jobs arrive in bunches when records are read together.
const MIN_SPAN_MS: Ms = 300;
/// The number of arrivals kept per queue: those of the shortest span at 400 a second.
const MAX_ARRIVALS: usize = 128;
/// The weight of a new job in the moving means of its queue, which cover about the last thirty jobs.
const WEIGHT: f64 = 1.0 / 30.0;
/// The half-width of the confidence interval around a count, in standard deviations. At this width, nine of ten detected changes
/// are not due to chance.
const CONFIDENCE_WIDTH: f64 = 1.3;
/// Added to the upper confidence bound of a count. With the same confidence, a count of zero means that fewer than this many
/// arrivals were expected.
const ZERO_COUNT_BOUND: f64 = 1.5;

/// The number of latest arrivals from which a falling rate is detected.
const LATEST_ARRIVALS: usize = 3;

/// The recent arrivals of each queue.
#[derive(Clone, Debug)]
pub(super) struct Arrivals {
    by_queue: HashMap<String, QueueArrivals>,
    /// The number of arrivals from which a rate is computed.
    counted: usize,
}

impl Default for Arrivals {
    fn default() -> Self {
        Self::new(NeedPolicy::default().arrivals)
    }
}

#[derive(Clone, Debug, Default)]
struct QueueArrivals {
    /// The arrival times, latest first.
    arrived_at: VecDeque<Ms>,
    /// The mean work of a job, in thousandths of a core times milliseconds.
    work: f64,
    /// The mean length of a job's critical path, in milliseconds.
    critical_path: f64,
}

impl Arrivals {
    /// Creates an empty record that computes rates from `counted` arrivals.
    pub fn new(counted: usize) -> Self {
        Self { by_queue: HashMap::new(), counted }
    }

    fn record(&mut self, queue: &str, work: f64, critical_path: f64, now: Ms) {
        if !self.by_queue.contains_key(queue) {
            let first = QueueArrivals { work, critical_path, ..QueueArrivals::default() };
            self.by_queue.insert(queue.to_owned(), first);
        }
        let Some(known) = self.by_queue.get_mut(queue) else { return };
        known.work += WEIGHT * (work - known.work);
        known.critical_path += WEIGHT * (critical_path - known.critical_path);
        known.arrived_at.push_front(now);
        known.arrived_at.truncate(MAX_ARRIVALS);
    }

    /// Returns the CPU that jobs arriving within the next `lead` milliseconds will use at the end of that time, at the current
    /// arrival rate, in thousandths of a core.
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
    /// Returns the CPU that the queue's arriving jobs will use; see [`Arrivals::arriving`]. Jobs that will have arrived longer
    /// ago than the length of their critical path count as ended.
    fn arriving(&self, counted: usize, lead: Ms, now: Ms) -> u64 {
        let critical_path = self.critical_path.max(1.0);
        let share = (lead as f64 / critical_path).min(1.0);
        (self.rate(counted, now) * self.work * share) as u64
    }

    /// Returns the arrival rate in jobs per millisecond. It is computed from the last `counted` arrivals and limited to the
    /// confidence bounds that fewer, more recent arrivals give.
    fn rate(&self, counted: usize, now: Ms) -> f64 {
        if counted == 0 {
            return 0.0;
        }
        let (mut low, mut high) = (0.0_f64, f64::INFINITY);
        let mut rate = 0.0;
        for (later, &at) in self.arrived_at.iter().enumerate() {
            let passed = now.saturating_sub(at);
            // Older spans do not rule out a recent rise.
            if later <= LATEST_ARRIVALS {
                high = high.min(max_expected(later) / passed.max(1) as f64);
            }
            let span = passed.max(MIN_SPAN_MS) as f64;
            let arrived = later + 1;
            low = low.max(min_expected(arrived) / span);
            if arrived <= counted || passed <= MIN_SPAN_MS {
                rate = later as f64 / span;
            }
            if arrived >= counted && passed >= MIN_SPAN_MS {
                break;
            }
        }
        if self.arrived_at.len() < counted {
            rate = 0.0;
        }
        rate.max(low).min(high)
    }
}

/// Returns the lower confidence bound of the expected number of arrivals, given the observed number.
fn min_expected(arrived: usize) -> f64 {
    let arrived = f64::from(u32::try_from(arrived).unwrap_or(u32::MAX));
    (arrived - CONFIDENCE_WIDTH * arrived.sqrt() - 1.0).max(0.0)
}

/// Returns the upper confidence bound of the expected number of arrivals, given the observed number.
fn max_expected(arrived: usize) -> f64 {
    let arrived = f64::from(u32::try_from(arrived).unwrap_or(u32::MAX));
    arrived + CONFIDENCE_WIDTH * arrived.sqrt() + ZERO_COUNT_BOUND
}

impl Pool {
    /// Records the arrival of a job, for the forecast of the pool's need.
    pub(super) fn record_arrival(&mut self, spec: &JobSpec, now: Ms) {
        // Lasting tasks arrive once and stay; repetitions are due at known times.
        if spec.is_lasting() || spec.repeats.is_some() {
            return;
        }
        let factor = self.estimates.factor(&spec.queue);
        let work: f64 = spec.steps.iter().map(work_of).sum();
        let critical_path = spec.critical_paths().into_iter().max().unwrap_or(0);
        let critical_path = super::rank::scale(critical_path, factor);
        let critical_path = f64::from(u32::try_from(critical_path).unwrap_or(u32::MAX));
        self.arrivals.record(&spec.queue, work * factor, critical_path, now);
    }
}

/// Returns a step's work as estimated by its caller, in thousandths of a core times milliseconds.
fn work_of(step: &Step) -> f64 {
    f64::from(step.count) * f64::from(step.room().cpu) * f64::from(step.estimated_ms)
}
