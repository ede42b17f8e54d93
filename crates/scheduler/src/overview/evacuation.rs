//! The evacuated data halls in the overview: what is there, what still runs there and what waits.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::Serialize;
use thistle_platform::{Store, StoreError, config};
use thistle_schedule::progress::TaskPlacement;

use super::{Overview, OwnerView, read_jobs};

/// An evacuated data hall.
#[derive(Debug, Serialize)]
pub(super) struct EvacuationView {
    /// The offset of the operator's newest request.
    since: u64,
    /// The pools with VMs there.
    pools: BTreeMap<String, PoolThere>,
}

/// The part of a pool that is in an evacuated hall.
#[derive(Debug, Default, Serialize)]
struct PoolThere {
    /// The node that applies the evacuation to the pool: its owner.
    node: Option<String>,
    vms: usize,
    cold: usize,
    /// The tasks that are assigned to VMs there, by the records, each with its VM.
    running: Vec<String>,
    /// The work of the pool that waits for VMs, in thousandths of a core, by its owner's last report.
    waiting_cpu: Option<u64>,
}

/// A listed VM, as the overview of evacuations needs it.
#[derive(Debug)]
pub(super) struct VmPlace {
    pub incarnation: String,
    pub pool: String,
    pub hall: String,
    pub cold: bool,
}

impl Overview {
    /// Reads the evacuations that are requested, and the tasks that run in the evacuated halls.
    pub(super) async fn read_evacuations(
        &mut self,
        store: &Store,
        vms: &[VmPlace],
    ) -> Result<(), StoreError> {
        for stored in store.newest(config::TOPIC, 0).await?.records {
            let Some(hall) = config::hall_of_key(&stored.record.key) else { continue };
            if stored.record.value().is_none() || hall.is_empty() {
                continue;
            }
            let view = self.evacuation(store, hall, stored.offset, vms).await?;
            self.evacuations.insert(hall.to_owned(), view);
        }
        Ok(())
    }

    async fn evacuation(
        &self,
        store: &Store,
        hall: &str,
        since: u64,
        vms: &[VmPlace],
    ) -> Result<EvacuationView, StoreError> {
        let mut pools = BTreeMap::<String, PoolThere>::new();
        for vm in vms.iter().filter(|vm| vm.hall == hall) {
            let there = pools.entry(vm.pool.clone()).or_default();
            there.vms += 1;
            there.cold += usize::from(vm.cold);
        }
        for (name, there) in &mut pools {
            if let Some(pool) = self.pools.get(name) {
                let owner = pool.owner.as_ref().filter(|owner| !owner.released);
                there.node = owner.map(|OwnerView { node, .. }| node.clone());
                there.waiting_cpu = pool.load.as_ref().map(|load| load.waiting_cpu);
            }
            let places: HashMap<&str, &VmPlace> = vms
                .iter()
                .filter(|vm| vm.hall == hall && vm.pool == *name)
                .map(|vm| (vm.incarnation.as_str(), vm))
                .collect();
            for (id, entry) in read_jobs(store, name).await?.iter() {
                for task in &entry.progress.tasks {
                    let TaskPlacement::On(vm) = &task.placement else { continue };
                    if places.contains_key(vm.as_str()) {
                        let (repetition, step, index) = (task.repetition, task.step, task.index);
                        there.running.push(format!("{id}.{repetition}.{step}.{index} on {vm}"));
                    }
                }
            }
        }
        Ok(EvacuationView { since, pools })
    }
}

/// Writes the lines of an evacuated hall.
pub(super) fn write_evacuation(
    f: &mut fmt::Formatter<'_>,
    hall: &str,
    view: &EvacuationView,
) -> fmt::Result {
    writeln!(f, "hall {hall} evacuated since offset {}", view.since)?;
    for (name, there) in &view.pools {
        let node = there.node.as_deref().unwrap_or("no owner");
        let (vms, cold, running) = (there.vms, there.cold, there.running.len());
        write!(f, "  pool {name} ({node}): {vms} VMs, {cold} cold, {running} tasks run there")?;
        match there.waiting_cpu {
            Some(cpu) => writeln!(f, ", {cpu} thousandths of a core wait")?,
            None => writeln!(f, ", no report of what waits")?,
        }
        for task in &there.running {
            writeln!(f, "    {task}")?;
        }
    }
    Ok(())
}
