//! The fleet: which VMs are maintained or moved to another pool, and when.
//!
//! One node owns the fleet and gives all orders to the machine service. It empties a VM by its
//! record, which the pools' owners read, and orders only once the pool's owner reports it empty.

mod facts;
mod moves;
mod record;
mod rows;
mod wave;
mod work;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::Ms;
use crate::halls::Halls;
use crate::id::VmLife;
use crate::policy::Policy;

pub use facts::{FleetOrder, FleetVm, HoldOff, OrderOutcome, PoolReport, VmState, WaveRequest};
pub use record::{FleetRecord, Purpose, Stage, VmWork, WaveRecord};
pub use rows::FleetRow;
use wave::Wave;
pub use work::WorkList;

/// How long after an order without an answer a VM is left alone: the order may be carried out up
/// to 12 s later, by the platform's word on late orders.
const LATE_ORDER_MS: Ms = 13_000;
/// How long after an answered order a VM that shows no other incarnation counts as one for which
/// the order had been carried out before: an upkeep or move takes about two seconds.
const DONE_BEFORE_MS: Ms = 6_000;
/// Moves over which their time is averaged.
const MOVES_MEASURED: Ms = 16;
/// The least time between an order and its being finished in the record, in milliseconds: the
/// shortest move.
const CARRIED_OUT_MS: Ms = 1_500;
/// Pause before an order is given again, in milliseconds.
const AGAIN_MS: Ms = 400;
/// How often that pause doubles at most while an order is turned down: to 1.6 s, as the machine service may be back
/// at any moment and waves have a time to keep.
const MOST_ORDER_DOUBLINGS: u32 = 2;

/// What is known of an order that was given in this term.
#[derive(Clone, Copy, Debug, Default)]
struct Given {
    under_way: bool,
    again_at: Ms,
    /// How often in a row it was turned down.
    turned_down: u32,
    done_at: Option<Ms>,
    ordered_at: Option<Ms>,
    /// The VM was seen away after the order was answered: up again, it is done.
    seen_away: bool,
}

/// The fleet's schedule.
#[derive(Debug)]
pub struct Fleet {
    policy: Policy,
    vms: BTreeMap<Arc<str>, FleetVm>,
    /// When the list of VMs was asked for; none before the first.
    listed_at: Option<Ms>,
    waves: BTreeMap<u64, Wave>,
    record: FleetRecord,
    reports: HashMap<Arc<str>, PoolReport>,
    given: HashMap<String, Given>,
    /// VMs that may still be hit by an order without an answer, and until when.
    unsettled: HashMap<String, Ms>,
    /// The pool whose VMs are switched off.
    off_pool: Option<Arc<str>>,
    working_pools: HashSet<Arc<str>>,
    /// Data halls that are evacuated: their VMs are no capacity, and stay where they are.
    halls: Arc<Halls>,
    needs: moves::Needs,
    /// When VMs came to their pools.
    moved_at: HashMap<String, Ms>,
    /// Since when VMs have had nothing running, by their pools' reports.
    idle_since: HashMap<String, Ms>,
    /// VMs that are to be emptied and have nothing running, by their pools' newest reports: the pool, and their lives.
    emptied: HashMap<String, (Arc<str>, String)>,
    /// Since when VMs of waves are missing from the list.
    missing_since: HashMap<String, Ms>,
    hold_off: HoldOff,
    /// VMs about which a predecessor may just have given an order, and until when none is given.
    kept_off: HashMap<String, Ms>,
    /// VMs whose work is done, and until when they count as ordered of late.
    ordered_lately: HashMap<String, Ms>,
}

impl Fleet {
    /// Takes over from a record.
    pub fn new(record: FleetRecord, hold_off: HoldOff) -> Self {
        Self::with_policy(record, hold_off, Policy::default())
    }

