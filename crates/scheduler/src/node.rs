//! The state that all async tasks of a node share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use thistle_platform::Store;
use thistle_platform::worker::VmAnswers;
use thistle_schedule::fleet::{FleetRecord, WaveRequest};
use thistle_schedule::ownership::{Leases, Means, NodeIncarnation, Ownership};
use thistle_schedule::{Assignments, Catalog, Halls, KeySecret, Ms, VmFacts, halls};
use thistle_settings::{Quantity, SchedulerSettings};
use tokio::sync::watch;

use crate::caps::LentTable;
use crate::clock::steady_ms;
use crate::control::ClaimsEnd;
use crate::fleet_owner::DirectReports;
use crate::locks::lock;
use crate::outlook::Outlooks;
use crate::ownership_flag::OwnershipFlag;
use crate::peers::Peers;
use crate::pool_log::PoolLog;
use crate::read_time::ReadTime;
use crate::relayed_start::StartClients;
use crate::start_batch::RelayedStarts;
use crate::store_health::StoreHealth;
use crate::uplink::Uplink;

/// The longest lease of a job's task, in milliseconds: long enough for a pool to change its owner without losing work, and short
/// enough that the tasks of a disconnected VM soon start elsewhere.
const TASK_LEASE_MS: Ms = 6_000;

/// VMs by ID, each in the incarnation that the store lists.
pub type VmTable = HashMap<Arc<str>, Arc<VmFacts>>;

/// The state that all async tasks of a node share.
pub struct Node {
    /// The node's settings.
    pub settings: SchedulerSettings,
    /// The node's name and current incarnation.
    pub me: NodeIncarnation,
    /// The node's computing speed; see [`crate::speed`].
    pub speed: u32,
    /// The platform's store.
    pub store: Store,
    /// The secret with which API keys of workspaces are hashed.
    pub secret: KeySecret,
    /// The budget of the node's link.
    pub uplink: Arc<Uplink>,
    /// The clients with which this node sends starts for the owners of pools.
    pub start_clients: StartClients,
    /// The starts that other nodes send for the owners on this node.
    pub relayed_starts: RelayedStarts,
    /// The answers of all VMs to this node's calls.
    pub vm_answers: Arc<VmAnswers>,
    /// The health of the store as seen by this node.
    pub store_health: StoreHealth,
    /// The outlooks of the pools.
    pub outlooks: Outlooks,
    /// The HTTP clients of other nodes.
    pub peers: Peers,
    /// The configuration in force.
    pub catalog: watch::Sender<Option<Arc<Catalog>>>,
    /// The listed VMs; empty while this node owns nothing.
    pub vms: watch::Sender<Arc<VmTable>>,
    /// Whether the list of VMs has been read since this node began to own something.
    pub vms_listed: watch::Sender<bool>,
    /// Which VMs are in maintenance or moving; empty while this node owns nothing.
    pub fleet: watch::Sender<Arc<FleetRecord>>,
    /// Where the fleet's owner, if it runs on this node, receives the reports of pools.
    pub direct_reports: DirectReports,
    /// How the caps of workspaces are split between pools, as far as this node has read.
    pub lent: watch::Sender<Arc<LentTable>>,
    /// The maintenance waves that the operator has requested.
    pub waves: watch::Sender<Vec<WaveRequest>>,
    /// The data halls and which of them are evacuated.
    pub halls: watch::Sender<Arc<Halls>>,
    /// When the operator's requests were last read to their end.
    pub operator_read: ReadTime,
    /// When the list of VMs was last read to its end; never while this node owns nothing.
    pub vms_read: ReadTime,
    /// The owners of the pools, the fleet and the caps, and the member nodes.
    pub ownership: Mutex<Ownership>,
    /// The assignments of queues to pools.
    pub assignments: watch::Sender<Arc<Assignments>>,
    /// The offset up to which the claims and assignments have been read.
    pub claims_end: ClaimsEnd,
    /// Wakes the async task that starts and stops owners.
    pub ownership_changed: tokio::sync::Notify,
    pools: Mutex<HashMap<Arc<str>, Arc<PoolLog>>>,
    /// The leases under which this node acts as owner.
    leases: Mutex<Leases>,
    /// Wakes the async task that renews leases after one has ended.
    pub lease_expired: tokio::sync::Notify,
    /// Whether this node owns a pool, the fleet or the caps.
    pub is_owner: OwnershipFlag,
    /// Whether this node is stopping: it releases what it owns and reports that it is not ready for new connections.
    pub stopping: watch::Sender<bool>,
    /// Whether open connections are closed once the request in progress on each is answered.
    pub closing: watch::Sender<bool>,
    /// Whether this node exits in a moment: requests in progress are answered without a result.
    pub exiting: watch::Sender<bool>,
}

