//! Takeover of a pool: fences the previous owner, reads the pool's records and adopts its jobs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use thistle_schedule::{LeaseRecorder, Pool};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::JoinSet;

use super::advisor::Advisor;
use super::held_ends::HeldEndsReporter;
use super::incarnation_order::IncarnationOrder;
use super::intake::Intake;
use super::lag;
use super::lease_bounds::reliable_lease_bounds;
use super::outlook::OutlookPublisher;
use super::progress::ProgressWriter;
use super::quota::Quota;
use super::report::Reporter;
use super::stalled::StalledReporter;
use super::tokens::LinkTokens;
use super::{Owner, TICK};
use crate::clock::{now, steady_ms};
use crate::journal::{Fenced, Journal};
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::{FALLBACK_PROGRESS, OVERFLOW_PROGRESS, PROGRESS, PoolLog};
use crate::waits::Waits;

/// How long a new owner waits for the list of VMs: a page of 540 VMs takes 0.1 s over 20 Mbit/s.
const VM_LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Owns a pool until another node takes it over or the task is aborted.
pub async fn run(node: Arc<Node>, log: Arc<PoolLog>, token: u64) {
    let (tx, rx) = unbounded_channel();
    let pool_name = log.pool.clone();
    let began = steady_ms();
    // No task can start without the VM list. An outage may affect its partition alone, so the owner then continues
    // without it and still reports on jobs. The wait runs in parallel with the reads: each call to a slow store takes
    // a quarter of a second.
    let (journal, ()) = tokio::join!(fence_and_read(&node, &log, token), wait_for_vm_list(&node));
    let Ok(journal) = journal else {
        log::warn!("owner pool={pool_name} step=fenced token={token}");
        return;
    };
    let overflowed = log.overflowed_progress();
    let overflow_announced = lock(&node.ownership).has_overflow_partitions(&log.pool);
    let policy = node.settings.policy;
    let max_record_bytes = node.settings.max_record_bytes;
    let inherited = reliable_lease_bounds(&node, &log);
    let lease_recorder =
        LeaseRecorder::new(token, inherited, steady_ms()).with_max_record_bytes(max_record_bytes);
    let advisor = Advisor::start(&node, tx.clone());
    let mut owner = Owner {
        node,
        log,
        token,
        pool: Pool::with_policy(policy)
            .with_name(pool_name.clone())
            .with_max_record_bytes(max_record_bytes),
        journal: Arc::new(tokio::sync::Mutex::new(journal)),
        writer: ProgressWriter::new(token, overflowed, overflow_announced),
        links: HashMap::new(),
        tokens: LinkTokens::new(token),
        losses: Arc::default(),
        incarnation_order: IncarnationOrder::default(),
        intake: Intake::default(),
        orphans: HashMap::new(),
        lease_recorder,
        lease_writes: JoinSet::new(),
        tx: tx.clone(),
        purged_at: steady_ms(),
        reporter: Reporter::default(),
        stalled_reporter: StalledReporter::new(pool_name.clone()),
        held_ends_reporter: HeldEndsReporter::default(),
        outlook_publisher: OutlookPublisher::default(),
        advisor,
        quota: Quota::default(),
        start_relays: Arc::default(),
        start_backlog: Arc::default(),
        vms_checked_at: 0,
        forecast_held: false,
        waits: Waits::new(pool_name.clone()),
        cancels_known: true,
    };
    owner.apply_workspaces();
    owner.adopt_jobs();
    let load = owner.pool.load(now());
    log::info!(
        "owner pool={pool_name} step=took-over token={token} jobs={} placed={} took_ms={}",
        load.jobs,
        load.placed,
        steady_ms().saturating_sub(began),
    );
    let backlog = owner.start_backlog.clone();
    let ended = tokio::select! {
        ended = owner.work(rx) => ended,
        never = lag::measure(&backlog) => match never {},
    };
    if ended == Err(Fenced) {
        log::warn!("owner pool={pool_name} step=fenced token={token}");
    }
    drop(owner.log.connect_owner(None));
}

/// Waits until the VM list was read, but at most for `VM_LIST_TIMEOUT`.
async fn wait_for_vm_list(node: &Node) {
    let mut listed = node.vms_listed.subscribe();
    let wait = async {
        // The sender lives as long as the node.
        let _ = listed.wait_for(|&listed| listed).await;
    };
    if tokio::time::timeout(VM_LIST_TIMEOUT, wait).await.is_err() {
        log::info!("owner step=vms-not-listed waited_ms={}", VM_LIST_TIMEOUT.as_millis());
    }
}

/// Fences the previous owner from the pool's progress and reads all records of the pool.
async fn fence_and_read(node: &Node, log: &PoolLog, token: u64) -> Result<Journal, Fenced> {
    // This node read all announcements of the previous owner before it could claim the pool.
    let overflow = lock(&node.ownership).has_overflow_partitions(&log.pool);
    let mut parts = vec![PROGRESS, FALLBACK_PROGRESS];
    if overflow {
        parts.extend(OVERFLOW_PROGRESS);
    }
    let journal = Journal::open(node, &log.topic, &parts, token).await?;
    // The previous owner is fenced and can write no further records.
    let since = steady_ms();
    while let Err(e) = log.read_all(node, since, overflow).await {
        log::debug!("owner pool={} step=read-failed error=\"{e}\"", log.pool);
        tokio::time::sleep(TICK).await;
    }
    Ok(journal)
}

impl Owner {
    /// Adopts all jobs and subscribes to changes.
    fn adopt_jobs(&mut self) {
        let log = self.log.clone();
        self.note_changes();
        self.review_now();
        self.pool.record_takeover(now());
        self.pool.begin_arrivals(log.submissions_known_until());
        let jobs = log.connect_owner(Some(self.tx.clone()));
        for (id, entry) in jobs.iter() {
            if !entry.origins.is_empty() {
                self.intake.notices.add(id);
            }
            self.take_in_entry(id, entry);
        }
    }
}