    /// Takes over from a record, with other parameters of decisions than the usual ones.
    pub fn with_policy(record: FleetRecord, hold_off: HoldOff, policy: Policy) -> Self {
        // The predecessor wrote that a VM was ordered before it gave the order.
        let ordered = record.work.iter().filter(|w| w.stage != Stage::Emptying);
        let ordered = ordered.map(|w| (w.vm.clone(), hold_off.until));
        let moved = hold_off.until.saturating_sub(CARRIED_OUT_MS);
        let lately = record.ordered_lately.iter().map(|vm| (vm.clone(), moved));
        let kept_off: HashMap<String, Ms> = ordered.chain(lately).collect();
        let given =
            |(vm, &again_at): (&String, &Ms)| (vm.clone(), Given { again_at, ..Given::default() });
        let given = kept_off.iter().map(given).collect();
        Self {
            policy,
            vms: BTreeMap::new(),
            listed_at: None,
            waves: BTreeMap::new(),
            record,
            reports: HashMap::new(),
            given,
            unsettled: HashMap::new(),
            off_pool: None,
            working_pools: HashSet::new(),
            halls: Arc::default(),
            needs: moves::Needs::new(policy),
            moved_at: HashMap::new(),
            idle_since: HashMap::new(),
            emptied: HashMap::new(),
            missing_since: HashMap::new(),
            hold_off,
            ordered_lately: kept_off.clone(),
            kept_off,
        }
    }

    /// Returns the record to write.
    pub const fn record(&self) -> &FleetRecord {
        &self.record
    }

    /// Takes in the VMs, as they were when they were asked for.
    pub fn set_vms(&mut self, vms: Vec<FleetVm>, asked_at: Ms) {
        self.vms = vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
        for (name, given) in self.given.iter_mut().filter(|(_, g)| g.done_at.is_some()) {
            let vm = self.vms.get(name.as_str());
            given.seen_away |= vm.is_some_and(|vm| vm.state == VmState::Away);
        }
        self.listed_at = Some(asked_at);
        self.note_missing(asked_at);
    }

    /// Takes in the pools: those that work, and the one whose VMs are switched off.
    pub fn set_pools(&mut self, working: HashSet<Arc<str>>, off: Option<Arc<str>>) {
        self.working_pools = working;
        self.off_pool = off;
    }

    /// Takes in which data halls are evacuated.
    pub fn set_halls(&mut self, halls: Arc<Halls>) {
        self.halls = halls;
    }

    /// Takes in a pool owner's report.
    pub fn set_report(&mut self, pool: &Arc<str>, report: PoolReport, now: Ms) {
        self.needs.note(pool, &report, now);
        let idle: HashSet<&String> = report.idle.iter().collect();
        let before = self.reports.get(pool).into_iter().flat_map(|before| &before.idle);
        for vm in before.filter(|vm| !idle.contains(vm)) {
            self.idle_since.remove(vm);
        }
        for vm in &report.idle {
            self.idle_since.entry(vm.clone()).or_insert(now);
        }
        self.emptied.retain(|_, (of, _)| of != pool);
        let emptied = report.emptied.iter();
        self.emptied.extend(emptied.map(|(vm, life)| (vm.clone(), (pool.clone(), life.clone()))));
        self.reports.insert(pool.clone(), report);
    }

    /// Takes in a wave.
    pub fn set_wave(&mut self, request: WaveRequest) {
        let number = request.wave;
        let known = self.record.waves.iter().any(|w| w.wave == number);
        if !known {
            let left = request.vms.iter().cloned().collect();
            self.record.waves.push(WaveRecord { wave: number, left, ..WaveRecord::default() });
        }
        self.waves.entry(number).or_insert_with(|| Wave::new(request));
    }

    /// Returns whether anything is to be done, so that the VMs are to be looked at often.
    pub fn is_busy(&self) -> bool {
        !self.record.work.is_empty() || self.record.waves.iter().any(|w| !w.completed)
    }

