//! The job scheduler's daemon: takes callers' jobs, keeps them in the platform's store, schedules
//! the pools that this node owns, and maintains VMs.
//!
//! All that nodes agree on goes through the store; they talk to each other only to pass calls to
//! the store on for one that it turns away, and to ask for what one that does not read a pool's
//! records is asked by callers. Lock order: a pool log's cursors, then its jobs, then the node's
//! tables; no lock but a cursor's is held across an await.

mod access;
mod append;
mod ask;
mod callers;
mod caps;
mod clock;
mod control;
mod fleet_owner;
mod follow;
mod hand_over;
mod journal;
mod listing;
mod locks;
mod look_up;
mod node;
mod overview;
pub mod owned;
mod owner;
mod peers;
mod pool_log;
mod question;
mod read_failures;
mod readiness;
mod relay;
mod reply;
mod request_body;
mod run;
mod speed;
mod standing;
mod stats;
mod submit;
pub mod turns;
pub mod written;

pub use overview::{Overview, overview};
pub use run::run;
