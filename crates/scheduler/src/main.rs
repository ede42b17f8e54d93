//! `thistle-scheduler`: the scheduler program, which runs on every entry VM of the platform.

mod cmd;
mod flags;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::Scheduler::from_env_or_exit();
    let result = match flags.subcommand {
        flags::SchedulerCmd::Run(f) => cmd::run::run(&f.settings),
        flags::SchedulerCmd::CheckSettings(f) => cmd::check_settings::run(&f.settings),
        flags::SchedulerCmd::Show(f) => cmd::show::run(&f.settings, f.job.as_deref(), f.json),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("thistle-scheduler: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
