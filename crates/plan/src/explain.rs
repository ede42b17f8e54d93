//! Explains why a VM cannot leave its pool.

use thistle_fold::{Stage, State, VmKey};
use thistle_model::PlatformStatus;

use crate::context::PlanContext;
use crate::wave::hall_allows;

/// Returns the reasons why a VM cannot leave its pool for maintenance now, each with its remedy;
/// the list is empty if the VM can leave.
pub fn obstacles(state: &State, key: VmKey, minute: u16) -> Vec<String> {
    let vm = &state.vms[key];
    let pool = &state.pools[vm.pool];
    let mut reasons = Vec::new();
    if vm.stage != Stage::InService {
        reasons.push(format!("it is {} already", vm.stage.describe()));
    }
    if vm.status == PlatformStatus::Leaving {
        reasons.push("the platform is taking it away: nothing is to be done".to_owned());
    }
    if let Err(e) = state.check_budget(key) {
        reasons.push(e.to_string());
    }
    if pool.workspace.as_ref().is_some_and(|w| !w.window_open(minute)) {
        reasons.push(format!(
            "no maintenance window of '{}' is open: wait for it, or change 'windows'",
            pool.label()
        ));
    }
    let context = PlanContext::new(state);
    if vm.pool != state.reserve && !hall_allows(&context, vm) {
        reasons.push(format!(
            "VMs of '{}' in another data hall are out for maintenance: wait for them",
            pool.label()
        ));
    }
    if vm.job_slots > 0 {
        reasons.push(format!(
            "{} slots run jobs: it can be drained, and leaves when they end",
            vm.job_slots
        ));
    }
    reasons
}
