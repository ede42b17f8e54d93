//! The order in which incarnations of a VM started.

use std::collections::HashMap;

use thistle_schedule::VmIncarnation;

use crate::node::VmTable;

/// The number of the VM list in which each incarnation first appeared, counted from the first list that this owner read.
#[derive(Debug, Default)]
pub struct IncarnationOrder {
    listings: u64,
    first_listed: HashMap<VmIncarnation, u64>,
}

impl IncarnationOrder {
    /// Records a VM list. Incarnations missing from it are removed unless they are `known`, as those may be listed again.
    pub fn record_list(&mut self, table: &VmTable, known: impl Fn(&VmIncarnation) -> bool) {
        self.listings += 1;
        let listed = |vm: &VmIncarnation| table.get(vm.id()).is_some_and(|facts| facts.id == *vm);
        for facts in table.values() {
            self.first_listed.entry(facts.id.clone()).or_insert(self.listings);
        }
        self.first_listed.retain(|vm, _| listed(vm) || known(vm));
    }

    /// Returns whether one incarnation is known to have started after another. The order is unknown if a start time
    /// is missing and both were first listed together.
    pub fn is_later(&self, id: &VmIncarnation, than: &VmIncarnation) -> bool {
        if let (Some(later), Some(earlier)) = (id.started_at(), than.started_at()) {
            return later > earlier;
        }
        match (self.first_listed.get(id), self.first_listed.get(than)) {
            (Some(later), Some(earlier)) => later > earlier,
            _ => false,
        }
    }
}
