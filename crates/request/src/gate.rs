//! The gate in front of a backend connection, which decides once whether a request may be written.

use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

use thistle_model::clock::Instant;

const OPEN: u8 = 0;
const WRITTEN: u8 = 1;
const CLOSED: u8 = 2;

/// A gate shared by the writer of a request and the code that may abandon the request.
///
/// Exactly one of [`SendGate::pass`] and [`SendGate::close`] succeeds, so "not run" is reported
/// only if no byte was written and none can be written later.
#[derive(Debug)]
pub struct SendGate {
    state: AtomicU8,
    proof_until_us: AtomicU64,
}

/// Proof that no byte of a request was written and none will be.
#[derive(Debug, PartialEq, Eq)]
pub struct GateClosed(());

impl SendGate {
    /// Creates a gate that a request may pass until `proof_until`, when the entry's proof of
    /// membership expires.
    pub fn new(proof_until: Instant) -> Self {
        Self { state: AtomicU8::new(OPEN), proof_until_us: AtomicU64::new(proof_until.as_micros()) }
    }

    /// Returns whether bytes may be written; the caller must check right before each write.
    ///
    /// The proof of membership is checked only before the first byte: a request that has been
    /// partly written is completed.
    pub fn pass(&self, now: Instant) -> bool {
        if self.state.load(Ordering::Acquire) == WRITTEN {
            return true;
        }
        if now.as_micros() >= self.proof_until_us.load(Ordering::Acquire) {
            return false;
        }
        let swapped =
            self.state.compare_exchange(OPEN, WRITTEN, Ordering::AcqRel, Ordering::Acquire);
        matches!(swapped, Ok(_) | Err(WRITTEN))
    }

    /// Returns whether a write was permitted.
    pub fn has_passed(&self) -> bool {
        self.state.load(Ordering::Acquire) == WRITTEN
    }

    /// Closes the gate; returns the proof if no write was permitted before.
    pub fn close(&self) -> Option<GateClosed> {
        let swapped =
            self.state.compare_exchange(OPEN, CLOSED, Ordering::AcqRel, Ordering::Acquire);
        match swapped {
            Ok(_) | Err(CLOSED) => Some(GateClosed(())),
            Err(_) => None,
        }
    }
}
