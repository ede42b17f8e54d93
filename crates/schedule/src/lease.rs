//! The lease under which a VM runs tasks, and when it has certainly expired by the clock of the pool's owner.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::Ms;

/// How much a VM's clock may run slow, in percent, as the platform guarantees.
const SLOW_PERCENT: u64 = 2;
/// The margin added to every bound for rounding and for timers that fire late, in milliseconds.
const MARGIN_MS: Ms = 150;
/// How far two readings may seem apart because both clocks are rounded, in milliseconds.
const CLOCK_ROUNDING_MS: Ms = 5;
/// How long after its call timed out a start may still arrive at the VM, in milliseconds.
const LATE_START_MS: Ms = 500;

/// The longest time after which a VM executes a call that it left unanswered, in milliseconds.
const LATE_CALL_MS: Ms = 12_000;
/// How far the clocks of a VM and its owner may show different times of day, in milliseconds.
const CLOCK_ERROR_MS: Ms = 5_000;

/// What an owner knows of the calls that were made for earlier incarnations with the VM's ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierCalls {
    /// This owner has learnt just now that the VM has restarted. Its calls to the earlier incarnation may still arrive.
    Ending,
    /// Any such calls were made when the incarnation started, so long ago by the time of day, or earlier.
    MadeBefore(Ms),
}

/// The lease under which all tasks on one VM incarnation run.
///
/// Calls name a VM by its ID, so this incarnation also executes calls that were made for an earlier one, until it has answered a
/// call under the higher token of its own link. Their deadlines are times on the earlier incarnation's clock. Such a deadline may be
/// far ahead here, and the platform then shortens it to its longest lease, which may be longer than those that owners grant.
///
/// Load pattern: VMs restart under their IDs within a second, run long tasks and are cut off a few seconds later.
///
/// Its end is a time on the VM's clock, of which one reading is known. The corresponding bound on the owner's clock is never
/// too early: the reading may be older than the answer that contained it, and the VM's clock may be slow.
#[derive(Clone, Copy, Debug)]
pub struct TaskLease {
    length: Ms,
    /// The last reading of the VM's clock, and when its answer arrived.
    clock: Option<(u64, Ms)>,
    /// The time on the owner's clock by which the lease has certainly expired.
    expires_at: Ms,
    /// What calls made for earlier incarnations may have extended the lease by, until the incarnation answers.
    earlier_calls: Option<EarlierCallsBound>,
    /// Whether the VM has not answered the last call, so that it gets no new lease. Calls may arrive though their answers
    /// are lost, and with ever new leases its tasks could never be declared lost.
    unresponsive: bool,
    /// Whether a record that bounds the lease may be in the store, so that the VM gets no new lease.
    bounded: bool,
    /// The starts that were sent and whose outcome is not known yet.
    starts_in_flight: u32,
}

impl TaskLease {
    /// Creates the lease of a VM to which the pool's previous owner may just have granted one of full length.
    pub fn new(length: Ms, now: Ms) -> Self {
        let expires_at = now + max_elapsed(length) + MARGIN_MS;
        Self {
            length,
            clock: None,
            expires_at,
            earlier_calls: None,
            unresponsive: false,
            bounded: false,
            starts_in_flight: 0,
        }
    }

    /// Takes into account that calls made for earlier incarnations may extend the lease up to `max_length`, the longest lease of the
    /// platform.
    #[must_use]
    pub fn with_earlier_calls(self, calls: EarlierCalls, max_length: Ms, now: Ms) -> Self {
        let granted_until = self.expires_at;
        let longest = max_elapsed(max_length) + MARGIN_MS;
        let (over_at, expires_at) = match calls {
            EarlierCalls::Ending => {
                let over_at = now + LATE_CALL_MS + longest;
                (over_at, over_at)
            }
            EarlierCalls::MadeBefore(age) => {
                let over_at = now + (LATE_CALL_MS + CLOCK_ERROR_MS + longest).saturating_sub(age);
                // Tasks run here only on the orders of an owner whose link was answered, so that earlier calls have arrived.
                (over_at, over_at.min(now + longest))
            }
        };
        let earlier_calls = Some(EarlierCallsBound { granted_until, longest, over_at });
        Self { expires_at: granted_until.max(expires_at), earlier_calls, ..self }
    }

    /// Sets the bound that a record in the store may contain. The VM gets no new lease until the bound is lifted.
    #[must_use]
    pub fn with_bound(mut self, expires_at: Ms) -> Self {
        self.expires_at = self.expires_at.min(expires_at);
        if let Some(calls) = &mut self.earlier_calls {
            // Calls made for earlier incarnations may arrive after the record was written.
            calls.granted_until = calls.granted_until.min(expires_at);
        }
        self.bounded = true;
        self
    }

    /// Bounds the lease of a VM that does not answer: the VM gets no new lease until the bound is lifted. Returns the time by
    /// which the lease has expired, or `None` if the VM answers or a start is in flight, whose outcome may extend the lease.
    pub fn bound(&mut self) -> Option<Ms> {
        let answers = self.clock.is_some() && !self.unresponsive;
        if answers || self.starts_in_flight > 0 {
            return None;
        }
        self.bounded = true;
        Some(self.expires_at)
    }

    /// Lifts the bound because the store certainly contains a newer record without it.
    pub fn lift_bound(&mut self) {
        self.bounded = false;
    }

