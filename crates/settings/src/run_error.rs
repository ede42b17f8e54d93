//! Why a daemon stops, with its exit code.

use std::fmt;

use crate::error::SettingsError;

/// Exit code for wrong settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for an address, a signal or a service that cannot be had.
const EXIT_IO: u8 = 3;

/// Why a program stops.
#[derive(Debug)]
pub enum RunError {
    /// Its settings are wrong.
    Settings(SettingsError),
    /// An address or a signal cannot be had.
    Io(std::io::Error),
    /// Metrics cannot be had.
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
                write!(f, "{e}: check that the addresses in the settings are this VM's and free")
            }
            Self::Metrics(e) => write!(f, "cannot start the metrics: {e}"),
            Self::Store(e) => write!(f, "{e}; check the key 'store' in the settings"),
        }
    }
}

impl std::error::Error for RunError {}
