//! The fleet's record in rows of bounded size, each written only when it changes.
//!
//! The load pattern: at the onset of a turn half of all VMs are worked on at once. One value for all of them outgrows what a
//! store takes (95 bytes a VM), and is written whole with each change.

use std::collections::HashSet;

use super::{FleetRecord, VmWork, WaveRecord};
use crate::Ms;

/// A row of the fleet's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetRow {
    /// What is told once.
    Head {
        /// The node that wrote it.
        owner: String,
        /// How long a move takes, as measured, in milliseconds; 0 before the first.
        move_ms: Ms,
    },
    /// How far a wave is.
    Wave {
        /// Its number.
        wave: u64,
        /// All is done, and the operator was told.
        completed: bool,
    },
    /// A VM of a wave.
    WaveVm {
        /// The wave's number.
        wave: u64,
        /// The VM's lasting name.
        vm: String,
        /// Whether it is done; none once the wave is completed, so that the row is dropped.
        done: Option<bool>,
    },
    /// A VM that is worked on, or was of late; a row that tells neither is dropped.
    Vm {
        /// The VM's lasting name.
        vm: String,
        /// What is done with it.
        work: Option<VmWork>,
        /// An order about it was given of late.
        ordered_lately: bool,
    },
}

impl FleetRecord {
    /// Returns the rows in which this record differs from another, those of waves first: work on a VM for a wave is read
    /// after the wave.
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
        let lately: HashSet<&str> = self.ordered_lately.iter().map(String::as_str).collect();
        let lately_before: HashSet<&str> =
            before.ordered_lately.iter().map(String::as_str).collect();
        let named = self.work.iter().chain(&before.work).map(|w| w.vm.as_str());
        let mut seen = HashSet::new();
        for vm in named.chain(lately.iter().copied()).chain(lately_before.iter().copied()) {
            if !seen.insert(vm) {
                continue;
            }
            let now = (self.work.get(vm), lately.contains(vm));
            if now != (before.work.get(vm), lately_before.contains(vm)) {
                let (work, ordered_lately) = (now.0.cloned(), now.1);
                rows.push(FleetRow::Vm { vm: vm.to_owned(), work, ordered_lately });
            }
        }
    }

    /// Takes in a row.
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
            // Nobody asks any more which VMs it had.
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
