//! Estimation of the rate at which work arrives. Waiting tasks show a rise only after a backlog has built up.
//!
//! Load pattern: the store becomes 34 to 60 times as slow at the onset of a burst. The owner then reads submissions seconds
//! late, and many at once. Few submissions read do not mean that few arrive, and many read at once are no burst.

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

/// The age of the owner's knowledge of submissions from which rates are held, in milliseconds. A read waits for submissions for
/// 250 ms, so the last complete one is half a second old at most while the store answers at once.
const HOLD_AFTER_MS: Ms = 800;
/// How long rates are held, in milliseconds.
const MAX_HOLD_MS: Ms = 6_000;
/// The longest time that an append of a submission waits in the store's queue, in milliseconds. A greater difference between the
/// time of the submission and that of the read is a difference of clocks.
const MAX_APPEND_MS: Ms = 2_000;
/// The span over which the longest delay of arrivals is taken, in milliseconds: more than the time between two slow reads.
const DELAY_SPAN_MS: Ms = 500;
/// The maximum age, in milliseconds, at which a job that a new owner reads counts as an arrival. Older jobs are read all at once.
const JUST_ACCEPTED_MS: Ms = 1_000;
/// The number of latest arrivals from which a falling rate is detected.
const LATEST_ARRIVALS: usize = 3;

/// The recent arrivals of each queue.
#[derive(Clone, Debug)]
pub(super) struct Arrivals {
    by_queue: HashMap<String, QueueArrivals>,
    /// The number of arrivals from which a rate is computed.
    counted: usize,
    /// The time up to which all submissions are known; `None` if rates are not held or it is not known yet.
    known_until: Option<Ms>,
    /// The latest arrival time.
    latest: Ms,
    delays: Delays,
}

/// The longest time by which arrivals were recently recorded after their time.
#[derive(Clone, Copy, Debug, Default)]
struct Delays {
    /// When the current span began.
    since: Ms,
    current: Ms,
    previous: Ms,
}

impl Delays {
    fn record(&mut self, delay: Ms, now: Ms) {
        if now.saturating_sub(self.since) >= DELAY_SPAN_MS {
            *self = Self { since: now, current: 0, previous: self.current };
        }
        self.current = self.current.max(delay);
    }

