//! Accounting of a pool's runs against the caps of their workspaces.

use std::collections::HashMap;
use std::sync::Arc;

use super::job::Job;
use super::run::Run;
use super::{Now, Pool, VmKey};
use crate::id::{JobId, RunId, TaskId};
use crate::progress::Phase;
use crate::quota::{CapUse, Held, Ledger, LentCap, WorkspaceKey};
use crate::spec::JobSpec;
use crate::vm::Room;
use crate::workspace::Workspace;

impl Pool {
    /// Sets the pool's name, under which shares of caps are lent to it.
    #[must_use]
    pub fn with_name(mut self, name: Arc<str>) -> Self {
        self.quota = Ledger::new(name);
        self
    }

    /// Sets the workspaces of a configuration version.
    pub fn set_workspaces(&mut self, version: u64, workspaces: &[Workspace]) {
        self.quota.set_workspaces(version, workspaces);
    }

    /// Sets the latest records of lent caps and the configuration version to which they apply.
    pub fn set_lent_caps<'a>(&mut self, as_of: u64, records: impl Iterator<Item = &'a LentCap>) {
        self.quota.set_records(as_of, records);
    }

    /// Returns the workspaces whose tasks were recently held back by their caps.
    pub fn held_by_caps(&self) -> Vec<Held> {
        self.quota.held().collect()
    }

    /// Returns the cap use to report to the lender of caps under the owner's token. `count` is the number of reports made so far
    /// under the token, and is increased.
    pub fn report_cap_use(&mut self, token: u64, count: &mut u64) -> Vec<CapUse> {
        let waiting = self.waiting_by_workspace();
        self.quota.to_report(token, count, &waiting)
    }

    /// Records that the last report to the lender may not have arrived.
    pub fn cap_use_report_lost(&mut self) {
        self.quota.forget_reported();
    }

    fn waiting_by_workspace(&self) -> HashMap<WorkspaceKey, Room> {
        let mut waiting: HashMap<WorkspaceKey, Room> = HashMap::new();
        for job in self.jobs.values().filter(|job| job.phase == Phase::Open) {
            let Some(key) = job.workspace else { continue };
            for (_, step, count) in job.ready_steps() {
                let room = waiting.entry(key).or_default();
                *room = room.plus(job.spec.steps[step].demand.times(count));
            }
        }
        waiting
    }

    /// Creates a job for a new specification.
    pub(super) fn new_job(&mut self, id: JobId, spec: Arc<JobSpec>, now: Now) -> Job {
        let workspace = self.quota.key_of_job(&spec.workspace, spec.admitted_by);
        let job = Job::new(id, spec, now);
        let beyond_share = !self.quota.charge_job(workspace, job.accepted);
        Job { workspace, beyond_share, ..job }
    }

    /// Adds a run to a VM and counts it against the workspace's cap.
    pub(super) fn add_run(&mut self, vm: VmKey, task: TaskId, run: Run) {
        let (workspace, charge) = (self.workspace_of(task.job), run.charge);
        let old = self.vms[vm].add_run(task, run);
        self.quota.add(workspace, charge);
        if let Some(old) = old {
            self.quota.remove(workspace, old.charge);
        }
    }

    /// Removes a run from a VM and from the workspace's cap use. Returns the run if it was there.
    pub(super) fn remove_run(&mut self, vm: VmKey, run: RunId) -> Option<Run> {
        let removed = self.vms.get_mut(vm)?.remove_run(run)?;
        self.quota.remove(self.workspace_of(run.task.job), removed.charge);
        Some(removed)
    }

    fn workspace_of(&self, job: JobId) -> Option<WorkspaceKey> {
        self.jobs.get(*self.job_keys.get(&job)?)?.workspace
    }
}