    /// Decides what to do next. The record is to be written before the orders are given.
    pub fn plan(&mut self, now: Ms) -> Vec<FleetOrder> {
        self.finish_work(now);
        self.kept_off.retain(|_, until| now < *until);
        self.ordered_lately.retain(|_, until| now < *until);
        self.record.ordered_lately = self.ordered_lately.keys().cloned().collect();
        self.unsettled.retain(|_, until| now < *until);
        self.begin_maintenance(now);
        self.begin_moves(now);
        self.order_emptied();
        self.give_orders(now)
    }

    /// Takes in what came of an order.
    pub fn order_result(&mut self, vm: &str, outcome: OrderOutcome, now: Ms) {
        if outcome == OrderOutcome::Unknown {
            self.unsettled.insert(vm.to_owned(), now + LATE_ORDER_MS);
        }
        // An answer that nothing waits for says nothing of what is done with the VM now.
        let Some(given) = self.given.get_mut(vm).filter(|given| given.under_way) else { return };
        given.under_way = false;
        given.again_at = now + (AGAIN_MS << given.turned_down.min(MOST_ORDER_DOUBLINGS));
        given.turned_down =
            if outcome == OrderOutcome::NotDone { given.turned_down + 1 } else { 0 };
        match outcome {
            OrderOutcome::Done => given.done_at = Some(now),
            OrderOutcome::NotDone | OrderOutcome::Unknown => (),
            OrderOutcome::Impossible => self.abandon(vm),
        }
    }

    /// Returns the waves whose VMs are all maintained and that the operator is not told of yet.
    pub fn to_complete(&self) -> Vec<u64> {
        let over = |w: &&WaveRecord| w.left.is_empty() && !w.completed;
        self.record.waves.iter().filter(over).map(|w| w.wave).collect()
    }

    /// Takes in that the operator was told.
    pub fn completed(&mut self, wave: u64) {
        if let Some(record) = self.record.waves.iter_mut().find(|w| w.wave == wave) {
            record.completed = true;
        }
    }

    /// Begins to empty a VM. What was said of it before counts no more.
    fn begin(&mut self, vm: &str, purpose: Purpose) {
        self.emptied.remove(vm);
        self.record.work.insert(VmWork { vm: vm.to_owned(), purpose, stage: Stage::Emptying });
    }

    /// Ends the work on VMs whose orders were carried out.
    fn finish_work(&mut self, now: Ms) {
        let done: Vec<VmWork> =
            self.record.work.iter().filter(|w| self.is_carried_out(w, now)).cloned().collect();
        for work in done {
            let given = self.given.remove(&work.vm);
            // One whose time is not known was ordered by a predecessor, and stands there already.
            if let Some(ordered_at) = given.and_then(|g| g.ordered_at) {
                self.ordered_lately.insert(work.vm.clone(), ordered_at + self.hold_off.gap);
            }
            self.record.work.remove(&work.vm);
            match work.purpose {
                Purpose::Maintain { wave } => self.mark_maintained(wave, &work.vm),
                Purpose::Move { .. } => {
                    self.measure_move(given.and_then(|g| g.ordered_at), now);
                    self.moved_at.insert(work.vm, now);
                }
            }
        }
    }

    /// Takes in how long a move took from its order; a new owner does not know of its
    /// predecessor's.
    fn measure_move(&mut self, ordered_at: Option<Ms>, now: Ms) {
        let Some(ordered_at) = ordered_at else { return };
        let took = now.saturating_sub(ordered_at);
        let known = self.record.move_ms;
        let mean = (known * (MOVES_MEASURED - 1) + took).div_ceil(MOVES_MEASURED);
        self.record.move_ms = if known == 0 { took } else { mean };
    }

