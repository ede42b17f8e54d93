//! The command line of `thistle-standin`.

use std::path::PathBuf;

xflags::xflags! {
    /// Fakes of the platform's services and of workers, for tests and the demo only.
    cmd standin {
        /// The log service.
        cmd log {
            /// The settings file.
            required settings: PathBuf
        }
        /// The VM list.
        cmd vm-list {
            /// The settings file.
            required settings: PathBuf
        }
        /// One worker.
        cmd worker {
            /// The settings file.
            required settings: PathBuf
            /// The worker's name.
            required name: String
        }
    }
}
