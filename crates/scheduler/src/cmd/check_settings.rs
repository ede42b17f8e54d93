//! `thistle-scheduler check-settings`.

use std::path::Path;

use thistle_settings::{RunError, SchedulerSettings};

/// Checks the settings file.
pub fn run(path: &Path) -> Result<(), RunError> {
    thistle_settings::load::<SchedulerSettings>(path)?;
    println!("{}: the settings are valid", path.display());
    Ok(())
}
