//! Replays recorded arrivals, service times and faults through the router of the entries.
//!
//! A discrete-event simulation with fake workers and a fake clock. It compares policies and checks
//! the bounds that a trace states. It does not simulate a cluster: it has one pool, no members and
//! no log.

mod entry;
mod event;
mod finish;
pub mod fleet;
pub mod record;
pub mod report;
pub mod run;
mod serve;
pub mod trace;
mod worker;

pub use report::Report;
pub use run::{Policy, replay};
pub use trace::{Trace, TraceError};
