//! The subcommands, one module each.

mod capacity;
mod fleet;
mod forward;
mod idle;
mod latency;
mod policies;
mod publish;
mod record;

use std::fmt;

use thistle_replay::TraceError;

use crate::flags::{Bench, BenchCmd};

/// The reason why a measurement failed.
#[derive(Debug)]
pub enum Error {
    /// A file cannot be read or written.
    Io(std::io::Error),
    /// A trace cannot be read.
    Trace(TraceError),
    /// An argument is invalid.
    Argument(String),
    /// A call to a steward failed.
    Call(String),
    /// A plot cannot be drawn.
    Plot(String),
}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<TraceError> for Error {
    fn from(e: TraceError) -> Self {
        Self::Trace(e)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "{e}: check the folder"),
            Self::Trace(e) => e.fmt(f),
            Self::Argument(a) => write!(f, "invalid argument '{a}': see --help"),
            Self::Call(e) => write!(f, "{e}: check that the cluster runs"),
            Self::Plot(e) => write!(f, "{e}: check the folder of the plots"),
        }
    }
}

/// Runs the command.
pub fn run(flags: Bench) -> Result<(), Error> {
    match flags.subcommand {
        BenchCmd::Capacity(f) => capacity::run(&f.plots),
        BenchCmd::Forward(f) => forward::run(f.listen, f.to),
        BenchCmd::Idle(f) => idle::run(&f.pids, f.seconds),
        BenchCmd::Latency(f) => latency::run(&f.targets, f.requests, f.connections),
        BenchCmd::Publish(f) => publish::run(f.steward, &f.workspace, f.times),
        BenchCmd::Fleet(_) => fleet::run(),
        BenchCmd::Record(f) => record::run(&f.dir),
        BenchCmd::Policies(f) => policies::run(&f.dir),
    }
}
