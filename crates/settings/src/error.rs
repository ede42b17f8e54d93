//! Errors of reading and checking settings; each message names a remedy.

use std::fmt;
use std::path::PathBuf;

/// The reason why settings are rejected.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Read(PathBuf, std::io::Error),
    /// The file is not valid YAML or does not match the settings; the text names the line, the key and what is expected.
    Parse(PathBuf, String),
    /// A value is out of range or contradicts another one.
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong and which value to set.
        remedy: String,
    },
    /// The logger cannot be started.
    Logs(String),
}

impl SettingsError {
    /// Returns the error for a wrong value of `key`.
    pub fn value(key: &'static str, remedy: impl Into<String>) -> Self {
        Self::Value { key, remedy: remedy.into() }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, e) => {
                write!(f, "cannot read {}: {e}; give the path of a settings file", path.display())
            }
            Self::Parse(path, e) => {
                write!(f, "{}: {e}; see samples/ for a valid file", path.display())
            }
            Self::Value { key, remedy } => write!(f, "key '{key}': {remedy}"),
            Self::Logs(e) => write!(f, "cannot start logging: {e}; check the key 'log'"),
        }
    }
}

impl std::error::Error for SettingsError {}
