//! The open work on VMs, with constant-time lookup by VM name.

use indexmap::IndexMap;
use indexmap::map::Values;
use serde::{Serialize, Serializer};

use super::{Purpose, Stage, VmWork};

/// The open work on VMs, in the order in which it started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkList(IndexMap<String, VmWork>);

impl WorkList {
    /// Returns the work on a VM.
    pub fn get(&self, vm: &str) -> Option<&VmWork> {
        self.0.get(vm)
    }

    /// Adds the work on a VM, or replaces the existing one.
    pub fn insert(&mut self, work: VmWork) {
        self.0.insert(work.vm.clone(), work);
    }

    /// Removes and returns the work on a VM.
    pub fn remove(&mut self, vm: &str) -> Option<VmWork> {
        self.0.shift_remove(vm)
    }

    /// Sets the stage of the work on a VM.
    pub fn set_stage(&mut self, vm: &str, stage: Stage) {
        if let Some(work) = self.0.get_mut(vm) {
            work.stage = stage;
        }
    }

    /// Sets the purpose of the work on a VM.
    pub fn set_purpose(&mut self, vm: &str, purpose: Purpose) {
        if let Some(work) = self.0.get_mut(vm) {
            work.purpose = purpose;
        }
    }

    /// Returns the work on all VMs.
    pub fn iter(&self) -> Values<'_, String, VmWork> {
        self.0.values()
    }

    /// Returns the number of VMs with open work.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no VM has open work.
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
