//! The owner of a pool: runs its schedule, writes its records and keeps the links to its VMs.

mod advisor;
mod direct_report;
mod dispatch;
mod handover;
mod held_ends;
mod incarnation_order;
mod intake;
mod lag;
mod lease_bounds;
mod link;
mod losses;
mod origins;
mod orphans;
mod outlook;
mod progress;
mod purge;
mod queues;
mod quota;
mod report;
mod stalled;
mod start;
mod start_budget;
mod telemetry;
mod tokens;
mod vms;

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use thistle_schedule::assignment::EarlierJobs;
use thistle_schedule::pool::{Order, StartResult, StepId};
use thistle_schedule::{
    Caller, JobId, LeaseRecorder, LogChange, Ms, Phase, Pool, RunId, StartBacklog, StartRelays,
    VmIncarnation, VmLoss, VmReport,
};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;

use crate::clock::{now, steady_ms};
use crate::journal::{Fenced, Journal};
use crate::node::Node;
use crate::pool_log::PoolLog;
use crate::waits::{Wait, Waits};
use advisor::Advisor;
use held_ends::HeldEndsReporter;
use incarnation_order::IncarnationOrder;
use intake::Intake;
use lease_bounds::LeaseBoundsWrite;
use link::Link;
use losses::{LossCounter, LossNumber};
use orphans::Orphan;
use outlook::OutlookPublisher;
use progress::ProgressWriter;
use quota::Quota;
use report::Reporter;
use stalled::StalledReporter;
use telemetry::{log_ends, log_report_changes};
use tokens::LinkTokens;

pub use start::run;

/// The longest time between two steps of the schedule when no event arrives.
const TICK: Duration = Duration::from_millis(100);
/// The same while tasks wait for the link, which is idle if starts are not placed in time.
const LINK_BOUND_TICK: Duration = Duration::from_millis(30);
/// How often all VMs are checked, in milliseconds. Checking them at each step is most of the cost of a step in a
/// large pool.
const VM_CHECK_EVERY_MS: Ms = 100;

/// An event that the owner handles.
#[derive(Debug)]
pub enum Event {
    /// A submission or a cancellation was read.
    Log(LogChange),
    /// A VM reported its running and ended tasks.
    Report(VmIncarnation, VmReport),
    /// The result of a start order is known, with the time since its first copy if one was sent.
    Started(VmIncarnation, RunId, StartResult, Option<Duration>),
    /// A VM acknowledged a stop order.
    Stopped(VmIncarnation, RunId),
    /// A VM left a call unanswered.
    Unanswered,
    /// A VM became reachable or unreachable.
    Reachable(VmIncarnation, bool),
    /// A VM was lost and none of its runs continues; the last field numbers this loss.
    Lost(VmIncarnation, VmLoss, LossNumber),
    /// A VM restarted under its ID: its previous incarnation, its next incarnation and the number of this loss.
    Restarted(VmIncarnation, VmIncarnation, LossNumber),
    /// A VM has probably restarted under its ID; the fields are as for a restart.
    MaybeRestarted(VmIncarnation, VmIncarnation, LossNumber),
    /// A VM rejected a call because it has seen a higher token.
    Fenced(VmIncarnation),
    /// An advice request for a step was answered, or failed.
    Advised(StepId, Option<Tickets>),
    /// The newest records of the cap shares lent to pools were read.
    LentRead,
    /// A report of cap use may not have been written.
    CapUseNotWritten,
    /// The attempt to pass a job's records on has ended: the job's phase in this pool from now on, and the callers
    /// whose cancellations were among them if all records were written.
    PassedOn(JobId, Option<Phase>, Option<BTreeSet<Caller>>),
    /// The jobs that are bound to the earlier pools of a queue were read after its assignment at this offset.
    EarlierRead(Arc<str>, u64, EarlierJobs),
    /// The attempt to change assignments of queues has ended.
    ChangesWritten,
    /// The attempt to notify an origin of a job that it is bound has ended, and whether the notice was certainly written.
    OriginNotified(JobId, Arc<str>, bool),
}

/// The VMs that may run a step with their tickets, and how long the tickets are valid, in milliseconds.
pub type Tickets = (Vec<(VmIncarnation, String)>, Ms);

