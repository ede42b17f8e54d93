//! The fold of the platform's log: `state' = apply(state, offset, record)`.
//!
//! The fold is pure and deterministic: it has no I/O and no clock. All stewards that have read the
//! log up to the same offset hold the same state and reject the same records.

pub mod image;
mod invariants;
mod job;
mod member;
mod operator;
pub mod pool;
pub mod reject;
pub mod snapshot;
pub mod state;
pub mod view;
pub mod vm;
mod wave;

pub use image::digest;
pub use job::{Job, JobState};
pub use member::{Member, MemberState};
pub use pool::{Pool, PoolKey};
pub use reject::Reject;
pub use state::{State, Verdict};
pub use vm::{Stage, Vm, VmKey};
pub use wave::Wave;
