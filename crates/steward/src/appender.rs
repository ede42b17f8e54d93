//! Appends records in batches, and repeats a batch until it is read back.

use std::sync::Arc;
use std::time::Duration;

use thistle_model::clock::Instant;
use thistle_model::record::{MAX_ENTRY_BYTES, encode};
use thistle_model::{Record, RecordId};
use thistle_wire::platform::LogService;
use tokio::sync::mpsc;

use crate::shared::Shared;

/// How long an appended batch may take to be read back before it is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause after a failed append.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long the append of a batch is repeated; later copies would only be rejected as stale.
const RETRY_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum size of a batch in bytes; leaves room for the brackets around the records.
const MAX_BATCH_BYTES: usize = MAX_ENTRY_BYTES - 1024;

/// Appends the records from a channel until it closes.
pub async fn run<L: LogService>(
    shared: Arc<Shared>,
    log: Arc<L>,
    mut records: mpsc::Receiver<Vec<Record>>,
) {
    let mut carried: Option<Vec<Record>> = None;
    loop {
        let first = match carried.take() {
            Some(batch) => batch,
            None => match records.recv().await {
                Some(batch) => batch,
                None => return,
            },
        };
        let batch = gather(first, &mut records, &mut carried);
        for part in split(batch) {
            append(&shared, log.as_ref(), &part).await;
        }
    }
}

/// Adds the batches that already wait in the channel, up to the size of a log entry.
fn gather(
    mut batch: Vec<Record>,
    records: &mut mpsc::Receiver<Vec<Record>>,
    carried: &mut Option<Vec<Record>>,
) -> Vec<Record> {
    let mut bytes = encoded_size(&batch);
    while let Ok(more) = records.try_recv() {
        bytes += encoded_size(&more);
        if bytes > MAX_BATCH_BYTES {
            *carried = Some(more);
            return batch;
        }
        batch.extend(more);
    }
    batch
}

/// Splits records into parts that fit a log entry each; drops a record that is too large for one.
fn split(records: Vec<Record>) -> Vec<Vec<Record>> {
    let mut parts: Vec<Vec<Record>> = Vec::new();
    let mut bytes = usize::MAX;
    for record in records {
        let more = encoded_size(std::slice::from_ref(&record));
        if more > MAX_ENTRY_BYTES {
            log::error!(
                "append record={} bytes={more} too large for a log entry, dropped",
                record.id
            );
            continue;
        }
        if bytes.saturating_add(more) > MAX_BATCH_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += more;
        if let Some(part) = parts.last_mut() {
            part.push(record);
        }
    }
    parts
}

fn encoded_size(records: &[Record]) -> usize {
    encode(records).len()
}

/// Appends records as one log entry, and repeats the append until the records are read back or
/// [`RETRY_TIMEOUT`] has passed.
async fn append<L: LogService>(shared: &Shared, log: &L, records: &[Record]) {
    let started_at = Instant::now();
    let entry = encode(records);
    let ids: Vec<_> = records.iter().map(|r| r.id).collect();
    while Instant::now().since(started_at) < RETRY_TIMEOUT {
        if let Err(e) = log.append(entry.clone()).await {
            // The append may have taken effect nevertheless; only reading the log shows whether it
            // did.
            log::warn!("append records={} result=unknown reason=\"{e}\"", ids.len());
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if wait_until_read(shared, &ids).await {
            return;
        }
    }
    log::warn!("append records={} result=given-up", ids.len());
}

/// Waits until records are read back; returns `false` after the timeout.
async fn wait_until_read(shared: &Shared, ids: &[RecordId]) -> bool {
    let mut changed = shared.changed.subscribe();
    let all_read = || {
        let core = shared.core();
        ids.iter().all(|&id| core.is_read(id))
    };
    let wait = async {
        while !all_read() {
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::time::timeout(READ_BACK_TIMEOUT, wait).await.is_ok()
}
