//! `thistle-entry`: the program that accepts callers' requests on every entry VM.

mod cmd;
mod flags;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Entry::from_env_or_exit();
    let result = match flags.subcommand {
        flags::EntryCmd::Run(f) => cmd::run::run(&f.settings),
        flags::EntryCmd::CheckSettings(f) => cmd::check_settings::run(&f.settings),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("thistle-entry: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
