//! The outlooks of pools as this node knows them, and their records in the store.
//!
//! The owner of a pool writes the outlook to the partition of heartbeats, which all nodes read every 450 ms anyway. The
//! partition of claims was rejected: records there would wake the long polls of all nodes, and a claim is accepted only at
//! the end of that partition.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use thistle_platform::{KeyedRecord, Stored};
use thistle_schedule::admission::{Decision, Gate, Outlook, StartOutlook};
use thistle_schedule::policy::AdmissionPolicy;
use thistle_schedule::{JobId, JobSpec, Ms};

use crate::clock::steady_ms;
use crate::follow::Update;
use crate::locks::lock;
use crate::node::Node;

/// The prefix of the keys of outlooks; the pool's name follows.
const OUTLOOK_PREFIX: &str = "outlook/";
/// The same for outlooks of pools whose starts the links can't carry.
const LINK_OUTLOOK_PREFIX: &str = "link-outlook/";
/// The same for outlooks on the starts that a pool's owner can make.
const START_OUTLOOK_PREFIX: &str = "start-outlook/";
/// The first byte of an encoded outlook. Records with another one are ignored.
const FORMAT: u8 = 1;

/// The outlooks of pools, and this node's decisions by them.
#[derive(Debug, Default)]
pub struct Outlooks {
    gates: Mutex<HashMap<Arc<str>, Gate>>,
    /// The number of live nodes when outlooks were last read.
    nodes: AtomicUsize,
}

impl Outlooks {
    /// Records an outlook that was made at `made_at` or later.
    pub fn record(&self, pool: &str, outlook: Outlook, made_at: Ms) {
        lock(&self.gates).entry(pool.into()).or_default().update(outlook, made_at);
    }

    /// The same for an outlook on starts.
    pub fn record_starts(&self, pool: &str, outlook: StartOutlook, made_at: Ms) {
        lock(&self.gates).entry(pool.into()).or_default().update_starts(outlook, made_at);
    }

    /// Decides on a submission to a pool whose current owner has this token, if it has one.
    pub fn decide(
        &self,
        pool: &str,
        owner_token: Option<u64>,
        id: JobId,
        spec: &JobSpec,
        policy: &AdmissionPolicy,
    ) -> Decision {
        let nodes = self.nodes.load(Ordering::Relaxed).max(1);
        let mut gates = lock(&self.gates);
        let Some(gate) = gates.get_mut(pool) else { return Decision::Accept };
        if let Some(token) = owner_token {
            gate.set_owner(token);
        }
        gate.decide(id, spec, nodes, policy, steady_ms())
    }
}

/// Returns the record of a pool's outlook.
pub fn to_record(pool: &str, outlook: &Outlook) -> Result<KeyedRecord, postcard::Error> {
    let value = postcard::to_extend(outlook, vec![FORMAT])?;
    let prefix = if outlook.is_link_bound { LINK_OUTLOOK_PREFIX } else { OUTLOOK_PREFIX };
    Ok(KeyedRecord::new(format!("{prefix}{pool}"), value))
}

/// Returns the record of a pool's outlook on starts.
pub fn to_starts_record(
    pool: &str,
    outlook: &StartOutlook,
) -> Result<KeyedRecord, postcard::Error> {
    let value = postcard::to_extend(outlook, vec![FORMAT])?;
    Ok(KeyedRecord::new(format!("{START_OUTLOOK_PREFIX}{pool}"), value))
}

/// Applies the outlooks among the records of the partition of heartbeats. The store wrote them after the previous read that
/// reached the end of the partition. Records of unknown age are ignored.
pub fn apply_records(node: &Node, update: &Update, previous_read_at: Option<Ms>) {
    let (Update::Records(records), Some(made_at)) = (update, previous_read_at) else { return };
    for stored in records {
        let key = &stored.record.key;
        if let Some(pool) = key.strip_prefix(START_OUTLOOK_PREFIX) {
            apply_starts_record(node, pool, stored, made_at);
            continue;
        }
        let (pool, is_link_bound) = match key.strip_prefix(LINK_OUTLOOK_PREFIX) {
            Some(pool) => (pool, true),
            None => match key.strip_prefix(OUTLOOK_PREFIX) {
                Some(pool) if node.settings.policy.admission.by_load => (pool, false),
                _ => continue,
            },
        };
        let Some((&FORMAT, value)) = stored.record.value().and_then(|v| v.split_first()) else {
            continue;
        };
        match postcard::from_bytes::<Outlook>(value) {
            Ok(outlook) => {
                update_nodes(node);
                node.outlooks.record(pool, Outlook { is_link_bound, ..outlook }, made_at);
            }
            Err(e) => {
                log::error!("outlook step=unreadable offset={} error=\"{e}\"", stored.offset);
            }
        }
    }
}

fn apply_starts_record(node: &Node, pool: &str, stored: &Stored, made_at: Ms) {
    let Some((&FORMAT, value)) = stored.record.value().and_then(|v| v.split_first()) else {
        return;
    };
    match postcard::from_bytes::<StartOutlook>(value) {
        Ok(outlook) => {
            update_nodes(node);
            node.outlooks.record_starts(pool, outlook, made_at);
        }
        Err(e) => log::error!("outlook step=unreadable offset={} error=\"{e}\"", stored.offset),
    }
}

fn update_nodes(node: &Node) {
    let nodes = lock(&node.ownership).relays(steady_ms()).len() + 1;
    node.outlooks.nodes.store(nodes, Ordering::Relaxed);
}