impl Node {
    /// Creates a node that has not read anything yet.
    pub fn new(settings: SchedulerSettings) -> Self {
        let me = NodeIncarnation { name: settings.name.clone(), incarnation: rand::random() };
        let ownership =
            Ownership::new(me.clone(), steady_ms()).with_policy(settings.policy.ownership);
        Self {
            speed: crate::speed::measure(),
            store: Store::new(settings.store),
            secret: KeySecret::new(rand::random()),
            uplink: Arc::new(Uplink::new(bandwidth(&settings))),
            start_clients: StartClients::default(),
            relayed_starts: RelayedStarts::default(),
            vm_answers: Arc::default(),
            store_health: StoreHealth::default(),
            outlooks: Outlooks::default(),
            peers: Peers::default(),
            ownership: Mutex::new(ownership),
            settings,
            me,
            catalog: watch::Sender::new(None),
            vms: watch::Sender::new(Arc::default()),
            vms_listed: watch::Sender::new(false),
            fleet: watch::Sender::new(Arc::default()),
            direct_reports: DirectReports::default(),
            lent: watch::Sender::new(Arc::default()),
            waves: watch::Sender::new(Vec::new()),
            halls: watch::Sender::new(Arc::default()),
            operator_read: ReadTime::default(),
            vms_read: ReadTime::default(),
            assignments: watch::Sender::new(Arc::default()),
            claims_end: ClaimsEnd::default(),
            ownership_changed: tokio::sync::Notify::new(),
            pools: Mutex::default(),
            leases: Mutex::default(),
            lease_expired: tokio::sync::Notify::new(),
            is_owner: OwnershipFlag::default(),
            stopping: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            exiting: watch::Sender::new(false),
        }
    }

    /// Returns a pool's log, creating it at the first call.
    pub fn ensure_pool_log(self: &Arc<Self>, pool: &Arc<str>) -> Arc<PoolLog> {
        let mut pools = lock(&self.pools);
        if let Some(log) = pools.get(pool) {
            return log.clone();
        }
        let log = PoolLog::start(self, pool);
        pools.insert(pool.clone(), log.clone());
        log
    }

    /// Returns the log of a pool if the pool is known.
    pub fn pool_log_of(&self, pool: &str) -> Option<Arc<PoolLog>> {
        lock(&self.pools).get(pool).cloned()
    }

    /// Returns whether this node should follow a pool's records although it does not own the pool, or `None` while it
    /// receives nothing from the other nodes.
    pub fn should_follow(&self, pool: &str) -> Option<bool> {
        if self.settings.relay_listen.is_none() {
            // Without a relay, nodes cannot query each other, so each node follows all pools.
            return Some(true);
        }
        lock(&self.ownership).is_standby(pool, steady_ms())
    }

    /// Returns the logs of all pools.
    pub fn pool_logs(&self) -> Vec<Arc<PoolLog>> {
        lock(&self.pools).values().cloned().collect()
    }

    /// Returns whether this node's knowledge of evacuated data halls is recent enough to start tasks.
    pub fn halls_known(&self) -> bool {
        let within = self.settings.evacuate_within.map(|span| span.0.as_millis());
        let within = within.map(|ms| Ms::try_from(ms).unwrap_or(Ms::MAX));
        halls::is_current(self.operator_read.get(), within, steady_ms())
    }

    /// Returns the time after the acknowledgement of a cancellation from which no task of the job may start, in milliseconds.
    pub fn cancel_within(&self) -> Ms {
        Ms::try_from(self.settings.cancel_within.0.as_millis()).unwrap_or(Ms::MAX)
    }

