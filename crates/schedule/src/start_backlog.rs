//! How many starts an owner orders ahead of sending them while it is short of processor time.
//!
//! Load pattern: an owner with an eighth of a core has thousands of tasks to start. Ordered all at once, the starts wait for the
//! processor for seconds, and half of them are dropped then: their VMs have been cordoned, or their leases have ended.
//! Meanwhile their room counts as used, so the pool keeps VMs that are idle. While an owner is late, it orders no more starts
//! than it sends until shortly after its next step.

use std::collections::{HashMap, VecDeque};

use crate::Ms;
use crate::id::VmIncarnation;

/// By how much two timers in a row must be late for the owner to count as late, in milliseconds. A share of a core is granted in
/// slices, so a single one may be late by up to a tenth of a second.
const LATE_MS: Ms = 100;
/// How long an owner counts as late after a late timer, in milliseconds.
const LATE_FOR_MS: Ms = 1_000;
/// The time over which sends are counted, in milliseconds.
const WINDOW_MS: Ms = 1_000;
/// The time after the next step until which the starts that were ordered are sent, in milliseconds.
const AHEAD_MS: Ms = 300;
/// The least number of starts that are ordered ahead, as the sends of an owner that has just become late are few.
const MIN_AHEAD: u64 = 16;
/// The most starts to one VM that count. Behind them, starts wait for that VM and not for the owner.
const MAX_COUNTED_BY_VM: u64 = 4;

/// The starts of an owner that were ordered and not sent yet.
#[derive(Clone, Debug, Default)]
pub struct StartBacklog {
    unsent: HashMap<VmIncarnation, u64>,
    /// When starts were sent, and how many, oldest first.
    sent: VecDeque<(Ms, u64)>,
    /// Whether the last timer was late.
    was_late: bool,
    late_until: Ms,
    /// When the limit was last computed, and what it was.
    limited_at: Option<Ms>,
    ahead: u64,
}

impl StartBacklog {
    /// Records by how much a timer of the owner was late.
    pub fn record_lag(&mut self, lag: Ms, now: Ms) {
        let is_late = lag >= LATE_MS;
        if is_late && self.was_late {
            self.late_until = now + LATE_FOR_MS;
        }
        self.was_late = is_late;
    }

    /// Records that a start to a VM was ordered.
    pub fn record_ordered(&mut self, vm: &VmIncarnation) {
        *self.unsent.entry(vm.clone()).or_default() += 1;
    }

    /// Records that a start to a VM was sent.
    pub fn record_sent(&mut self, vm: &VmIncarnation, now: Ms) {
        self.record_dropped(vm);
        match self.sent.back_mut() {
            Some((at, count)) if *at == now => *count += 1,
            Some(_) | None => self.sent.push_back((now, 1)),
        }
        let step = self.limited_at.map_or(0, |at| now.saturating_sub(at));
        self.forget_before(now.saturating_sub(WINDOW_MS + step));
    }

    /// Records that a start to a VM will not be sent.
    pub fn record_dropped(&mut self, vm: &VmIncarnation) {
        if let Some(unsent) = self.unsent.get_mut(vm) {
            *unsent -= 1;
            if *unsent == 0 {
                self.unsent.remove(vm);
            }
        }
    }

    /// Returns how many further starts the owner orders in the step that begins now, if they are limited.
    pub fn available(&mut self, now: Ms) -> Option<u64> {
        // A step that waits for the store is long, and the starts of the next one come after it.
        let step = self.limited_at.replace(now).map_or(0, |at| now.saturating_sub(at));
        if now >= self.late_until {
            self.ahead = 0;
            return None;
        }
        self.forget_before(now.saturating_sub(WINDOW_MS + step));
        let sent: u64 = self.sent.iter().map(|&(_, count)| count).sum();
        let by_rate = sent * (AHEAD_MS + step) / (WINDOW_MS + step);
        let unsent: u64 = self.unsent.values().map(|&count| count.min(MAX_COUNTED_BY_VM)).sum();
        // If all were sent, the owner could have sent more.
        let grown = if unsent == 0 { self.ahead * 2 } else { 0 };
        self.ahead = by_rate.max(grown).max(MIN_AHEAD);
        Some(self.ahead.saturating_sub(unsent))
    }

    fn forget_before(&mut self, at: Ms) {
        while self.sent.front().is_some_and(|&(sent_at, _)| sent_at < at) {
            self.sent.pop_front();
        }
    }
}
