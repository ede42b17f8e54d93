//! `thistle-bench`: the measurements behind docs/MEASUREMENTS.md and docs/CAPACITY.md.

mod cmd;
mod flags;
mod slopes;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Bench::from_env_or_exit();
    match cmd::run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("thistle-bench: {e}");
            ExitCode::from(1)
        }
    }
}
