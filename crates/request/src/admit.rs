//! Admission control: a queue ordered by tier that refuses requests that cannot meet their deadline.

use std::collections::BTreeMap;
use std::time::Duration;

use thistle_model::Tier;
use thistle_model::clock::Instant;

/// The newest service time has a weight of `1 / SMOOTHING` in the moving mean.
const SMOOTHING: f64 = 16.0;
/// The number of mean deviations added to the mean for a conservative service time.
const DEVIATIONS: f64 = 2.0;
/// The service time assumed before the first request completes.
const FIRST_GUESS: Duration = Duration::from_millis(20);

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
pub enum Push {
    /// The request was queued.
    Queued,
    /// The request was queued in place of the one with this ticket, which must be refused.
    Displaced(Ticket),
    /// The request was refused.
    Refused,
}

/// The queue is full of requests of the same or a higher tier.
struct Full;

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
    service: f64,
    deviation: f64,
}

impl Queue {
    /// Creates an empty queue for at most `max` requests.
    pub fn new(policy: AdmitPolicy, max: usize) -> Self {
        Self {
            policy,
            waiting: BTreeMap::new(),
            max,
            service: FIRST_GUESS.as_secs_f64(),
            deviation: 0.0,
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
        Duration::from_secs_f64(self.service)
    }

    /// Records how long a VM took to answer a request.
    pub fn on_service(&mut self, took: Duration) {
        let off = took.as_secs_f64() - self.service;
        self.service += off / SMOOTHING;
        self.deviation += (off.abs() - self.deviation) / SMOOTHING;
    }

    /// Returns the expected wait of a new request of `tier` when `slots` slots serve the queue.
    pub fn expected_wait(&self, tier: Tier, slots: u32) -> Duration {
        let ahead = self.waiting.range(..=(tier, Ticket(u64::MAX))).count();
        Duration::from_secs_f64(self.service * (ahead + 1) as f64 / f64::from(slots.max(1)))
    }

    /// Queues a request, or refuses it immediately.
    pub fn push(
        &mut self,
        ticket: Ticket,
        tier: Tier,
        deadline: Instant,
        slots: u32,
        now: Instant,
    ) -> Push {
        if now >= deadline || !self.meets(tier, deadline, slots, now) {
            return Push::Refused;
        }
        let displaced = match self.make_room(tier) {
            Ok(displaced) => displaced,
            Err(Full) => return Push::Refused,
        };
        self.waiting.insert((tier, ticket), Waiting { deadline });
        displaced.map_or(Push::Queued, Push::Displaced)
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, ticket: Ticket, tier: Tier) {
        self.waiting.remove(&(tier, ticket));
    }

    /// Removes and returns the next request that can still meet its deadline; requests before it
    /// that cannot are moved to `refused`.
    pub fn pop(&mut self, now: Instant, refused: &mut Vec<Ticket>) -> Option<Ticket> {
        while let Some(((_, ticket), w)) = self.waiting.pop_first() {
            if self.is_in_time(w.deadline, now) {
                return Some(ticket);
            }
            refused.push(ticket);
        }
        None
    }

    /// Moves all requests that can no longer meet their deadline to `refused`.
    pub fn drop_late(&mut self, now: Instant, refused: &mut Vec<Ticket>) {
        let required = self.needed();
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
    /// Service times vary widely around their mean, and a run that ends after its deadline is wasted.
    fn ample_time(&self) -> Duration {
        Duration::from_secs_f64(self.service + DEVIATIONS * self.deviation)
    }

    fn needed(&self) -> Duration {
        match self.policy {
            AdmitPolicy::Late => Duration::ZERO,
            AdmitPolicy::Deadline => self.ample_time(),
        }
    }

    fn is_in_time(&self, deadline: Instant, now: Instant) -> bool {
        now + self.needed() < deadline
    }

    fn meets(&self, tier: Tier, deadline: Instant, slots: u32, now: Instant) -> bool {
        match self.policy {
            AdmitPolicy::Late => true,
            AdmitPolicy::Deadline => {
                now + self.expected_wait(tier, slots) + self.ample_time() < deadline
            }
        }
    }

    /// Makes room for one request; a full queue evicts its last request if that has a lower tier.
    fn make_room(&mut self, tier: Tier) -> Result<Option<Ticket>, Full> {
        if self.waiting.len() < self.max {
            return Ok(None);
        }
        let last = self.waiting.last_key_value().map(|(&key, _)| key);
        let Some(key) = last.filter(|&(t, _)| t > tier) else {
            return Err(Full);
        };
        self.waiting.remove(&key);
        Ok(Some(key.1))
    }
}
