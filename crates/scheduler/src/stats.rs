//! The metrics of a node.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use metrics::gauge;
use metrics_exporter_prometheus::PrometheusHandle;
use thistle_schedule::Ms;

use crate::node::Node;
use crate::traffic;

/// Updates the gauges and returns all metrics in the Prometheus text format.
pub fn render(node: &Arc<Node>, handle: &PrometheusHandle) -> String {
    let version = node.catalog.borrow().as_ref().map_or(0, |c| c.version);
    gauge!("thistle_config_version").set(version as f64);
    gauge!("thistle_store_in_touch").set(f64::from(u8::from(node.store_health.is_reachable())));
    gauge!("thistle_lease_valid").set(f64::from(u8::from(node.lease_valid())));
    gauge!("thistle_vms_listed").set(node.vms.borrow().len() as f64);
    gauge!("thistle_halls_evacuated").set(node.halls.borrow().evacuated().count() as f64);
    // Before the first complete read the age is unknown.
    let seconds = |age: Option<Ms>| age.map_or(f64::NAN, |ms| ms as f64 / 1_000.0);
    gauge!("thistle_halls_read_age_seconds").set(seconds(node.operator_read.age()));
    gauge!("thistle_vms_read_age_seconds").set(seconds(node.vms_read.age()));
    for log in node.pool_logs() {
        let pool = log.pool.to_string();
        gauge!("thistle_jobs_held", "pool" => pool.clone()).set(log.jobs().len() as f64);
        let submitted = log.submitted.load(Ordering::Relaxed);
        gauge!("thistle_jobs_read", "pool" => pool.clone()).set(submitted as f64);
        gauge!("thistle_pool_owned", "pool" => pool).set(f64::from(u8::from(log.is_owned())));
    }
    traffic::update_metrics(node);
    handle.render()
}
