//! VMs and the stages in which a VM leaves its pool.

use slotmap::new_key_type;
use thistle_model::{
    DrainReason, JobName, MemberId, PlatformStatus, PoolName, Revision, VmFacts, VmName,
};

use crate::pool::PoolKey;
use crate::reject::Reject;
use crate::state::State;

new_key_type! {
    /// The key of a VM in the arena of VMs.
    pub struct VmKey;
}

/// The stage of a VM on its way out of service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Stage {
    /// The VM is in service.
    InService,
    /// The VM gets no new work; each member acknowledges when its requests there are finished.
    Draining(DrainReason),
    /// Every member has acknowledged the drain.
    Drained(DrainReason),
    /// The platform reboots the VM.
    InMaintenance,
}

impl Stage {
    /// Returns the stage as text for tables and messages.
    pub fn describe(&self) -> String {
        match self {
            Self::InService => "in service".to_owned(),
            Self::Draining(reason) => format!("draining for {}", describe_reason(reason)),
            Self::Drained(reason) => format!("drained for {}", describe_reason(reason)),
            Self::InMaintenance => "in maintenance".to_owned(),
        }
    }
}

fn describe_reason(reason: &DrainReason) -> String {
    match reason {
        DrainReason::Maintenance => "maintenance".to_owned(),
        DrainReason::Move(to) => format!("a move to {to}"),
        DrainReason::Surplus => "the reserve".to_owned(),
        DrainReason::Operator => "an operator".to_owned(),
    }
}

/// A VM of the fleet.
#[derive(Clone, Debug)]
pub struct Vm {
    /// The name of the VM.
    pub name: VmName,
    /// The facts that the platform reports.
    pub facts: VmFacts,
    /// The status that the platform reports: live or leaving.
    pub status: PlatformStatus,
    /// The pool to which the VM belongs.
    pub pool: PoolKey,
    /// Whether an operator forbids new work.
    pub cordoned: bool,
    /// The stage of the VM on its way out of service.
    pub stage: Stage,
    /// The revision at which the VM last changed.
    pub revision: Revision,
    /// The number of the last wave that maintained the VM.
    pub wave: u32,
    /// The number of slots that running jobs use.
    pub job_slots: u32,
    /// How tasks of jobs have ended on the VM.
    pub tasks: TaskRecord,
}

/// How tasks of jobs have ended on a VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TaskRecord {
    /// The number of failures of different jobs since the last task that was done.
    pub failed_in_row: u32,
    /// The job that failed last.
    pub last_failed: Option<JobName>,
}

impl Vm {
    /// Returns whether the VM may be sent new work.
    pub fn is_available(&self) -> bool {
        self.status == PlatformStatus::Live && !self.cordoned && self.stage == Stage::InService
    }
}

impl State {
    pub(crate) fn vm_seen(
        &mut self,
        name: &VmName,
        facts: &VmFacts,
        status: PlatformStatus,
    ) -> Result<(), Reject> {
        let Some(&key) = self.vm_keys.get(name) else {
            self.insert_vm(name, facts, status);
            return Ok(());
        };
        self.change_vm(key, |vm| {
            vm.facts = facts.clone();
            vm.status = status;
        });
        Ok(())
    }

    fn insert_vm(&mut self, name: &VmName, facts: &VmFacts, status: PlatformStatus) {
        let revision = self.next_revision();
        let key = self.vms.insert(Vm {
            name: name.clone(),
            facts: facts.clone(),
            status,
            pool: self.reserve,
            cordoned: false,
            stage: Stage::InService,
            revision,
            wave: self.wave.number,
            job_slots: 0,
            tasks: TaskRecord::default(),
        });
        self.vm_keys.insert(name.clone(), key);
        self.add_to_counts(key);
    }

    pub(crate) fn vm_gone(&mut self, name: &VmName, base: Revision) -> Result<(), Reject> {
        let key = self.vm_at_revision(name, base)?;
        self.remove_from_counts(key);
        self.record_jobs_lost(name);
        self.vms.remove(key);
        self.vm_keys.remove(name);
        Ok(())
    }

    pub(crate) fn cordon(
        &mut self,
        name: &VmName,
        base: Revision,
        on: bool,
        force: bool,
    ) -> Result<(), Reject> {
        let key = self.vm_at_revision(name, base)?;
        if on && !force {
            self.check_budget(key)?;
        }
        self.change_vm(key, |vm| vm.cordoned = on);
        Ok(())
    }

    pub(crate) fn drain(
        &mut self,
        name: &VmName,
        base: Revision,
        reason: &DrainReason,
    ) -> Result<(), Reject> {
        let key = self.vm_at_revision(name, base)?;
        self.expect_stage(key, |s| *s == Stage::InService)?;
        if let DrainReason::Move(to) = reason {
            self.pool_key(to)?;
        }
        self.check_budget(key)?;
        let stage = Stage::Draining(reason.clone());
        self.change_vm(key, |vm| vm.stage = stage);
        Ok(())
    }

    pub(crate) fn give_back(&mut self, name: &VmName, base: Revision) -> Result<(), Reject> {
        let key = self.vm_at_revision(name, base)?;
        self.expect_stage(key, |s| matches!(s, Stage::Draining(_) | Stage::Drained(_)))?;
        self.change_vm(key, |vm| vm.stage = Stage::InService);
        Ok(())
    }

