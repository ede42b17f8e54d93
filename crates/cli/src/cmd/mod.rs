//! The subcommands, one module each.

mod job;
mod member;
mod quota;
mod status;
mod template;
mod vm;
mod watch;
mod wave;
mod workspace;

use std::str::FromStr;

use crate::client::Client;
use crate::error::Error;
use crate::flags::{Thistle, ThistleCmd};
use crate::output::Output;

/// Runs the command.
pub fn run(flags: Thistle) -> Result<(), Error> {
    let out = Output { json: flags.json, dry_run: flags.dry_run };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(Error::Io)?;
    let stewards = flags.stewards;
    runtime.block_on(async {
        let client = || Client::new(stewards.as_deref());
        match flags.subcommand {
            ThistleCmd::Template(f) => template::run(f, client, &out).await,
            ThistleCmd::Workspace(f) => workspace::run(f, &client()?, &out).await,
            ThistleCmd::Vm(f) => vm::run(f, &client()?, &out).await,
            ThistleCmd::Wave(f) => wave::run(f, &client()?, &out).await,
            ThistleCmd::Job(f) => job::run(f, &client()?, &out).await,
            ThistleCmd::Quota(f) => quota::run(f, &client()?, &out).await,
            ThistleCmd::Member(f) => member::run(f, &client()?, &out).await,
            ThistleCmd::Status(_) => status::run(&client()?, &out).await,
            ThistleCmd::Watch(f) => watch::run(&f, &client()?, &out).await,
        }
    })
}

/// Parses a name given on the command line.
fn name<T: FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T, Error> {
    text.parse().map_err(|e: T::Err| Error::Argument(e.to_string()))
}
