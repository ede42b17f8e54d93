//! The decision logic of an entry for callers' requests, without I/O and without a clock.
//!
//! The entry's process, the replays and the randomised tests share this code; they pass in the time.

pub mod admit;
pub mod breaker;
pub mod claim;
pub mod exchange;
pub mod gate;
pub mod key;
pub mod retry;
pub mod router;
pub mod slot_home;

pub use exchange::{MaybeSent, Refusal, Unsent};
pub use gate::{GateClosed, SendGate};
pub use router::{Decision, Router, RouterConfig};
