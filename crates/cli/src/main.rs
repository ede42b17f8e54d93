//! `thistle`: the operators' command line.

mod client;
mod cmd;
mod diff;
mod error;
mod file;
mod flags;
mod output;
mod submit;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Thistle::from_env_or_exit();
    match cmd::run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("thistle: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