    fn is_carried_out(&self, work: &VmWork, now: Ms) -> bool {
        let Stage::Ordered { incarnation } = &work.stage else { return false };
        if self.has_come(work, incarnation.as_deref()) {
            return true;
        }
        let Some(given) = self.given.get(&work.vm) else { return false };
        let Some(done_at) = given.done_at else { return false };
        let Some(vm) = self.vms.get(work.vm.as_str()) else {
            // It has left for good, if a list from well after the order does not hold it.
            return self.listed_at.is_some_and(|at| at >= done_at + DONE_BEFORE_MS);
        };
        if vm.state != VmState::Up {
            return false;
        }
        let settled = match &work.purpose {
            Purpose::Move { to } => &*vm.pool == to.as_str(),
            Purpose::Maintain { .. } => true,
        };
        // One that is switched off has no incarnation to tell by.
        let reborn = given.seen_away || vm.incarnation.as_deref() != incarnation.as_deref();
        settled && (reborn || now.saturating_sub(done_at) >= DONE_BEFORE_MS)
    }

    /// Returns whether a VM that was to move is up in its pool in another incarnation, whoever's order
    /// brought it there. While this owner waits for an answer the VM is not free for anything else: the
    /// order may yet be carried out.
    fn has_come(&self, work: &VmWork, incarnation: Option<&str>) -> bool {
        let Purpose::Move { to } = &work.purpose else { return false };
        if self.given.get(&work.vm).is_some_and(|given| given.under_way) {
            return false;
        }
        let come = |vm: &FleetVm| {
            vm.state == VmState::Up
                && &*vm.pool == to.as_str()
                && vm.incarnation.as_deref() != incarnation
        };
        self.vms.get(work.vm.as_str()).is_some_and(come)
    }

    /// Orders what concerns VMs that are empty now.
    fn order_emptied(&mut self) {
        let emptying = self.record.work.iter().filter(|w| w.stage == Stage::Emptying);
        let empty: Vec<VmWork> = emptying.filter(|w| self.is_empty(&w.vm)).cloned().collect();
        for VmWork { vm, purpose, .. } in empty {
            if !self.may_take_down(&purpose) {
                continue;
            }
            let known = self.vms.get(vm.as_str());
            let incarnation = known.and_then(|vm| vm.incarnation.as_deref()).map(str::to_owned);
            self.record.work.set_stage(&vm, Stage::Ordered { incarnation });
            self.given.entry(vm).or_default();
        }
    }

    /// Returns whether nothing runs on a VM, by the word of its pool's owner about this very
    /// incarnation; a VM that is switched off has nothing running.
    fn is_empty(&self, name: &str) -> bool {
        let Some(vm) = self.vms.get(name) else { return false };
        if vm.state != VmState::Up {
            return false;
        }
        if self.off_pool.as_ref() == Some(&vm.pool) {
            return true;
        }
        let listed = VmLife::from(vm.incarnation.as_deref().unwrap_or_default());
        let same_life = |life: &str| VmLife::from(life).may_be(&listed);
        self.emptied.get(name).is_some_and(|(pool, life)| *pool == vm.pool && same_life(life))
    }

    fn give_orders(&mut self, now: Ms) -> Vec<FleetOrder> {
        let mut orders = Vec::new();
        for work in &self.record.work {
            if work.stage == Stage::Emptying {
                continue;
            }
            let given = self.given.entry(work.vm.clone()).or_default();
            if given.under_way || given.done_at.is_some() || now < given.again_at {
                continue;
            }
            given.under_way = true;
            given.ordered_at.get_or_insert(now);
            orders.push(FleetOrder { vm: work.vm.clone(), purpose: work.purpose.clone() });
        }
        orders
    }

    /// Gives up the work on a VM for which it cannot be done.
    fn abandon(&mut self, vm: &str) {
        self.given.remove(vm);
        let Some(work) = self.record.work.remove(vm) else { return };
        if let Purpose::Maintain { wave } = work.purpose {
            self.mark_maintained(wave, vm);
        }
    }
}
