//! The command line of `thistle-bench`.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Measures policies, latencies and slopes.
    cmd bench {
        /// Record the replays' traces anew into a folder.
        cmd record {
            /// The folder.
            required dir: PathBuf
        }
        /// Compare waves, moves and buffers at several sizes.
        cmd fleet {}
        /// Measure every slope of docs/CAPACITY.md and draw it.
        cmd capacity {
            /// The folder of the plots.
            required plots: PathBuf
        }
        /// Run a bare hyper forwarder, the baseline of added latency.
        cmd forward {
            /// Where it listens.
            required listen: SocketAddr
            /// Where it sends everything.
            required to: SocketAddr
        }
        /// Send the same request to several targets, LABEL=IP:PORT/PATH, in turn.
        cmd latency {
            /// Requests to each.
            required requests: u32
            /// Connections to each.
            required connections: u32
            /// The targets.
            repeated targets: String
        }
        /// Measure how long a change takes to be in force on every entry.
        cmd publish {
            /// A voter's operator address.
            required steward: SocketAddr
            /// The workspace that is changed.
            required workspace: String
            /// Changes.
            required times: u32
        }
        /// Watch processes: processor time, memory, traffic on loopback.
        cmd idle {
            /// For how long.
            required seconds: u64
            /// The processes.
            repeated pids: u32
        }
        /// Compare policies on the recorded traces.
        cmd policies {
            /// The folder of the traces.
            required dir: PathBuf
        }
    }
}
