//! Keeping an owner's links in step with the VMs that the store lists.

use std::borrow::Cow;
use std::collections::HashSet;
use std::sync::Arc;

use metrics::counter;
use thistle_schedule::pool::{LostRun, VmSummary};
use thistle_schedule::{Ms, TaskLease, VmFacts, VmLife, VmLoss};

use super::link::Link;
use super::{Event, Owner};
use crate::clock::{now, steady_ms};
use crate::node::VmTable;

impl Owner {
    /// Takes in the VMs as the store lists them now.
    pub(super) fn list_vms(&mut self, table: &VmTable) {
        let table = &*self.name_lives(table);
        let listed = self.pool.vm_summaries();
        self.lives.take_in(table, |id| listed.iter().any(|vm| vm.id == *id));
        let pool = self.log.pool.clone();
        for facts in table.values().filter(|f| f.pool == pool) {
            if self.pool.list_vm(facts.clone()) {
                log_listed(facts);
            }
            self.orphans.remove(&facts.id);
            match self.links.get(facts.id.id()) {
                Some(link) if *link.vm() == facts.id => (),
                // The VM itself tells whether that life is over.
                Some(link) if !link.is_over() => link.ask_at_once(),
                Some(_) | None => self.open_link(facts),
            }
        }
        for vm in listed {
            if is_listed(table, &vm.id).is_some_and(|f| f.pool == self.log.pool) {
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

    /// Has entries that tell no start name the lives that have answered.
    fn name_lives<'a>(&self, table: &'a VmTable) -> Cow<'a, VmTable> {
        let told = |facts: &VmFacts| {
            let life = self.links.get(facts.id.id()).map(Link::vm);
            life.filter(|life| facts.id.born().is_none() && life.born().is_some()).cloned()
        };
        if !table.values().any(|facts| told(facts).is_some()) {
            return Cow::Borrowed(table);
        }
        let mut named = table.clone();
        for facts in named.values_mut() {
            if let Some(id) = told(facts) {
                *facts = Arc::new(VmFacts { id, ..VmFacts::clone(facts) });
            }
        }
        Cow::Owned(named)
    }

    /// Opens the link to a VM, in place of the one to an earlier life of it.
    fn open_link(&mut self, facts: &Arc<VmFacts>) {
        let (tx, losses) = (self.tx.clone(), self.losses.clone());
        let link = Link::open(&self.node, facts, self.tokens.next(), tx, losses);
        self.links.insert(facts.id.id().clone(), link);
    }

    /// Returns the link to a life of a VM.
    pub(super) fn link(&self, vm: &VmLife) -> Option<&Link> {
        self.links.get(vm.id()).filter(|link| link.vm() == vm)
    }

    pub(super) fn link_mut(&mut self, vm: &VmLife) -> Option<&mut Link> {
        self.links.get_mut(vm.id()).filter(|link| link.vm() == vm)
    }

    /// Takes in that a VM has stopped answering: another incarnation of it may be listed already.
    pub(super) fn look_for_successor(&self, id: &VmLife) {
        let listed = self.node.vms.borrow().clone();
        let table = self.name_lives(&listed);
        if let Some(vm) = self.pool.vm_summaries().into_iter().find(|vm| vm.id == *id)
            && is_listed(&table, id).is_none()
        {
            self.note_if_reborn(&vm, &table);
        }
    }

    /// Gives up an unlisted incarnation if a later one of its VM has come up. One that still answers is none that is gone,
    /// whatever an entry says that names its VM; and the entry of an earlier one, which stands on for a while after its end, says
    /// nothing of this one.
    fn note_if_reborn(&self, vm: &VmSummary, table: &VmTable) {
        if vm.reachable && self.link(&vm.id).is_some_and(|link| !link.is_over()) {
            return;
        }
        let came_later =
            |facts: &&Arc<VmFacts>| is_reborn(facts, vm) && self.lives.is_later(&facts.id, &vm.id);
        match table.values().find(came_later) {
            Some(facts) if facts.id.is_other_life_of(&vm.id) => {
                self.tell_restarted(&vm.id, &facts.id);
            }
            Some(_) => self.tell_replaced(&vm.id),
            None => (),
        }
    }

    /// Has it taken in, when this step is done, that a VM has started again under its ID.
    fn tell_restarted(&self, vm: &VmLife, life: &VmLife) {
        if let Some(link) = self.link(vm) {
            link.end_with(life);
            return;
        }
        // This owner takes it in itself.
        let number = self.losses.next();
        let _ = self.tx.send(Event::Restarted(vm.clone(), life.clone(), number));
    }

    /// Takes in that a VM has started again under its ID, and goes on with its new life.
    pub(super) fn take_restart(&mut self, former: &VmLife, life: &VmLife) {
        let lost = self.pool.vm_restarted(former, life, now());
        log::info!("vm step=restarted vm={former} life={life} runs={}", lost.len());
        self.log_lost(former, VmLoss::Replaced, lost);
        let Some(link) = self.link(former) else { return };
        // It is listed with what it has now before anything is started there.
        let facts = Arc::new(VmFacts { id: life.clone(), ..VmFacts::clone(link.facts()) });
        self.open_link(&facts);
        self.orphans.remove(life);
        let table = self.node.vms.borrow().clone();
        if table.get(life.id()).is_some_and(|listed| listed.id.born().is_none()) {
            // No entry will ever tell of this life.
            self.pool.unlist_vm(former);
            self.list_vms(&table);
        }
    }

    /// Has it taken in, when this step is done, that another incarnation of a VM is there.
    fn tell_replaced(&self, vm: &VmLife) {
        if let Some(link) = self.link(vm) {
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
            if self.link(&vm).is_none() {
                self.orphans.entry(vm).or_insert(over_at);
            }
        }
    }

    /// Gives up the runs on VMs to which there is no link, once their lease is over.
    pub(super) fn drop_orphans(&mut self) {
        let now = now();
        let over: Vec<VmLife> = self
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
    pub(super) fn lose_vm(&mut self, vm: &VmLife, loss: VmLoss) {
        let lost = self.pool.vm_lost(vm, loss, now());
        if lost.is_empty() {
            // It is told again for as long as a link to it is open.
            log::debug!("vm step=lost vm={vm} reason={loss:?} runs=0");
            return;
        }
        log::info!("vm step=lost vm={vm} reason={loss:?} runs={}", lost.len());
        self.log_lost(vm, loss, lost);
    }

    /// Counts a loss under tasks, and logs the runs that went with it.
    fn log_lost(&self, vm: &VmLife, loss: VmLoss, lost: Vec<LostRun>) {
        if lost.is_empty() {
            return;
        }
        let pool = self.log.pool.to_string();
        counter!("thistle_vms_lost", "pool" => pool, "reason" => format!("{loss:?}")).increment(1);
        for LostRun { run, age, may_be_there } in lost {
            let harm = self.pool.harm_of(run.task).cloned().unwrap_or_default();
            log::info!(
                "run step=lost run={run} vm={vm} reason={loss:?} age_ms={age} may_be_there={may_be_there} crashes={} at_start={} unclear={} verdict={:?}",
                harm.crashes,
                harm.at_start,
                harm.unclear.len(),
                harm.verdict(),
            );
        }
    }

    /// Closes the links to VMs that are neither listed nor have anything running.
    pub(super) fn drop_links(&mut self) {
        let known: HashSet<VmLife> = self.pool.vm_summaries().into_iter().map(|vm| vm.id).collect();
        self.links.retain(|_, link| known.contains(link.vm()));
    }
}

fn log_listed(facts: &VmFacts) {
    log::info!(
        "vm step=listed vm={} name={} pool={} addr={} hall={} rack={} draining={} cold={}",
        facts.id,
        facts.name,
        facts.pool,
        facts.addr,
        facts.hall,
        facts.rack,
        facts.draining,
        facts.cold,
    );
}

/// Returns the entry of a life of a VM, if it is the one that its ID's entry is of now.
fn is_listed<'a>(table: &'a VmTable, vm: &VmLife) -> Option<&'a Arc<VmFacts>> {
    table.get(vm.id()).filter(|facts| facts.id == *vm)
}

fn is_reborn(facts: &VmFacts, old: &VmSummary) -> bool {
    let same_name = !old.name.is_empty() && facts.name == old.name;
    (same_name || facts.id.id() == old.id.id()) && facts.id != old.id
}

/// Returns after how long a lease that was given at the latest now is surely over.
fn lease_bound(length: Ms) -> Ms {
    let lease = TaskLease::new(length, 0);
    (length..).find(|&at| lease.is_over(at)).unwrap_or(length)
}
