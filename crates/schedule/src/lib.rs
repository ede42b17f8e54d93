//! The job scheduler as a library. It opens no sockets and reads no clock, so that the daemon, the tests and the
//! randomized tests drive the same code. Callers pass in times as milliseconds of a monotonic clock.

pub mod admission;
pub mod assignment;
pub mod catalog;
pub mod crash_history;
pub mod fleet;
pub mod freshness;
pub mod halls;
pub mod id;
pub mod job_log;
pub mod lease;
pub mod lease_bounds;
pub mod link_budget;
pub mod order_turns;
pub mod ownership;
pub mod policy;
pub mod pool;
pub mod progress;
pub mod quota;
pub mod record_fit;
pub mod record_size;
pub mod spec;
pub mod start_backlog;
pub mod start_batches;
pub mod start_check;
pub mod start_copies;
pub mod start_relays;
pub mod vm;
pub mod workspace;

pub use assignment::{Assignment, Assignments};
pub use catalog::{Catalog, Limits, PoolConfig, Queue};
pub use crash_history::{CrashHistory, Verdict};
pub use halls::{Evacuation, Halls};
pub use id::{JobId, RunId, TaskId, VmIncarnation};
pub use job_log::{JobLog, LogChange};
pub use lease::{EarlierCalls, StartInFlight, TaskLease};
pub use lease_bounds::{LeaseBounds, LeaseRecorder};
pub use link_budget::{LinkBudget, StartSize};
pub use order_turns::OrderTurns;
pub use policy::Policy;
pub use pool::Pool;
pub use progress::{JobState, Phase, Progress};
pub use spec::{JobSpec, Objective, Repeats, SpecError, Step};
pub use start_backlog::StartBacklog;
pub use start_batches::StartBatches;
pub use start_check::{StartFacts, Withheld};
pub use start_relays::{Refusal, StartRelays};
pub use vm::{EndKind, ReportedRun, Room, RunEnd, VmFacts, VmLoss, VmReport};
pub use workspace::{Caller, KeySecret, Workspace, WorkspaceConfig, Workspaces};

/// Milliseconds of a monotonic clock.
pub type Ms = u64;
