//! The fleet's record in rows of bounded size, each written only when it changes.
//!
//! Load pattern: when the load shifts between pools, half of all VMs are worked on at once. A single value for all of them, at
//! 95 bytes a VM, exceeds the store's size limit and is rewritten as a whole with each change.

use std::collections::HashSet;

use super::{FleetRecord, VmWork, WaveRecord};
use crate::Ms;

/// A row of the fleet's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRow {
    /// The fields that the record has only once.
    Head {
        /// The node that wrote it.
        owner: String,
        /// The mean duration of a move, in milliseconds; 0 before the first move.
        move_ms: Ms,
    },
    /// The state of a wave.
    Wave {
        /// The number of the wave.
        wave: u64,
        /// Whether all VMs are done and the completion was reported to the operator.
        completed: bool,
    },
    /// A VM of a wave.
    WaveVm {
        /// The number of the wave.
        wave: u64,
        /// The VM's name.
        vm: String,
        /// Whether the VM is done, or `None` once the wave is completed, so that the row is deleted.
        done: Option<bool>,
    },
    /// A VM with open or recently ordered work. A row with neither is deleted.
    Vm {
        /// The VM's name.
        vm: String,
        /// The open work on the VM.
        work: Option<VmWork>,
        /// Whether an order for the VM was given recently.
        ordered_lately: bool,
    },
}

impl FleetRecord {
    /// Returns the rows in which this record differs from an earlier one. Rows of waves come first, so that a wave is read before
    /// the work on its VMs.
    pub fn changes_since(&self, before: &Self) -> Vec<FleetRow> {
        let mut rows = Vec::new();
        if (&self.owner, self.move_ms) != (&before.owner, before.move_ms) {
            rows.push(FleetRow::Head { owner: self.owner.clone(), move_ms: self.move_ms });
        }
        for wave in &self.waves {
            let known = before.waves.iter().find(|w| w.wave == wave.wave);
            if known != Some(wave) {
                wave.add_changes(known, &mut rows);
            }
        }
        self.add_vm_changes(before, &mut rows);
        rows
    }

    fn add_vm_changes(&self, before: &Self, rows: &mut Vec<FleetRow>) {
        let recent: HashSet<&str> = self.ordered_lately.iter().map(String::as_str).collect();
        let recent_before: HashSet<&str> =
            before.ordered_lately.iter().map(String::as_str).collect();
        let named = self.work.iter().chain(&before.work).map(|w| w.vm.as_str());
        let mut seen = HashSet::new();
        for vm in named.chain(recent.iter().copied()).chain(recent_before.iter().copied()) {
            if !seen.insert(vm) {
                continue;
            }
            let now = (self.work.get(vm), recent.contains(vm));
            if now != (before.work.get(vm), recent_before.contains(vm)) {
                let (work, ordered_lately) = (now.0.cloned(), now.1);
                rows.push(FleetRow::Vm { vm: vm.to_owned(), work, ordered_lately });
            }
        }
    }

    /// Applies a row.
    pub fn apply(&mut self, row: FleetRow) {
        match row {
            FleetRow::Head { owner, move_ms } => (self.owner, self.move_ms) = (owner, move_ms),
            FleetRow::Wave { wave, completed } => self.wave_mut(wave).completed = completed,
            FleetRow::WaveVm { wave, vm, done } => self.wave_mut(wave).set_done(vm, done),
            FleetRow::Vm { vm, work, ordered_lately } => {
                match work {
                    Some(work) => self.work.insert(work),
                    None => _ = self.work.remove(&vm),
                }
                let known = self.ordered_lately.iter().position(|name| *name == vm);
                match (known, ordered_lately) {
                    (None, true) => self.ordered_lately.push(vm),
                    (Some(i), false) => _ = self.ordered_lately.swap_remove(i),
                    (None, false) | (Some(_), true) => (),
                }
            }
        }
    }

    fn wave_mut(&mut self, number: u64) -> &mut WaveRecord {
        let i = self.waves.iter().position(|w| w.wave == number).unwrap_or_else(|| {
            self.waves.push(WaveRecord { wave: number, ..WaveRecord::default() });
            self.waves.len() - 1
        });
        &mut self.waves[i]
    }
}

impl WaveRecord {
    fn add_changes(&self, before: Option<&Self>, rows: &mut Vec<FleetRow>) {
        let wave = self.wave;
        if before.is_none_or(|b| b.completed != self.completed) {
            rows.push(FleetRow::Wave { wave, completed: self.completed });
        }
        let row = |vm: &String, done| FleetRow::WaveVm { wave, vm: vm.clone(), done };
        if self.completed {
            // The VMs of a completed wave are no longer needed.
            let known = before.into_iter().flat_map(|b| b.left.iter().chain(&b.done));
            rows.extend(known.map(|vm| row(vm, None)));
            return;
        }
        let was_left = |vm: &&String| before.is_some_and(|b| b.left.contains(*vm));
        let was_done = |vm: &&String| before.is_some_and(|b| b.done.contains(*vm));
        rows.extend(self.left.iter().filter(|vm| !was_left(vm)).map(|vm| row(vm, Some(false))));
        rows.extend(self.done.iter().filter(|vm| !was_done(vm)).map(|vm| row(vm, Some(true))));
    }

    fn set_done(&mut self, vm: String, done: Option<bool>) {
        if done != Some(false) {
            self.left.shift_remove(&vm);
        }
        if done != Some(true) {
            self.done.shift_remove(&vm);
        }
        match done {
            Some(true) => _ = self.done.insert(vm),
            Some(false) => _ = self.left.insert(vm),
            None => (),
        }
    }
}
