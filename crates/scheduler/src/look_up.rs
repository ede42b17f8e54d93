//! Finding a job: in the records that this node reads, or through a node that reads them.

use std::sync::Arc;
use std::time::Duration;

use thistle_schedule::{Caller, JobId, JobState, Ms, Queue};

use crate::ask::ask;
use crate::clock::steady_ms;
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::{PROGRESS, PoolLog, SPARE, SPARE_AGE_MS, SUBMISSIONS};
use crate::question::{Question, Told};

/// How long a job is looked for once a pool's records could not be read, in milliseconds: one read that is not
/// answered. With a silent store and eight partitions to read it was 6 s, past callers' deadlines.
const LOOK_UP_MS: Ms = 800;
/// How old the count of a queue's jobs may be, in milliseconds: callers may be told one that is two
/// seconds old.
const PENDING_AGE_MS: Ms = 1_500;

/// How long a node that has just come to own a pool may read it before questions about its jobs are refused: most take 0.1 s,
/// and those who ask through another node are to be answered before that one gives up (0.7 s).
const TAKEOVER: Duration = Duration::from_millis(500);

/// Where a job is.
pub enum Found {
    /// In this pool, in this state.
    Here(Arc<str>, JobState),
    /// In this pool, and another workspace's.
    NotTheirs(Arc<str>),
    /// In none, by all that the store had when it was asked for.
    Nowhere,
    /// In none that could be read.
    NotRead,
}

/// Returns the log of the pool that has a job, as far as this node has read.
pub fn find(node: &Node, id: JobId) -> Option<Arc<PoolLog>> {
    let has = |log: &Arc<PoolLog>| log.jobs().get(id).is_some_and(|e| e.spec.is_some());
    node.pool_logs().into_iter().find(has)
}

/// Returns what is known of a job, if it was submitted.
fn known(log: &PoolLog, id: JobId, caller: &Caller) -> Option<Told> {
    let jobs = log.jobs();
    let entry = jobs.get(id)?;
    let spec = entry.spec.as_ref()?;
    if !caller.may_see(spec) {
        return Some(Told::NotTheirs);
    }
    entry.state().map(Told::State)
}

const fn is_settled(told: Told) -> bool {
    match told {
        Told::State(state) => state.is_final(),
        Told::NotTheirs => true,
        Told::NoSuchJob | Told::Pending(_) | Told::NotRead => false,
    }
}

/// Looks for a job, first in its queue's pool of today.
pub async fn look_up(node: &Arc<Node>, queue: &Queue, id: JobId, caller: &Caller) -> Found {
    if let Some(log) = find(node, id) {
        return in_pool(node, &log, id, caller).await;
    }
    let since = steady_ms();
    let mut logs = node.pool_logs();
    logs.sort_by_key(|log| log.pool != queue.pool);
    let mut all_read = true;
    for log in logs {
        // Each pool that is not read takes its time, and what was not read is not known.
        if !all_read && steady_ms().saturating_sub(since) >= LOOK_UP_MS {
            return Found::NotRead;
        }
        match in_pool(node, &log, id, caller).await {
            Found::Nowhere => (),
            Found::NotRead => all_read = false,
            here @ (Found::Here(..) | Found::NotTheirs(_)) => return here,
        }
    }
    if all_read { Found::Nowhere } else { Found::NotRead }
}

async fn in_pool(node: &Node, log: &Arc<PoolLog>, id: JobId, caller: &Caller) -> Found {
    // What is settled stays so, whoever reads on.
    let settled = known(log, id, caller).filter(|&told| is_settled(told));
    let told = match settled {
        Some(told) => told,
        None if is_read_here(node, log).await => state_here(node, log, id, caller).await,
        None => {
            let (pool, caller) = (log.pool.to_string(), caller.clone());
            ask(node, &Question::State { pool, id, caller }).await
        }
    };
    match told {
        Told::State(state) => Found::Here(log.pool.clone(), state),
        Told::NotTheirs => Found::NotTheirs(log.pool.clone()),
        Told::NoSuchJob => Found::Nowhere,
        Told::Pending(_) | Told::NotRead => Found::NotRead,
    }
}

