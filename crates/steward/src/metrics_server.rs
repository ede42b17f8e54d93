//! Renders the steward's metrics.

use std::sync::Arc;

use metrics::gauge;
use metrics_exporter_prometheus::PrometheusHandle;
use thistle_fold::Stage;
use thistle_model::clock::Instant;

use crate::shared::Shared;

/// Updates the gauges and returns all metrics in the Prometheus text format.
pub fn render(shared: &Arc<Shared>, handle: &PrometheusHandle) -> String {
    let core = shared.core();
    let now = Instant::now();
    let proof_left = core.proof_until(now).since(now);
    gauge!("thistle_fold_offset").set(core.state.next.0 as f64);
    gauge!("thistle_fold_malformed_entries").set(core.state.malformed as f64);
    gauge!("thistle_fold_accepted_changes").set(core.state.accepted as f64);
    gauge!("thistle_log_up").set(f64::from(u8::from(core.log_up)));
    gauge!("thistle_proof_seconds").set(proof_left.as_secs_f64());
    gauge!("thistle_members").set(core.state.members.len() as f64);
    gauge!("thistle_snapshot_mismatches").set(core.digest_mismatches as f64);
    let entry_lag = core.state.next.0.saturating_sub(core.entry.report.offset.0);
    gauge!("thistle_entry_lag_entries").set(entry_lag as f64);
    gauge!("thistle_vm_moves").set(core.state.moves as f64);
    let out_of_service = core.state.vms.values().filter(|vm| vm.stage != Stage::InService).count();
    gauge!("thistle_vms_out_of_service").set(out_of_service as f64);
    gauge!("thistle_wave_vms_left").set(core.state.wave_left() as f64);
    for pool in core.state.pools.values() {
        let label = pool.label().to_owned();
        gauge!("thistle_pool_vms", "pool" => label.clone()).set(f64::from(pool.size));
        gauge!("thistle_pool_available", "pool" => label).set(f64::from(pool.available));
    }
    drop(core);
    gauge!("thistle_claims").set(shared.claims().len() as f64);
    handle.render()
}
