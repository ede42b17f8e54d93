//! Owning a pool: its schedule, its records and the links to its VMs.

mod advisor;
mod link;
mod progress;
mod purge;
mod quota;
mod report;
mod vms;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use metrics::{counter, gauge};
use thistle_schedule::pool::{GivenUp, Load, Order, StartResult, StepId};
use thistle_schedule::{Harm, LogChange, Ms, Pool, RunId, VmId, VmLoss, VmReport};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::clock::{now, steady_ms};
use crate::journal::{Fenced, Journal};
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::{FURTHER_PROGRESS, PROGRESS, PoolLog, SPARE_PROGRESS};
use advisor::Advisor;
use link::Link;
use progress::ProgressWriter;
use quota::Quota;
use report::Reporter;

/// How often the schedule is looked at when nothing happens.
const TICK: Duration = Duration::from_millis(100);
/// How often all VMs are looked at, in milliseconds: at each step it was most of what a step of a
/// large pool costs.
const LOOK_EVERY_MS: Ms = 100;
/// How long a new owner waits for the VMs to be read: a page of 540 VMs takes 0.1 s over 20 Mbit/s.
const LISTED_WITHIN: Duration = Duration::from_millis(1_000);
/// What an owner takes in.
#[derive(Debug)]
pub enum Event {
    /// A submission or a cancel was read.
    Log(LogChange),
    /// A VM answered what runs there.
    Report(VmId, VmReport),
    /// A start has come to something.
    Started(VmId, RunId, StartResult),
    /// A stop was answered.
    Stopped(VmId, RunId),
    /// A VM answers, or does not.
    Reachable(VmId, bool),
    /// Nothing runs on a VM any more.
    Lost(VmId, VmLoss),
    /// A VM has seen a higher token.
    Fenced(VmId),
    /// A question about a step was answered, or not.
    Advised(StepId, Option<Tickets>),
    /// The newest records of how caps are lent were read.
    LentRead,
    /// What was said of the use of caps may not have arrived.
    CapUseNotSaid,
}

/// VMs that may run a step with their tickets, and for how long, in milliseconds.
pub type Tickets = (Vec<(VmId, String)>, Ms);

/// The owner of a pool.
struct Owner {
    node: Arc<Node>,
    log: Arc<PoolLog>,
    token: u64,
    pool: Pool,
    journal: Journal,
    writer: ProgressWriter,
    links: HashMap<VmId, Link>,
    /// When runs on VMs that cannot be asked are surely over.
    orphans: HashMap<VmId, Ms>,
    tx: UnboundedSender<Event>,
    purged_at: Ms,
    reporter: Reporter,
    advisor: Advisor,
    quota: Quota,
    /// When what changes slowly was last looked at.
    looked_at: Ms,
}

/// Owns a pool until another node does, or the task is aborted.
pub async fn run(node: Arc<Node>, log: Arc<PoolLog>, token: u64) {
    let (tx, rx) = unbounded_channel();
    let pool_name = log.pool.clone();
    let began = steady_ms();
    // Without the VMs nothing can be started; an outage may concern their partition alone, and jobs are told of all
    // the same. They are waited for beside the rest: each call to a slow store takes a quarter of a second.
    let (journal, ()) = tokio::join!(open_and_read(&node, &log, token), until_listed(&node));
    let Ok(journal) = journal else {
        log::warn!("owner pool={pool_name} step=fenced token={token}");
        return;
    };
    let spilled = log.spilled();
    let further_told = lock(&node.ownership).has_further_lanes(&log.pool);
    let policy = node.settings.policy;
    let advisor = Advisor::start(&node, tx.clone());
    let mut owner = Owner {
        node,
        log,
        token,
        pool: Pool::with_policy(policy).with_name(pool_name.clone()),
        journal,
        writer: ProgressWriter::new(token, spilled, further_told),
        links: HashMap::new(),
        orphans: HashMap::new(),
        tx: tx.clone(),
        purged_at: steady_ms(),
        reporter: Reporter::default(),
        advisor,
        quota: Quota::default(),
        looked_at: 0,
    };
    owner.take_caps();
    owner.adopt();
    let load = owner.pool.load(now());
    log::info!(
        "owner pool={pool_name} step=took-over token={token} jobs={} placed={} took_ms={}",
        load.jobs,
        load.placed,
        steady_ms().saturating_sub(began),
    );
    if owner.work(rx).await == Err(Fenced) {
        log::warn!("owner pool={pool_name} step=fenced token={token}");
    }
    drop(owner.log.connect_owner(None));
}

