//! Submits a change exactly once, even if responses are lost, and watches until it is in force.

use std::time::Duration;

use thistle_model::clock::wall_ms;
use thistle_model::{Change, Offset, Record, RecordId};
use thistle_wire::operator::{OperatorClient, StatusInfo, Submitted};

use crate::client::{Client, call_one};
use crate::error::Error;
use crate::output::Output;

/// The pause between checks whether a change is in force.
const WATCH_PAUSE: Duration = Duration::from_millis(50);
/// The maximum time for which a change is watched.
const WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Submits a change and waits until it is in force on every entry.
pub async fn submit(client: &Client, out: &Output, change: Change) -> Result<(), Error> {
    if out.dry_run {
        out.change(&change);
        return Ok(());
    }
    let offset = submit_accepted(client, change).await?;
    watch(client, out, offset).await
}

/// Submits a repair and waits only until it is accepted, because affected members may be unresponsive.
pub async fn submit_repair(client: &Client, out: &Output, change: Change) -> Result<(), Error> {
    if out.dry_run {
        out.change(&change);
        return Ok(());
    }
    let offset = submit_accepted(client, change).await?;
    out.progress(&format!("accepted at offset {offset}"));
    Ok(())
}

/// Submits a change and returns its offset once it is accepted.
async fn submit_accepted(client: &Client, change: Change) -> Result<Offset, Error> {
    let id = RecordId { writer: rand::random(), seq: 1 };
    let record = Record { id, at_ms: wall_ms(), change };
    let mut reached = false;
    let mut last_error = None;
    // The same record may be sent to every steward, because the fold applies a record id once.
    for connection in client.connections() {
        let submit = |c: OperatorClient, cx| {
            let record = record.clone();
            async move { c.submit(cx, record).await }
        };
        match call_one(connection, &submit).await {
            Ok(Submitted::Accepted { offset, .. }) => return Ok(offset),
            Ok(Submitted::Rejected { reason, stale: true, .. }) => {
                return Err(Error::Stale(reason));
            }
            Ok(Submitted::Rejected { reason, .. }) => return Err(Error::Rejected(reason)),
            Ok(Submitted::Unknown) => reached = true,
            Err(e) => last_error = Some(e),
        }
    }
    match last_error {
        Some(e) if !reached => Err(Error::Unreachable(e)),
        _ => Err(Error::Unknown(id)),
    }
}

/// Waits until the entry of every joined member uses a view that includes `offset`.
pub async fn watch(client: &Client, out: &Output, offset: Offset) -> Result<(), Error> {
    let began = std::time::Instant::now();
    let mut shown = None;
    loop {
        let status = client.status().await?;
        let (done, all) = in_force(&status, offset);
        if shown != Some((done, all)) {
            out.progress(&format!("accepted at offset {offset}, in force on {done} of {all}"));
            shown = Some((done, all));
        }
        if all > 0 && done == all {
            out.in_force(offset, all, began.elapsed());
            return Ok(());
        }
        if began.elapsed() > WATCH_TIMEOUT {
            let e = format!(
                "in force on {done} of {all} only: see 'thistle status' for members shown as silent, then 'thistle watch {offset}'"
            );
            return Err(Error::Rejected(e));
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}

fn in_force(status: &StatusInfo, offset: Offset) -> (usize, usize) {
    let joined = status.members.iter().filter(|m| m.state == "joined");
    let has = joined.clone().filter(|m| m.entry_offset.is_some_and(|o| o > offset));
    (has.count(), joined.count())
}
