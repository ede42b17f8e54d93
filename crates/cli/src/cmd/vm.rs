//! `thistle vm`.

use thistle_model::{Change, DrainReason, VmName};
use thistle_wire::operator::{Explanation, VmInfo};

use super::name;
use crate::client::Client;
use crate::error::Error;
use crate::flags::{Vm as Flags, VmCmd};
use crate::output::Output;
use crate::submit;

/// Runs the command.
pub async fn run(flags: Flags, client: &Client, out: &Output) -> Result<(), Error> {
    match flags.subcommand {
        VmCmd::VmList(f) => {
            let mut vms = client.vms().await?;
            vms.retain(|vm| f.pool.as_ref().is_none_or(|p| *p == vm.pool));
            let heads = ["NAME", "POOL", "HALL", "RACK", "STAGE", "FLAGS", "ADDRESS"];
            out.table(&vms, &heads, row);
            Ok(())
        }
        VmCmd::VmCordon(f) => {
            let vm = client.vm(&name(&f.name)?).await?;
            let (vm, base) = (vm.name, vm.revision);
            submit::submit(client, out, Change::Cordon { vm, base, on: true, force: f.force }).await
        }
        VmCmd::VmDrain(f) => {
            let vm = client.vm(&name(&f.name)?).await?;
            let (vm, base) = (vm.name, vm.revision);
            let reason = DrainReason::Operator;
            submit::submit(client, out, Change::Drain { vm, base, reason }).await
        }
        VmCmd::VmBack(f) => {
            let vm = client.vm(&name(&f.name)?).await?;
            submit::submit(client, out, return_to_service(vm)).await
        }
        VmCmd::VmWhy(f) => {
            let vm: VmName = name(&f.name)?;
            let call = |c: thistle_wire::operator::OperatorClient, cx| {
                let vm = vm.clone();
                async move { c.explain(cx, vm).await }
            };
            let found = client.call(call).await?;
            let found = found
                .ok_or_else(|| Error::NotFound(format!("no VM '{vm}': see 'thistle vm list'")))?;
            out.value(&found, explain);
            Ok(())
        }
    }
}

/// Returns the change that returns a VM to service.
fn return_to_service(vm: VmInfo) -> Change {
    let (name, base) = (vm.name, vm.revision);
    if vm.cordoned {
        return Change::Cordon { vm: name, base, on: false, force: false };
    }
    Change::GiveBack { vm: name, base }
}

fn explain(e: &Explanation) -> Vec<String> {
    let can = if e.can_leave { "can leave now" } else { "cannot leave now" };
    let mut lines = vec![format!("{} of '{}' is {} and {can}", e.vm, e.pool, e.stage)];
    lines.extend(e.reasons.iter().map(|r| format!("- {r}")));
    lines
}

fn row(vm: &VmInfo) -> Vec<String> {
    let mut flags = Vec::new();
    if vm.cordoned {
        flags.push("cordoned");
    }
    if vm.leaving {
        flags.push("leaving");
    }
    vec![
        vm.name.to_string(),
        vm.pool.clone(),
        vm.facts.hall.to_string(),
        vm.facts.rack.to_string(),
        vm.stage.clone(),
        flags.join(","),
        vm.facts.addr.to_string(),
    ]
}
