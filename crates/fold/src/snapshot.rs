//! Snapshots of the state in the log, which allow old log entries to expire.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use thistle_model::{Change, Offset};

use crate::image;
use crate::state::State;

/// The maximum number of bytes of the state in a chunk, before base64 encoding.
pub const CHUNK_BYTES: usize = 36 * 1024;
/// The maximum number of chunks of a snapshot that is read, to limit memory.
pub const MAX_CHUNKS: u32 = 1_024;

/// Returns the changes that hold a snapshot of `state`.
pub fn chunks(state: &State) -> Vec<Change> {
    let bytes = image::encode(state);
    let digest = image::digest_of(&bytes);
    let parts: Vec<&[u8]> = bytes.chunks(CHUNK_BYTES).collect();
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    let chunk = |(i, part): (usize, &&[u8])| Change::SnapshotChunk {
        at: state.next,
        digest: digest.clone(),
        index: u32::try_from(i).unwrap_or(u32::MAX),
        count,
        data: STANDARD.encode(part),
    };
    parts.iter().enumerate().map(chunk).collect()
}

/// Assembles snapshots from their chunks.
#[derive(Debug, Default)]
pub struct Assembler {
    parts: BTreeMap<(Offset, String), BTreeMap<u32, Vec<u8>>>,
}

impl Assembler {
    /// Creates an assembler without chunks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the chunk of a change, if any; returns the state if the chunk completes a snapshot with
    /// a correct digest.
    pub fn add_chunk(&mut self, change: &Change) -> Option<State> {
        let Change::SnapshotChunk { at, digest, index, count, data } = change else {
            return None;
        };
        if *count > MAX_CHUNKS || index >= count {
            return None;
        }
        let bytes = STANDARD.decode(data).ok()?;
        let key = (*at, digest.clone());
        let parts = self.parts.entry(key.clone()).or_default();
        parts.insert(*index, bytes);
        if parts.len() != *count as usize {
            return None;
        }
        let parts = self.parts.remove(&key)?;
        let encoded: Vec<u8> = parts.into_values().flatten().collect();
        if image::digest_of(&encoded) != *digest {
            return None;
        }
        image::decode(&encoded).filter(|s| s.next == *at)
    }
}
