//! A fake worker with slots, a queue for them, a connection limit and faults.

use std::collections::VecDeque;

use thistle_model::vm::{DEFAULT_CONNECTIONS, DEFAULT_SLOTS};

use crate::event::Attempt;

/// The health of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    Healthy,
    /// Connections time out.
    SwitchedOff,
    /// Connections are refused.
    Stopped,
    /// Every request fails immediately.
    Failing,
    /// Requests run, but their responses are lost.
    LosingResponses,
}

/// What a worker does with an attempt that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It starts to run.
    Runs,
    /// It waits for a slot.
    Waits,
    /// The connection is refused.
    Refused,
    /// The connection attempt gets no answer.
    NoResponse,
    /// It fails immediately.
    Fails,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub health: Health,
    /// The incarnation; increased when the worker stops, so that its earlier runs are lost.
    pub incarnation: u64,
    running: usize,
    waiting: VecDeque<Attempt>,
    pub peak: usize,
    pub busy_us: u64,
}

impl Worker {
    pub fn new() -> Self {
        Self {
            health: Health::Healthy,
            incarnation: 0,
            running: 0,
            waiting: VecDeque::new(),
            peak: 0,
            busy_us: 0,
        }
    }

    /// Accepts or rejects an attempt.
    pub fn admit(&mut self, attempt: Attempt) -> Admission {
        match self.health {
            Health::SwitchedOff => return Admission::NoResponse,
            Health::Stopped => return Admission::Refused,
            Health::Failing => return Admission::Fails,
            Health::Healthy | Health::LosingResponses => {}
        }
        let in_flight = self.running + self.waiting.len();
        if in_flight >= usize::from(DEFAULT_CONNECTIONS) {
            return Admission::Refused;
        }
        self.peak = self.peak.max(in_flight + 1);
        if self.running >= usize::from(DEFAULT_SLOTS) {
            self.waiting.push_back(attempt);
            return Admission::Waits;
        }
        self.running += 1;
        Admission::Runs
    }

    /// Ends a run and returns the waiting attempt that runs next, if any.
    pub fn done(&mut self, busy_us: u64) -> Option<Attempt> {
        self.busy_us += busy_us;
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// Drops all running and waiting attempts; returns those that waited.
    pub fn drop_all(&mut self) -> Vec<Attempt> {
        self.incarnation += 1;
        self.running = 0;
        self.waiting.drain(..).collect()
    }
}