/// Reads on until what the store has now is known of a job.
async fn state_here(node: &Node, log: &PoolLog, id: JobId, caller: &Caller) -> Told {
    let since = steady_ms();
    let mut all_read = true;
    // The job may be in either partition of its pool.
    for (part, age) in [(SUBMISSIONS, 0), (SPARE, SPARE_AGE_MS)] {
        if known(log, id, caller).is_some() {
            break;
        }
        if let Err(e) = log.catch_up(node, part, since.saturating_sub(age)).await {
            log::debug!("state id={id} step=read-failed pool={} error=\"{e}\"", log.pool);
            all_read = false;
        }
    }
    if known(log, id, caller).is_some_and(|told| !is_settled(told)) && !log.is_owned() {
        // A state that is some moments old is better than none.
        if let Err(e) = log.catch_up(node, PROGRESS, since).await {
            log::debug!("state id={id} step=old error=\"{e}\"");
        }
    }
    match known(log, id, caller) {
        Some(told) => told,
        None if all_read => Told::NoSuchJob,
        None => Told::NotRead,
    }
}

/// Counts the jobs of a queue that have not begun; none if that cannot be known now.
pub async fn pending(node: &Node, queue: &Queue) -> Option<u64> {
    let log = node.pool_log_of(&queue.pool)?;
    let told = match is_read_here(node, &log).await {
        true => pending_here(node, &log, &queue.name).await,
        false => {
            let (pool, queue) = (log.pool.to_string(), queue.name.to_string());
            ask(node, &Question::Pending { pool, queue }).await
        }
    };
    match told {
        Told::Pending(count) => Some(count),
        Told::State(_) | Told::NotTheirs | Told::NoSuchJob | Told::NotRead => None,
    }
}

async fn pending_here(node: &Node, log: &PoolLog, queue: &str) -> Told {
    let since = steady_ms().saturating_sub(PENDING_AGE_MS);
    // An owner that is cut off may not know of the newest jobs.
    let current = log.is_owned() && node.lease_valid();
    for part in [SUBMISSIONS, PROGRESS, SPARE] {
        if current {
            break;
        }
        if let Err(e) = log.catch_up(node, part, since).await {
            log::info!("pending queue={queue} step=not-read error=\"{e}\"");
            return Told::NotRead;
        }
    }
    Told::Pending(log.jobs().pending(queue) as u64)
}

/// Answers another node's question; none if it cannot be read.
pub async fn answer(node: &Node, body: &[u8]) -> Option<Vec<u8>> {
    let question: Question = postcard::from_bytes(body)
        .inspect_err(|e| log::error!("ask step=unreadable error=\"{e}\""))
        .ok()?;
    let told = tell(node, &question).await;
    postcard::to_stdvec(&told)
        .inspect_err(|e| log::error!("ask step=not-encoded error=\"{e}\""))
        .ok()
}

async fn tell(node: &Node, question: &Question) -> Told {
    let Some(log) = node.pool_log_of(question.pool()) else { return Told::NotRead };
    if !is_read_here(node, &log).await {
        return Told::NotRead;
    }
    match question {
        Question::State { id, caller, .. } => state_here(node, &log, *id, caller).await,
        Question::Pending { queue, .. } => pending_here(node, &log, queue).await,
    }
}

/// Returns whether this node has once known of an owner of each pool, itself or another. One that is lost later is
/// replaced within seconds: no reason to send all callers elsewhere.
pub fn can_answer(node: &Node) -> bool {
    let has_owner = |log: &Arc<PoolLog>| {
        let ownership = lock(&node.ownership);
        let owned = ownership.my_token(&log.pool).is_some()
            || ownership.relay_of_owner(&log.pool).is_some();
        drop(ownership);
        log.has_had_owner(owned || log.is_read_here())
    };
    node.pool_logs().iter().all(has_owner)
}

/// Returns whether this node reads a pool's records; one that has just come to own it soon will have.
async fn is_read_here(node: &Node, log: &PoolLog) -> bool {
    if !log.is_read_here() && lock(&node.ownership).my_token(&log.pool).is_some() {
        log.wait_until_owned(TAKEOVER).await;
    }
    log.is_read_here()
}