    fn longest(self) -> Ms {
        self.current.max(self.previous).min(MAX_APPEND_MS)
    }
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
        Self {
            by_queue: HashMap::new(),
            counted,
            known_until: None,
            latest: 0,
            delays: Delays::default(),
        }
    }

    /// Records that all submissions up to a time are known.
    pub fn set_known_until(&mut self, known_until: Ms) {
        self.known_until = self.known_until.max(Some(known_until));
    }

    /// Returns how long rates have been held because submissions are not read as they come, if they are held.
    pub fn held_for(&self, now: Ms) -> Option<Ms> {
        let age = now.saturating_sub(self.known_until?);
        (HOLD_AFTER_MS..HOLD_AFTER_MS + MAX_HOLD_MS).contains(&age).then(|| age - HOLD_AFTER_MS)
    }

    /// Returns the arrival time of a job that was accepted at `accepted` and is read now, or `None` if it does not count.
    fn arrival_time(&self, accepted: Ms, now: Ms) -> Option<Ms> {
        match self.known_until {
            None => (now.saturating_sub(accepted) < JUST_ACCEPTED_MS).then_some(now),
            // Jobs of the time for which rates are held are read late; older ones have waited for other reasons.
            Some(_) if now.saturating_sub(accepted) > MAX_HOLD_MS + MAX_APPEND_MS => None,
            Some(known_until) => {
                let oldest = known_until.saturating_sub(MAX_APPEND_MS).min(now);
                Some(accepted.clamp(oldest, now))
            }
        }
    }

    fn record(&mut self, queue: &str, work: f64, critical_path: f64, at: Ms, now: Ms) {
        self.latest = self.latest.max(at);
        self.delays.record(now.saturating_sub(at), now);
        if !self.by_queue.contains_key(queue) {
            let first = QueueArrivals { work, critical_path, ..QueueArrivals::default() };
            self.by_queue.insert(queue.to_owned(), first);
        }
        let Some(known) = self.by_queue.get_mut(queue) else { return };
        known.work += WEIGHT * (work - known.work);
        known.critical_path += WEIGHT * (critical_path - known.critical_path);
        let later = known.arrived_at.partition_point(|&other| other > at);
        known.arrived_at.insert(later, at);
        known.arrived_at.truncate(MAX_ARRIVALS);
    }

    /// Returns the CPU that jobs arriving within the next `lead` milliseconds will use at the end of that time, at the current
    /// arrival rate, in thousandths of a core.
    pub fn arriving(&self, lead: Ms, now: Ms) -> u64 {
        let current = self.current_time(now);
        let held = self.held_time(now);
        let arriving = |queue: &QueueArrivals| {
            let arriving_at = |at| queue.arriving(self.counted, lead, at);
            arriving_at(current).max(held.map_or(0, arriving_at))
        };
        self.by_queue.values().map(arriving).sum()
    }

    /// Returns the time at which current rates are computed. While arrivals are recorded late and many at once, it is that of the
    /// latest arrival until the next ones are due to be recorded.
    fn current_time(&self, now: Ms) -> Ms {
        let due = now.saturating_sub(self.delays.longest());
        self.known_until.map_or(now, |_| due.max(self.latest))
    }

    /// Returns the time at which held rates are computed, if they are held or fall again after they were held. From then on it
    /// passes as usual, so that rates fall as they do without arrivals.
    fn held_time(&self, now: Ms) -> Option<Ms> {
        let known_until = self.known_until?;
        let age = now.saturating_sub(known_until);
        let passed = age.saturating_sub(HOLD_AFTER_MS + MAX_HOLD_MS);
        (age >= HOLD_AFTER_MS).then_some(known_until + passed)
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
        let until_now = self.arrived_at.iter().filter(|&&at| at <= now);
        for (later, &at) in until_now.enumerate() {
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
    /// Records that all submissions up to a time are known, by which their arrival rates are held.
    pub fn set_submissions_known_until(&mut self, known_until: Ms) {
        if self.policy.need.holds_rate {
            self.arrivals.set_known_until(known_until);
        }
    }

    /// Prepares for the adoption of jobs by a new owner that knows all submissions up to a time. Those accepted within the longest
    /// hold before it count as arrivals at their own times: a new owner reads them together, and late if the store is slow.
    pub fn begin_arrivals(&mut self, known_until: Ms) {
        self.set_submissions_known_until(known_until.saturating_sub(MAX_HOLD_MS));
    }

    /// Returns how long arrival rates have been held, in milliseconds, if they are held.
    pub fn forecast_held_for(&self, now: Ms) -> Option<Ms> {
        self.arrivals.held_for(now)
    }

    /// Records the arrival of a job that was accepted at `accepted`, for the forecast of the pool's need.
    pub(super) fn record_arrival(&mut self, spec: &JobSpec, accepted: Ms, now: Ms) {
        // Lasting tasks arrive once and stay; repetitions are due at known times.
        if spec.is_lasting() || spec.repeats.is_some() {
            return;
        }
        let Some(at) = self.arrivals.arrival_time(accepted, now) else { return };
        let factor = self.estimates.factor(&spec.queue);
        let work: f64 = spec.steps.iter().map(work_of).sum();
        let critical_path = spec.critical_paths().into_iter().max().unwrap_or(0);
        let critical_path = super::rank::scale(critical_path, factor);
        let critical_path = f64::from(u32::try_from(critical_path).unwrap_or(u32::MAX));
        self.arrivals.record(&spec.queue, work * factor, critical_path, at, now);
    }
}

/// Returns a step's work as estimated by its caller, in thousandths of a core times milliseconds.
fn work_of(step: &Step) -> f64 {
    f64::from(step.count) * f64::from(step.room().cpu) * f64::from(step.estimated_ms)
}
