//! Serves the calls of operators.

use std::sync::Arc;
use std::time::Duration;

use tarpc::context::Context;
use thistle_fold::Stage;
use thistle_model::clock::Instant;
use thistle_model::{JobName, Record, RecordId, Revision, TeamName, VmName};
use thistle_wire::operator::{
    Explanation, JobInfo, Operator, PlannedStep, QuotaInfo, StatusInfo, Submitted, TemplateInfo,
    VmInfo, WorkspaceInfo,
};

use crate::core::Core;
use crate::duty;
use crate::info;
use crate::shared::Shared;

/// How long a submission waits for its record to be read back from the log.
const SUBMIT_WAIT: Duration = Duration::from_secs(4);

/// The server for operators.
#[derive(Clone)]
pub struct OperatorServer {
    shared: Arc<Shared>,
}

impl OperatorServer {
    /// Creates the server.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Returns a message about the members that have not acknowledged the drain of a VM, if any.
    fn missing_acks(&self, core: &Core, vm: &VmName) -> Option<String> {
        let key = core.state.vm_key(vm).ok()?;
        let vm = &core.state.vms[key];
        if !matches!(vm.stage, Stage::Draining(_)) {
            return None;
        }
        let acks = duty::acknowledging_members(core, vm);
        let missing = core.state.members.iter().filter(|(id, _)| !acks.contains(id));
        let names: Vec<_> = missing.map(|(_, m)| m.facts.name.to_string()).collect();
        (!names.is_empty()).then(|| {
            format!("the entries on {} have requests in flight to the VM or are unresponsive: wait for them", names.join(", "))
        })
    }
}

impl Operator for OperatorServer {
    async fn submit(self, _: Context, record: Record) -> Submitted {
        let id = record.id;
        let verdict = {
            let mut core = self.shared.core();
            if let Some(known) = core.verdicts.get(id) {
                return known;
            }
            core.verdicts.wait_for(id)
        };
        if !self.shared.append(vec![record]) {
            return Submitted::Unknown;
        }
        let verdict = tokio::time::timeout(SUBMIT_WAIT, verdict).await;
        verdict.ok().and_then(Result::ok).unwrap_or(Submitted::Unknown)
    }

    async fn outcome(self, _: Context, id: RecordId) -> Option<Submitted> {
        self.shared.core().verdicts.get(id)
    }

    async fn status(self, _: Context) -> StatusInfo {
        let contact_timeout = self.shared.settings.heartbeat.0 * 3;
        info::status(&self.shared.core(), contact_timeout, Instant::now())
    }

    async fn templates(self, _: Context) -> Vec<TemplateInfo> {
        info::templates(&self.shared.core().state)
    }

    async fn workspaces(self, _: Context) -> Vec<WorkspaceInfo> {
        info::workspaces(&self.shared.core().state)
    }

    async fn vms(self, _: Context, after: Option<VmName>) -> Vec<VmInfo> {
        info::vms(&self.shared.core().state, after.as_ref())
    }

    async fn explain(self, _: Context, vm: VmName) -> Option<Explanation> {
        let core = self.shared.core();
        let key = core.state.vm_key(&vm).ok()?;
        let minute = duty::minute_of_day();
        let mut reasons = thistle_plan::explain::obstacles(&core.state, key, minute);
        let can_leave = reasons.is_empty();
        reasons.extend(self.missing_acks(&core, &vm));
        let pool = core.state.pools[core.state.vms[key].pool].label().to_owned();
        let stage = core.state.vms[key].stage.describe();
        Some(Explanation { vm, pool, stage, can_leave, reasons })
    }

    async fn plan(self, _: Context) -> Vec<PlannedStep> {
        let cfg = duty::config(&self.shared);
        let core = self.shared.core();
        let proposals = thistle_plan::plan(&core.state, &cfg, duty::minute_of_day());
        let step = |p: thistle_plan::Proposal| PlannedStep {
            step: p.step.to_owned(),
            vm: p.vm.to_string(),
            why: p.why,
        };
        proposals.into_iter().map(step).collect()
    }

    async fn jobs(self, _: Context, after: Option<JobName>) -> Vec<JobInfo> {
        info::jobs(&self.shared.core().state, after.as_ref())
    }

    async fn quota(self, _: Context, team: TeamName) -> QuotaInfo {
        let core = self.shared.core();
        let none = QuotaInfo { revision: Revision::NONE, slots: 0, used: 0 };
        let info = |q: &thistle_fold::state::Quota| QuotaInfo {
            revision: q.revision,
            slots: q.slots,
            used: q.used,
        };
        core.state.quotas.get(&team).map_or(none, info)
    }
}
