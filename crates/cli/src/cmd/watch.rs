//! `thistle watch`.

use thistle_model::Offset;

use crate::client::Client;
use crate::error::Error;
use crate::flags::Watch as Flags;
use crate::output::Output;
use crate::submit;

/// Runs the command.
pub async fn run(flags: &Flags, client: &Client, out: &Output) -> Result<(), Error> {
    submit::watch(client, out, Offset(flags.offset)).await
}
