//! The steward: follows and folds the log, exchanges heartbeats with its peers, plans, and serves
//! the view to the entry on its VM.
//!
//! Lock order: the core, then the claims, then the slot home; no lock is held across an await.

mod appender;
mod catch_up;
pub mod core;
mod duty;
mod follower;
mod heartbeat;
pub mod hints;
mod info;
mod link_server;
mod membership;
mod metrics_server;
mod operator_server;
pub mod peer_server;
pub mod promise;
mod recent;
mod rollout;
pub mod run;
pub mod shared;
mod take_over;
mod tasks;
mod verdicts;

pub use run::run;
