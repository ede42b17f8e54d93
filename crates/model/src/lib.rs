//! Types shared by all thistlelanding programs: names, log records, parameters and views.
//!
//! Nothing here does I/O, and only [`clock`] reads a clock.

pub mod clock;
pub mod job;
pub mod member;
pub mod name;
pub mod outcome;
pub mod parameters;
pub mod record;
pub mod rendezvous;
pub mod view;
pub mod vm;

pub use member::{MemberFacts, MemberId};
pub use name::{
    HallName, JobName, Name, NameError, PoolName, RackName, ServiceName, TeamName, TemplateName,
    VmName,
};
pub use outcome::{Outcome, Problem, RefusalReason};
pub use parameters::{Budget, Service, Template, Tier, Window, Workspace};
pub use record::{Change, Offset, Record, RecordId, Revision};
pub use vm::{DrainReason, PlatformStatus, VmFacts};
