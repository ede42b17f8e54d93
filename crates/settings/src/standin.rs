//! Settings of `thistle-standin`, the fakes of the platform's services for tests and the demo.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thistle_model::{HallName, RackName, VmName};

use crate::error::SettingsError;
use crate::load::{Checked, in_range};
use crate::span::Span;

/// Settings of a worker stand-in, which are also its record in the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSettings {
    /// The VM's name.
    pub name: VmName,
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// Its data hall.
    pub hall: HallName,
    /// Its rack.
    pub rack: RackName,
}

/// Settings of the stand-ins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandinSettings {
    /// The address on which the log service listens.
    pub log_listen: SocketAddr,
    /// The address on which the VM list listens.
    pub vm_list_listen: SocketAddr,
    /// The workers.
    pub workers: Vec<WorkerSettings>,
    /// How long an append takes.
    #[serde(default = "default_append")]
    pub append_time: Span,
    /// The number of entries that the log keeps.
    #[serde(default = "default_keep")]
    pub keep_entries: usize,
    /// The delay with which the VM list shows changes.
    #[serde(default = "default_lag")]
    pub list_lag: Span,
    /// How long a reboot takes.
    #[serde(default = "default_reboot")]
    pub reboot_time: Span,
}

const fn default_append() -> Span {
    Span::from_millis(5)
}
const fn default_keep() -> usize {
    1_000_000
}
const fn default_lag() -> Span {
    Span::from_millis(500)
}
const fn default_reboot() -> Span {
    Span::from_millis(500)
}

impl Checked for StandinSettings {
    fn check(&self) -> Result<(), SettingsError> {
        in_range("append_time", &self.append_time, &Span::from_millis(0), &Span::from_secs(60))?;
        in_range("keep_entries", &self.keep_entries, &1, &10_000_000)?;
        in_range("list_lag", &self.list_lag, &Span::from_millis(0), &Span::from_secs(600))?;
        in_range("reboot_time", &self.reboot_time, &Span::from_millis(0), &Span::from_secs(600))
    }
}
