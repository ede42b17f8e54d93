//! The command line of `thistle-scheduler`.

use std::path::PathBuf;

xflags::xflags! {
    /// Accepts jobs, schedules the pools that this node owns, and maintains VMs.
    cmd scheduler {
        /// Runs the scheduler.
        cmd run {
            /// The settings file.
            required settings: PathBuf
        }
        /// Shows the state in the store: configuration, pools with owners and VMs, waves, a job.
        cmd show {
            /// The settings file of any node.
            required settings: PathBuf
            /// The ID of a job to show.
            optional --job job: String
            /// Prints JSON.
            optional --json
        }
        /// Checks a settings file without starting the scheduler.
        cmd check-settings {
            /// The settings file.
            required settings: PathBuf
        }
    }
}
