//! What all tasks of a node share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use thistle_platform::Store;
use thistle_schedule::fleet::{FleetRecord, WaveRequest};
use thistle_schedule::ownership::{NodeLife, OWNER_LEASE_MS, Ownership};
use thistle_schedule::{Catalog, Halls, KeySecret, Ms, VmFacts, halls};
use thistle_settings::SchedulerSettings;
use tokio::sync::watch;

use crate::caps::LentTable;
use crate::clock::steady_ms;
use crate::control::ClaimsEnd;
use crate::locks::lock;
use crate::owned::Owned;
use crate::peers::Peers;
use crate::pool_log::PoolLog;
use crate::standing::StoreStanding;

/// Longest lease that is given to tasks, in milliseconds: long enough for a pool to change hands
/// without losing work, short enough that tasks of a VM that is cut off start elsewhere soon.
const TASK_LEASE_MS: Ms = 6_000;

/// VMs by ID, each in the life that the store lists.
pub type VmTable = HashMap<Arc<str>, Arc<VmFacts>>;

/// What all tasks of a node share.
pub struct Node {
    /// Its settings.
    pub settings: SchedulerSettings,
    /// Its name and this life of it.
    pub me: NodeLife,
    /// How fast it computes; see [`crate::speed`].
    pub speed: u32,
    /// The platform's store.
    pub store: Store,
    /// With what keys of workspaces are hashed.
    pub secret: KeySecret,
    /// How the store stands with this node.
    pub standing: StoreStanding,
    /// Other nodes.
    pub peers: Peers,
    /// The configuration in force.
    pub catalog: watch::Sender<Option<Arc<Catalog>>>,
    /// The VMs; none are known while this node owns nothing.
    pub vms: watch::Sender<Arc<VmTable>>,
    /// The VMs were read since this node came to own something.
    pub vms_listed: watch::Sender<bool>,
    /// Which VMs are worked on; none while this node owns nothing.
    pub fleet: watch::Sender<Arc<FleetRecord>>,
    /// How caps of workspaces are lent, as far as this node has read.
    pub lent: watch::Sender<Arc<LentTable>>,
    /// The waves that the operator asks for.
    pub waves: watch::Sender<Vec<WaveRequest>>,
    /// The data halls that are evacuated.
    pub halls: watch::Sender<Arc<Halls>>,
    /// When the newest read was sent that reached the end of the operator's requests; 0 before the first.
    operator_read_at: AtomicU64,
    /// Owners and members.
    pub ownership: Mutex<Ownership>,
    /// How far the claims were read.
    pub claims_end: ClaimsEnd,
    /// Wakes the task that starts and stops owners.
    pub ownership_changed: tokio::sync::Notify,
    pools: Mutex<HashMap<Arc<str>, Arc<PoolLog>>>,
    /// Until when this node may act as owner.
    lease_until: AtomicU64,
    /// It owns a pool or the fleet.
    pub owning: Owned,
    /// This node is about to stop: it takes no new connections and owns nothing.
    pub stopping: watch::Sender<bool>,
    /// Connections are closed once the request under way on each is answered.
    pub closing: watch::Sender<bool>,
}

impl Node {
    /// Makes a node that knows nothing yet.
    pub fn new(settings: SchedulerSettings) -> Self {
        let me = NodeLife { name: settings.name.clone(), life: rand::random() };
        Self {
            speed: crate::speed::measure(),
            store: Store::new(settings.store),
            secret: KeySecret::new(rand::random()),
            standing: StoreStanding::default(),
            peers: Peers::default(),
            ownership: Mutex::new(Ownership::new(me.clone(), steady_ms())),
            settings,
            me,
            catalog: watch::Sender::new(None),
            vms: watch::Sender::new(Arc::default()),
            vms_listed: watch::Sender::new(false),
            fleet: watch::Sender::new(Arc::default()),
            lent: watch::Sender::new(Arc::default()),
            waves: watch::Sender::new(Vec::new()),
            halls: watch::Sender::new(Arc::default()),
            operator_read_at: AtomicU64::new(0),
            claims_end: ClaimsEnd::default(),
            ownership_changed: tokio::sync::Notify::new(),
            pools: Mutex::default(),
            lease_until: AtomicU64::new(0),
            owning: Owned::default(),
            stopping: watch::Sender::new(false),
            closing: watch::Sender::new(false),
        }
    }

    /// Returns a pool's log, making it when it is first asked for.
    pub fn pool_log(self: &Arc<Self>, pool: &Arc<str>) -> Arc<PoolLog> {
        let mut pools = lock(&self.pools);
        if let Some(log) = pools.get(pool) {
            return log.clone();
        }
        let log = PoolLog::start(self, pool);
        pools.insert(pool.clone(), log.clone());
        log
    }

    /// Returns the log of a pool that is known.
    pub fn pool_log_of(&self, pool: &str) -> Option<Arc<PoolLog>> {
        lock(&self.pools).get(pool).cloned()
    }

    /// Returns whether this node is to read a pool's records though it does not own it.
    /// None while it does not hear the other nodes.
    pub fn reads(&self, pool: &str) -> Option<bool> {
        if self.settings.relay_listen.is_none() {
            // Where nodes answer no questions, each must know by itself.
            return Some(true);
        }
        lock(&self.ownership).reads(pool, steady_ms())
    }

    /// Returns the logs of all pools.
    pub fn pool_logs(&self) -> Vec<Arc<PoolLog>> {
        lock(&self.pools).values().cloned().collect()
    }

    /// Takes in that all of the operator's requests are in force that the store had taken when a read was sent.
    pub fn note_operator_read(&self, sent_at: Option<Ms>) {
        self.operator_read_at.fetch_max(sent_at.unwrap_or(0), Ordering::Relaxed);
    }

    /// Returns whether this node knows well enough which data halls are evacuated to start tasks.
    pub fn halls_known(&self) -> bool {
        let read_at = self.operator_read_at.load(Ordering::Relaxed);
        let within = self.settings.evacuate_within.map(|span| span.0.as_millis());
        let within = within.map(|ms| Ms::try_from(ms).unwrap_or(Ms::MAX));
        halls::is_known((read_at > 0).then_some(read_at), within, steady_ms())
    }

    /// Returns whether this node may act as owner now.
    pub fn lease_valid(&self) -> bool {
        steady_ms() < self.lease_until.load(Ordering::Relaxed)
    }

    /// Returns whether this node may act as owner of a shard now, under a token.
    pub fn may_act(&self, shard: &str, token: u64) -> bool {
        // The right to act comes back before the task of an owner that was replaced meanwhile has ended.
        self.lease_valid() && lock(&self.ownership).my_token(shard) == Some(token)
    }

    /// Takes in that the store took a heartbeat which was sent at `sent_at`, while this node may act or has read all claims since.
    pub fn renew_lease(&self, sent_at: Ms) {
        self.lease_until.fetch_max(sent_at + OWNER_LEASE_MS, Ordering::Relaxed);
    }

    /// Ends the right to act as owner.
    pub fn end_lease(&self) {
        self.lease_until.store(0, Ordering::Relaxed);
    }

    /// Returns the longest lease given to tasks, in milliseconds.
    pub fn task_lease(&self) -> Ms {
        let max = self.settings.max_task_lease.0.as_millis();
        u64::try_from(max).map_or(TASK_LEASE_MS, |max| max.min(TASK_LEASE_MS))
    }
}
