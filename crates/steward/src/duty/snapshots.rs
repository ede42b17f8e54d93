//! Proposes snapshots before the log entries that they cover expire.

use thistle_model::Change;

use crate::shared::Shared;

/// Returns the chunks of the last snapshot point if the log has no complete snapshot of it.
pub fn proposals(shared: &Shared) -> Vec<Change> {
    let core = shared.core();
    let point = &core.snapshot;
    if point.chunks.is_empty() || point.written >= point.at {
        return Vec::new();
    }
    log::info!("decision step=snapshot at={} chunks={}", point.at, point.chunks.len());
    point.chunks.clone()
}
