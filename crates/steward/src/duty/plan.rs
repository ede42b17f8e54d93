//! Runs the planner and requests the reboots of VMs in maintenance.

use thistle_fold::Stage;
use thistle_model::Change;
use thistle_model::clock::wall_ms;
use thistle_plan::PlanConfig;
use thistle_wire::platform::VmService;

use crate::shared::Shared;

const MINUTE_MS: u64 = 60_000;

/// Returns the minute of the day (UTC).
pub fn minute_of_day() -> u16 {
    let minutes = wall_ms() / MINUTE_MS;
    u16::try_from(minutes % u64::from(thistle_model::parameters::DAY_MINUTES)).unwrap_or(0)
}

/// Returns the planner's configuration from the settings.
pub fn config(shared: &Shared) -> PlanConfig {
    let p = shared.settings.planner;
    PlanConfig::default().with_weights(p.roll_out_time, p.buffer_cost, p.spare_racks)
}

/// Returns the changes that the planner proposes.
pub fn proposals(shared: &Shared) -> Vec<Change> {
    let cfg = config(shared);
    let core = shared.core();
    let proposals = thistle_plan::plan(&core.state, &cfg, minute_of_day());
    drop(core);
    for p in &proposals {
        log::info!("decision step={} vm={} why=\"{}\"", p.step, p.vm, p.why);
    }
    proposals.into_iter().map(|p| p.change).collect()
}

/// Requests a reboot of each VM in maintenance from the platform. The VM's revision serves as the
/// token, so a call whose answer was lost can be repeated safely.
pub async fn request_reboots<V: VmService>(shared: &Shared, vms: &V) {
    let waiting: Vec<_> = {
        let core = shared.core();
        let waiting = core.state.vms.values().filter(|vm| vm.stage == Stage::InMaintenance);
        waiting.map(|vm| (vm.name.clone(), vm.revision)).collect()
    };
    for (vm, token) in waiting {
        if let Err(e) = vms.reboot(&vm, token).await {
            log::warn!("reboot vm={vm} result=unknown reason=\"{e}\"");
        }
    }
}
