//! The `run` subcommand.

use std::path::Path;

use thistle_settings::{EntrySettings, RunError};

/// Runs the entry until it receives a stop signal and has answered its requests.
pub fn run(path: &Path) -> Result<(), RunError> {
    let settings: EntrySettings = thistle_settings::load(path)?;
    let logs = thistle_settings::start_logs(&settings.log)?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(RunError::Io)?;
    let result = runtime.block_on(thistle_entry::run(settings));
    logs.flush();
    result
}
