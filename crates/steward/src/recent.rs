//! The newest entries of the log, kept for peers that cannot read it.

use std::collections::VecDeque;

use thistle_model::Offset;

/// The maximum number of entries that are kept.
const MAX_ENTRIES: usize = 1_024;
/// The maximum size of the kept entries in bytes.
const MAX_BYTES: usize = 1024 * 1024;
/// The maximum size in bytes of the entries in an answer to a peer.
const MAX_PAGE_BYTES: usize = 256 * 1024;

/// A bounded queue of consecutive log entries.
#[derive(Debug, Default)]
pub struct RecentEntries {
    entries: VecDeque<Vec<u8>>,
    bytes: usize,
    next: Offset,
}

impl RecentEntries {
    /// Adds the entry at `offset`; drops the kept entries if it does not follow them.
    pub fn push(&mut self, offset: Offset, entry: Vec<u8>) {
        if offset != self.next {
            self.entries.clear();
            self.bytes = 0;
        }
        self.next = offset.next();
        self.bytes += entry.len();
        self.entries.push_back(entry);
        while self.entries.len() > MAX_ENTRIES || self.bytes > MAX_BYTES {
            let Some(old) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= old.len();
        }
    }

    /// Returns a page of entries from `from` on, or `None` if they are no longer kept.
    pub fn page_from(&self, from: Offset) -> Option<Vec<Vec<u8>>> {
        let first = self.next.0 - self.entries.len() as u64;
        let skip = usize::try_from(from.0.checked_sub(first)?).ok()?;
        let mut bytes = 0;
        let page = self.entries.iter().skip(skip).take_while(|e| {
            bytes += e.len();
            bytes <= MAX_PAGE_BYTES
        });
        Some(page.cloned().collect())
    }
}
