//! The fleet: which VMs are maintained or moved to another pool, and when.
//!
//! One node owns the fleet and gives all orders to the machine service. To empty a VM, it lists the VM in its record, which
//! the pools' owners read. It gives the order only once the pool's owner reports the VM as empty.

mod demand;
mod division;
mod evacuation;
mod facts;
mod moves;
mod order_queue;
mod orders;
mod record;
mod rows;
mod switch_off;
mod wave;
mod work;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::Ms;
use crate::halls::Halls;
use crate::policy::Policy;

pub use facts::{FleetOrder, FleetVm, HoldOff, OrderOutcome, PoolReport, VmState, WaveRequest};
pub use order_queue::OrderQueue;
pub use record::{FleetRecord, Purpose, Stage, VmWork, WaveRecord};
pub use rows::FleetRow;
use wave::Wave;
pub use work::WorkList;

/// How long a VM is left alone after an unanswered order, in milliseconds. The platform may carry out an order up to 12 s late.
const LATE_ORDER_MS: Ms = 13_000;
/// The minimum time between an order and its completion in the record, in milliseconds: that of the shortest move.
const MIN_COMPLETION_MS: Ms = 1_500;
/// The delay before an order is retried, in milliseconds.
const ORDER_RETRY_MS: Ms = 400;
/// How often [`ORDER_RETRY_MS`] doubles at most while an order is rejected: up to 1.6 s, as the machine service may recover at
/// any moment and waves have deadlines.
const MAX_ORDER_DOUBLINGS: u32 = 2;

/// The state of an order that this owner gave.
#[derive(Clone, Copy, Debug, Default)]
struct OrderState {
    in_flight: bool,
    retry_at: Ms,
    /// The number of consecutive rejections.
    rejections: u32,
    /// When the order was answered as done. The list of VMs may show its effect only later.
    done_at: Option<Ms>,
    /// When the order was first given.
    ordered_at: Option<Ms>,
    /// When the order was last sent, if it had to wait for its row.
    sent_at: Option<Ms>,
    /// Whether the VM was seen away after the order was answered. Once the VM is up again, the order is carried out.
    seen_away: bool,
}

/// The scheduler of maintenance and moves for the whole fleet.
#[derive(Debug)]
pub struct Fleet {
    policy: Policy,
    vms: BTreeMap<Arc<str>, FleetVm>,
    /// When the current list of VMs was requested, or `None` before the first list.
    listed_at: Option<Ms>,
    waves: BTreeMap<u64, Wave>,
    record: FleetRecord,
    reports: HashMap<Arc<str>, PoolReport>,
    /// The token and number of the newest numbered report of each pool.
    report_numbers: HashMap<Arc<str>, (u64, u64)>,
    order_states: HashMap<String, OrderState>,
    /// VMs for which an unanswered order may still be carried out, and until when.
    unanswered: HashMap<String, Ms>,
    /// The pool whose VMs are switched off.
    off_pool: Option<Arc<str>>,
    working_pools: HashSet<Arc<str>>,
    /// The evacuated data halls. Their VMs do not count as capacity and are not moved.
    halls: Arc<Halls>,
    /// How many VMs each working pool needs beyond those that it has or is getting, by the latest plan.
    short: Vec<(Arc<str>, usize)>,
    needs: demand::Needs,
    uses: demand::Uses,
    /// When VMs arrived in their pools.
    moved_at: HashMap<String, Ms>,
    /// The time since which VMs have had no running tasks, by their pools' reports.
    idle_since: HashMap<String, Ms>,
    /// Since when VMs in evacuated halls have been idle.
    evacuated_idle_since: HashMap<String, Ms>,
    /// VMs that are being emptied and have no running tasks by their pools' newest reports, with their pools and incarnations.
    emptied: HashMap<String, (Arc<str>, String)>,
    /// The time since which VMs of waves have been missing from the list.
    missing_since: HashMap<String, Ms>,
    hold_off: HoldOff,
    /// VMs about which the predecessor may just have given an order, and until when this owner gives none.
    held_off: HashMap<String, Ms>,
    /// VMs whose work is done, and until when they count as recently ordered.
    ordered_lately: HashMap<String, Ms>,
}

