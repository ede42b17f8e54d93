//! Which of several incarnations of a VM came later.

use std::collections::HashMap;

use thistle_schedule::VmId;

use crate::node::VmTable;

/// When incarnations of VMs were first listed, by the count of listings that this owner has taken in.
#[derive(Debug, Default)]
pub struct Lives {
    listings: u64,
    first_listed: HashMap<VmId, u64>,
}

impl Lives {
    /// Takes in a listing. Those that it lacks are forgotten unless they are `known`: one may be listed again.
    pub fn take_in(&mut self, table: &VmTable, known: impl Fn(&VmId) -> bool) {
        self.listings += 1;
        for id in table.keys() {
            self.first_listed.entry(id.clone()).or_insert(self.listings);
        }
        self.first_listed.retain(|id, _| table.contains_key(id) || known(id));
    }

    /// Returns whether an incarnation surely came after another one. Of two that were first listed together that is not known.
    pub fn is_later(&self, id: &VmId, than: &VmId) -> bool {
        match (self.first_listed.get(id), self.first_listed.get(than)) {
            (Some(later), Some(earlier)) => later > earlier,
            _ => false,
        }
    }
}
