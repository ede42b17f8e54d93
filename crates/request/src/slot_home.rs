//! Slots of VMs, granted to entries by each VM's home under short leases.
//!
//! All entries share a VM's slots. One steward, selected by rendezvous hashing, is the home of a VM
//! and grants its slots, so that all entries together never use more slots than the VM has. Grants
//! are proportional to the demand that entries report, as the balancer may load entries unevenly.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thistle_model::clock::Instant;
use thistle_model::{MemberId, VmName};

/// The time for which granted slots may be used without renewal.
pub const SLOT_LEASE: Duration = Duration::from_secs(2);

/// An entry's request for slots to a VM's home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotWant {
    /// The VM.
    pub vm: VmName,
    /// The slots that the entry holds now, in use or not; it has stopped using any beyond these.
    pub held: u16,
    /// The total number of slots that the entry wants.
    pub want: u16,
}

/// A grant of slots by a VM's home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// The VM.
    pub vm: VmName,
    /// The slots that the entry now holds; never fewer than it held before.
    pub slots: u16,
    /// The number of slots to which the entry should shrink as its requests end.
    pub share: u16,
    /// The slots that no entry holds.
    pub free: u16,
}

#[derive(Clone, Debug)]
struct Lease {
    slots: u16,
    want: u16,
    expires: Instant,
}

#[derive(Clone, Debug)]
struct VmLeases {
    leases: HashMap<MemberId, Lease>,
    grants_from: Instant,
}

/// The VMs whose home is one steward.
#[derive(Clone, Debug, Default)]
pub struct SlotHome {
    vms: HashMap<VmName, VmLeases>,
}

impl SlotHome {
    /// Creates a home without VMs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Becomes the home of a VM, unless it already is.
    ///
    /// `grants_from` is the time when the leases of the previous home have expired. Until then the
    /// home only renews the slots that entries report as held and grants no more.
    pub fn become_home(&mut self, vm: &VmName, grants_from: Instant) {
        if !self.vms.contains_key(vm) {
            self.vms.insert(vm.clone(), VmLeases { leases: HashMap::new(), grants_from });
        }
    }

    /// Removes the VMs for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&VmName) -> bool) {
        self.vms.retain(|vm, _| keep(vm));
    }

    /// Handles a request of an entry for slots of a VM that has `slots` slots; returns `None` if
    /// this is not the VM's home.
    pub fn grant(
        &mut self,
        from: MemberId,
        want: &SlotWant,
        slots: u16,
        now: Instant,
    ) -> Option<SlotGrant> {
        let vm = self.vms.get_mut(&want.vm)?;
        vm.leases.retain(|_, l| l.expires > now);
        let free = slots.saturating_sub(vm.held_by_others(from));
        let share = vm.fair_share(from, want.want, slots).min(free);
        let target = if now < vm.grants_from { 0 } else { share };
        let granted = target.max(want.held.min(free));
        vm.lease(from, granted, want.want, now);
        Some(SlotGrant { vm: want.vm.clone(), slots: granted, share, free: free - granted })
    }
}

impl VmLeases {
    fn held_by_others(&self, from: MemberId) -> u16 {
        let others = self.leases.iter().filter(|(id, _)| **id != from);
        others.map(|(_, l)| l.slots).sum()
    }

    /// Returns the share of the slots for `from`, in proportion to the reported demands.
    fn fair_share(&self, from: MemberId, want: u16, slots: u16) -> u16 {
        let others = self.leases.iter().filter(|(id, _)| **id != from);
        let all = others.map(|(_, l)| u32::from(l.want)).sum::<u32>() + u32::from(want);
        if all <= u32::from(slots) {
            return want;
        }
        let share = (u32::from(slots) * u32::from(want)).div_ceil(all);
        u16::try_from(share).unwrap_or(slots)
    }

    fn lease(&mut self, from: MemberId, slots: u16, want: u16, now: Instant) {
        if slots == 0 && want == 0 {
            self.leases.remove(&from);
            return;
        }
        self.leases.insert(from, Lease { slots, want, expires: now + SLOT_LEASE });
    }
}
