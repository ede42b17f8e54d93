//! The `check-settings` subcommand.

use std::path::Path;

use thistle_settings::{EntrySettings, RunError};

/// Checks the settings file.
pub fn run(path: &Path) -> Result<(), RunError> {
    thistle_settings::load::<EntrySettings>(path)?;
    println!("{}: the settings are valid", path.display());
    Ok(())
}
