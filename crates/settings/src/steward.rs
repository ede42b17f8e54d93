//! Settings of `thistle-steward`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thistle_model::{HallName, Name};

use crate::entry::default_keep;
use crate::error::SettingsError;
use crate::load::{Checked, in_range};
use crate::logs::LogSettings;
use crate::span::Span;

/// The weights of the planner's objectives; only their ratio matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannerSettings {
    /// The weight of the duration of waves and roll-outs.
    pub roll_out_time: u32,
    /// The weight of capacity held in reserve.
    pub buffer_cost: u32,
    /// The size of the reserve of spare VMs, in racks.
    #[serde(default = "default_spare_racks")]
    pub spare_racks: u32,
}

const fn default_spare_racks() -> u32 {
    1
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self { roll_out_time: 1, buffer_cost: 1, spare_racks: default_spare_racks() }
    }
}

/// Settings of a steward.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StewardSettings {
    /// The name of its entry VM.
    pub name: Name,
    /// Its data hall.
    pub hall: HallName,
    /// The address on which it serves stewards and entries of other VMs.
    pub peer_listen: SocketAddr,
    /// The address on which it serves the entry on the same VM.
    pub link_listen: SocketAddr,
    /// The address on which it serves operators.
    pub operator_listen: SocketAddr,
    /// The address on which it serves metrics.
    pub metrics_listen: SocketAddr,
    /// The address of the platform's log service.
    pub log_service: SocketAddr,
    /// The address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// Peers from which the state is fetched when the log is down at startup.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// How long a proof of membership is valid; must be the same on every steward.
    #[serde(default = "default_fence")]
    pub fence: Span,
    /// The time between heartbeats.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: Span,
    /// How long a member may be unresponsive before it is considered gone.
    #[serde(default = "default_silence")]
    pub silence: Span,
    /// The time between polls of the VM list.
    #[serde(default = "default_vm_list_every")]
    pub vm_list_every: Span,
    /// The number of log entries after which a snapshot is written.
    #[serde(default = "default_snapshot_every")]
    pub snapshot_every: u64,
    /// How long claims on idempotency keys are kept; must be the same on every entry and steward.
    #[serde(default = "default_keep")]
    pub claim_keep: Span,
    /// The maximum number of claims that are held at one time.
    #[serde(default = "default_max_claims")]
    pub max_claims: usize,
    /// The weights of the planner.
    #[serde(default)]
    pub planner: PlannerSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_fence() -> Span {
    Span::from_secs(4)
}
const fn default_heartbeat() -> Span {
    Span::from_millis(1_000)
}
const fn default_silence() -> Span {
    Span::from_secs(6)
}
const fn default_vm_list_every() -> Span {
    Span::from_secs(5)
}
const fn default_snapshot_every() -> u64 {
    20_000
}
const fn default_max_claims() -> usize {
    100_000
}

impl Checked for StewardSettings {
    fn check(&self) -> Result<(), SettingsError> {
        in_range("fence", &self.fence, &Span::from_millis(500), &Span::from_secs(60))?;
        in_range("heartbeat", &self.heartbeat, &Span::from_millis(50), &Span::from_secs(10))?;
        in_range(
            "vm_list_every",
            &self.vm_list_every,
            &Span::from_millis(100),
            &Span::from_secs(60),
        )?;
        in_range("snapshot_every", &self.snapshot_every, &100, &10_000_000)?;
        in_range("claim_keep", &self.claim_keep, &Span::from_secs(10), &Span::from_secs(86_400))?;
        in_range("max_claims", &self.max_claims, &100, &10_000_000)?;
        in_range("planner.roll_out_time", &self.planner.roll_out_time, &0, &1_000)?;
        in_range("planner.buffer_cost", &self.planner.buffer_cost, &0, &1_000)?;
        in_range("planner.spare_racks", &self.planner.spare_racks, &0, &8)?;
        if self.fence.0 < self.heartbeat.0 * 3 {
            let least = Span(self.heartbeat.0 * 3);
            return Err(SettingsError::value(
                "fence",
                format!("is {}; set it to at least three heartbeats, {least}", self.fence),
            ));
        }
        if self.silence < self.fence {
            return Err(SettingsError::value(
                "silence",
                format!("is {}; set it to at least the fence, {}", self.silence, self.fence),
            ));
        }
        self.check_addresses()
    }
}

impl StewardSettings {
    fn check_addresses(&self) -> Result<(), SettingsError> {
        let named = [
            ("peer_listen", self.peer_listen),
            ("link_listen", self.link_listen),
            ("operator_listen", self.operator_listen),
            ("metrics_listen", self.metrics_listen),
        ];
        for (i, &(key, addr)) in named.iter().enumerate() {
            if let Some((other, _)) = named[..i].iter().find(|(_, a)| *a == addr) {
                return Err(SettingsError::value(
                    key,
                    format!("is the same as '{other}'; use another port"),
                ));
            }
        }
        if self.peer_listen.ip().is_unspecified() {
            return Err(SettingsError::value(
                "peer_listen",
                "is not an address that peers can reach; use this VM's own IP address",
            ));
        }
        Ok(())
    }
}
