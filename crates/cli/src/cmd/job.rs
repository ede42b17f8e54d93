//! `thistle job`.

use thistle_model::Change;
use thistle_model::job::JobSpec;
use thistle_wire::operator::JobInfo;

use super::name;
use crate::client::Client;
use crate::error::Error;
use crate::flags::{Job as Flags, JobCmd};
use crate::output::Output;
use crate::{file, submit};

/// The maximum number of jobs that one record cancels.
const CANCEL_BATCH: usize = 500;

/// Runs the command.
pub async fn run(flags: Flags, client: &Client, out: &Output) -> Result<(), Error> {
    match flags.subcommand {
        JobCmd::JobSubmit(f) => {
            let spec: JobSpec = file::read(&f.file)?;
            submit::submit(client, out, Change::JobSubmit { spec }).await
        }
        JobCmd::JobList(_) => {
            let heads = ["NAME", "POOL", "TEAM", "STATE", "STARTS", "CANNOT RUN"];
            out.table(&client.jobs().await?, &heads, row);
            Ok(())
        }
        JobCmd::JobCancel(f) => {
            let jobs: Result<Vec<_>, _> = f.names.iter().map(|n| name(n)).collect();
            for part in jobs?.chunks(CANCEL_BATCH) {
                submit::submit(client, out, Change::JobCancel { jobs: part.to_vec() }).await?;
            }
            Ok(())
        }
    }
}

fn row(j: &JobInfo) -> Vec<String> {
    vec![
        j.name.to_string(),
        j.pool.to_string(),
        j.team.to_string(),
        j.state.clone(),
        j.starts.to_string(),
        j.cannot_run.clone().unwrap_or_default(),
    ]
}
