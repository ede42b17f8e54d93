//! Reads the files that operators publish.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::error::Error;

/// Reads a YAML file; the error names the line and the key.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path).map_err(|e| Error::Read(path.to_owned(), e))?;
    thistle_settings::load::parse(&text).map_err(|e| Error::Parse(path.to_owned(), e))
}
