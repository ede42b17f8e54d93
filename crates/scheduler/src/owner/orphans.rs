//! VMs that have runs but no link, because they are known from records or were unlisted.

use thistle_schedule::{EarlierCalls, Ms, VmIncarnation, VmLoss};

use super::Owner;
use super::lease_bounds::earlier_calls;
use crate::clock::now;
use crate::node::VmTable;

/// A VM that has runs but no link.
#[derive(Clone, Copy, Debug)]
pub(super) struct Orphan {
    /// When its lease, and that of a next incarnation that may have its runs, has expired.
    pub expires_at: Ms,
    /// Whether a next incarnation is listed, which may execute starts that were meant for this one.
    is_superseded: bool,
}

impl Owner {
    /// Records VMs that have runs but no link: their runs count until the lease has ended.
    pub(super) fn record_orphans(&mut self, table: &VmTable) {
        for vm in self.pool.unlisted_with_runs() {
            if self.link(&vm).is_some() {
                continue;
            }
            let listed = table.get(vm.id());
            let is_superseded = listed.is_some_and(|f| f.id.is_other_incarnation_of(&vm));
            let expires_at = match listed.filter(|_| is_superseded) {
                Some(next) => self.lease_of(&next.id, EarlierCalls::Ending).expires_at(),
                None => self.lease_of(&vm, earlier_calls(&vm)).expires_at(),
            };
            let orphan = self.orphans.entry(vm).or_insert(Orphan { expires_at, is_superseded });
            if is_superseded && !orphan.is_superseded {
                *orphan = Orphan { expires_at, is_superseded };
            }
        }
    }

    /// Handles VMs without a link as lost once their lease has ended.
    pub(super) fn expire_orphans(&mut self) {
        if self.orphans.is_empty() {
            return;
        }
        let table = self.node.vms.borrow().clone();
        self.record_orphans(&table);
        let now = now();
        let expired: Vec<VmIncarnation> = self
            .orphans
            .iter()
            .filter(|(_, orphan)| now.steady >= orphan.expires_at)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in expired {
            self.orphans.remove(&vm);
            self.lose_vm(&vm, VmLoss::LeaseOver);
        }
    }
}
