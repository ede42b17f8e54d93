//! `thistle workspace`.

use thistle_model::{Change, PoolName, Revision, Workspace};
use thistle_wire::operator::WorkspaceInfo;

use super::name;
use crate::client::Client;
use crate::error::Error;
use crate::flags::{Workspace as Flags, WorkspaceCmd};
use crate::output::Output;
use crate::{file, submit};

/// Runs the command.
pub async fn run(flags: Flags, client: &Client, out: &Output) -> Result<(), Error> {
    match flags.subcommand {
        WorkspaceCmd::WorkspaceSet(f) => {
            let workspace: Workspace = file::read(&f.file)?;
            workspace.check()?;
            let name: PoolName = name(&f.name)?;
            let current = client.workspaces().await?.into_iter().find(|w| w.name == name);
            let current = current.map_or(Revision::NONE, |w| w.revision);
            let base = f.base.map_or(current, Revision);
            submit::submit(client, out, Change::SetWorkspace { name, base, workspace }).await
        }
        WorkspaceCmd::WorkspaceList(_) => {
            let heads = ["NAME", "REVISION", "TIER", "VMS", "AVAILABLE", "FLOOR", "TEMPLATE"];
            out.table(&client.workspaces().await?, &heads, row);
            Ok(())
        }
        WorkspaceCmd::WorkspaceShow(f) => {
            let name: PoolName = name(&f.name)?;
            let found = client.workspaces().await?.into_iter().find(|w| w.name == name);
            let info = found.ok_or_else(|| {
                Error::NotFound(format!("no workspace '{name}': see 'thistle workspace list'"))
            })?;
            out.value(&info, |i| vec![serde_json::to_string_pretty(i).unwrap_or_default()]);
            Ok(())
        }
    }
}

fn row(w: &WorkspaceInfo) -> Vec<String> {
    vec![
        w.name.to_string(),
        w.revision.to_string(),
        w.workspace.tier.as_str().to_owned(),
        format!("{}/{}", w.size, w.workspace.vms),
        w.available.to_string(),
        w.workspace.floor().to_string(),
        w.workspace.template.to_string(),
    ]
}
