//! Idempotency keys: hashing, request fingerprints and key age.

use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// The maximum length of an idempotency key, in bytes.
pub const MAX_KEY_LEN: usize = 128;
/// How far a key's timestamp may be ahead of this entry's clock.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;
const UUID_LEN: usize = 36;
const UUID_VERSION_AT: usize = 14;

/// The key of a claim: a 128-bit hash of workspace, service and idempotency key.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Hashes workspace, service and idempotency key.
    pub fn new(workspace: &str, service: &str, key: &str) -> Self {
        Self(xxh3_128(format!("{workspace}\n{service}\n{key}").as_bytes()))
    }
}

/// Returns a hash of the request that detects the reuse of a key for a different request.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut bytes = format!("{method}\n{path}\n").into_bytes();
    bytes.extend_from_slice(body);
    xxh3_64(&bytes)
}

/// Returns the creation time, in milliseconds since the Unix epoch, of a key that is a version 7
/// UUID (RFC 9562).
pub fn created_ms(key: &str) -> Option<u64> {
    let b = key.as_bytes();
    let dashes = [8, 13, 18, 23];
    let well_formed = b.len() == UUID_LEN
        && b.iter()
            .enumerate()
            .all(|(i, c)| if dashes.contains(&i) { *c == b'-' } else { c.is_ascii_hexdigit() });
    if !well_formed || b[UUID_VERSION_AT] != b'7' {
        return None;
    }
    u64::from_str_radix(&format!("{}{}", &key[0..8], &key[9..13]), 16).ok()
}

/// Whether a key may still be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// If the key was claimed before, the voters still hold that claim.
    Fresh,
    /// A claim on the key may have expired or been lost, so an earlier attempt may have run.
    TooOld,
    /// The key's timestamp is in the future, so the caller's clock is wrong.
    InFuture,
}

/// Classifies the age of a key.
///
/// Voters keep a claim for `keep`. Claims made before `claims_from_ms` may have been lost; 0 means that
/// none were. A key without a timestamp is fresh unless claims were lost within `keep` before
/// `now_ms`. Callers must not reuse such a key later than `keep` after the first attempt.
pub fn classify_age(key: &str, now_ms: u64, keep: Duration, claims_from_ms: u64) -> KeyAge {
    let keep_ms = u64::try_from(keep.as_millis()).unwrap_or(u64::MAX);
    match created_ms(key) {
        Some(t) if t > now_ms + MAX_CLOCK_SKEW_MS => KeyAge::InFuture,
        Some(t) if t + keep_ms < now_ms || t < claims_from_ms => KeyAge::TooOld,
        None if claims_from_ms > 0 && now_ms < claims_from_ms + keep_ms => KeyAge::TooOld,
        _ => KeyAge::Fresh,
    }
}
