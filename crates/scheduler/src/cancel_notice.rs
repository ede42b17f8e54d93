//! Notices of cancellations to the owner of a pool.
//!
//! The owner reads submissions and cancellations in the order in which they were written. During a burst it may read a
//! cancellation seconds after the caller got its answer, while the tasks of the job run on. The node that has written a
//! cancellation therefore notifies the owner of it directly. A notice may be lost: the record is in the store, and no task is
//! started by old reads.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use metrics::counter;
use thistle_platform::KeyedRecord;
use thistle_platform::http::Call;

use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::PoolLog;

/// The prefix of the path for notices; the pool's name follows.
pub const PATH: &str = "/cancellations/";
/// How long the owner may take to reply.
const TIMEOUT: Duration = Duration::from_millis(700);
/// How often a notice is sent: the pool may change its owner meanwhile.
const TRIES: u32 = 3;
/// Pause before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Notifies the pool's owner of a cancellation that the store has written, in a task of its own.
pub fn notify_owner(node: &Arc<Node>, log: &Arc<PoolLog>, record: KeyedRecord) {
    if log.is_owned() {
        return;
    }
    let (node, log) = (node.clone(), log.clone());
    tokio::spawn(async move {
        for _ in 0..TRIES {
            match send(&node, &log, &record).await {
                Ok(()) => return,
                Err(e) => log::info!(
                    "cancel step=owner-not-notified key={} pool={} error=\"{e}\"",
                    record.key,
                    log.pool
                ),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    });
}

async fn send(node: &Node, log: &PoolLog, record: &KeyedRecord) -> Result<(), String> {
    let owner = lock(&node.ownership).relay_of_owner(&log.pool).ok_or("the owner is not known")?;
    let body = postcard::to_stdvec(&(&*record.key, &*record.value)).map_err(|e| e.to_string())?;
    let call = Call::new(Method::POST, format!("{PATH}{}", log.pool), TIMEOUT);
    let answer = node.peers.client(owner).call(call.with_bytes(body.into())).await;
    let status = answer.map_err(|e| e.to_string())?.status;
    counter!("thistle_cancel_notices", "status" => status.to_string()).increment(1);
    match status == StatusCode::OK.as_u16() {
        true => Ok(()),
        false => Err(format!("{owner} answered with status {status}")),
    }
}

/// Applies another node's notice. Returns false if this node does not own the pool or cannot decode the notice.
pub fn accept_notice(node: &Node, pool: &str, body: &Bytes) -> bool {
    let (key, value): (String, Vec<u8>) = match postcard::from_bytes(body) {
        Ok(notice) => notice,
        Err(e) => {
            log::error!("cancel step=notice-unreadable pool={pool} error=\"{e}\"");
            return false;
        }
    };
    let log = node.pool_log_of(pool).filter(|log| log.is_owned());
    log.is_some_and(|log| log.apply_cancel_notice(&KeyedRecord::new(key, value)))
}
