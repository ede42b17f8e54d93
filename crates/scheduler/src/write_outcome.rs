//! The write outcome of a submission or a cancellation, and its encoding between nodes.

use serde::{Deserialize, Serialize};

/// The write outcome of a submission or a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// The store has written the record.
    Kept,
    /// The store has not written the record and will not write it later.
    NotKept,
    /// The store may have written the record, or may still write it.
    Unknown,
}

impl WriteOutcome {
    /// Returns the outcome of records that an earlier append may already have written.
    #[must_use]
    pub const fn after_uncertain_append(self) -> Self {
        match self {
            Self::NotKept => Self::Unknown,
            other => other,
        }
    }

    /// Returns the outcome of a record that was written to several pools: it is known only if all of them agree.
    pub fn of_all(outcomes: &[Self]) -> Self {
        match outcomes {
            [first, rest @ ..] if rest.iter().all(|outcome| outcome == first) => *first,
            _ => Self::Unknown,
        }
    }
}

/// Decodes the outcomes of `count` records. If outcomes are missing or cannot be decoded, all records count as `Unknown`.
pub fn decode_outcomes(body: &[u8], count: usize) -> Vec<WriteOutcome> {
    match postcard::from_bytes::<Vec<WriteOutcome>>(body) {
        Ok(outcomes) if outcomes.len() == count => return outcomes,
        Ok(outcomes) => {
            log::error!("submit step=outcomes-missing count={count} told={}", outcomes.len());
        }
        Err(e) => log::error!("submit step=outcomes-unreadable count={count} error=\"{e}\""),
    }
    vec![WriteOutcome::Unknown; count]
}

/// Encodes the outcomes of forwarded records.
pub fn encode_outcomes(outcomes: &[WriteOutcome]) -> Vec<u8> {
    postcard::to_stdvec(outcomes).unwrap_or_else(|e| {
        // The other node treats an empty body as unknown outcomes. `NotKept` would be wrong, because the records may
        // have been written.
        log::error!("submit step=outcomes-not-encoded count={} error=\"{e}\"", outcomes.len());
        Vec::new()
    })
}