/// Waits until the VMs were read, but not for long.
async fn until_listed(node: &Node) {
    let mut listed = node.vms_listed.subscribe();
    let wait = async {
        // The sender lives as long as the node.
        let _ = listed.wait_for(|&listed| listed).await;
    };
    if tokio::time::timeout(LISTED_WITHIN, wait).await.is_err() {
        log::info!("owner step=vms-not-listed waited_ms={}", LISTED_WITHIN.as_millis());
    }
}

/// Shuts the predecessor out of the pool's progress and reads all that there is.
async fn open_and_read(node: &Node, log: &PoolLog, token: u64) -> Result<Journal, Fenced> {
    // All that its predecessor told was read before this node could claim the pool.
    let further = lock(&node.ownership).has_further_lanes(&log.pool);
    let mut parts = vec![PROGRESS, SPARE_PROGRESS];
    if further {
        parts.extend(FURTHER_PROGRESS);
    }
    let journal = Journal::open(node, &log.topic, &parts, token).await?;
    // The predecessor can write no more: what is there now is all there is.
    let since = steady_ms();
    while let Err(e) = log.read_all(node, since, further).await {
        log::debug!("owner pool={} step=read-failed error=\"{e}\"", log.pool);
        tokio::time::sleep(TICK).await;
    }
    Ok(journal)
}

impl Owner {
    /// Takes in all jobs, and from here on all news.
    fn adopt(&mut self) {
        let log = self.log.clone();
        self.pool.taken_over(now());
        let jobs = log.connect_owner(Some(self.tx.clone()));
        for (id, entry) in jobs.iter() {
            self.pool.adopt(id, entry, now());
        }
    }

    async fn work(&mut self, mut rx: UnboundedReceiver<Event>) -> Result<(), Fenced> {
        let mut vms = self.node.vms.subscribe();
        let mut fleet = self.node.fleet.subscribe();
        let mut catalog = self.node.catalog.subscribe();
        let mut lent = self.node.lent.subscribe();
        vms.mark_changed();
        fleet.mark_changed();
        catalog.mark_changed();
        loop {
            let pause = self.pause();
            tokio::select! {
                Some(event) = rx.recv() => self.take(event)?,
                Ok(()) = vms.changed() => {
                    let table = vms.borrow_and_update().clone();
                    self.list_vms(&table);
                }
                Ok(()) = fleet.changed() => {
                    let record = fleet.borrow_and_update().clone();
                    let cordoned = record.cordoned_in(&self.log.pool);
                    self.pool.set_cordoned(cordoned.map(Arc::from).collect());
                    self.pool.set_hurried(record.moving().map(Arc::from).collect());
                    self.pool.set_due(record.due().map(Arc::from).collect());
                }
                Ok(()) = catalog.changed() => {
                    catalog.mark_unchanged();
                    self.take_caps();
                }
                Ok(()) = lent.changed() => {
                    lent.mark_unchanged();
                    self.take_lent();
                }
                () = tokio::time::sleep(pause) => (),
            }
            // What has piled up meanwhile is decided on together.
            while let Ok(event) = rx.try_recv() {
                self.take(event)?;
            }
            self.drop_orphans();
            if self.node.lease_valid() {
                self.step().await?;
            }
        }
    }

    fn pause(&self) -> Duration {
        let now = now();
        let due = self.pool.next_due(now).unwrap_or(Ms::MAX).saturating_sub(now.steady);
        TICK.min(Duration::from_millis(due.max(1)))
    }

    fn take(&mut self, event: Event) -> Result<(), Fenced> {
        let now = now();
        match event {
            Event::Log(LogChange::Submitted(id)) => {
                let log = self.log.clone();
                let jobs = log.jobs();
                if let Some(entry) = jobs.get(id) {
                    self.pool.adopt(id, entry, now);
                }
            }
            Event::Log(LogChange::Cancelled(id)) => self.pool.cancel(id, now),
            Event::Report(vm, report) => {
                log_ends(&vm, &report);
                self.pool.report(&vm, &report, now);
            }
            Event::Started(vm, run, result) => {
                if result != StartResult::Started {
                    log::info!("start step={result:?} run={run} vm={vm}");
                }
                self.pool.start_result(&vm, run, result, now);
            }
            Event::Stopped(vm, run) => self.pool.stop_answered(&vm, run, now),
            Event::Reachable(vm, reachable) => {
                log::info!("vm step=reachable vm={vm} reachable={reachable}");
                self.pool.set_reachable(&vm, reachable, now);
                if !reachable {
                    self.look_for_successor(&vm);
                }
            }
            Event::Lost(vm, loss) => self.lose_vm(&vm, loss),
            Event::Advised(step, answer) => {
                let good = answer.as_ref().map(|(tickets, _)| tickets.len());
                log::info!(
                    "advice job={} time={} step={} good={good:?}",
                    step.job,
                    step.time,
                    step.step
                );
                self.pool.advised(step, answer, now);
            }
            Event::LentRead => self.lent_read(),
            Event::CapUseNotSaid => self.pool.cap_use_not_said(),
            Event::Fenced(vm) => {
                log::warn!("vm step=fenced vm={vm} token={}", self.token);
                return Err(Fenced);
            }
        }
        Ok(())
    }

