//! Caps of workspaces over all pools: the records with which one node lends shares of the caps to the owners of pools.

mod lender;

use std::collections::BTreeMap;
use std::sync::Arc;

use thistle_model::rendezvous::weight;
use thistle_platform::{KeyedRecord, StoreError, Stored};
use thistle_schedule::Catalog;
use thistle_schedule::quota::{CapUse, LentCap, limits};

use crate::control::TOPIC;
use crate::follow::{ReadMode, Tail, Update, follow_while_owning};
use crate::node::Node;

pub use lender::run;

/// The name under which nodes claim the lending of caps; no pool has this name.
pub const CAPS: &str = "#caps";
/// The partition of the lent shares of caps.
pub const LENT: u32 = 5;
/// The partition of the reports of cap use by the owners of pools.
pub const USES: u32 = 6;
/// The prefix of the keys of lent shares; a hash of the workspace's name follows, as names may have any length.
pub const LENT_PREFIX: &str = "cap/";
/// The prefix of the keys of reports of cap use; a hash of the names of the pool and the workspace follows.
pub const USE_PREFIX: &str = "use/";

/// The key of the configuration version for which the splits are valid. It sorts before all other keys, so that pages
/// of newest records never contain a newer version than the splits that follow.
const AS_OF_KEY: &str = "as-of";

/// The lent shares of all caps.
#[derive(Clone, Debug, Default)]
pub struct LentTable {
    /// The version of the configuration for which the splits are valid.
    pub as_of: u64,
    /// The split of each cap, by workspace.
    pub lent: BTreeMap<String, LentCap>,
}

/// Encodes the configuration version for which the splits are valid.
pub fn as_of_record(version: u64) -> KeyedRecord {
    KeyedRecord::new(AS_OF_KEY, thistle_schedule::job_log::encode(&version))
}

/// Returns whether a configuration caps the running tasks of any workspace. If none is capped, no record of caps is written.
pub fn has_caps(catalog: &Catalog) -> bool {
    catalog.workspaces.all().iter().any(|workspace| limits(workspace.cap))
}

/// Returns whether the current configuration has caps.
pub fn in_force(node: &Node) -> bool {
    node.catalog.borrow().as_ref().is_some_and(|catalog| has_caps(catalog))
}

/// Returns the key of a record about a name of any length.
pub fn hashed_key(prefix: &str, name: &str) -> String {
    format!("{prefix}{:016x}{:016x}", weight(name.as_bytes(), 0), weight(name.as_bytes(), 1))
}

/// Encodes the lent shares of a cap.
pub fn lent_record(lent: &LentCap) -> KeyedRecord {
    let value = thistle_schedule::job_log::encode(lent);
    KeyedRecord::new(hashed_key(LENT_PREFIX, &lent.workspace), value)
}

/// Encodes a report of cap use.
pub fn use_record(cap_use: &CapUse) -> KeyedRecord {
    let value = thistle_schedule::job_log::encode(cap_use);
    KeyedRecord::new(
        hashed_key(USE_PREFIX, &format!("{}\n{}", cap_use.pool, cap_use.workspace)),
        value,
    )
}

/// Decodes a record; logs and skips one that cannot be read.
fn decode<T: serde::de::DeserializeOwned>(stored: &Stored) -> Option<T> {
    let value = stored.record.value()?;
    postcard::from_bytes(value)
        .inspect_err(|e| log::error!("caps step=unreadable offset={} error=\"{e}\"", stored.offset))
        .ok()
}

/// Merges records into a table, keeping the newest for each workspace; returns whether the table has changed.
fn merge_records(table: &mut LentTable, records: &[Stored]) -> bool {
    let mut changed = false;
    for stored in records {
        if stored.record.key == AS_OF_KEY {
            let as_of = decode(stored).unwrap_or(0);
            changed |= as_of > table.as_of;
            table.as_of = table.as_of.max(as_of);
            continue;
        }
        let Some(lent) = decode::<LentCap>(stored) else { continue };
        let known = table.lent.get(&lent.workspace);
        if known.is_none_or(|known| known.number < lent.number) {
            table.lent.insert(lent.workspace.clone(), lent);
            changed = true;
        }
    }
    changed
}

/// Reads the current lent shares, so that this node has the newest ones.
pub async fn read_lent(node: &Node) -> Result<(), StoreError> {
    let newest = node.store.newest(TOPIC, LENT).await?;
    node.lent.send_if_modified(|table| merge_records(Arc::make_mut(table), &newest.records));
    Ok(())
}

/// Follows the lent shares once there are caps, while this node owns something.
pub async fn follow_lent(node: Arc<Node>) {
    let mut catalog = node.catalog.subscribe();
    let has = |catalog: &Option<Arc<Catalog>>| catalog.as_ref().is_some_and(|c| has_caps(c));
    if catalog.wait_for(has).await.is_err() {
        return;
    }
    let apply = |update, _: &Tail| {
        let records = match update {
            Update::Reloaded(records) | Update::Records(records) => records,
        };
        node.lent.send_if_modified(|table| merge_records(Arc::make_mut(table), &records));
    };
    // The table is kept afterwards: the next owner here reads newer records before it starts any task.
    follow_while_owning(&node, (TOPIC, LENT), ReadMode::Immediate, apply, || ()).await;
}