impl Fleet {
    /// Continues from the predecessor's record with the default policy.
    pub fn new(record: FleetRecord, hold_off: HoldOff) -> Self {
        Self::with_policy(record, hold_off, Policy::default())
    }

    /// Continues from the predecessor's record with a policy.
    pub fn with_policy(record: FleetRecord, hold_off: HoldOff, policy: Policy) -> Self {
        // The predecessor recorded each order before it gave it.
        let ordered = record.work.iter().filter(|w| w.stage != Stage::Emptying);
        let ordered = ordered.map(|w| (w.vm.clone(), hold_off.until));
        let recent_until = hold_off.until.saturating_sub(MIN_COMPLETION_MS);
        let recent = record.ordered_lately.iter().map(|vm| (vm.clone(), recent_until));
        let held_off: HashMap<String, Ms> = ordered.chain(recent).collect();
        let order_state = |(vm, &retry_at): (&String, &Ms)| {
            (vm.clone(), OrderState { retry_at, ..OrderState::default() })
        };
        let order_states = held_off.iter().map(order_state).collect();
        Self {
            policy,
            vms: BTreeMap::new(),
            listed_at: None,
            waves: BTreeMap::new(),
            record,
            reports: HashMap::new(),
            report_numbers: HashMap::new(),
            order_states,
            unanswered: HashMap::new(),
            off_pool: None,
            working_pools: HashSet::new(),
            halls: Arc::default(),
            short: Vec::new(),
            needs: demand::Needs::new(policy),
            uses: demand::Uses::default(),
            moved_at: HashMap::new(),
            idle_since: HashMap::new(),
            evacuated_idle_since: HashMap::new(),
            emptied: HashMap::new(),
            missing_since: HashMap::new(),
            hold_off,
            ordered_lately: held_off.clone(),
            held_off,
        }
    }

    /// Returns the record to write.
    pub const fn record(&self) -> &FleetRecord {
        &self.record
    }

    /// Returns how many VMs each working pool needs beyond those that it has or is getting, by the latest plan.
    pub fn short(&self) -> &[(Arc<str>, usize)] {
        &self.short
    }

    /// Returns whether an order switches its VM off.
    pub fn switches_off(&self, order: &FleetOrder) -> bool {
        matches!(&order.purpose, Purpose::Move { to } if self.off_pool.as_deref() == Some(to.as_str()))
    }

    /// Sets the list of VMs, which was requested at `requested_at`.
    pub fn set_vms(&mut self, vms: Vec<FleetVm>, requested_at: Ms) {
        self.vms = vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
        for (name, order) in self.order_states.iter_mut().filter(|(_, o)| o.done_at.is_some()) {
            let vm = self.vms.get(name.as_str());
            order.seen_away |= vm.is_some_and(|vm| vm.state == VmState::Away);
        }
        self.listed_at = Some(requested_at);
        self.record_missing(requested_at);
    }

    /// Sets the pools that run jobs, and the one whose VMs are switched off.
    pub fn set_pools(&mut self, working: HashSet<Arc<str>>, off: Option<Arc<str>>) {
        self.working_pools = working;
        self.off_pool = off;
    }

    /// Sets the evacuated data halls.
    pub fn set_halls(&mut self, halls: Arc<Halls>) {
        self.halls = halls;
    }

    /// Returns whether this report of a pool, or a newer one, was recorded. Reports without a number come in order.
    pub fn has_report(&self, pool: &str, report: &PoolReport) -> bool {
        let number = (report.token, report.number);
        report.token > 0 && self.report_numbers.get(pool).is_some_and(|newest| number <= *newest)
    }

