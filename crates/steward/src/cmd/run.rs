//! `thistle-steward run`.

use std::path::Path;

use thistle_settings::{RunError, StewardSettings};

/// The number of worker threads; a steward should use a small share of one core.
const WORKER_THREADS: usize = 2;

/// Runs the steward until it receives a signal to stop.
pub fn run(path: &Path) -> Result<(), RunError> {
    let settings: StewardSettings = thistle_settings::load(path)?;
    let logs = thistle_settings::start_logs(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(RunError::Io)?;
    let result = runtime.block_on(thistle_steward::run(settings));
    logs.flush();
    result
}
