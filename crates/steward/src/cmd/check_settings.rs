//! `thistle-steward check-settings`.

use std::path::Path;

use thistle_settings::{RunError, StewardSettings};

/// Checks the settings file at `path`.
pub fn run(path: &Path) -> Result<(), RunError> {
    thistle_settings::load::<StewardSettings>(path)?;
    println!("{}: the settings are valid", path.display());
    Ok(())
}
