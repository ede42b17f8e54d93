//! The job scheduler daemon: accepts callers' jobs, keeps them in the platform's store, schedules
//! the pools that this node owns, and maintains VMs.
//!
//! Nodes coordinate only through the store. They call each other directly only to forward store calls
//! for a node that cannot reach the store, to forward submissions to a pool's owner and notify it of
//! cancellations, and to query the jobs of a pool whose records they do not follow. Lock order: a pool log's cursors, then its jobs,
//! then the node's tables; no lock but a cursor's is held across an await.

mod access;
mod admission;
mod append;
mod callers;
mod cancel_notice;
mod cancel_records;
mod caps;
mod clock;
pub mod concurrency_limit;
mod control;
mod find_job;
mod fleet_owner;
mod follow;
mod forward;
mod journal;
mod listing;
mod locks;
mod node;
mod outlook;
mod overview;
mod owner;
pub mod ownership_flag;
mod peers;
mod pool_log;
mod query;
mod query_peers;
mod read_failures;
mod read_time;
mod readiness;
mod relay;
mod relayed_start;
mod reply;
mod request_body;
mod run;
mod speed;
mod start_batch;
mod start_texts;
mod stats;
mod store_health;
mod submit;
mod traffic;
pub mod turns;
mod uplink;
mod waits;
pub mod write_outcome;

pub use overview::{Overview, overview};
pub use run::run;
