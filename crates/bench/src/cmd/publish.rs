//! `thistle-bench publish`: the time from an operator's change until it is in force on every entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use thistle_model::clock::wall_ms;
use thistle_model::{Change, Offset, PoolName, Record, RecordId, Workspace};
use thistle_wire::dial::context_with_timeout;
use thistle_wire::operator::{OperatorClient, OperatorConnection, Submitted};

use super::Error;

const TIMEOUT: Duration = Duration::from_secs(10);
/// The pause between two checks whether a change is in force.
const POLL_PAUSE: Duration = Duration::from_millis(2);

/// Changes a workspace's budget `times` times and measures each change.
pub fn run(steward: SocketAddr, workspace: &str, times: u32) -> Result<(), Error> {
    let name = PoolName::new(workspace).map_err(|e| Error::Argument(e.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut accepted = Vec::new();
    let mut in_force = Vec::new();
    runtime.block_on(async {
        let connection = OperatorConnection::new(steward);
        let client = connection.client().await.map_err(|e| Error::Call(e.to_string()))?;
        for n in 0..times {
            let began = Instant::now();
            let offset = submit_change(&client, &name, n).await?;
            accepted.push(began.elapsed());
            wait_in_force(&client, offset).await?;
            in_force.push(began.elapsed());
        }
        Ok::<(), Error>(())
    })?;
    println!("{:<10} {:>8} {:>8} {:>8}", "publish", "p50 ms", "p99 ms", "most ms");
    print_row("accepted", accepted);
    print_row("in force", in_force);
    Ok(())
}

async fn submit_change(client: &OperatorClient, name: &PoolName, n: u32) -> Result<Offset, Error> {
    let failed = |e: tarpc::client::RpcError| Error::Call(e.to_string());
    let list = client.workspaces(context_with_timeout(TIMEOUT)).await.map_err(failed)?;
    let info = list.into_iter().find(|w| w.name == *name);
    let info = info.ok_or_else(|| Error::Argument(name.to_string()))?;
    let mut workspace: Workspace = info.workspace;
    workspace.budget.max_unavailable = 1 + n % 2;
    let change = Change::SetWorkspace { name: name.clone(), base: info.revision, workspace };
    let id = RecordId { writer: rand::random(), seq: 1 };
    let record = Record { id, at_ms: wall_ms(), change };
    match client.submit(context_with_timeout(TIMEOUT), record).await.map_err(failed)? {
        Submitted::Accepted { offset, .. } => Ok(offset),
        other => Err(Error::Call(format!("{other:?}"))),
    }
}

async fn wait_in_force(client: &OperatorClient, offset: Offset) -> Result<(), Error> {
    let began = Instant::now();
    while began.elapsed() < TIMEOUT {
        let status = client.status(context_with_timeout(TIMEOUT)).await;
        let status = status.map_err(|e| Error::Call(e.to_string()))?;
        if status.members.iter().all(|m| m.entry_offset.is_some_and(|o| o > offset)) {
            return Ok(());
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    Err(Error::Call("the change did not come into force in time".to_owned()))
}

fn print_row(label: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let ms = |part: usize| {
        let at = (times.len() * part / 100).min(times.len() - 1);
        times[at].as_secs_f64() * 1_000.0
    };
    println!("{label:<10} {:>8.1} {:>8.1} {:>8.1}", ms(50), ms(99), ms(100));
}
