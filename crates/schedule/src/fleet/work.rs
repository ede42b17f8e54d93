//! The VMs that are worked on, each found by its name in the same time however many there are.

use indexmap::IndexMap;
use indexmap::map::Values;
use serde::{Serialize, Serializer};

use super::{Stage, VmWork};

/// Work on VMs, in the order in which it began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkList(IndexMap<String, VmWork>);

impl WorkList {
    /// Returns the work on a VM.
    pub fn get(&self, vm: &str) -> Option<&VmWork> {
        self.0.get(vm)
    }

    /// Begins work on a VM, or changes what is known of it.
    pub fn insert(&mut self, work: VmWork) {
        self.0.insert(work.vm.clone(), work);
    }

    /// Ends the work on a VM and returns it.
    pub fn remove(&mut self, vm: &str) -> Option<VmWork> {
        self.0.shift_remove(vm)
    }

    /// Sets how far the work on a VM is.
    pub fn set_stage(&mut self, vm: &str, stage: Stage) {
        if let Some(work) = self.0.get_mut(vm) {
            work.stage = stage;
        }
    }

    /// Returns the work on all VMs.
    pub fn iter(&self) -> Values<'_, String, VmWork> {
        self.0.values()
    }

    /// Returns on how many VMs work is done.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no VM is worked on.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<'a> IntoIterator for &'a WorkList {
    type Item = &'a VmWork;
    type IntoIter = Values<'a, String, VmWork>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl Serialize for WorkList {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self)
    }
}

impl From<Vec<VmWork>> for WorkList {
    fn from(work: Vec<VmWork>) -> Self {
        Self(work.into_iter().map(|work| (work.vm.clone(), work)).collect())
    }
}
