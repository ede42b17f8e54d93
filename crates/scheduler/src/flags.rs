//! The command line of `thistle-scheduler`.

use std::path::PathBuf;

xflags::xflags! {
    /// Takes jobs, schedules the pools that it owns, and maintains VMs.
    cmd scheduler {
        /// Runs the scheduler.
        cmd run {
            /// The settings file.
            required settings: PathBuf
        }
        /// Shows what the store holds: configuration, pools with owners and VMs, waves, a job.
        cmd show {
            /// The settings file of any node.
            required settings: PathBuf
            /// The ID of a job to show.
            optional --job job: String
            /// Prints JSON.
            optional --json
        }
        /// Checks a settings file and does nothing else.
        cmd check-settings {
            /// The settings file.
            required settings: PathBuf
        }
    }
}