    pub(crate) fn drained(
        &mut self,
        name: &VmName,
        base: Revision,
        acks: &[MemberId],
    ) -> Result<(), Reject> {
        let key = self.vm_at_revision(name, base)?;
        let Stage::Draining(reason) = self.vms[key].stage.clone() else {
            return Err(self.wrong_stage(key));
        };
        // Entries send no requests to VMs of the reserve, so no acknowledgement is needed for them.
        let in_reserve = self.vms[key].pool == self.reserve;
        let has_not_acked = |id: &&MemberId| !in_reserve && !acks.contains(id);
        let missing: Vec<_> = self.members.keys().filter(has_not_acked).copied().collect();
        if !missing.is_empty() {
            return Err(Reject::MissingAcks(missing));
        }
        if self.vms[key].job_slots > 0 {
            let running = self.running_job_count(name);
            return Err(Reject::JobsRunning(name.clone(), running));
        }
        self.change_vm(key, |vm| vm.stage = Stage::Drained(reason));
        Ok(())
    }

    pub(crate) fn assign(
        &mut self,
        name: &VmName,
        base: Revision,
        to: Option<&PoolName>,
    ) -> Result<(), Reject> {
        let key = self.vm_at_revision(name, base)?;
        let pool = match to {
            Some(to) => self.pool_key(to)?,
            None => self.reserve,
        };
        let vm = &self.vms[key];
        let is_spare = vm.pool == self.reserve && vm.stage == Stage::InService;
        if !is_spare && !matches!(vm.stage, Stage::Drained(_)) {
            return Err(self.wrong_stage(key));
        }
        self.moves += u64::from(to.is_some());
        self.change_vm(key, |vm| {
            vm.pool = pool;
            vm.stage = Stage::InService;
        });
        Ok(())
    }

    pub(crate) fn maintenance_started(
        &mut self,
        name: &VmName,
        base: Revision,
    ) -> Result<(), Reject> {
        let key = self.vm_at_revision(name, base)?;
        self.expect_stage(key, |s| *s == Stage::Drained(DrainReason::Maintenance))?;
        self.change_vm(key, |vm| vm.stage = Stage::InMaintenance);
        Ok(())
    }

    pub(crate) fn maintenance_done(&mut self, name: &VmName, base: Revision) -> Result<(), Reject> {
        let key = self.vm_at_revision(name, base)?;
        self.expect_stage(key, |s| *s == Stage::InMaintenance)?;
        let wave = self.wave.number;
        self.change_vm(key, |vm| {
            vm.stage = Stage::InService;
            vm.status = PlatformStatus::Live;
            vm.wave = wave;
            vm.tasks = TaskRecord::default();
        });
        Ok(())
    }

    /// Returns the key of the named VM, or an error if its revision is not `base`.
    fn vm_at_revision(&self, name: &VmName, base: Revision) -> Result<VmKey, Reject> {
        let key = self.vm_key(name)?;
        let current = self.vms[key].revision;
        if current != base {
            return Err(Reject::Stale { what: format!("the VM '{name}'"), base, current });
        }
        Ok(key)
    }

    /// Returns the key of the named VM.
    pub fn vm_key(&self, name: &VmName) -> Result<VmKey, Reject> {
        self.vm_keys.get(name).copied().ok_or_else(|| Reject::NoSuchVm(name.clone()))
    }

    /// Checks that the pool of `key` stays at or above its floor without this VM.
    pub fn check_budget(&self, key: VmKey) -> Result<(), Reject> {
        let vm = &self.vms[key];
        let pool = &self.pools[vm.pool];
        let floor = pool.floor();
        let Some(name) = pool.name.clone().filter(|_| vm.is_available()) else {
            return Ok(());
        };
        if pool.available <= floor {
            return Err(Reject::BudgetSpent { pool: name, available: pool.available, floor });
        }
        Ok(())
    }

    fn expect_stage(&self, key: VmKey, fits: impl Fn(&Stage) -> bool) -> Result<(), Reject> {
        if fits(&self.vms[key].stage) { Ok(()) } else { Err(self.wrong_stage(key)) }
    }

    fn wrong_stage(&self, key: VmKey) -> Reject {
        let vm = &self.vms[key];
        Reject::WrongStage { vm: vm.name.clone(), stage: vm.stage.describe() }
    }

    /// Changes a VM and updates the counts and revisions of its old and its new pool.
    pub(crate) fn change_vm(&mut self, key: VmKey, change: impl FnOnce(&mut Vm)) {
        self.remove_from_counts(key);
        change(&mut self.vms[key]);
        self.vms[key].revision = self.next_revision();
        self.add_to_counts(key);
    }

    fn remove_from_counts(&mut self, key: VmKey) {
        let vm = &self.vms[key];
        let available = u32::from(vm.is_available());
        let touched = self.next_revision();
        let pool = &mut self.pools[vm.pool];
        pool.size -= 1;
        pool.available -= available;
        pool.touched = touched;
    }

    fn add_to_counts(&mut self, key: VmKey) {
        let vm = &self.vms[key];
        let available = u32::from(vm.is_available());
        let touched = self.next_revision();
        let pool = &mut self.pools[vm.pool];
        pool.size += 1;
        pool.available += available;
        pool.touched = touched;
    }
}
