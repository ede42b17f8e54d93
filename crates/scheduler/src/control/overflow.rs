//! Announcements of overflow partitions: before a pool's owner writes progress outside the two usual partitions, it
//! announces this in the partition of claims.
//!
//! A claim is accepted only at the end of the partition that its node has read, so a new owner has read all earlier
//! announcements. It therefore knows every partition to which its predecessor may have written, and normally fences
//! and reads only two. Always using four partitions was rejected, as a new owner would have to fence and read all of
//! them: with 35% of partitions down that succeeds at once in 18 of 100 cases, and with two partitions in 42.

use std::sync::Arc;

use thistle_platform::{Appended, Guard, KeyedRecord};

use super::{CLAIMS, TOPIC};
use crate::locks::lock;
use crate::node::Node;

/// The prefix of the keys of announcements.
pub(super) const OVERFLOW_PREFIX: &str = "lanes/";

/// Announces that a pool's progress may also be in the overflow partitions, or no longer is. Returns whether the
/// announcement was certainly written; a node that no longer owns the pool cannot write it. An unanswered
/// announcement may still be written, unless another announcement or a claim comes first.
pub async fn announce_overflow(node: &Node, pool: &Arc<str>, token: u64, open: bool) -> bool {
    let Some(end) = node.claims_end.get() else { return false };
    // This node owns the pool according to the records before `end`; the guard rejects the append if any other follows.
    if lock(&node.ownership).my_token(pool) != Some(token) {
        return false;
    }
    let key = format!("{OVERFLOW_PREFIX}{pool}");
    let record = match open {
        true => KeyedRecord::new(key, b"open".to_vec()),
        false => KeyedRecord::deleting(key),
    };
    match node.store.append(TOPIC, CLAIMS, Guard::EndsAt(end), &[record]).await {
        Ok(Appended::Done { end, .. }) => {
            node.claims_end.advance_to(end);
            lock(&node.ownership).set_overflow_partitions(pool, open);
            log::info!("progress step=overflow pool={pool} open={open} token={token}");
            true
        }
        Ok(other) => {
            log::debug!(
                "progress step=overflow-not-announced pool={pool} open={open} answer={other:?}"
            );
            false
        }
        Err(e) => {
            log::info!(
                "progress step=overflow-not-announced pool={pool} open={open} error=\"{e}\""
            );
            false
        }
    }
}