    /// Records the report of a pool's owner, unless it has arrived before or is older than the newest one.
    pub fn set_report(&mut self, pool: &Arc<str>, report: PoolReport, now: Ms) {
        if self.has_report(pool, &report) {
            return;
        }
        if report.token > 0 {
            self.report_numbers.insert(pool.clone(), (report.token, report.number));
        }
        self.needs.record_report(pool, &report, now);
        let idle: HashSet<&String> = report.idle.iter().collect();
        let before = self.reports.get(pool).into_iter().flat_map(|before| &before.idle);
        for vm in before.filter(|vm| !idle.contains(vm)) {
            self.idle_since.remove(vm);
        }
        for vm in &report.idle {
            self.idle_since.entry(vm.clone()).or_insert(now);
        }
        self.record_evacuated_idle(pool, &report, now);
        self.emptied.retain(|_, (of, _)| of != pool);
        let emptied = report.emptied.iter();
        self.emptied.extend(
            emptied.map(|(vm, incarnation)| (vm.clone(), (pool.clone(), incarnation.clone()))),
        );
        self.reports.insert(pool.clone(), report);
    }

    /// Records the request for a wave.
    pub fn set_wave(&mut self, request: WaveRequest) {
        let number = request.wave;
        let known = self.record.waves.iter().any(|w| w.wave == number);
        if !known {
            let left = request.vms.iter().cloned().collect();
            self.record.waves.push(WaveRecord { wave: number, left, ..WaveRecord::default() });
        }
        self.waves.entry(number).or_insert_with(|| Wave::new(request));
    }

    /// Returns whether there is open work, so that the VMs must be polled often.
    pub fn is_busy(&self) -> bool {
        !self.record.work.is_empty() || self.record.waves.iter().any(|w| !w.completed)
    }

    /// Decides on the next steps and returns the orders to give. The record must be written before the orders are given.
    pub fn plan(&mut self, now: Ms) -> Vec<FleetOrder> {
        self.finish_work(now);
        self.held_off.retain(|_, until| now < *until);
        self.ordered_lately.retain(|_, until| now < *until);
        self.record.ordered_lately = self.ordered_lately.keys().cloned().collect();
        self.unanswered.retain(|_, until| now < *until);
        self.begin_maintenance(now);
        self.begin_moves(now);
        self.order_emptied();
        self.give_orders(now)
    }

    /// Records that an order which waited for its row is being sent. The minimum time until another node's order for the VM
    /// counts from then.
    pub fn record_order_sent(&mut self, vm: &str, now: Ms) {
        if let Some(order) = self.order_states.get_mut(vm) {
            order.sent_at = Some(now);
        }
    }

    /// Records the outcome of an order.
    pub fn record_order_result(&mut self, vm: &str, outcome: OrderOutcome, now: Ms) {
        if outcome == OrderOutcome::Unknown {
            self.unanswered.insert(vm.to_owned(), now + LATE_ORDER_MS);
        }
        // An answer to an order that is no longer pending does not concern the current work on the VM.
        let Some(order) = self.order_states.get_mut(vm).filter(|o| o.in_flight) else { return };
        order.in_flight = false;
        order.retry_at = now + (ORDER_RETRY_MS << order.rejections.min(MAX_ORDER_DOUBLINGS));
        order.rejections = if outcome == OrderOutcome::NotDone { order.rejections + 1 } else { 0 };
        match outcome {
            OrderOutcome::Done => order.done_at = Some(now),
            OrderOutcome::NotDone | OrderOutcome::Unknown => (),
            OrderOutcome::Impossible => self.abandon(vm),
        }
    }

    /// Returns the waves whose VMs are all maintained and whose completion is not yet reported to the operator.
    pub fn to_complete(&self) -> Vec<u64> {
        let is_finished = |w: &&WaveRecord| w.left.is_empty() && !w.completed;
        self.record.waves.iter().filter(is_finished).map(|w| w.wave).collect()
    }

    /// Records that the completion of a wave was reported to the operator.
    pub fn record_completed(&mut self, wave: u64) {
        if let Some(record) = self.record.waves.iter_mut().find(|w| w.wave == wave) {
            record.completed = true;
        }
    }

    /// Starts to empty a VM. Earlier reports on the VM no longer count.
    fn begin_emptying(&mut self, vm: &str, purpose: Purpose) {
        self.emptied.remove(vm);
        self.record.work.insert(VmWork { vm: vm.to_owned(), purpose, stage: Stage::Emptying });
    }
}
