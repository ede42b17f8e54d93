//! Caps of workspaces over all pools: the records by which one node lends parts of them to the pools' owners.

mod lender;

use std::collections::BTreeMap;
use std::sync::Arc;

use thistle_model::rendezvous::weight;
use thistle_platform::{KeyedRecord, StoreError, Stored};
use thistle_schedule::Catalog;
use thistle_schedule::quota::{CapUse, LentCap, limits};

use crate::control::TOPIC;
use crate::follow::{News, Pace, follow_while_owning};
use crate::node::Node;

pub use lender::run;

/// The name under which the lending of caps is owned, beside the pools' names.
pub const CAPS: &str = "#caps";
/// The partition of how caps are lent.
pub const LENT: u32 = 5;
/// The partition of what pools' owners say of what they use.
pub const USES: u32 = 6;
/// What the keys of records start with; a hash of the names follows, as names may be of any length.
pub const LENT_PREFIX: &str = "cap/";
/// The same for what is said.
pub const USE_PREFIX: &str = "use/";

/// The key of the version for which the splits hold. It comes before all others, so that pages of newest records never tell of a
/// newer version than the splits that follow.
const AS_OF_KEY: &str = "as-of";

/// How caps are lent.
#[derive(Clone, Debug, Default)]
pub struct LentTable {
    /// The version of the configuration for which the splits hold.
    pub as_of: u64,
    /// The split of each cap, by workspace.
    pub lent: BTreeMap<String, LentCap>,
}

/// Encodes the version for which the splits hold.
pub fn as_of_record(version: u64) -> KeyedRecord {
    KeyedRecord::new(AS_OF_KEY, thistle_schedule::job_log::encode(&version))
}

/// Returns whether a configuration limits what any workspace may have running. Where none does, nothing here is written.
pub fn has_caps(catalog: &Catalog) -> bool {
    catalog.workspaces.all().iter().any(|workspace| limits(workspace.cap))
}

/// Returns whether the configuration in force has caps.
pub fn in_force(node: &Node) -> bool {
    node.catalog.borrow().as_ref().is_some_and(|catalog| has_caps(catalog))
}

fn hashed(prefix: &str, name: &str) -> String {
    format!("{prefix}{:016x}{:016x}", weight(name.as_bytes(), 0), weight(name.as_bytes(), 1))
}

/// Encodes how a cap is lent.
pub fn lent_record(lent: &LentCap) -> KeyedRecord {
    let value = thistle_schedule::job_log::encode(lent);
    KeyedRecord::new(hashed(LENT_PREFIX, &lent.workspace), value)
}

/// Encodes what a pool's owner says.
pub fn use_record(said: &CapUse) -> KeyedRecord {
    let value = thistle_schedule::job_log::encode(said);
    KeyedRecord::new(hashed(USE_PREFIX, &format!("{}\n{}", said.pool, said.workspace)), value)
}

/// Reads a record; one that cannot be read is told and left out.
fn decode<T: serde::de::DeserializeOwned>(stored: &Stored) -> Option<T> {
    let value = stored.record.value()?;
    postcard::from_bytes(value)
        .inspect_err(|e| log::error!("caps step=unreadable offset={} error=\"{e}\"", stored.offset))
        .ok()
}

/// Takes records into a table; of two about one workspace the newer holds.
fn merge(table: &mut LentTable, records: &[Stored]) -> bool {
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

/// Reads how caps are lent now, so that this node knows no less than any other does.
pub async fn read_lent(node: &Node) -> Result<(), StoreError> {
    let newest = node.store.newest(TOPIC, LENT).await?;
    node.lent.send_if_modified(|table| merge(Arc::make_mut(table), &newest.records));
    Ok(())
}

/// Follows how caps are lent for as long as this node owns something, once there are caps.
pub async fn follow_lent(node: Arc<Node>) {
    let mut catalog = node.catalog.subscribe();
    let has = |catalog: &Option<Arc<Catalog>>| catalog.as_ref().is_some_and(|c| has_caps(c));
    if catalog.wait_for(has).await.is_err() {
        return;
    }
    let apply = |news| {
        let records = match news {
            News::Reloaded(records) | News::Records(records) => records,
        };
        node.lent.send_if_modified(|table| merge(Arc::make_mut(table), &records));
    };
    // What was read stays true: an owner to come reads what is newer before it starts anything.
    follow_while_owning(&node, (TOPIC, LENT), Pace::AtOnce, apply, || ()).await;
}
