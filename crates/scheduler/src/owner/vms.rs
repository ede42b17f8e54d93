//! Keeps an owner's links consistent with the VMs that the store lists.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use metrics::counter;
use thistle_schedule::ownership::{Reach, VmAnswer};
use thistle_schedule::pool::{LostRun, StartResult, VmSummary};
use thistle_schedule::{EarlierCalls, RunId, VmFacts, VmIncarnation, VmLoss};

use super::lease_bounds::earlier_calls;
use super::link::Link;
use super::losses::LossNumber;
use super::{Event, Owner};
use crate::clock::{now, steady_ms};
use crate::locks::lock;
use crate::node::VmTable;

/// The number of other VMs that are called when one leaves a call unanswered.
const PROBED_VMS: usize = 2;

impl Owner {
    /// Applies the current VM list.
    pub(super) fn apply_vm_list(&mut self, table: &VmTable) {
        let table = &*self.fill_in_start_times(table);
        let pool_vms = self.pool.vm_summaries();
        self.incarnation_order.record_list(table, |id| pool_vms.iter().any(|vm| vm.id == *id));
        let pool = self.log.pool.clone();
        for facts in table.values().filter(|f| f.pool == pool) {
            if self.pool.list_vm(facts.clone()) {
                log_listed(facts);
            }
            self.orphans.remove(&facts.id);
            match self.links.get(facts.id.id()) {
                Some(link) if *link.vm() == facts.id => (),
                // Poll the VM, which itself reports whether the linked incarnation has ended.
                Some(link) if !link.is_over() => link.poll_now(),
                Some(_) => self.open_link(facts, EarlierCalls::Ending),
                None => self.open_link(facts, earlier_calls(&facts.id)),
            }
        }
        for vm in pool_vms {
            if listed_entry(table, &vm.id).is_some_and(|f| f.pool == self.log.pool) {
                continue;
            }
            if self.pool.unlist_vm(&vm.id) {
                log::info!("vm step=unlisted vm={} name={} pool={}", vm.id, vm.name, self.log.pool);
            }
            self.report_if_superseded(&vm, table);
        }
        // A VM that became unresponsive while it ran a task may be listed again in another pool.
        for (vm, name) in self.pool.unclear_losses() {
            // The leftover entry of an earlier incarnation does not show that this one has ended.
            let successor = |f: &VmFacts| {
                *f.name == *name && f.id != vm && !self.incarnation_order.is_later(&vm, &f.id)
            };
            if !name.is_empty() && table.values().any(|f| successor(f)) {
                self.report_replaced(&vm);
            }
        }
        self.record_orphans(table);
    }

