//! `thistle member`: repairs for which an operator takes responsibility.

use thistle_model::{Change, MemberId};

use crate::client::Client;
use crate::error::Error;
use crate::flags::{Member as Flags, MemberCmd};
use crate::output::Output;
use crate::submit;

/// The number of attempts at a reset, which may race with proposals of voters by the planner.
const RESET_TRIES: u32 = 5;

/// Runs the command.
pub async fn run(flags: Flags, client: &Client, out: &Output) -> Result<(), Error> {
    match flags.subcommand {
        MemberCmd::MemberForget(f) => {
            let change = Change::MemberForget { member: parse(&f.id)? };
            submit::submit_repair(client, out, change).await
        }
        MemberCmd::MemberResetVoters(f) => {
            let voters: Result<Vec<_>, _> = f.ids.iter().map(|id| parse(id)).collect();
            reset_voters(client, out, &voters?).await
        }
    }
}

/// Appoints voters; retries when the planner proposes voters at the same time, because the operator's choice takes
/// precedence.
async fn reset_voters(client: &Client, out: &Output, voters: &[MemberId]) -> Result<(), Error> {
    let mut last = Ok(());
    for _ in 0..RESET_TRIES {
        let base = client.status().await?.voters;
        let change = Change::VotersReset { base, voters: voters.to_vec() };
        last = submit::submit_repair(client, out, change).await;
        if !matches!(last, Err(Error::Stale(_))) {
            return last;
        }
    }
    last
}

/// Parses an id in the format of `thistle status`.
fn parse(text: &str) -> Result<MemberId, Error> {
    let digits = text.strip_prefix('m').unwrap_or(text);
    let id = u64::from_str_radix(digits, 16);
    id.map(MemberId).map_err(|_| {
        Error::Argument(format!("'{text}' is not a member id: copy an id from 'thistle status'"))
    })
}
