//! Whether what a node has read is recent enough to start tasks.
//!
//! Load pattern: queues ask by turns for five times what their pools hold, so that tasks wait for seconds and callers cancel them
//! through other nodes. Meanwhile the owner's reads fall behind: behind a backlog of submissions on a narrow link, because one
//! partition fails for this node alone, or because a takeover went on without it.
//!
//! What another node has acknowledged binds the owner only through what it reads. A start is sent only while each partition that
//! may hold such a record was read to its end recently enough that no record which has to be in force by then is missing.

use crate::Ms;

/// The longest time that a start takes to arrive, in milliseconds. The last starts by a read are sent this long before a record
/// that the read may have missed has to be in force.
const START_DELIVERY_MS: Ms = 1_000;

/// Returns whether a partition was read recently enough to start tasks. `read_at` is when the newest read that reached its end was
/// sent, and `within` the time after its acknowledgement from which a record has to be in force.
pub fn is_current(read_at: Option<Ms>, within: Ms, now: Ms) -> bool {
    read_at.is_some_and(|at| now < at + within.saturating_sub(START_DELIVERY_MS))
}

/// Returns whether all of the partitions that may hold a record were read recently enough to start tasks.
pub fn are_current(read_at: &[Option<Ms>], within: Ms, now: Ms) -> bool {
    read_at.iter().all(|&at| is_current(at, within, now))
}
