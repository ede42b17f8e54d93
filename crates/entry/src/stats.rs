//! The entry's metrics.

use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::PrometheusHandle;
use thistle_model::clock::Instant;
use thistle_request::Refusal;

use crate::context::Context;

/// Counts an answered request.
pub fn answered(workspace: &str, took: Duration) {
    counter!("thistle_requests_total", "workspace" => workspace.to_owned(), "outcome" => "answered")
        .increment(1);
    histogram!("thistle_request_seconds", "workspace" => workspace.to_owned())
        .record(took.as_secs_f64());
}

/// Counts a refused request.
pub fn refused(refusal: &Refusal) {
    counter!("thistle_requests_total", "outcome" => refusal.outcome.as_str()).increment(1);
    counter!("thistle_refusals_total", "reason" => refusal.reason.as_str()).increment(1);
}

/// Counts a retry of a request.
pub fn retried() {
    counter!("thistle_retries_total").increment(1);
}

/// Updates the gauges and renders all metrics as text.
pub fn render(cx: &Arc<Context>, handle: &PrometheusHandle) -> String {
    let router = cx.router();
    let now = Instant::now();
    gauge!("thistle_proof_seconds").set(router.proof_until().since(now).as_secs_f64());
    for vm in router.vms() {
        let name = vm.name.to_string();
        gauge!("thistle_vm_in_flight", "vm" => name.clone()).set(f64::from(vm.in_flight));
        gauge!("thistle_vm_leased_slots", "vm" => name).set(f64::from(vm.leased));
    }
    for pool in router.pools() {
        let name = pool.name.to_string();
        gauge!("thistle_pool_waiting", "pool" => name).set(pool.queue.len() as f64);
    }
    drop(router);
    gauge!("thistle_fold_offset").set(cx.link().offset.0 as f64);
    handle.render()
}