    /// Fills in, for entries without a start time, the incarnation that has answered on the VM's link.
    fn fill_in_start_times<'a>(&self, table: &'a VmTable) -> Cow<'a, VmTable> {
        let answered = |facts: &VmFacts| {
            let current = self.links.get(facts.id.id()).map(Link::vm);
            current
                .filter(|current| facts.id.started_at().is_none() && current.started_at().is_some())
                .cloned()
        };
        if !table.values().any(|facts| answered(facts).is_some()) {
            return Cow::Borrowed(table);
        }
        let mut filled_in = table.clone();
        for facts in filled_in.values_mut() {
            if let Some(id) = answered(facts) {
                *facts = Arc::new(VmFacts { id, ..VmFacts::clone(facts) });
            }
        }
        Cow::Owned(filled_in)
    }

    /// Opens the link to a VM, replacing the link to an earlier incarnation.
    fn open_link(&mut self, facts: &Arc<VmFacts>, earlier: EarlierCalls) {
        let (tx, losses, token) = (self.tx.clone(), self.losses.clone(), self.tokens.next());
        let lease = self.lease_of(&facts.id, earlier);
        let link = Link::open(&self.node, &self.log, facts, token, tx, losses, lease);
        self.links.insert(facts.id.id().clone(), link);
    }

    /// Returns the link to an incarnation of a VM.
    pub(super) fn link(&self, vm: &VmIncarnation) -> Option<&Link> {
        self.links.get(vm.id()).filter(|link| link.vm() == vm)
    }

    pub(super) fn link_mut(&mut self, vm: &VmIncarnation) -> Option<&mut Link> {
        self.links.get_mut(vm.id()).filter(|link| link.vm() == vm)
    }

    /// Checks whether a later incarnation of a VM that has stopped answering is listed already.
    pub(super) fn check_for_successor(&self, id: &VmIncarnation) {
        let listed = self.node.vms.borrow().clone();
        let table = self.fill_in_start_times(&listed);
        if let Some(vm) = self.pool.vm_summaries().into_iter().find(|vm| vm.id == *id)
            && listed_entry(&table, id).is_none()
        {
            self.report_if_superseded(&vm, &table);
        }
    }

    /// Returns the next incarnation of a VM if the newest list, which the owner may not have applied yet, contains it. It may execute
    /// starts that were meant for this incarnation.
    pub(super) fn listed_next_incarnation(&self, vm: &VmIncarnation) -> Option<VmIncarnation> {
        let listed = self.node.vms.borrow().get(vm.id()).map(|facts| facts.id.clone())?;
        let is_next =
            listed.is_other_incarnation_of(vm) && self.incarnation_order.is_later(&listed, vm);
        is_next.then_some(listed)
    }

    /// Reports an unlisted incarnation as lost if a later one of its VM is listed. An incarnation that still answers
    /// is not gone, whatever an entry for its VM states. The entry of an earlier incarnation, which remains for a
    /// while after its end, is no evidence about this one.
    fn report_if_superseded(&self, vm: &VmSummary, table: &VmTable) {
        if vm.reachable && self.link(&vm.id).is_some_and(|link| !link.is_over()) {
            return;
        }
        let is_later_successor = |facts: &&Arc<VmFacts>| {
            is_successor(facts, vm) && self.incarnation_order.is_later(&facts.id, &vm.id)
        };
        match table.values().find(is_later_successor) {
            Some(facts) if facts.id.is_other_incarnation_of(&vm.id) => {
                self.report_restarted(&vm.id, &facts.id);
            }
            Some(_) => self.report_replaced(&vm.id),
            None => (),
        }
    }

    /// Queues an event that a VM has restarted under its ID.
    fn report_restarted(&self, vm: &VmIncarnation, next: &VmIncarnation) {
        if let Some(link) = self.link(vm) {
            link.report_restart(next);
            return;
        }
        // There is no link to send the event.
        let number = self.losses.next();
        let _ = self.tx.send(Event::Restarted(vm.clone(), next.clone(), number));
    }

    /// Handles the restart of a VM under its ID and opens a link to the next incarnation.
    pub(super) fn handle_restart(&mut self, previous: &VmIncarnation, next: &VmIncarnation) {
        let lost = self.pool.vm_restarted(previous, next, now());
        log::info!("vm step=restarted vm={previous} life={next} runs={}", lost.len());
        self.link_next_incarnation(previous, next, lost);
    }

    /// Handles the probable restart of a VM under its ID: each run counts in the next incarnation until its first answer.
    pub(super) fn handle_possible_restart(
        &mut self,
        previous: &VmIncarnation,
        next: &VmIncarnation,
    ) {
        let lost = self.pool.vm_maybe_restarted(previous, next, now());
        log::info!("vm step=maybe-restarted vm={previous} life={next} runs={}", lost.len());
        self.link_next_incarnation(previous, next, lost);
    }

    /// Opens a link to the next incarnation of a VM that has restarted under its ID.
    fn link_next_incarnation(
        &mut self,
        previous: &VmIncarnation,
        next: &VmIncarnation,
        lost: Vec<LostRun>,
    ) {
        self.log_lost(previous, VmLoss::Replaced, lost);
        let Some(link) = self.link(previous) else { return };
        // The next incarnation has to be listed with its current facts before any task starts there.
        let facts = Arc::new(VmFacts { id: next.clone(), ..VmFacts::clone(link.facts()) });
        self.open_link(&facts, EarlierCalls::Ending);
        self.orphans.remove(next);
        let table = self.node.vms.borrow().clone();
        if table.get(next.id()).is_some_and(|listed| listed.id.started_at().is_none()) {
            // The VM's entries have no start time, so none will name this incarnation.
            self.pool.unlist_vm(previous);
            self.apply_vm_list(&table);
        }
    }

    /// Ends the links to incarnations whose VM is listed as a later one, if the VM's answers contain no start time: they
    /// neither confirm the restart nor refute it, and the listed incarnation would never answer.
    pub(super) fn end_superseded_links(&self) {
        let table = self.node.vms.borrow().clone();
        let answers_for_any = |link: &&Link| !link.is_over() && link.omits_start_time();
        for link in self.links.values().filter(answers_for_any) {
            let Some(listed) = table.get(link.vm().id()) else { continue };
            if listed.pool == self.log.pool
                && listed.id.started_at().is_some()
                && listed.id.is_other_incarnation_of(link.vm())
                && self.incarnation_order.is_later(&listed.id, link.vm())
            {
                link.report_possible_restart(&listed.id);
            }
        }
    }

    /// Queues an event that another incarnation has replaced a VM.
    fn report_replaced(&self, vm: &VmIncarnation) {
        if let Some(link) = self.link(vm) {
            link.report_loss(VmLoss::Replaced);
            return;
        }
        // There is no link to send the event.
        let _ = self.tx.send(Event::Lost(vm.clone(), VmLoss::Replaced, self.losses.next()));
    }

    /// Releases the runs that a VM can't have executed before its loss is applied. They can't have crashed it, and no copy of
    /// their starts can begin them later.
    pub(super) fn begin_loss(&mut self, vm: &VmIncarnation, number: LossNumber) {
        let Some(link) = self.link_mut(vm) else { return };
        link.set_handled_loss(number);
        for run in link.withdraw_unsent_starts() {
            log::info!("start step=withdrawn run={run} vm={vm}");
            self.pool.apply_start_result(vm, run, StartResult::NotTaken, now());
        }
    }

    /// Withdraws the starts that wait for a VM and will not be sent, so that their tasks run elsewhere at once.
    pub(super) fn withdraw_withheld_starts(&mut self) {
        for link in self.links.values() {
            for run in link.withdraw_withheld_starts() {
                self.pool.apply_start_result(link.vm(), run, StartResult::Withheld, now());
            }
        }
    }

    /// Withdraws the starts that wait behind unanswered ones to VMs that do not answer, so that their tasks run elsewhere at once.
    pub(super) fn withdraw_unsent_to_silent_vms(&mut self) {
        // Behind its own full link, an owner takes VMs for silent, and starts placed again would fill it further.
        if self.node.uplink.is_full() {
            return;
        }
        let silent: Vec<VmIncarnation> = self.pool.unreachable_with_runs().cloned().collect();
        for vm in silent {
            let Some(link) = self.link(&vm) else { continue };
            for run in link.withdraw_waiting_starts() {
                log::info!("start step=withdrawn run={run} vm={vm}");
                self.pool.apply_start_result(&vm, run, StartResult::Withheld, now());
            }
        }
    }

    /// Tells each link which stops of moves must not be sent now.
    pub(super) fn withhold_moves(&self) {
        let mut withheld: HashMap<VmIncarnation, HashSet<RunId>> = HashMap::new();
        for (vm, run) in self.pool.withheld_moves() {
            withheld.entry(vm).or_default().insert(run);
        }
        for link in self.links.values() {
            link.withhold_moves(withheld.remove(link.vm()).unwrap_or_default());
        }
    }

    /// Abandons the runs on a VM incarnation that is lost.
    pub(super) fn lose_vm(&mut self, vm: &VmIncarnation, loss: VmLoss) {
        let lost = self.pool.vm_lost(vm, loss, now());
        if lost.is_empty() {
            // A loss may be reported more than once while the link is open.
            log::debug!("vm step=lost vm={vm} reason={loss:?} runs=0");
            return;
        }
        log::info!("vm step=lost vm={vm} reason={loss:?} runs={}", lost.len());
        self.log_lost(vm, loss, lost);
    }

    /// Counts the loss of a VM that had runs, and logs the lost runs.
    fn log_lost(&self, vm: &VmIncarnation, loss: VmLoss, lost: Vec<LostRun>) {
        if lost.is_empty() {
            return;
        }
        let pool = self.log.pool.to_string();
        counter!("thistle_vms_lost", "pool" => pool, "reason" => format!("{loss:?}")).increment(1);
        for LostRun { run, age, may_exist } in lost {
            let history = self.pool.crash_history_of(run.task).cloned().unwrap_or_default();
            log::info!(
                "run step=lost run={run} vm={vm} reason={loss:?} age_ms={age} may_be_there={may_exist} crashes={} at_start={} unclear={} verdict={:?}",
                history.crashes,
                history.at_start,
                history.unclear.len(),
                history.verdict(),
            );
        }
    }

    /// Calls a few more VMs because one has left a call unanswered. If they do not answer either, each has others called, so that
    /// an owner that reaches no VM soon knows it, and the loss of one VM costs few calls.
    pub(super) fn probe_vms(&self) {
        let links = self.links.values().filter(|link| !link.is_over());
        let _ = links.filter(|link| link.probe()).take(PROBED_VMS).count();
    }

    /// Records whether this owner reaches its VMs. Those that are leaving need not answer. Behind a full link answers are late.
    pub(super) fn record_reach(&self) {
        let table = self.node.vms.borrow().clone();
        let should_answer = |link: &Link| {
            let listed = table.get(link.vm().id());
            listed.is_some_and(|f| f.pool == self.log.pool && !f.draining)
        };
        let links = self.links.values().filter(|link| !link.is_over());
        let answers = links.filter_map(|link| {
            let answer = link.answer();
            (answer == VmAnswer::Answered || should_answer(link)).then_some(answer)
        });
        let reach = match self.node.uplink.is_full() {
            true => Reach::Unknown,
            false => Reach::of(answers),
        };
        let mut ownership = lock(&self.node.ownership);
        ownership.record_reach(&self.log.pool, self.token, reach, steady_ms());
    }

    /// Closes the links to VMs that are not listed and have no runs, and opens those to their listed incarnations: a link that
    /// is closed can no longer report that its VM has restarted.
    pub(super) fn close_unused_links(&mut self) {
        let known: HashSet<VmIncarnation> =
            self.pool.vm_summaries().into_iter().map(|vm| vm.id).collect();
        let open = self.links.len();
        self.links.retain(|_, link| known.contains(link.vm()));
        if self.links.len() < open {
            let table = self.node.vms.borrow().clone();
            self.apply_vm_list(&table);
        }
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

/// Returns the entry of a VM's ID if it names this incarnation.
fn listed_entry<'a>(table: &'a VmTable, vm: &VmIncarnation) -> Option<&'a Arc<VmFacts>> {
    table.get(vm.id()).filter(|facts| facts.id == *vm)
}

fn is_successor(facts: &VmFacts, previous: &VmSummary) -> bool {
    let same_name = !previous.name.is_empty() && facts.name == previous.name;
    (same_name || facts.id.id() == previous.id.id()) && facts.id != previous.id
}
