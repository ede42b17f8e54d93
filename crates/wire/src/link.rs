//! The protocol between an entry and the steward on the same VM.

use serde::{Deserialize, Serialize};
use thistle_model::clock::Instant;
use thistle_model::view::ViewUpdate;
use thistle_model::{MemberId, Revision, VmName};

use crate::dial::reconnecting_client;
use crate::peer::EntryReport;

/// A request of an entry for the changes since its last request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRequest {
    /// A random number that the entry draws at startup.
    pub entry: u64,
    /// The revision of the view that the entry uses.
    pub have: Revision,
    /// The version of the hints of leaving VMs that the entry uses.
    pub hints: u64,
    /// The state of the entry.
    pub report: EntryReport,
    /// VMs whose backend server reported in a response that the VM is leaving.
    pub leaving: Vec<VmName>,
}

/// A steward's reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewReply {
    /// The member for which the entry acts.
    pub member: MemberId,
    /// The changes; `None` when there are none.
    pub update: Option<ViewUpdate>,
    /// The revision of the view after the update.
    pub revision: Revision,
    /// The version of the hints after the update.
    pub hints: u64,
    /// The time until which the entry may send new work, on the clock of this VM.
    pub proof_until: Instant,
}

/// Calls that a steward serves to the entry on its VM.
#[tarpc::service]
pub trait Link {
    /// Returns the changes; waits briefly when there are none.
    async fn view(req: ViewRequest) -> ViewReply;
}

reconnecting_client!(
    /// A connection to the steward on the same VM, opened on first use and again after a failure.
    LinkConnection,
    LinkClient
);
