//! What an owner records about VMs that do not answer: within what time their leases expire.
//!
//! Load pattern: VMs with running tasks are lost while their pool changes its owner more often than a lease lasts, as when nodes
//! are restarted one after the other. A new owner that knows nothing of its predecessors' leases has to assume that each VM was
//! granted a whole one just before the takeover.
//!
//! While a record that lists a VM may be in the store, the owner grants the VM no lease. The newest record is therefore true
//! whenever it is read. It contains durations, which a reader adds to its own clock at the time at which it received them.

mod recorder;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Ms;
use crate::id::VmIncarnation;
use crate::job_log::{BadRecord, Version, encode};
use crate::lease::max_elapsed;
pub use recorder::LeaseRecorder;

/// The key of the record, of which each pool has one.
pub const KEY: &str = "vm-leases";
/// The most VMs that a claim lists, as all nodes read all claims.
const MAX_VMS_IN_CLAIM: usize = 100;

/// The record as the store holds it. Claims repeat it, so that all nodes receive it while a pool has no owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    version: Version,
    vms: Vec<Row>,
}

/// A listed VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    vm: String,
    /// The first of the consecutive records that list the VM.
    since: Version,
    /// The time within which the VM's lease expires, in milliseconds.
    remaining: Ms,
}

/// The bound on the lease of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseBound {
    /// The first of the consecutive records that list the VM. No lease was granted since then.
    pub since: Version,
    /// The time by which the lease has expired, by the clock of this node.
    pub expires_at: Ms,
}

/// The newest record of a pool that a node has read.
#[derive(Clone, Debug, Default)]
pub struct LeaseBounds {
    version: Version,
    part: u32,
    vms: BTreeMap<VmIncarnation, LeaseBound>,
}

impl LeaseBounds {
    /// Applies a record that was received from a partition no later than `now`. Records may arrive in any order and repeatedly.
    pub fn apply(&mut self, part: u32, value: &[u8], now: Ms) -> Result<(), BadRecord> {
        let record: LeaseRecord =
            postcard::from_bytes(value).map_err(|_| BadRecord(KEY.to_owned()))?;
        if record.version >= self.version {
            self.part = part;
        }
        self.apply_record(&record, now);
        Ok(())
    }

    /// Applies a record that was received with a claim no later than `now`.
    pub fn apply_record(&mut self, record: &LeaseRecord, now: Ms) {
        if record.version < self.version {
            return;
        }
        let bound = |row: &Row| {
            let vm = VmIncarnation::from(row.vm.as_str());
            let received = now + max_elapsed(row.remaining);
            // An earlier record of the same sequence was received earlier, so its bound may be closer.
            let earlier = self.vms.get(&vm).filter(|bound| bound.since == row.since);
            let expires_at = earlier.map_or(received, |bound| bound.expires_at.min(received));
            (vm, LeaseBound { since: row.since, expires_at })
        };
        let vms: Vec<(VmIncarnation, LeaseBound)> = record.vms.iter().map(bound).collect();
        if record.version > self.version {
            self.vms.clear();
        }
        self.version = record.version;
        // A claim may repeat only some of the VMs.
        self.vms.extend(vms);
    }

    /// Returns the record for a claim, with the times that remain now, if it lists any VM that a new owner may rely on.
    pub fn to_record(&self, kept_since: u64, now: Ms) -> Option<LeaseRecord> {
        let vms = self.reliable(kept_since).into_iter().take(MAX_VMS_IN_CLAIM);
        let row = |(vm, bound): (VmIncarnation, LeaseBound)| Row {
            vm: vm.to_string(),
            since: bound.since,
            remaining: bound.expires_at.saturating_sub(now),
        };
        let vms: Vec<Row> = vms.map(row).collect();
        (!vms.is_empty()).then_some(LeaseRecord { version: self.version, vms })
    }

    /// Returns the partition that holds the record.
    pub const fn part(&self) -> u32 {
        self.part
    }

    /// Returns the bounds that a new owner may rely on if all owners with tokens from `kept_since` on keep the record. An owner of
    /// an older build grants leases to VMs that an earlier record lists.
    pub fn reliable(&self, kept_since: u64) -> BTreeMap<VmIncarnation, LeaseBound> {
        let is_reliable = self.version.token >= kept_since;
        if is_reliable { self.vms.clone() } else { BTreeMap::new() }
    }
}

fn encode_record(version: Version, vms: Vec<Row>) -> Vec<u8> {
    encode(&LeaseRecord { version, vms })
}