    /// Decides, writes what was decided, and only then lets orders and acknowledgements go.
    async fn step(&mut self) -> Result<(), Fenced> {
        self.pool.set_listing_is_sound(self.node.standing.listing_is_sound());
        let orders = self.pool.plan(now());
        let records = self.pool.take_records();
        let acks = self.pool.take_acks();
        self.tell_given_up();
        if !records.is_empty() {
            self.write_progress(records).await?;
        }
        for (vm, sequence) in acks {
            if let Some(link) = self.links.get(&vm) {
                link.acknowledge(sequence);
            }
        }
        for order in orders {
            self.dispatch(order);
        }
        self.look_at_vms();
        self.say_cap_use();
        self.report();
        // What can wait is written when orders are out, and not beside a slow store: up to three appends of a quarter of a
        // second each stood before the orders of each step.
        if self.node.store.is_slow() {
            return Ok(());
        }
        self.repair_progress().await?;
        self.purge().await
    }

    /// Looks at all VMs, for what need not be known at each step.
    fn look_at_vms(&mut self) {
        let now = steady_ms();
        if now.saturating_sub(self.looked_at) < LOOK_EVERY_MS {
            return;
        }
        self.looked_at = now;
        self.drop_links();
        for (vm, link) in &self.links {
            link.watch(self.pool.watch(vm));
        }
        self.tell_load();
    }

    fn dispatch(&mut self, order: Order) {
        let vm = match &order {
            Order::Start(start) => &start.vm,
            Order::Stop { vm, .. } | Order::Pace { vm, .. } => vm,
            Order::Ask(question) => {
                self.advisor.ask(question.clone());
                return;
            }
        };
        let Some(link) = self.links.get(vm) else {
            log::warn!("order step=no-link vm={vm}");
            if let Order::Start(start) = &order {
                // It was never sent.
                let (vm, run) = (start.vm.clone(), start.run);
                self.pool.start_result(&vm, run, StartResult::NotTaken, now());
            }
            return;
        };
        match order {
            Order::Start(start) => {
                log::info!(
                    "start step=ordered run={} vm={} queue={} token={} free_cpu={}",
                    start.run,
                    start.vm,
                    start.spec.queue,
                    self.token,
                    start.free_cpu,
                );
                counter!("thistle_starts").increment(1);
                link.start(start);
            }
            Order::Stop { vm, run } => {
                log::info!("stop step=ordered run={run} vm={vm} token={}", self.token);
                counter!("thistle_stops").increment(1);
                link.stop(run);
            }
            Order::Pace { vm, run, percent } => {
                log::info!("pace step=ordered run={run} vm={vm} percent={percent}");
                link.pace(run, percent);
            }
            Order::Ask(_) => (),
        }
    }

    /// Logs the tasks that were given up since VMs crashed under them.
    fn tell_given_up(&mut self) {
        for GivenUp { task, harm } in self.pool.take_given_up() {
            let Harm { crashes, at_start, alone, .. } = harm;
            log::warn!(
                "job step=given-up task={task} crashes={crashes} at_start={at_start} alone={alone}"
            );
            counter!("thistle_given_up", "pool" => self.log.pool.to_string()).increment(1);
        }
    }

    fn tell_load(&self) {
        let Load { waiting, placed, jobs, vms, used_cpu, cpu, .. } = self.pool.load(now());
        let pool = self.log.pool.to_string();
        gauge!("thistle_pool_tasks_waiting", "pool" => pool.clone()).set(f64::from(waiting));
        gauge!("thistle_pool_tasks_placed", "pool" => pool.clone()).set(f64::from(placed));
        gauge!("thistle_pool_jobs", "pool" => pool.clone()).set(f64::from(jobs));
        gauge!("thistle_pool_vms", "pool" => pool.clone()).set(f64::from(vms));
        let used = used_cpu as f64 / (cpu as f64).max(1.0);
        gauge!("thistle_pool_cpu_used", "pool" => pool).set(used);
    }
}

fn log_ends(vm: &VmId, report: &VmReport) {
    for end in &report.ended {
        log::info!("end run={} vm={vm} how={:?} number={}", end.run, end.kind, end.sequence);
        counter!("thistle_ends", "how" => format!("{:?}", end.kind)).increment(1);
    }
}
