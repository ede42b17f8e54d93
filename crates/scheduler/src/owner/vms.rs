//! Keeping an owner's links in step with the VMs that the store lists.

use std::collections::HashSet;

use metrics::counter;
use thistle_schedule::pool::{LostRun, VmSummary};
use thistle_schedule::{Ms, TaskLease, VmFacts, VmId, VmLoss};

use super::link::Link;
use super::{Event, Owner};
use crate::clock::{now, steady_ms};
use crate::node::VmTable;

impl Owner {
    /// Takes in the VMs as the store lists them now.
    pub(super) fn list_vms(&mut self, table: &VmTable) {
        let listed = self.pool.vm_summaries();
        self.lives.take_in(table, |id| listed.iter().any(|vm| vm.id == *id));
        for facts in table.values().filter(|f| f.pool == self.log.pool) {
            if self.pool.list_vm(facts.clone()) {
                log_listed(facts);
            }
            self.orphans.remove(&facts.id);
            if !self.links.contains_key(&facts.id) {
                let (tx, losses) = (self.tx.clone(), self.losses.clone());
                let link = Link::open(&self.node, facts, self.token, tx, losses);
                self.links.insert(facts.id.clone(), link);
            }
        }
        for vm in listed {
            if table.get(&vm.id).is_some_and(|f| f.pool == self.log.pool) {
                continue;
            }
            if self.pool.unlist_vm(&vm.id) {
                log::info!("vm step=unlisted vm={} name={} pool={}", vm.id, vm.name, self.log.pool);
            }
            self.note_if_reborn(&vm, table);
        }
        // One that fell silent under a task may be back in another pool.
        for (vm, name) in self.pool.silent_losses() {
            // An earlier life of it, whose entry stands on, says nothing.
            let successor =
                |f: &VmFacts| *f.name == *name && f.id != vm && !self.lives.is_later(&vm, &f.id);
            if !name.is_empty() && table.values().any(|f| successor(f)) {
                self.tell_replaced(&vm);
            }
        }
        self.watch_orphans();
    }

    /// Takes in that a VM has stopped answering: another incarnation of it may be listed already.
    pub(super) fn look_for_successor(&self, id: &VmId) {
        let table = self.node.vms.borrow();
        if let Some(vm) = self.pool.vm_summaries().into_iter().find(|vm| vm.id == *id)
            && !table.contains_key(id)
        {
            self.note_if_reborn(&vm, &table);
        }
    }

    /// Gives up an unlisted incarnation if a later one of its VM has come up. One that still answers is none that is gone,
    /// whatever an entry says that names its VM; and the entry of an earlier one, which stands on for a while after its end, says
    /// nothing of this one.
    fn note_if_reborn(&self, vm: &VmSummary, table: &VmTable) {
        let answers = vm.reachable && self.links.contains_key(&vm.id);
        let came_later =
            |facts: &VmFacts| is_reborn(facts, vm) && self.lives.is_later(&facts.id, &vm.id);
        if !answers && table.values().any(|facts| came_later(facts)) {
            self.tell_replaced(&vm.id);
        }
    }

    /// Has it taken in, when this step is done, that another incarnation of a VM is there.
    fn tell_replaced(&self, vm: &VmId) {
        if let Some(link) = self.links.get(vm) {
            link.lose(VmLoss::Replaced);
            return;
        }
        // This owner takes it in itself.
        let _ = self.tx.send(Event::Lost(vm.clone(), VmLoss::Replaced, self.losses.next()));
    }

    /// Notes runs on VMs to which there is no link: they count until their lease is over.
    fn watch_orphans(&mut self) {
        let over_at = steady_ms() + lease_bound(self.node.task_lease());
        for vm in self.pool.unlisted_with_runs() {
            if !self.links.contains_key(&vm) {
                self.orphans.entry(vm).or_insert(over_at);
            }
        }
    }

    /// Gives up the runs on VMs to which there is no link, once their lease is over.
    pub(super) fn drop_orphans(&mut self) {
        let now = now();
        let over: Vec<VmId> = self
            .orphans
            .iter()
            .filter(|(_, at)| now.steady >= **at)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in over {
            self.orphans.remove(&vm);
            self.lose_vm(&vm, VmLoss::LeaseOver);
        }
    }

    /// Gives up what ran on a VM incarnation that is gone.
    pub(super) fn lose_vm(&mut self, vm: &VmId, loss: VmLoss) {
        let lost = self.pool.vm_lost(vm, loss, now());
        if lost.is_empty() {
            // It is told again for as long as a link to it is open.
            log::debug!("vm step=lost vm={vm} reason={loss:?} runs=0");
            return;
        }
        let pool = self.log.pool.to_string();
        counter!("thistle_vms_lost", "pool" => pool, "reason" => format!("{loss:?}")).increment(1);
        log::info!("vm step=lost vm={vm} reason={loss:?} runs={}", lost.len());
        for LostRun { run, age } in lost {
            let harm = self.pool.harm_of(run.task).cloned().unwrap_or_default();
            log::info!(
                "run step=lost run={run} vm={vm} reason={loss:?} age_ms={age} crashes={} at_start={} unclear={} verdict={:?}",
                harm.crashes,
                harm.at_start,
                harm.unclear.len(),
                harm.verdict(),
            );
        }
    }

    /// Closes the links to VMs that are neither listed nor have anything running.
    pub(super) fn drop_links(&mut self) {
        let known: HashSet<VmId> = self.pool.vm_summaries().into_iter().map(|vm| vm.id).collect();
        self.links.retain(|vm, _| known.contains(vm));
    }
}

fn log_listed(facts: &VmFacts) {
    log::info!(
        "vm step=listed vm={} name={} pool={} addr={} hall={} rack={} draining={}",
        facts.id,
        facts.name,
        facts.pool,
        facts.addr,
        facts.hall,
        facts.rack,
        facts.draining,
    );
}

fn is_reborn(facts: &VmFacts, old: &VmSummary) -> bool {
    !old.name.is_empty() && facts.name == old.name && facts.id != old.id
}

/// Returns after how long a lease that was given at the latest now is surely over.
fn lease_bound(length: Ms) -> Ms {
    let lease = TaskLease::new(length, 0);
    (length..).find(|&at| lease.is_over(at)).unwrap_or(length)
}
