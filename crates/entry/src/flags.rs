//! The command line of `thistle-entry`.

use std::path::PathBuf;

xflags::xflags! {
    /// Accepts callers' requests and forwards each to a VM of its workspace's pool.
    cmd entry {
        /// Runs the entry.
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
