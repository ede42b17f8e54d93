//! Hints that VMs are leaving; peers exchange them ahead of the log and the VM list.

use std::collections::BTreeMap;
use std::time::Duration;

use thistle_model::VmName;
use thistle_model::clock::Instant;

/// How long a hint is kept after it was added or last refreshed.
const HINT_TTL: Duration = Duration::from_secs(120);
/// The maximum number of hints that are kept.
const MAX_HINTS: usize = 4_096;

/// The VMs that are known to be leaving.
#[derive(Debug, Default)]
pub struct Hints {
    vms: BTreeMap<VmName, Instant>,
    version: u64,
}

impl Hints {
    /// Adds hints; returns those that are new.
    pub fn add(&mut self, vms: impl IntoIterator<Item = VmName>, now: Instant) -> Vec<VmName> {
        let mut new = Vec::new();
        for vm in vms {
            let known = self.vms.contains_key(&vm);
            if known || self.vms.len() >= MAX_HINTS {
                continue;
            }
            self.vms.insert(vm.clone(), now);
            new.push(vm);
        }
        if !new.is_empty() {
            self.version += 1;
        }
        new
    }

    /// Restarts the lifetime of all hints: while the log is down, only hints show that a VM is
    /// leaving.
    pub fn refresh_all(&mut self, now: Instant) {
        self.vms.values_mut().for_each(|t| *t = now);
    }

    /// Drops hints that have expired, or that are obsolete because the VM gets no new work by the agreed state anyway.
    pub fn expire(&mut self, now: Instant, is_obsolete: impl Fn(&VmName) -> bool) {
        let before = self.vms.len();
        self.vms.retain(|vm, &mut t| now.since(t) < HINT_TTL && !is_obsolete(vm));
        if self.vms.len() != before {
            self.version += 1;
        }
    }

    /// Returns all hints.
    pub fn all(&self) -> Vec<VmName> {
        self.vms.keys().cloned().collect()
    }

    /// Returns the version, which increases with each change of the set of hints.
    pub const fn version(&self) -> u64 {
        self.version
    }
}
