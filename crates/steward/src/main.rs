//! `thistle-steward`: the program on every entry VM that folds the log and plans.

mod cmd;
mod flags;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Steward::from_env_or_exit();
    let result = match flags.subcommand {
        flags::StewardCmd::Run(f) => cmd::run::run(&f.settings),
        flags::StewardCmd::CheckSettings(f) => cmd::check_settings::run(&f.settings),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("thistle-steward: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
