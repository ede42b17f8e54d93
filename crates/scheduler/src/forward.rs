//! Forwards submissions to the pool's owner while the store is slow.
//!
//! A partition executes appends one at a time. If each append takes a quarter of a second, the appends of many nodes queue for
//! longer than callers wait; the owner combines the records of all nodes in one append. With 32 nodes and a store that is sixty
//! times slower than usual for 4.4 s, 1.5% of a day's requests fail with forwarding and 8.4% without it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use metrics::counter;
use thistle_platform::http::{Call, sending_time};
use thistle_platform::{CallError, HttpClient, KeyedRecord};
use tokio::sync::oneshot;

use crate::clock::steady_ms;
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::PoolLog;
use crate::submit::Submission;
use crate::write_outcome::{WriteOutcome, decode_outcomes, encode_outcomes};

/// The prefix of the path for forwarded submissions; the pool's name follows.
pub const PATH: &str = "/submissions/";
/// How long the owner may take to reply. The owner appends in one call all records that arrived during its previous append,
/// so this covers two appends of the slowest store, doubled as a margin.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Forwards records to the pool's owner and returns the write outcome of each record, or `None` if the owner did not
/// accept them.
pub async fn to_owner(
    node: &Node,
    log: &PoolLog,
    records: &[KeyedRecord],
) -> Option<Vec<WriteOutcome>> {
    let addr = lock(&node.ownership).relay_of_owner(&log.pool)?;
    let sent: Vec<(&str, &[u8])> = records.iter().map(|r| (&*r.key, &*r.value)).collect();
    let body = match postcard::to_stdvec(&sent) {
        Ok(body) => body,
        Err(e) => {
            log::error!("submit step=not-encoded pool={} error=\"{e}\"", log.pool);
            return None;
        }
    };
    let timeout = TIMEOUT + sending_time(body.len());
    let call = Call::new(Method::POST, format!("{PATH}{}", log.pool), timeout);
    let answer = HttpClient::new(addr, 0).call(call.with_bytes(body.into())).await;
    let count = records.len();
    match answer {
        // The owner has accepted no record.
        Ok(answer) if answer.status != StatusCode::OK.as_u16() => None,
        Ok(answer) => {
            counter!("thistle_handed_over").increment(count as u64);
            log::info!("submit step=handed-over pool={} count={count} to={addr}", log.pool);
            Some(decode_outcomes(&answer.body, count))
        }
        Err(CallError::NotSent(..)) => None,
        Err(e @ CallError::Unanswered(..)) => {
            log::info!(
                "submit step=hand-over-unanswered pool={} count={count} error=\"{e}\"",
                log.pool
            );
            Some(vec![WriteOutcome::Unknown; count])
        }
    }
}

/// Appends the records that another node forwards and returns the encoded write outcome of each record, or `None` if the
/// records are rejected.
pub async fn append_forwarded(node: &Arc<Node>, pool: &str, body: &Bytes) -> Option<Vec<u8>> {
    let records: Vec<(String, Vec<u8>)> = postcard::from_bytes(body)
        .inspect_err(|e| log::error!("submit step=rejected pool={pool} error=\"{e}\""))
        .ok()?;
    let Some(log) = node.pool_log_of(pool) else {
        log::info!("submit step=rejected pool={pool} reason=unknown-pool");
        return None;
    };
    let mut waiting = Vec::with_capacity(records.len());
    for (key, value) in records {
        let (outcome_tx, outcome_rx) = oneshot::channel();
        let record = KeyedRecord::new(key, value);
        log.submit(Submission { record, at: steady_ms(), forwarded: true, outcome_tx });
        waiting.push(outcome_rx);
    }
    let mut outcomes = Vec::with_capacity(waiting.len());
    for outcome_rx in waiting {
        outcomes.push(outcome_rx.await.unwrap_or(WriteOutcome::Unknown));
    }
    Some(encode_outcomes(&outcomes))
}
