//! `thistle quota`.

use thistle_model::{Change, TeamName};
use thistle_wire::operator::{OperatorClient, QuotaInfo};

use super::name;
use crate::client::Client;
use crate::error::Error;
use crate::flags::{Quota as Flags, QuotaCmd};
use crate::output::Output;
use crate::submit;

/// Runs the command.
pub async fn run(flags: Flags, client: &Client, out: &Output) -> Result<(), Error> {
    match flags.subcommand {
        QuotaCmd::QuotaGet(f) => {
            let quota = get(client, &name(&f.team)?).await?;
            out.value(&quota, |q| vec![format!("{} of {} slots in use", q.used, q.slots)]);
            Ok(())
        }
        QuotaCmd::QuotaPut(f) => {
            let team: TeamName = name(&f.team)?;
            let base = get(client, &team).await?.revision;
            submit::submit(client, out, Change::SetQuota { team, base, slots: f.slots }).await
        }
    }
}

async fn get(client: &Client, team: &TeamName) -> Result<QuotaInfo, Error> {
    let call = |c: OperatorClient, cx| {
        let team = team.clone();
        async move { c.quota(cx, team).await }
    };
    client.call(call).await
}
