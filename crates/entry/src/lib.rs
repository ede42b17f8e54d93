//! The entry: accepts callers' requests, forwards each to a VM and returns the answer.
//!
//! Lock order: the router, then the waiters, then the link, then the idle connections. No lock is
//! held across an await.

mod backend;
mod callers;
mod claimant;
mod context;
mod decision_log;
mod forward;
mod gated_io;
mod health;
mod parse;
mod reply;
pub mod run;
mod sending;
mod slots;
mod stats;
mod steward_link;

pub use run::run;
