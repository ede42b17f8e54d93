//! The command line of `thistle-bench`.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Measures policies, latencies and resource costs.
    cmd bench {
        /// Record the traces for replays into a folder.
        cmd record {
            /// The folder.
            required dir: PathBuf
        }
        /// Compare waves, moves and buffers at several fleet sizes.
        cmd fleet {}
        /// Measure and plot every cost of docs/CAPACITY.md.
        cmd capacity {
            /// The folder for the plots.
            required plots: PathBuf
        }
        /// Run a plain hyper forwarder, the baseline for added latency.
        cmd forward {
            /// The address on which it listens.
            required listen: SocketAddr
            /// The address to which it forwards all requests.
            required to: SocketAddr
        }
        /// Send the same request to several targets, LABEL=IP:PORT/PATH, in alternating rounds.
        cmd latency {
            /// The number of requests to each target.
            required requests: u32
            /// The number of connections to each target.
            required connections: u32
            /// The targets.
            repeated targets: String
        }
        /// Measure how long a change takes to be in force on every entry.
        cmd publish {
            /// A voter's operator address.
            required steward: SocketAddr
            /// The workspace to change.
            required workspace: String
            /// The number of changes.
            required times: u32
        }
        /// Measure CPU time and memory of processes, and traffic on loopback.
        cmd idle {
            /// The duration.
            required seconds: u64
            /// The process ids.
            repeated pids: u32
        }
        /// Compare policies on the recorded traces.
        cmd policies {
            /// The folder of the traces.
            required dir: PathBuf
        }
    }
}