/// The owner of a pool.
struct Owner {
    node: Arc<Node>,
    log: Arc<PoolLog>,
    token: u64,
    pool: Pool,
    /// Locked for each append, of which one is sent at a time.
    journal: Arc<tokio::sync::Mutex<Journal>>,
    writer: ProgressWriter,
    /// The links by VM ID: one for each VM, to its current incarnation.
    links: HashMap<Arc<str>, Link>,
    tokens: LinkTokens,
    losses: Arc<LossCounter>,
    incarnation_order: IncarnationOrder,
    intake: Intake,
    /// The VMs that have runs but no link.
    orphans: HashMap<VmIncarnation, Orphan>,
    lease_recorder: LeaseRecorder,
    /// The append of the record of lease bounds that is being written, if any. It ends with this owner.
    lease_writes: JoinSet<Result<LeaseBoundsWrite, Fenced>>,
    tx: UnboundedSender<Event>,
    purged_at: Ms,
    reporter: Reporter,
    stalled_reporter: StalledReporter,
    held_ends_reporter: HeldEndsReporter,
    outlook_publisher: OutlookPublisher,
    advisor: Advisor,
    quota: Quota,
    /// The pool's standbys, which can send starts for this owner.
    start_relays: Arc<Mutex<StartRelays>>,
    /// The starts that were ordered and not sent yet.
    start_backlog: Arc<Mutex<StartBacklog>>,
    /// When all VMs were last checked.
    vms_checked_at: Ms,
    /// Whether the forecast was held at the last step.
    forecast_held: bool,
    waits: Waits,
    /// Whether all cancellations that have to be in force were known at the last step.
    cancels_known: bool,
}

impl Owner {
    /// Handles events and changes of the node's state and takes the steps of the schedule, until this owner is fenced.
    async fn work(&mut self, mut rx: UnboundedReceiver<Event>) -> Result<(), Fenced> {
        let mut vms = self.node.vms.subscribe();
        let mut fleet = self.node.fleet.subscribe();
        let mut catalog = self.node.catalog.subscribe();
        let mut lent = self.node.lent.subscribe();
        let mut halls = self.node.halls.subscribe();
        let mut assignments = self.node.assignments.subscribe();
        vms.mark_changed();
        fleet.mark_changed();
        catalog.mark_changed();
        loop {
            let pause = self.pause();
            tokio::select! {
                Some(event) = rx.recv() => self.handle_event(event)?,
                Some(write) = self.lease_writes.join_next() => {
                    self.finish_lease_record(write)?;
                }
                Ok(()) = vms.changed() => {
                    let table = vms.borrow_and_update().clone();
                    self.apply_vm_list(&table);
                }
                Ok(()) = fleet.changed() => {
                    let record = fleet.borrow_and_update().clone();
                    let cordoned = record.cordoned_for(&self.log.pool);
                    self.pool.set_cordoned(cordoned.map(Arc::from).collect());
                    self.pool.set_urgent(record.moving().map(Arc::from).collect());
                    self.pool.set_due_for_maintenance(record.due_in_waves().map(Arc::from).collect());
                }
                Ok(()) = catalog.changed() => {
                    catalog.mark_unchanged();
                    self.apply_workspaces();
                }
                Ok(()) = lent.changed() => {
                    lent.mark_unchanged();
                    self.apply_lent_shares();
                }
                // Each step reads the current state of the halls and the assignments.
                Ok(()) = halls.changed() => halls.mark_unchanged(),
                Ok(()) = assignments.changed() => assignments.mark_unchanged(),
                () = tokio::time::sleep(pause) => (),
            }
            // Handle all queued events before the next step, so that it decides on them together.
            while let Ok(event) = rx.try_recv() {
                self.handle_event(event)?;
            }
            self.expire_orphans();
            let may_act = self.node.may_act(&self.log.pool, self.token);
            if self.waits.may_act(may_act, self.node.lease_valid_for(&self.log.pool)) {
                self.step().await?;
            }
        }
    }

    fn pause(&self) -> Duration {
        let now = now();
        let due = self.pool.next_due(now).unwrap_or(Ms::MAX).saturating_sub(now.steady);
        let tick = if self.pool.is_bound_by_link() { LINK_BOUND_TICK } else { TICK };
        tick.min(Duration::from_millis(due.max(1)))
    }

