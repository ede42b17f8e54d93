//! `thistle-scheduler run`.

use std::path::Path;

use thistle_settings::{RunError, SchedulerSettings};

/// Runs the scheduler until it receives SIGTERM and has answered the remaining requests.
pub fn run(path: &Path) -> Result<(), RunError> {
    let settings: SchedulerSettings = thistle_settings::load(path)?;
    let _logs = thistle_settings::start_logs(&settings.log)?;
    // A single thread, because a node has only a share of one core and thread switches would cost part of it.
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(RunError::Io)?;
    runtime.block_on(thistle_scheduler::run(settings))
}
