//! The records of claims and heartbeats.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Means, Unreached};
use crate::lease_bounds::LeaseRecord;

/// One incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// The node's name.
    pub name: String,
    /// A random number drawn at the node's start.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The record that a node writes to claim a shard or to release it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The owner.
    pub owner: NodeIncarnation,
    /// Whether the owner has released the shard.
    pub released: bool,
    /// The name of the node that the owner has released the shard to, if it has chosen one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub successor: Option<String>,
    /// A token from which on all owners of the shard up to this one have kept the record of lease bounds. Owners of older builds
    /// drop it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_bounds_since: Option<u64>,
    /// What the node knows of the record of lease bounds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_bounds: Option<LeaseRecord>,
    /// The owners before this claim that released a pool because no VM answered them, with this one if it is released so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unreached: Option<Unreached>,
}

/// The record that a node writes regularly to show that it is alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The number of the node's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The sequence number, increasing with each heartbeat of the incarnation.
    pub sequence: u64,
    /// Whether the node is about to stop and claims no shards.
    pub leaving: bool,
    /// The address at which it relays calls to the store for other nodes, if it does.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
    /// Its computing speed, determined at its start in an arbitrary unit; 0 if it is not known.
    #[serde(default)]
    pub speed: u32,
    /// What its settings state that it has to do the work of an owner.
    #[serde(default)]
    pub means: Means,
    /// Whether the node reads the owners' partition of heartbeats. Older nodes read only the common one.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reads_owner_heartbeats: bool,
    /// Whether the node reads a shard's own partition of heartbeats before it takes its owner for unresponsive. Older nodes don't.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reads_shard_heartbeats: bool,
}

impl Claim {
    /// Creates the record by which a node claims a shard.
    pub const fn new(owner: NodeIncarnation) -> Self {
        Self {
            owner,
            released: false,
            successor: None,
            lease_bounds_since: None,
            lease_bounds: None,
            unreached: None,
        }
    }

    /// Creates the record by which the owner releases a shard, to the node `successor` if there is one.
    pub const fn released(owner: NodeIncarnation, successor: Option<String>) -> Self {
        Self {
            owner,
            released: true,
            successor,
            lease_bounds_since: None,
            lease_bounds: None,
            unreached: None,
        }
    }

    /// Sets the owners that released the pool because no VM answered them.
    #[must_use]
    pub fn with_unreached(self, unreached: Option<Unreached>) -> Self {
        Self { unreached, ..self }
    }

    /// Sets the token from which on all owners have kept the record of lease bounds, and what is known of that record.
    #[must_use]
    pub fn with_lease_bounds(self, since: u64, record: Option<LeaseRecord>) -> Self {
        Self { lease_bounds_since: Some(since), lease_bounds: record, ..self }
    }
}