    fn handle_event(&mut self, event: Event) -> Result<(), Fenced> {
        let now = now();
        match event {
            Event::Log(LogChange::Submitted(id)) => self.take_in(id),
            Event::Log(LogChange::Cancelled(id)) => self.take_in_cancel(id),
            Event::Log(LogChange::PassedOn(id)) => self.intake.notices.add(id),
            Event::Log(LogChange::BoundElsewhere(id)) => self.take_in(id),
            Event::PassedOn(id, phase, callers) => self.handle_passed_on(id, phase, callers),
            Event::EarlierRead(queue, offset, jobs) => {
                self.handle_earlier_read(queue, offset, jobs);
            }
            Event::ChangesWritten => self.handle_changes_written(),
            Event::OriginNotified(id, origin, is_written) => {
                self.handle_origin_notified(id, origin, is_written);
            }
            Event::Report(vm, _) if self.link(&vm).is_none() => {
                log::info!("vm step=late-answer vm={vm}");
            }
            Event::Report(vm, report) => {
                log_ends(&vm, &report);
                let changes = self.pool.apply_report(&vm, &report, now);
                log_report_changes(&vm, &changes);
            }
            Event::Started(vm, run, result, took) => {
                if result != StartResult::Started {
                    log::info!("start step={result:?} run={run} vm={vm}");
                }
                if let Some(took) = took {
                    self.pool.record_start_answer(&vm, took);
                }
                self.pool.apply_start_result(&vm, run, result, now);
                if let Some(link) = self.link(&vm) {
                    link.set_start_handled(run);
                }
            }
            Event::Stopped(vm, run) => self.pool.record_stop_answer(&vm, run, now),
            Event::Unanswered => self.probe_vms(),
            Event::Reachable(vm, reachable) => {
                log::info!("vm step=reachable vm={vm} reachable={reachable}");
                self.pool.set_reachable(&vm, reachable, now);
                if !reachable {
                    self.check_for_successor(&vm);
                }
            }
            Event::Lost(vm, loss, number) => {
                self.begin_loss(&vm, number);
                match self.listed_next_incarnation(&vm).filter(|_| loss == VmLoss::LeaseOver) {
                    Some(next) => self.handle_restart(&vm, &next),
                    None => self.lose_vm(&vm, loss),
                }
            }
            Event::Restarted(vm, next, number) => {
                self.begin_loss(&vm, number);
                self.handle_restart(&vm, &next);
            }
            Event::MaybeRestarted(vm, next, number) => {
                self.begin_loss(&vm, number);
                self.handle_possible_restart(&vm, &next);
            }
            Event::Advised(step, answer) => {
                let good = answer.as_ref().map(|(tickets, _)| tickets.len());
                log::info!(
                    "advice step=answered job={} time={} step={} good={good:?}",
                    step.job,
                    step.repetition,
                    step.step
                );
                self.pool.apply_advice(step, answer, now);
            }
            Event::LentRead => self.handle_lent_read(),
            Event::CapUseNotWritten => self.pool.cap_use_report_lost(),
            Event::Fenced(vm) => {
                log::warn!("vm step=fenced vm={vm} token={}", self.token);
                return Err(Fenced);
            }
        }
        Ok(())
    }

    /// Plans, writes the plan's records to the store, and only then sends orders and acknowledgements.
    async fn step(&mut self) -> Result<(), Fenced> {
        self.pool.set_listing_is_complete(self.node.store_health.listing_is_complete());
        self.pool.set_halls(self.node.halls.borrow().clone(), self.node.halls_known());
        self.update_cancels_known();
        let began = steady_ms();
        self.review_queues().await?;
        self.waits.record(Wait::Queues, began);
        self.notify_origins();
        self.update_forecast();
        self.withdraw_withheld_starts();
        self.withdraw_unsent_to_silent_vms();
        self.update_start_budget();
        self.pool.set_without_lease(self.lease_recorder.listed().map(|(vm, _)| vm));
        let orders = self.pool.plan(now());
        self.withhold_moves();
        let records = self.pool.take_records();
        self.log_abandoned_tasks();
        // The stops of moves are sent before the append: they change no record, and might not be allowed after it.
        let is_move = |order: &Order| matches!(order, Order::Stop { for_move: true, .. });
        let (moves, orders): (Vec<Order>, Vec<Order>) = orders.into_iter().partition(is_move);
        for order in moves {
            self.dispatch(order);
        }
        let mut too_long = BTreeSet::new();
        if !records.is_empty() {
            let report = self.stalled_reporter.report_while_writing();
            let publish = self.publish_starts_while_writing();
            let began = steady_ms();
            too_long = tokio::select! {
                written = self.write_progress(records) => written?,
                never = report => match never {},
                never = publish => match never {},
            };
            self.waits.record(Wait::Record, began);
        }
        self.log_left_out();
        let orders = self.withhold_unrecorded(orders, too_long);
        for (vm, sequence) in self.pool.take_acks() {
            if let Some(link) = self.link(&vm) {
                link.acknowledge(sequence);
            }
        }
        for order in orders {
            self.dispatch(order);
        }
        if self.check_vms() {
            self.record_lease_bounds();
        }
        self.report_cap_use();
        self.report_load();
        self.publish_start_outlook();
        self.publish_outlook();
        // Repairs and purges run after the orders are sent, and not while the store is slow: up to three appends of a
        // quarter of a second each would delay the orders of each step. They would wait for a record that is being written.
        if self.node.store.is_slow() || self.lease_recorder.is_being_written() {
            return Ok(());
        }
        let began = steady_ms();
        self.repair_progress().await?;
        self.purge().await?;
        self.waits.record(Wait::Upkeep, began);
        Ok(())
    }

    /// Checks all VMs for changes that need not be handled at each step. Returns whether they were due to be checked.
    fn check_vms(&mut self) -> bool {
        let now = steady_ms();
        if now.saturating_sub(self.vms_checked_at) < VM_CHECK_EVERY_MS {
            return false;
        }
        self.vms_checked_at = now;
        self.update_start_relays();
        self.end_superseded_links();
        self.close_unused_links();
        for link in self.links.values() {
            link.set_poll_reason(self.pool.poll_reason(link.vm()));
        }
        self.update_load_metrics();
        self.pool.observe_starts(crate::clock::now());
        self.update_stalled();
        self.report_held_ends();
        self.record_reach();
        true
    }
}
