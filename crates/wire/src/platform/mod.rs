//! The platform's services, each behind a trait.
//!
//! The HTTP adapters speak the protocol of the stand-ins, because the platform's real protocols are
//! not known yet. Only this module changes when another protocol is needed.

mod http;
pub mod tasks;

use std::future::Future;

use serde::{Deserialize, Serialize};
use thistle_model::{Offset, PlatformStatus, Revision, VmFacts, VmName};

pub use http::{HttpLog, HttpVmList};

pub use crate::http_client::HttpError;

/// A part of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// The oldest offset that is still kept.
    pub base: Offset,
    /// The offset after the last entry.
    pub end: Offset,
    /// The entries from the requested offset on, or from the base when that is later.
    pub entries: Vec<Vec<u8>>,
}

/// The platform's append-only log.
pub trait LogService: Send + Sync + 'static {
    /// Appends an entry; after an error the append may or may not have taken effect.
    fn append(&self, entry: Vec<u8>) -> impl Future<Output = Result<Offset, HttpError>> + Send;
    /// Reads entries from an offset on; waits up to `wait_ms` milliseconds when there are none.
    fn read(
        &self,
        from: Offset,
        wait_ms: u64,
    ) -> impl Future<Output = Result<LogPage, HttpError>> + Send;
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Its name.
    pub name: VmName,
    /// Its properties in the platform's list.
    #[serde(flatten)]
    pub facts: VmFacts,
    /// Live or leaving.
    pub status: PlatformStatus,
    /// The token of the last completed reboot.
    #[serde(default)]
    pub rebooted: Revision,
}

/// The platform's list of VMs, and the reboots of VMs.
pub trait VmService: Send + Sync + 'static {
    /// Returns all live and leaving VMs; the list may lag behind.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedVm>, HttpError>> + Send;
    /// Reboots a VM; repeated requests with the same token reboot it once.
    fn reboot(
        &self,
        vm: &VmName,
        token: Revision,
    ) -> impl Future<Output = Result<(), HttpError>> + Send;
}
