//! The limits on what is placed: the bytes that the owner's link can carry, and the starts that its processor can take.

use std::collections::{BTreeSet, VecDeque};

use super::place::ReadyStep;
use super::rank::scale;
use super::{Pool, StartOrder};
use crate::link_budget::StartSize;
use crate::{JobId, Ms};

/// The time over which the work started over a full link is added up, in milliseconds.
const RATE_WINDOW_MS: Ms = 1_000;
/// How long the link must have been full for the rate to be known, in milliseconds.
const MIN_WINDOW_MS: Ms = 500;

/// The work that was started while tasks waited for the link.
#[derive(Clone, Debug, Default)]
pub(super) struct LinkBoundWork {
    /// Whether the last step left tasks waiting because of the start budget.
    is_bound: bool,
    /// The work placed in this step, in thousandths of a core times milliseconds.
    placed: u64,
    /// The work placed in each step since the link is full, oldest first.
    steps: VecDeque<(Ms, u64)>,
}

impl LinkBoundWork {
    fn finish_step(&mut self, now: Ms) {
        let placed = std::mem::take(&mut self.placed);
        if !self.is_bound {
            self.steps.clear();
            return;
        }
        self.steps.push_back((now, placed));
        while self.steps.front().is_some_and(|&(at, _)| now.saturating_sub(at) > RATE_WINDOW_MS) {
            self.steps.pop_front();
        }
    }

    /// Returns the CPU that the work started over the full link keeps busy, in thousandths of a core.
    fn cpu(&self) -> Option<u64> {
        let (&(first, _), &(last, _)) = (self.steps.front()?, self.steps.back()?);
        let elapsed = last.saturating_sub(first);
        // The first step only marks the beginning of the span.
        let work: u64 = self.steps.iter().skip(1).map(|&(_, work)| work).sum();
        (elapsed >= MIN_WINDOW_MS).then(|| work / elapsed)
    }
}

/// The bytes of starts that may still be placed in this step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartBudget {
    /// The bytes that the owner's link can take.
    pub bytes: u64,
    /// The bytes of starts that other nodes can send for the owner.
    pub relayed_bytes: u64,
}

impl Pool {
    /// Sets the bytes of starts that the next step may place; without a value there is no limit.
    pub const fn set_start_budget(&mut self, budget: Option<StartBudget>) {
        self.start_budget = budget;
    }

    /// Sets how many starts the next step may place because of the owner's processor; without a value there is no limit.
    pub const fn set_start_limit(&mut self, limit: Option<u64>) {
        self.start_limit = limit;
    }

    /// Sets the jobs whose starts the owner sends itself.
    pub fn set_jobs_without_relay(&mut self, jobs: BTreeSet<JobId>) {
        self.jobs_without_relay = jobs;
    }

    /// Returns whether the last step left tasks waiting because the owner's link could not take their starts.
    pub const fn is_bound_by_link(&self) -> bool {
        self.link_bound.is_bound
    }

    /// Returns whether the last step left tasks waiting because the owner is short of processor time.
    pub const fn is_bound_by_processor(&self) -> bool {
        self.is_bound_by_processor
    }

    /// Returns the CPU that can be kept busy with the starts that the links carry, in thousandths of a core, while tasks wait for
    /// the link.
    pub fn link_bound_cpu(&self) -> Option<u64> {
        self.link_bound.cpu()
    }

    pub(super) const fn begin_link_step(&mut self) {
        self.link_bound.is_bound = false;
        self.is_bound_by_processor = false;
    }

    pub(super) fn finish_link_step(&mut self, now: Ms) {
        self.link_bound.finish_step(now);
    }

    /// Returns whether the owner's link and processor can take a further start, and remembers what can't.
    pub(super) fn owner_has_room(&mut self) -> bool {
        let link_has_room = self.start_budget.is_none_or(|budget| budget.bytes > 0);
        self.link_bound.is_bound |= !link_has_room;
        let processor_has_room = self.start_limit != Some(0);
        self.is_bound_by_processor |= !processor_has_room;
        link_has_room && processor_has_room
    }

    /// Takes a start and its bytes from the limits.
    pub(super) fn spend_start_budget(&mut self, ready: ReadyStep, order: &StartOrder) {
        self.start_limit = self.start_limit.map(|limit| limit.saturating_sub(1));
        let Some(budget) = &mut self.start_budget else { return };
        let step = &order.spec.steps[ready.step];
        if !step.lasting {
            let factor = self.estimates.factor(&order.spec.queue);
            let ms = scale(step.estimated_ms.into(), factor);
            self.link_bound.placed += u64::from(step.room().cpu) * ms;
        }
        let size = order.size();
        let has_relay = !self.jobs_without_relay.contains(&order.run.task.job);
        let is_relayed = has_relay && size.relayed < size.direct && budget.relayed_bytes > 0;
        if is_relayed {
            budget.relayed_bytes = budget.relayed_bytes.saturating_sub(size.direct);
        }
        let bytes = if is_relayed { size.relayed } else { size.direct };
        budget.bytes = budget.bytes.saturating_sub(bytes);
    }
}

impl StartOrder {
    /// Returns the sizes of the order on the owner's link.
    pub fn size(&self) -> StartSize {
        StartSize::new(self.spec.text.len(), self.checkpoint.len())
    }
}
