//! Orders to the machine service: which VMs are empty, which orders are given, and which are carried out.

use super::{Fleet, FleetOrder, FleetVm, Purpose, Stage, VmState, VmWork};
use crate::Ms;
use crate::id::VmIncarnation;

/// How long after an answered order a VM may keep its incarnation before the order counts as carried out earlier, in
/// milliseconds. Maintenance or a move takes about two seconds.
const ALREADY_DONE_MS: Ms = 6_000;
/// The number of moves over which the duration of a move is averaged.
const MOVES_AVERAGED: Ms = 16;

impl Fleet {
    /// Finishes the work on VMs whose orders were carried out.
    pub(super) fn finish_work(&mut self, now: Ms) {
        let done: Vec<VmWork> =
            self.record.work.iter().filter(|w| self.is_carried_out(w, now)).cloned().collect();
        for work in done {
            let order = self.order_states.remove(&work.vm);
            // If the time of the order is not known, a predecessor gave it, and the VM is already in the list.
            if let Some(ordered_at) = order.and_then(|o| o.sent_at.or(o.ordered_at)) {
                self.ordered_lately.insert(work.vm.clone(), ordered_at + self.hold_off.gap);
            }
            self.record.work.remove(&work.vm);
            match work.purpose {
                Purpose::Maintain { wave } => self.mark_maintained(wave, &work.vm),
                Purpose::Move { .. } => {
                    self.record_move_duration(order.and_then(|o| o.ordered_at), now);
                    self.moved_at.insert(work.vm, now);
                }
            }
        }
    }

    /// Includes a move in the mean duration, from order to completion. The duration of a predecessor's order is not known.
    fn record_move_duration(&mut self, ordered_at: Option<Ms>, now: Ms) {
        let Some(ordered_at) = ordered_at else { return };
        let took = now.saturating_sub(ordered_at);
        let known = self.record.move_ms;
        let mean = (known * (MOVES_AVERAGED - 1) + took).div_ceil(MOVES_AVERAGED);
        self.record.move_ms = if known == 0 { took } else { mean };
    }

    fn is_carried_out(&self, work: &VmWork, now: Ms) -> bool {
        let Stage::Ordered { incarnation } = &work.stage else { return false };
        if self.has_arrived(work, incarnation.as_deref()) {
            return true;
        }
        let Some(order) = self.order_states.get(&work.vm) else { return false };
        let Some(done_at) = order.done_at else { return false };
        let Some(vm) = self.vms.get(work.vm.as_str()) else {
            // The VM has left permanently if a list from well after the order does not contain it.
            return self.listed_at.is_some_and(|at| at >= done_at + ALREADY_DONE_MS);
        };
        if vm.state != VmState::Up {
            return false;
        }
        let is_in_place = match &work.purpose {
            Purpose::Move { to } => &*vm.pool == to.as_str(),
            Purpose::Maintain { .. } => true,
        };
        // A switched-off VM has no incarnation to compare.
        let is_new_incarnation =
            order.seen_away || vm.incarnation.as_deref() != incarnation.as_deref();
        is_in_place && (is_new_incarnation || now.saturating_sub(done_at) >= ALREADY_DONE_MS)
    }

    /// Returns whether a VM that should move is up in its new pool in another incarnation, whichever owner gave the order.
    /// While this owner waits for an answer the VM is not free for other work, as the order may still be carried out.
    fn has_arrived(&self, work: &VmWork, incarnation: Option<&str>) -> bool {
        let Purpose::Move { to } = &work.purpose else { return false };
        if self.order_states.get(&work.vm).is_some_and(|order| order.in_flight) {
            return false;
        }
        let is_done = |vm: &FleetVm| {
            vm.state == VmState::Up
                && &*vm.pool == to.as_str()
                && vm.incarnation.as_deref() != incarnation
        };
        self.vms.get(work.vm.as_str()).is_some_and(is_done)
    }

    /// Marks the work on VMs that are now empty as ordered.
    pub(super) fn order_emptied(&mut self) {
        let emptying = self.record.work.iter().filter(|w| w.stage == Stage::Emptying);
        let empty: Vec<VmWork> = emptying.filter(|w| self.is_empty(&w.vm)).cloned().collect();
        for VmWork { vm, purpose, .. } in empty {
            if !self.may_take_down(&purpose) {
                continue;
            }
            let known = self.vms.get(vm.as_str());
            let incarnation = known.and_then(|vm| vm.incarnation.as_deref()).map(str::to_owned);
            self.record.work.set_stage(&vm, Stage::Ordered { incarnation });
            self.order_states.entry(vm).or_default();
        }
    }

    /// Returns whether a VM has no running tasks: its pool's owner reported so for its current incarnation, or the VM is
    /// switched off.
    pub(super) fn is_empty(&self, name: &str) -> bool {
        let Some(vm) = self.vms.get(name) else { return false };
        if vm.state != VmState::Up {
            return false;
        }
        if self.off_pool.as_ref() == Some(&vm.pool) {
            return true;
        }
        let listed = VmIncarnation::from(vm.incarnation.as_deref().unwrap_or_default());
        let is_listed = |incarnation: &str| VmIncarnation::from(incarnation).may_be_same(&listed);
        self.emptied
            .get(name)
            .is_some_and(|(pool, incarnation)| *pool == vm.pool && is_listed(incarnation))
    }

    pub(super) fn give_orders(&mut self, now: Ms) -> Vec<FleetOrder> {
        let mut orders = Vec::new();
        for work in &self.record.work {
            if work.stage == Stage::Emptying {
                continue;
            }
            let order = self.order_states.entry(work.vm.clone()).or_default();
            if order.in_flight || order.done_at.is_some() || now < order.retry_at {
                continue;
            }
            order.in_flight = true;
            order.ordered_at.get_or_insert(now);
            orders.push(FleetOrder { vm: work.vm.clone(), purpose: work.purpose.clone() });
        }
        orders
    }

    /// Abandons the work on a VM that can never be carried out.
    pub(super) fn abandon(&mut self, vm: &str) {
        self.order_states.remove(vm);
        let Some(work) = self.record.work.remove(vm) else { return };
        if let Purpose::Maintain { wave } = work.purpose {
            self.mark_maintained(wave, vm);
        }
    }
}
