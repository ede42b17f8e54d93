//! What became of a submission or a cancel, also as one node tells it to another.

use serde::{Deserialize, Serialize};

/// What became of a submission or a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Written {
    /// The store has it.
    Kept,
    /// The store surely does not have it and will not get it.
    NotKept,
    /// The store may have it.
    Unknown,
}

impl Written {
    /// Returns what is to be told of records that an earlier append may have written.
    #[must_use]
    pub const fn though_it_may_be_there(self) -> Self {
        match self {
            Self::NotKept => Self::Unknown,
            other => other,
        }
    }
}

/// Reads what became of `count` records. What was not told, or cannot be read, may be written.
pub fn read_outcomes(body: &[u8], count: usize) -> Vec<Written> {
    match postcard::from_bytes::<Vec<Written>>(body) {
        Ok(written) if written.len() == count => return written,
        Ok(written) => {
            log::error!("submit step=outcomes-missing count={count} told={}", written.len());
        }
        Err(e) => log::error!("submit step=outcomes-unreadable count={count} error=\"{e}\""),
    }
    vec![Written::Unknown; count]
}

/// Encodes what became of records that were handed over.
pub fn encode_outcomes(written: &[Written]) -> Vec<u8> {
    postcard::to_stdvec(written).unwrap_or_else(|e| {
        // Without a body the other node takes them for unknown; told as not taken, they might be kept all the
        // same.
        log::error!("submit step=outcomes-not-encoded count={} error=\"{e}\"", written.len());
        Vec::new()
    })
}