    /// Returns what the settings state that the node has to do the work of an owner.
    pub fn means(&self) -> Means {
        let stated = |quantity: Option<Quantity>| quantity.map_or(0, Quantity::thousandths);
        let SchedulerSettings { cpu_share, link_mbps, .. } = self.settings;
        Means { cpu_share: stated(cpu_share), link_kbps: stated(link_mbps) }
    }

    /// Returns the bandwidth of the node's link in bytes per second, if the settings state it.
    pub fn link_bytes_per_s(&self) -> Option<u64> {
        bandwidth(&self.settings)
    }

    /// Returns whether the lease of each shard of this node is valid. One that owns nothing has none.
    pub fn lease_valid(&self) -> bool {
        let own = lock(&self.ownership).own_shards();
        let (leases, now) = (lock(&self.leases), steady_ms());
        !own.is_empty() && own.iter().all(|(shard, _)| leases.is_valid(shard, now))
    }

    /// Returns whether the lease of a shard is valid, if this node owns it.
    pub fn lease_valid_for(&self, shard: &str) -> bool {
        lock(&self.leases).is_valid(shard, steady_ms())
    }

    /// Returns whether this node may currently act under a token as the owner of a shard: a pool, the fleet or the caps.
    pub fn may_act(&self, shard: &str, token: u64) -> bool {
        // The lease may become valid again while the async task of an owner that was replaced in the meantime still runs.
        self.lease_valid_for(shard) && lock(&self.ownership).my_token(shard) == Some(token)
    }

    /// Extends all leases after the store has written a claim or a renewal that was sent at `sent_at` and was guarded by the end of
    /// the claims that this node had applied.
    pub fn renew_lease(&self, sent_at: Ms) {
        lock(&self.leases).renew_all(sent_at);
    }

    /// Extends the leases that are still valid after the store has written a heartbeat to a partition that all nodes read, and wakes
    /// the task that renews the others.
    pub fn renew_by_heartbeat(&self, sent_at: Ms) {
        let shards = self.own_shards();
        if !lock(&self.leases).renew_valid(&shards, sent_at, steady_ms()) {
            self.lease_expired.notify_one();
        }
    }

    /// The same for one shard after a heartbeat in its own partition.
    pub fn renew_by_own_heartbeat(&self, shard: &Arc<str>, sent_at: Ms) {
        if !lock(&self.leases).renew(shard, sent_at, steady_ms()) {
            self.lease_expired.notify_one();
        }
    }

    /// Returns the shards of this node whose heartbeats to the common partitions are late.
    pub fn shards_with_late_heartbeats(&self) -> Vec<Arc<str>> {
        let mut shards = self.own_shards();
        let (leases, now) = (lock(&self.leases), steady_ms());
        shards.retain(|shard| leases.needs_own_partition(shard, now));
        shards
    }

    fn own_shards(&self) -> Vec<Arc<str>> {
        lock(&self.ownership).own_shards().into_iter().map(|(shard, _)| shard).collect()
    }

    /// Returns whether the leases have ended for good.
    pub fn has_given_up_lease(&self) -> bool {
        lock(&self.leases).has_given_up()
    }

    /// Ends the leases under which this node acts as owner, for good.
    pub fn end_lease(&self) {
        lock(&self.leases).give_up();
    }

    /// Returns the longest lease that owners grant to a job's tasks, in milliseconds.
    pub fn task_lease(&self) -> Ms {
        self.max_task_lease().min(TASK_LEASE_MS)
    }

    /// Returns the longest lease that VMs give to tasks, in milliseconds.
    pub fn max_task_lease(&self) -> Ms {
        Ms::try_from(self.settings.max_task_lease.0.as_millis()).unwrap_or(Ms::MAX)
    }
}

/// Returns the stated bandwidth of the link, in bytes per second.
fn bandwidth(settings: &SchedulerSettings) -> Option<u64> {
    // A thousandth of a Mbit is 125 bytes.
    settings.link_mbps.map(|mbps| u64::from(mbps.thousandths()) * 125)
}
