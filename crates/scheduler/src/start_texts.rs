//! The texts of the starts that this node sends for owners.
//!
//! Standbys read a pool only every few seconds by themselves, and most starts are of jobs that were accepted since. A standby that
//! lacks a text reads the submissions again. A store may take longer than the starts wait, so the read goes on for later ones.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use thistle_schedule::{JobSpec, Ms};
use tokio::sync::watch;

use crate::clock::steady_ms;
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::{PoolLog, SUBMISSIONS};
use crate::relayed_start::{Outcome, StartRequest, text_hash};

/// How long a start waits for a read of submissions if this node lacks its text.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// The reads of a pool's submissions for starts, at most one at a time.
#[derive(Debug, Default)]
pub struct TextReads {
    wanted: Mutex<Wanted>,
    /// The time up to which records were to be read by the newest read that has ended.
    ended: watch::Sender<Ms>,
}

#[derive(Debug, Default)]
struct Wanted {
    /// The time up to which records are to be read.
    until: Ms,
    is_reading: bool,
}

/// Returns the job of a start if this node has the same text as the owner, or else why it can't send the start.
pub(crate) async fn find_text(
    node: &Arc<Node>,
    request: &StartRequest,
) -> Result<Arc<JobSpec>, Outcome> {
    let log = node.pool_log_of(&request.pool).filter(|log| log.is_followed());
    let log = log.ok_or(Outcome::NotFollowing)?;
    let since = steady_ms();
    let mut ended = log.text_reads.ended.subscribe();
    if is_missing(&log, request) {
        read(node, &log, since);
        let has_ended = async {
            while is_missing(&log, request) && *ended.borrow_and_update() < since {
                if ended.changed().await.is_err() {
                    break;
                }
            }
        };
        // After the timeout the text may still have been read.
        let _ = tokio::time::timeout(READ_TIMEOUT, has_ended).await;
    }
    text_of(&log, request)
}

fn is_missing(log: &PoolLog, request: &StartRequest) -> bool {
    matches!(text_of(log, request), Err(Outcome::NoText))
}

fn text_of(log: &PoolLog, request: &StartRequest) -> Result<Arc<JobSpec>, Outcome> {
    let jobs = log.jobs();
    let entry = jobs.get(request.task.job).ok_or(Outcome::NoText)?;
    if entry.cancelled {
        return Err(Outcome::Cancelled);
    }
    entry
        .spec
        .clone()
        .filter(|spec| text_hash(&spec.text) == request.text_hash)
        .ok_or(Outcome::NoText)
}

/// Reads the records that the store has at `until`, unless a read for the same time is in progress.
fn read(node: &Arc<Node>, log: &Arc<PoolLog>, until: Ms) {
    let mut wanted = lock(&log.text_reads.wanted);
    wanted.until = wanted.until.max(until);
    if !std::mem::replace(&mut wanted.is_reading, true) {
        tokio::spawn(read_while_wanted(node.clone(), log.clone()));
    }
}

async fn read_while_wanted(node: Arc<Node>, log: Arc<PoolLog>) {
    loop {
        let until = lock(&log.text_reads.wanted).until;
        if let Err(e) = log.catch_up(&node, SUBMISSIONS, until).await {
            log::debug!("start step=texts-not-read pool={} error=\"{e}\"", log.pool);
        }
        log.text_reads.ended.send_replace(until);
        let mut wanted = lock(&log.text_reads.wanted);
        if wanted.until <= until {
            wanted.is_reading = false;
            return;
        }
    }
}
