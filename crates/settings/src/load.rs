//! Reads settings files, the only source of configuration.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::error::SettingsError;

/// Settings whose values are validated beyond their types.
pub trait Checked: DeserializeOwned {
    /// Checks that values are in range and consistent with each other.
    fn check(&self) -> Result<(), SettingsError>;
}

/// Reads and checks a settings file.
pub fn load<T: Checked>(path: &Path) -> Result<T, SettingsError> {
    let text =
        std::fs::read_to_string(path).map_err(|e| SettingsError::Read(path.to_owned(), e))?;
    let settings: T = parse(&text).map_err(|e| SettingsError::Parse(path.to_owned(), e))?;
    settings.check()?;
    Ok(settings)
}

/// Parses YAML; the error names the line, the column and the key.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    serde_saphyr::from_str(text).map_err(|e| e.to_string())
}

/// Checks that `value` lies between `low` and `high`, both included.
pub(crate) fn in_range<T: PartialOrd + std::fmt::Display>(
    key: &'static str,
    value: &T,
    low: &T,
    high: &T,
) -> Result<(), SettingsError> {
    if low <= value && value <= high {
        return Ok(());
    }
    Err(SettingsError::value(key, format!("is {value}; set it between {low} and {high}")))
}