    /// Returns whether a record that bounds the lease may be in the store.
    pub const fn is_bounded(&self) -> bool {
        self.bounded
    }

    /// Returns whether the VM answers again although a record bounds its lease.
    pub const fn is_bound_outdated(&self) -> bool {
        self.bounded && self.clock.is_some() && !self.unresponsive
    }

    /// Records that a start is about to be sent. Returns false if it must not be sent because the lease is bounded.
    pub fn begin_start(&mut self) -> bool {
        self.starts_in_flight += u32::from(!self.bounded);
        !self.bounded
    }

    /// Records that the outcome of a start that was sent is known, or that it was not answered in time.
    pub fn end_start(&mut self) {
        self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
    }

    /// Returns whether a reading shows that the VM's clock was reset. The reading must have been requested after the last one
    /// arrived.
    pub fn was_clock_reset(&self, clock_ms: u64) -> bool {
        self.clock.is_some_and(|(before, _)| clock_ms < before)
    }

    /// Returns whether a reading is behind the one that the same incarnation must at least give to a call sent at
    /// `requested_at`: the VM has probably restarted. After a restart, the clock may have passed the last reading already.
    pub fn is_clock_behind(&self, clock_ms: u64, requested_at: Ms) -> bool {
        let Some((before, read_at)) = self.clock else { return false };
        let elapsed = requested_at.saturating_sub(read_at);
        clock_ms + CLOCK_ROUNDING_MS < before + elapsed * (100 - SLOW_PERCENT) / 100
    }

    /// Records a reading of the VM's clock.
    pub fn record_clock(&mut self, clock_ms: u64, now: Ms) {
        if let Some(calls) = self.earlier_calls.take() {
            // No call made for an earlier incarnation takes effect after this answer.
            self.expires_at = calls.granted_until.max(calls.over_at.min(now + calls.longest));
        }
        self.clock = Some((clock_ms, now));
        self.unresponsive = false;
    }

    /// Records that the VM does not answer.
    pub fn set_unresponsive(&mut self) {
        self.unresponsive = true;
    }

    /// Returns whether the VM has not answered the last call.
    pub const fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Returns whether the VM has answered a call or failed to answer one.
    pub const fn was_called(&self) -> bool {
        self.clock.is_some() || self.unresponsive
    }

    /// Records that a start was not answered. The VM may restart before the start arrives, which resets its clock, so that the
    /// start does not appear late there and runs under a full lease from then on.
    pub fn record_unanswered_start(&mut self, now: Ms) {
        let arrives = now + LATE_START_MS;
        self.expires_at = self.expires_at.max(arrives + max_elapsed(self.length) + MARGIN_MS);
    }

    /// Grants a lease that counts from `checked_at` and returns its end on the VM's clock, or `None` if no reading of that clock is
    /// known, the VM is unresponsive or the lease is bounded. `checked_at` must be before the check that the owner may act; the
    /// clock may have been read later.
    pub fn grant(&mut self, checked_at: Ms) -> Option<u64> {
        let (clock_ms, read_at) = self.clock.filter(|_| !self.unresponsive && !self.bounded)?;
        let after_reading = (checked_at + self.length).saturating_sub(read_at);
        self.expires_at = self.expires_at.max(read_at + max_elapsed(after_reading) + MARGIN_MS);
        Some(clock_ms + after_reading)
    }

    /// Returns the time by which the lease has certainly expired.
    pub const fn expires_at(&self) -> Ms {
        self.expires_at
    }

    /// Returns the time until the lease has certainly expired, for log lines.
    pub const fn remaining(&self, now: Ms) -> Ms {
        self.expires_at.saturating_sub(now)
    }

    /// Returns the last reading of the VM's clock, for log lines.
    pub fn last_clock(&self) -> Option<u64> {
        self.clock.map(|(clock_ms, _)| clock_ms)
    }

    /// Returns whether no task can run on the VM any more because the lease has certainly expired.
    pub const fn is_expired(&self, now: Ms) -> bool {
        now >= self.expires_at
    }
}

/// Bounds what calls made for earlier incarnations do to a lease, in times on the owner's clock.
#[derive(Clone, Copy, Debug)]
struct EarlierCallsBound {
    /// When the lease expires by what owners have granted to this incarnation.
    granted_until: Ms,
    /// The longest time that one such call may extend the lease by.
    longest: Ms,
    /// When the last lease that one of them gives has expired, also if the incarnation never answers.
    over_at: Ms,
}

/// A start that was sent under a lease, until its outcome is known or recorded as unknown.
#[derive(Debug)]
pub struct StartInFlight<'a>(&'a Mutex<TaskLease>);

impl<'a> StartInFlight<'a> {
    /// Returns `None` if the start must not be sent.
    pub fn begin(lease: &'a Mutex<TaskLease>) -> Option<Self> {
        let may_start = lock(lease).begin_start();
        may_start.then(|| Self(lease))
    }
}

impl Drop for StartInFlight<'_> {
    fn drop(&mut self) {
        lock(self.0).end_start();
    }
}

/// Locks a lease, which each change leaves consistent.
fn lock(lease: &Mutex<TaskLease>) -> MutexGuard<'_, TaskLease> {
    lease.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the longest time on the owner's clock that a span on the VM's clock may take.
pub(crate) const fn max_elapsed(span: Ms) -> Ms {
    span * 100 / (100 - SLOW_PERCENT) + 1
}
