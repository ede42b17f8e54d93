//! Admission control: a queue ordered by tier that refuses requests that cannot meet their
//! deadline.

use std::collections::BTreeMap;
use std::time::Duration;

use thistle_model::Tier;
use thistle_model::clock::Instant;

/// The newest service time has a weight of `1 / SMOOTHING` in the moving mean.
const SMOOTHING: f64 = 16.0;
/// The number of mean deviations added to the mean for a conservative service time.
const DEVIATION_FACTOR: f64 = 2.0;
/// The service time assumed before the first request completes.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);

/// When to refuse a request that would miss its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitPolicy {
    /// Only once the deadline has passed.
    Late,
    /// Immediately, if the expected wait plus the service time exceed the deadline.
    Deadline,
}

/// The identifier of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The result of adding a request to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushResult {
    /// The request was queued.
    Queued,
    /// The request was queued in place of the one with this ticket, which must be refused.
    Evicted(Ticket),
    /// The request was refused.
    Refused,
}

/// The queue is full of requests of the same or a higher tier.
struct QueueFull;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    deadline: Instant,
}

/// The queue of one pool at one entry, ordered by tier and arrival.
#[derive(Clone, Debug)]
pub struct Queue {
    policy: AdmitPolicy,
    waiting: BTreeMap<(Tier, Ticket), Waiting>,
    max: usize,
    mean_service_time: f64,
    mean_deviation: f64,
}

impl Queue {
    /// Creates an empty queue for at most `max` requests.
    pub fn new(policy: AdmitPolicy, max: usize) -> Self {
        Self {
            policy,
            waiting: BTreeMap::new(),
            max,
            mean_service_time: INITIAL_SERVICE_TIME.as_secs_f64(),
            mean_deviation: 0.0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the moving mean of the service times.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_service_time)
    }

    /// Records how long a VM took to answer a request.
    pub fn record_service_time(&mut self, took: Duration) {
        let deviation = took.as_secs_f64() - self.mean_service_time;
        self.mean_service_time += deviation / SMOOTHING;
        self.mean_deviation += (deviation.abs() - self.mean_deviation) / SMOOTHING;
    }

    /// Returns the expected wait of a new request of `tier` when `slots` slots serve the queue.
    pub fn expected_wait(&self, tier: Tier, slots: u32) -> Duration {
        let ahead = self.waiting.range(..=(tier, Ticket(u64::MAX))).count();
        Duration::from_secs_f64(
            self.mean_service_time * (ahead + 1) as f64 / f64::from(slots.max(1)),
        )
    }

    /// Queues a request, or refuses it immediately.
    pub fn push(
        &mut self,
        ticket: Ticket,
        tier: Tier,
        deadline: Instant,
        slots: u32,
        now: Instant,
    ) -> PushResult {
        if now >= deadline || !self.can_meet_deadline(tier, deadline, slots, now) {
            return PushResult::Refused;
        }
        let evicted = match self.make_room(tier) {
            Ok(evicted) => evicted,
            Err(QueueFull) => return PushResult::Refused,
        };
        self.waiting.insert((tier, ticket), Waiting { deadline });
        evicted.map_or(PushResult::Queued, PushResult::Evicted)
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, ticket: Ticket, tier: Tier) {
        self.waiting.remove(&(tier, ticket));
    }

    /// Removes and returns the next request that can still meet its deadline; requests before it
    /// that cannot are moved to `refused`.
    pub fn pop(&mut self, now: Instant, refused: &mut Vec<Ticket>) -> Option<Ticket> {
        while let Some(((_, ticket), w)) = self.waiting.pop_first() {
            if self.can_finish_in_time(w.deadline, now) {
                return Some(ticket);
            }
            refused.push(ticket);
        }
        None
    }

    /// Moves all requests that can no longer meet their deadline to `refused`.
    pub fn drop_late(&mut self, now: Instant, refused: &mut Vec<Ticket>) {
        let required = self.required_time();
        self.waiting.retain(|&(_, ticket), w| {
            let in_time = now + required < w.deadline;
            if !in_time {
                refused.push(ticket);
            }
            in_time
        });
    }

    /// Returns a service time that most requests stay below.
    ///
    /// Service times vary widely around their mean, and a run that ends after its deadline is
    /// wasted.
    fn conservative_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_service_time + DEVIATION_FACTOR * self.mean_deviation)
    }

    fn required_time(&self) -> Duration {
        match self.policy {
            AdmitPolicy::Late => Duration::ZERO,
            AdmitPolicy::Deadline => self.conservative_service_time(),
        }
    }

    fn can_finish_in_time(&self, deadline: Instant, now: Instant) -> bool {
        now + self.required_time() < deadline
    }

    fn can_meet_deadline(&self, tier: Tier, deadline: Instant, slots: u32, now: Instant) -> bool {
        match self.policy {
            AdmitPolicy::Late => true,
            AdmitPolicy::Deadline => {
                now + self.expected_wait(tier, slots) + self.conservative_service_time() < deadline
            }
        }
    }

    /// Makes room for one request; a full queue evicts its last request if that has a lower tier.
    fn make_room(&mut self, tier: Tier) -> Result<Option<Ticket>, QueueFull> {
        if self.waiting.len() < self.max {
            return Ok(None);
        }
        let last = self.waiting.last_key_value().map(|(&key, _)| key);
        let Some(key) = last.filter(|&(t, _)| t > tier) else {
            return Err(QueueFull);
        };
        self.waiting.remove(&key);
        Ok(Some(key.1))
    }
}
