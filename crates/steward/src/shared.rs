//! The data that the asynchronous tasks of a steward share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use thistle_model::clock::{Instant, wall_ms};
use thistle_model::{Change, MemberFacts, MemberId, Offset, Record, RecordId};
use thistle_request::claim::ClaimTable;
use thistle_request::slot_home::SlotHome;
use thistle_settings::StewardSettings;
use thistle_wire::peer::PeerConnection;
use tokio::sync::{Notify, mpsc, watch};

use crate::core::Core;

/// The maximum total size of the kept answers of claims, in bytes.
const MAX_KEPT_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// How much longer voters keep claims than entries rely on, to allow for clock skew.
const CLAIM_KEEP_MARGIN: std::time::Duration = std::time::Duration::from_secs(300);

/// The data shared by all asynchronous tasks of a steward.
pub struct Shared {
    /// The settings.
    pub settings: StewardSettings,
    core: Mutex<Core>,
    claims: Mutex<ClaimTable>,
    slot_home: Mutex<SlotHome>,
    connections: Mutex<HashMap<SocketAddr, Arc<PeerConnection>>>,
    appends: mpsc::Sender<Vec<Record>>,
    writer: u64,
    seq: AtomicU64,
    /// A version that increases with each applied page of log entries and each new hint.
    pub changed: watch::Sender<u64>,
    /// Triggers heartbeats before the next interval.
    pub heartbeat_now: Notify,
    /// Wakes the follower to read log entries from peers.
    pub peers_ahead: Notify,
}

impl Shared {
    /// Creates the shared data; records to append are sent to `appends`.
    pub fn new(settings: StewardSettings, appends: mpsc::Sender<Vec<Record>>) -> Self {
        let me = MemberId(rand::random());
        let now = Instant::now();
        let core = Core::new(me, settings.fence.0, settings.snapshot_every, now);
        let keep = settings.claim_keep.0 + CLAIM_KEEP_MARGIN;
        let claims = ClaimTable::new(keep, settings.max_claims, MAX_KEPT_ANSWER_BYTES);
        Self {
            settings,
            core: Mutex::new(core),
            claims: Mutex::new(claims),
            slot_home: Mutex::new(SlotHome::new()),
            connections: Mutex::new(HashMap::new()),
            appends,
            writer: rand::random(),
            seq: AtomicU64::new(0),
            changed: watch::Sender::new(0),
            heartbeat_now: Notify::new(),
            peers_ahead: Notify::new(),
        }
    }

    /// Locks the core; the first in the lock order.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        lock(&self.core)
    }

    /// Locks the claims; after the core in the lock order.
    pub fn claims(&self) -> MutexGuard<'_, ClaimTable> {
        lock(&self.claims)
    }

    /// Locks the slot home; the last in the lock order.
    pub fn slot_home(&self) -> MutexGuard<'_, SlotHome> {
        lock(&self.slot_home)
    }

    /// Returns the facts with which this steward joins.
    pub fn facts(&self) -> MemberFacts {
        MemberFacts {
            name: self.settings.name.clone(),
            hall: self.settings.hall.clone(),
            peer_addr: self.settings.peer_listen,
        }
    }

    /// Returns the connection to a peer's address.
    pub fn connection(&self, addr: SocketAddr) -> Arc<PeerConnection> {
        let mut connections = lock(&self.connections);
        connections.entry(addr).or_insert_with(|| Arc::new(PeerConnection::new(addr))).clone()
    }

    /// Announces a change to all that wait for one.
    pub fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    /// Proposes changes as this steward's records; returns the ID of the last record, or `None` if
    /// there are no changes or too many batches wait.
    pub fn propose(&self, changes: Vec<Change>) -> Option<RecordId> {
        let at_ms = wall_ms();
        let record = |change| {
            let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
            Record { id: RecordId { writer: self.writer, seq }, at_ms, change }
        };
        let records: Vec<_> = changes.into_iter().map(record).collect();
        let last = records.last()?.id;
        self.append(records).then_some(last)
    }

    /// Passes records to the appender; returns `false` if too many batches wait, as when the log is
    /// down.
    pub fn append(&self, records: Vec<Record>) -> bool {
        self.appends.try_send(records).is_ok()
    }

    /// Returns the next offset that will be applied.
    pub fn offset(&self) -> Offset {
        self.core().state.next
    }
}

/// Locks a mutex; ignores poisoning, as a process that panicked is about to end.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
