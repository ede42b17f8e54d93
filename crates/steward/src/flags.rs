//! The command line of `thistle-steward`.

use std::path::PathBuf;

xflags::xflags! {
    /// Folds the platform's log, plans, and serves the view to the entry on the same VM.
    cmd steward {
        /// Runs the steward.
        cmd run {
            /// The settings file.
            required settings: PathBuf
        }
        /// Checks a settings file and exits.
        cmd check-settings {
            /// The settings file.
            required settings: PathBuf
        }
    }
}
