//! `thistle-scheduler run`.

use std::path::Path;

use thistle_settings::{RunError, SchedulerSettings};

/// Runs the scheduler until it is told to stop and its callers are answered.
pub fn run(path: &Path) -> Result<(), RunError> {
    let settings: SchedulerSettings = thistle_settings::load(path)?;
    let _logs = thistle_settings::start_logs(&settings.log)?;
    // One thread: a node has a share of one core, and switching between threads costs it.
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(RunError::Io)?;
    runtime.block_on(thistle_scheduler::run(settings))
}
