//! Settings files in YAML: a typed struct for each program, validated at startup.

pub mod entry;
pub mod error;
pub mod load;
pub mod logs;
pub mod quantity;
pub mod run_error;
pub mod scheduler;
pub mod span;
pub mod standin;
pub mod stdout_writer;
pub mod steward;

pub use entry::EntrySettings;
pub use error::SettingsError;
pub use load::{Checked, load};
pub use logs::{LogFormat, LogOutput, LogSettings, start_logs};
pub use quantity::Quantity;
pub use run_error::RunError;
pub use scheduler::SchedulerSettings;
pub use span::Span;
pub use standin::StandinSettings;
pub use steward::{PlannerSettings, StewardSettings};
