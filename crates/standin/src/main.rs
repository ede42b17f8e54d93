//! `thistle-standin`: fakes of the platform's services and of workers, for tests and the demo only.

mod answer;
mod flags;
mod log_service;
mod serve;
mod tasks;
mod vm_list;
mod worker;

use std::process::ExitCode;

use thistle_settings::StandinSettings;

/// The exit code for invalid settings or an invalid command line.
const EXIT_USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::Standin::from_env_or_exit();
    match run(flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("thistle-standin: {e}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

async fn run(flags: flags::Standin) -> Result<(), Error> {
    let load = |path: &std::path::Path| thistle_settings::load::<StandinSettings>(path);
    match flags.subcommand {
        flags::StandinCmd::Log(f) => log_service::run(&load(&f.settings)?).await?,
        flags::StandinCmd::VmList(f) => vm_list::run(&load(&f.settings)?).await?,
        flags::StandinCmd::Worker(f) => {
            let settings = load(&f.settings)?;
            let worker = settings.workers.iter().find(|w| w.name.as_str() == f.name);
            let worker = worker.ok_or(Error::NoSuchWorker(f.name))?;
            worker::run(worker).await?;
        }
    }
    Ok(())
}

/// The reason why a stand-in stops.
#[derive(Debug)]
pub enum Error {
    /// The settings are invalid.
    Settings(thistle_settings::SettingsError),
    /// The settings have no worker of this name.
    NoSuchWorker(String),
    /// The address cannot be bound, or accepting a connection failed.
    Io(std::io::Error),
}

impl From<thistle_settings::SettingsError> for Error {
    fn from(e: thistle_settings::SettingsError) -> Self {
        Self::Settings(e)
    }
}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Self {
        Self::Io(e)
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Settings(e) => e.fmt(f),
            Self::NoSuchWorker(n) => {
                write!(f, "no worker '{n}' in the settings: add it under 'workers'")
            }
            Self::Io(e) => write!(f, "{e}: choose a free address"),
        }
    }
}
