//! Settings of `thistle-scheduler`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thistle_schedule::Policy;

use crate::error::SettingsError;
use crate::load::{Checked, in_range};
use crate::logs::LogSettings;
use crate::quantity::Quantity;
use crate::span::Span;

/// Settings of a node of the job scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchedulerSettings {
    /// The name of its entry VM.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// The address on which it accepts requests of callers.
    pub listen: SocketAddr,
    /// The address of the readiness probe, by which the load balancer checks whether the node accepts new connections.
    pub readiness_listen: SocketAddr,
    /// The address on which it serves metrics.
    pub metrics_listen: SocketAddr,
    /// The address on which it relays calls of other nodes to the store; without an address it relays none.
    #[serde(default)]
    pub relay_listen: Option<SocketAddr>,
    /// The platform's metadata store.
    pub store: SocketAddr,
    /// The platform's machine service, if there is one.
    #[serde(default)]
    pub machine_service: Option<SocketAddr>,
    /// The service that advises on the policies of queues, if there is one.
    #[serde(default)]
    pub advice: Option<SocketAddr>,
    /// The bandwidth of the node's link, in Mbit/s.
    #[serde(default)]
    pub link_mbps: Option<Quantity>,
    /// The share of a core that the node gets.
    #[serde(default)]
    pub cpu_share: Option<Quantity>,
    /// The largest append to the store, in bytes.
    #[serde(default = "default_append")]
    pub max_append_bytes: usize,
    /// The largest record that the store takes, in bytes.
    #[serde(default = "default_record")]
    pub max_record_bytes: usize,
    /// The longest lease that VMs give to tasks.
    #[serde(default = "default_task_lease")]
    pub max_task_lease: Span,
    /// The minimum time between orders of different nodes for one VM.
    #[serde(default = "default_gap")]
    pub machine_order_gap: Span,
    /// The time after which an evacuated hall gets no new work; without a value no hall is ever evacuated.
    #[serde(default)]
    pub evacuate_within: Option<Span>,
    /// The time after the acknowledgement of a cancellation from which no task of the job starts.
    #[serde(default = "default_cancel")]
    pub cancel_within: Span,
    /// The minimum time for which the state of settled jobs is reported.
    #[serde(default = "default_keep")]
    pub keep_settled: Span,
    /// How long the process may take to shut down after the stop signal.
    #[serde(default = "default_stop")]
    pub stop_grace: Span,
    /// The parts of the service agreement that are in force, by the platform's names. Some switch on decisions that are off
    /// in `policy`.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// The parameters of scheduling decisions.
    #[serde(default)]
    pub policy: Policy,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_append() -> usize {
    1024 * 1024
}
const fn default_record() -> usize {
    256 * 1024
}
const fn default_task_lease() -> Span {
    Span::from_secs(6)
}
const fn default_gap() -> Span {
    Span::from_secs(3)
}
const fn default_cancel() -> Span {
    Span::from_secs(3)
}
const fn default_keep() -> Span {
    Span::from_secs(120)
}
const fn default_stop() -> Span {
    Span::from_secs(6)
}

impl Checked for SchedulerSettings {
    fn check(&self) -> Result<(), SettingsError> {
        if self.name.is_empty() {
            return Err(SettingsError::value("name", "is empty; give the entry VM's name"));
        }
        in_range("max_append_bytes", &self.max_append_bytes, &65_536, &(64 * 1024 * 1024))?;
        in_range("max_record_bytes", &self.max_record_bytes, &4_096, &self.max_append_bytes)?;
        let second = Span::from_secs(1);
        in_range("max_task_lease", &self.max_task_lease, &second, &Span::from_secs(600))?;
        in_range("stop_grace", &self.stop_grace, &second, &Span::from_secs(900))?;
        let day = Span::from_secs(86_400);
        in_range("keep_settled", &self.keep_settled, &second, &day)?;
        in_range("machine_order_gap", &self.machine_order_gap, &second, &Span::from_secs(600))?;
        let (shortest, longest) = (Span::from_secs(2), Span::from_secs(600));
        if let Some(within) = &self.evacuate_within {
            in_range("evacuate_within", within, &shortest, &longest)?;
        }
        // Below this, an owner beside a slow store would start nothing between two reads of the fallback partition.
        in_range("cancel_within", &self.cancel_within, &Span::from_secs(3), &longest)?;
        check_policy(&self.policy)?;
        let mut listeners = vec![self.listen, self.readiness_listen, self.metrics_listen];
        listeners.extend(self.relay_listen);
        for (i, addr) in listeners.iter().enumerate() {
            if listeners[..i].contains(addr) {
                return Err(SettingsError::value(
                    "listen",
                    format!("{addr} is given twice; use another port for each listener"),
                ));
            }
        }
        Ok(())
    }
}

fn check_policy(policy: &Policy) -> Result<(), SettingsError> {
    let Policy { need, moves, admission, .. } = policy;
    in_range("policy.need.fill_percent", &need.fill_percent, &10, &100)?;
    in_range("policy.need.lead_ms", &need.lead_ms, &0, &600_000)?;
    in_range("policy.need.floor_vms", &need.floor_vms, &1, &1_000)?;
    in_range("policy.moves.margin_percent", &moves.margin_percent, &0, &100)?;
    in_range("policy.moves.at_once_percent", &moves.at_once_percent, &1, &100)?;
    in_range("policy.moves.move_cost_ms", &moves.move_cost_ms, &0, &600_000)?;
    if admission.start_within_ms > 0 {
        in_range("policy.admission.start_within_ms", &admission.start_within_ms, &1_000, &600_000)?;
    }
    if need.arrivals == 1 {
        let remedy = "is 1, from which no rate can be computed; set it to 0, or to 2 or more";
        return Err(SettingsError::value("policy.need.arrivals", remedy));
    }
    Ok(())
}
