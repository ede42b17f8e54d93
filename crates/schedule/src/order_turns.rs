//! Which order is sent to a VM next, while only a few may be in flight to it.
//!
//! Load pattern: a job of many small tasks has hundreds of starts for one VM, which answers tens a second. In order of arrival,
//! the first start of each later job with a task there would wait for seconds behind them, beside room on the VM. The jobs take
//! turns instead, so the first waiting order of a job waits for at most one order of each other job.

use std::collections::{HashMap, VecDeque};

use crate::JobId;

/// The most orders of one kind that are in flight to one VM.
pub const MAX_ORDERS_IN_FLIGHT: usize = 2;

/// The orders of one kind to a VM that wait for their turn.
#[derive(Clone, Debug)]
pub struct OrderTurns<T> {
    /// The number of turns that no order has.
    free: usize,
    /// The jobs with waiting orders, the one with the next turn first.
    jobs: VecDeque<JobId>,
    /// The waiting orders of these jobs, in order of arrival.
    waiting: HashMap<JobId, VecDeque<T>>,
}

impl<T> OrderTurns<T> {
    /// Creates turns for at most `turns` orders at once.
    pub fn new(turns: usize) -> Self {
        Self { free: turns, jobs: VecDeque::new(), waiting: HashMap::new() }
    }

    /// Adds an order of a job. Returns it if it has its turn now.
    pub fn add(&mut self, job: JobId, order: T) -> Option<T> {
        if self.free > 0 {
            self.free -= 1;
            return Some(order);
        }
        let orders = self.waiting.entry(job).or_default();
        if orders.is_empty() {
            self.jobs.push_back(job);
        }
        orders.push_back(order);
        None
    }

    /// Ends a turn. Returns the waiting order that has it now.
    pub fn end_turn(&mut self) -> Option<T> {
        let Some((job, order)) = self.take_next() else {
            self.free += 1;
            return None;
        };
        if self.waiting.get(&job).is_some_and(VecDeque::is_empty) {
            self.waiting.remove(&job);
        } else {
            self.jobs.push_back(job);
        }
        Some(order)
    }

    fn take_next(&mut self) -> Option<(JobId, T)> {
        let job = self.jobs.pop_front()?;
        let order = self.waiting.get_mut(&job)?.pop_front()?;
        Some((job, order))
    }
}
