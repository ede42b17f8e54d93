//! Errors that stop a daemon, and their exit codes.

use std::fmt;

use crate::error::SettingsError;

/// The exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// The exit code for an address that cannot be bound, a signal handler that cannot be installed or a service that
/// cannot be reached.
const EXIT_IO: u8 = 3;

/// The reason why a program stops.
#[derive(Debug)]
pub enum RunError {
    /// The settings are invalid.
    Settings(SettingsError),
    /// An address cannot be bound or a signal handler cannot be installed.
    Io(std::io::Error),
    /// The metrics cannot be started.
    Metrics(String),
    /// The platform's store cannot be read.
    Store(String),
}

impl RunError {
    /// Returns the exit code of the program.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => EXIT_SETTINGS,
            Self::Io(_) | Self::Metrics(_) | Self::Store(_) => EXIT_IO,
        }
    }
}

impl From<SettingsError> for RunError {
    fn from(e: SettingsError) -> Self {
        Self::Settings(e)
    }
}

impl From<std::io::Error> for RunError {
    fn from(e: std::io::Error) -> Self {
        Self::Io(e)
    }
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(e) => e.fmt(f),
            Self::Io(e) => {
                write!(
                    f,
                    "{e}: check that the addresses in the settings belong to this VM and are free"
                )
            }
            Self::Metrics(e) => write!(f, "cannot start the metrics: {e}"),
            Self::Store(e) => write!(f, "{e}; check the key 'store' in the settings"),
        }
    }
}

impl std::error::Error for RunError {}
