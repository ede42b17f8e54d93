//! `thistle status`.

use thistle_wire::operator::{MemberInfo, StatusInfo};

use crate::client::Client;
use crate::error::Error;
use crate::output::Output;

/// Runs the command.
pub async fn run(client: &Client, out: &Output) -> Result<(), Error> {
    let status = client.status().await?;
    if out.json {
        out.value(&status, |_| Vec::new());
        return Ok(());
    }
    out.lines(&describe(&status));
    let heads = ["MEMBER", "NAME", "HALL", "STATE", "VOTER", "OFFSET", "READY"];
    out.table(&status.members, &heads, row);
    Ok(())
}

fn describe(s: &StatusInfo) -> Vec<String> {
    let log = if s.log_up { "up" } else { "DOWN" };
    let duty = s.duty.map_or_else(|| "nobody".to_owned(), |id| id.to_string());
    let voters = if s.voters_changing { "changing: take no voter down" } else { "settled" };
    vec![
        format!("answered by {}, on duty {duty}", s.member),
        format!("voters {voters}"),
        format!("log {log}, folded to offset {}, malformed entries {}", s.offset, s.malformed),
        format!("VMs {}, available spares in the reserve {}", s.vms, s.reserve),
        format!("wave {}: {} VMs left, {} under way", s.wave.number, s.wave.left, s.wave.under_way),
    ]
}

fn row(m: &MemberInfo) -> Vec<String> {
    let yes = |b: bool| if b { "yes" } else { "no" }.to_owned();
    let offset = m.entry_offset.map_or_else(|| "silent".to_owned(), |o| o.to_string());
    vec![
        m.id.to_string(),
        m.name.clone(),
        m.hall.clone(),
        m.state.clone(),
        yes(m.voter),
        offset,
        yes(m.ready),
    ]
}
