//! Where a pool's progress may stand: its owner tells so beside the claims before it writes elsewhere than in the two usual
//! partitions.
//!
//! Whoever claims a pool has read all that was told before its claim, as a claim is taken only at the end that
//! was read. So a successor knows every partition that its predecessor may have written to, and on a calm day fences and
//! reads two. Weighed: four partitions always (a successor has to fence and read all; with 35% of them down that
//! succeeds in 18 of 100 cases at once, with two in 42).

use std::sync::Arc;

use thistle_platform::{Appended, Guard, KeyedRecord};

use super::{CLAIMS, TOPIC};
use crate::locks::lock;
use crate::node::Node;

/// What the keys of such records start with.
pub(super) const LANES_PREFIX: &str = "lanes/";

/// Tells that a pool's progress may stand in the further partitions too, or does no more. Returns whether that is sure, and is
/// refused to one who does not own the pool any more. What was not answered may still be told, unless something
/// else is told or claimed before.
pub async fn announce(node: &Node, pool: &Arc<str>, token: u64, open: bool) -> bool {
    let Some(end) = node.claims_end.get() else { return false };
    // What was read up to that end says that this node is the owner; nothing may come between.
    if lock(&node.ownership).my_token(pool) != Some(token) {
        return false;
    }
    let key = format!("{LANES_PREFIX}{pool}");
    let record = match open {
        true => KeyedRecord::new(key, b"open".to_vec()),
        false => KeyedRecord::dropping(key),
    };
    match node.store.append(TOPIC, CLAIMS, Guard::EndsAt(end), &[record]).await {
        Ok(Appended::Done { end, .. }) => {
            node.claims_end.reached(end);
            lock(&node.ownership).set_further_lanes(pool, open);
            log::info!("progress step=lanes pool={pool} open={open} token={token}");
            true
        }
        Ok(other) => {
            log::debug!("progress step=lanes-not-told pool={pool} open={open} answer={other:?}");
            false
        }
        Err(e) => {
            log::info!("progress step=lanes-not-told pool={pool} open={open} error=\"{e}\"");
            false
        }
    }
}
