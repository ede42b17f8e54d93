//! Finds jobs in the records that this node follows, or through a node that follows them.

use std::sync::Arc;
use std::time::Duration;

use thistle_schedule::{Caller, JobId, JobState, Ms, Queue};

use crate::clock::steady_ms;
use crate::locks::lock;
use crate::node::Node;
use crate::pool_log::{
    FALLBACK_MAX_AGE_MS, FALLBACK_SUBMISSIONS, PROGRESS, PoolLog, SUBMISSIONS, is_answered,
};
use crate::query::{Query, QueryReply};
use crate::query_peers::query_peers;

/// How long the search for a job continues after a pool's records could not be read, in milliseconds: the time of one
/// unanswered read. With an unresponsive store and eight partitions, a search without this limit takes 6 s and exceeds
/// callers' deadlines.
const FIND_TIMEOUT_MS: Ms = 800;
/// How old the count of a queue's pending jobs may be when it is read, in milliseconds: callers may get a count that is up to
/// two seconds old.
const MAX_PENDING_AGE_MS: Ms = 1_500;

/// How long a request for a job waits while this node, as the pool's new owner, still reads the pool's records. Most takeovers
/// take 0.1 s, and a query from another node must be answered before its timeout of 0.7 s.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// The result of the search for a job.
pub enum SearchResult {
    /// The job is in this pool and has this state.
    InPool(Arc<str>, JobState),
    /// The job is in this pool but belongs to another workspace.
    NotTheirs(Arc<str>),
    /// No pool has the job, according to all records that the store had when the search began.
    NotFound,
    /// No pool that could be read has the job.
    NotRead,
}

/// Returns the log of a pool that contains a job, as far as this node has read.
pub fn find_log(node: &Node, id: JobId) -> Option<Arc<PoolLog>> {
    let has = |log: &Arc<PoolLog>| log.jobs().get(id).is_some_and(|e| e.state().is_some());
    node.pool_logs().into_iter().find(has)
}

/// Returns the pools whose records this node follows, each with the age of its last read in milliseconds.
pub fn followed_pools(node: &Node) -> Vec<(Arc<str>, Ms)> {
    let logs = node.pool_logs();
    logs.iter().filter_map(|log| Some((log.pool.clone(), log.read_age()?))).collect()
}

/// Returns by whose records this node reports on the jobs of a pool, for log lines.
pub fn view_of(node: &Node, pool: &str) -> &'static str {
    match node.pool_log_of(pool) {
        Some(log) if log.is_owned() => "owner",
        Some(log) if log.is_followed() => "follower",
        Some(_) | None => "peer",
    }
}

/// Returns the reply about a job if its submission is known.
fn known_reply(log: &PoolLog, id: JobId, caller: &Caller) -> Option<QueryReply> {
    let jobs = log.jobs();
    let entry = jobs.get(id)?;
    let spec = entry.spec.as_ref()?;
    if !caller.may_see(spec) {
        return Some(QueryReply::NotTheirs);
    }
    entry.state().map(QueryReply::State)
}

const fn is_settled(reply: QueryReply) -> bool {
    match reply {
        QueryReply::State(state) => state.is_final(),
        QueryReply::NotTheirs => true,
        QueryReply::NoSuchJob
        | QueryReply::Pending(_)
        | QueryReply::NotRead
        | QueryReply::Answered(_) => false,
    }
}

/// Searches all pools for a job, starting with those that its queue is or was assigned to.
pub async fn search_pools(
    node: &Arc<Node>,
    queue: &Queue,
    id: JobId,
    caller: &Caller,
) -> SearchResult {
    let related = related_pools(node, queue);
    if let Some(log) = find_log(node, id) {
        let found = search_pool(node, &log, id, caller).await;
        let is_certain =
            matches!(found, SearchResult::InPool(..)) && !may_be_copy(&found, &related);
        if is_certain || related.len() == 1 && !matches!(found, SearchResult::NotFound) {
            return found;
        }
    }
    let since = steady_ms();
    let rank = |log: &Arc<PoolLog>| related.iter().position(|pool| *pool == log.pool);
    let mut logs = node.pool_logs();
    logs.sort_by_key(|log| rank(log).unwrap_or(usize::MAX));
    // A job may be passed on from a pool that was not searched yet to one that was.
    let again: Vec<_> = logs.iter().filter(|log| rank(log).is_some()).cloned().collect();
    if related.len() > 1 {
        logs.extend(again);
    }
    let (mut all_read, mut copy) = (true, None);
    for log in logs {
        if copy.is_some() && rank(&log).is_none() {
            break;
        }
        // Each failed read takes its full timeout, and a pool that was not read may have the job.
        if !all_read && steady_ms().saturating_sub(since) >= FIND_TIMEOUT_MS {
            return copy.unwrap_or(SearchResult::NotRead);
        }
        match search_pool(node, &log, id, caller).await {
            SearchResult::NotFound => (),
            SearchResult::NotRead => all_read = false,
            found if may_be_copy(&found, &related) => copy = copy.or(Some(found)),
            found @ (SearchResult::InPool(..) | SearchResult::NotTheirs(_)) => return found,
        }
    }
    copy.unwrap_or(if all_read { SearchResult::NotFound } else { SearchResult::NotRead })
}

/// Searches the pools that may have jobs of a queue.
pub async fn search_related(
    node: &Arc<Node>,
    queue: &Queue,
    id: JobId,
    caller: &Caller,
) -> SearchResult {
    for pool in related_pools(node, queue) {
        match search_pool(node, &node.ensure_pool_log(&pool), id, caller).await {
            SearchResult::NotFound => (),
            found => return found,
        }
    }
    SearchResult::NotFound
}

/// Returns the pools that may have jobs of a queue: the one that the configuration names, the one that it is assigned to, those
/// that it was assigned to before, and those of other names of the queue.
pub fn related_pools(node: &Node, queue: &Queue) -> Vec<Arc<str>> {
    let assignments = node.assignments.borrow().clone();
    let mut pools = vec![queue.pool.clone()];
    for pool in
        assignments.pools_of(&queue.name).iter().chain(assignments.pools_at(&queue.address()))
    {
        if !pools.contains(pool) {
            pools.push(pool.clone());
        }
    }
    pools
}

/// Returns whether a job that was found may be a copy of one that is bound to another pool: the pool's owner may not have
/// decided on it yet.
fn may_be_copy(found: &SearchResult, related: &[Arc<str>]) -> bool {
    related.len() > 1 && matches!(found, SearchResult::InPool(_, JobState::Queued))
}

/// Searches one pool for a job.
pub async fn search_pool(
    node: &Node,
    log: &Arc<PoolLog>,
    id: JobId,
    caller: &Caller,
) -> SearchResult {
    // A settled state is final, so it needs no newer records.
    let settled = known_reply(log, id, caller).filter(|&reply| is_settled(reply));
    let reply = match settled {
        Some(reply) => reply,
        None if is_followed(node, log).await => local_state(node, log, id, caller).await,
        None => {
            let (pool, caller) = (log.pool.to_string(), caller.clone());
            query_peers(node, &Query::State { pool, id, caller }).await
        }
    };
    match reply {
        QueryReply::State(state) => SearchResult::InPool(log.pool.clone(), state),
        QueryReply::NotTheirs => SearchResult::NotTheirs(log.pool.clone()),
        QueryReply::NoSuchJob => SearchResult::NotFound,
        QueryReply::Pending(_) | QueryReply::NotRead | QueryReply::Answered(_) => {
            SearchResult::NotRead
        }
    }
}

/// Reads all records about a job that the store had at the time of the call, and returns the job's state.
async fn local_state(node: &Node, log: &PoolLog, id: JobId, caller: &Caller) -> QueryReply {
    let since = steady_ms();
    let mut all_read = true;
    // The job may be in the first or the fallback partition of its pool.
    for (part, age) in [(SUBMISSIONS, 0), (FALLBACK_SUBMISSIONS, FALLBACK_MAX_AGE_MS)] {
        if known_reply(log, id, caller).is_some() {
            break;
        }
        if let Err(e) = log.catch_up(node, part, since.saturating_sub(age)).await {
            log::debug!("state id={id} step=read-failed pool={} error=\"{e}\"", log.pool);
            all_read = false;
        }
    }
    if known_reply(log, id, caller).is_some_and(|reply| !is_settled(reply)) && !log.is_owned() {
        // A slightly stale state is better than none.
        if let Err(e) = log.catch_up(node, PROGRESS, since).await {
            log::debug!("state id={id} step=stale error=\"{e}\"");
        }
    }
    match known_reply(log, id, caller) {
        Some(reply) => reply,
        None if all_read => QueryReply::NoSuchJob,
        None => QueryReply::NotRead,
    }
}

/// Returns the number of jobs of a queue that have not started in any pool, or `None` if the number is currently unavailable.
pub async fn pending(node: &Node, queue: &Queue) -> Option<u64> {
    let mut total = 0;
    for pool in related_pools(node, queue) {
        total += pending_in(node, &pool, &queue.name).await?;
    }
    Some(total)
}

async fn pending_in(node: &Node, pool: &str, queue: &str) -> Option<u64> {
    let log = node.pool_log_of(pool)?;
    let reply = match is_followed(node, &log).await {
        true => local_pending(node, &log, queue).await,
        false => {
            let (pool, queue) = (pool.to_owned(), queue.to_owned());
            query_peers(node, &Query::Pending { pool, queue }).await
        }
    };
    match reply {
        QueryReply::Pending(count) => Some(count),
        QueryReply::State(_)
        | QueryReply::NotTheirs
        | QueryReply::NoSuchJob
        | QueryReply::NotRead
        | QueryReply::Answered(_) => None,
    }
}

async fn local_pending(node: &Node, log: &PoolLog, queue: &str) -> QueryReply {
    let since = steady_ms().saturating_sub(MAX_PENDING_AGE_MS);
    // An owner whose lease has expired may not know the newest jobs.
    let current = log.is_owned() && node.lease_valid_for(&log.pool);
    for part in [SUBMISSIONS, PROGRESS, FALLBACK_SUBMISSIONS] {
        if current {
            break;
        }
        if let Err(e) = log.catch_up(node, part, since).await {
            log::info!("pending queue={queue} step=not-read error=\"{e}\"");
            return QueryReply::NotRead;
        }
    }
    QueryReply::Pending(log.jobs().pending(queue) as u64)
}

/// Returns the encoded reply to another node's query, or `None` if the query cannot be decoded.
pub async fn answer_query(node: &Node, body: &[u8]) -> Option<Vec<u8>> {
    let query: Query = postcard::from_bytes(body)
        .inspect_err(|e| log::error!("ask step=unreadable error=\"{e}\""))
        .ok()?;
    let reply = local_reply(node, &query).await;
    postcard::to_stdvec(&reply)
        .inspect_err(|e| log::error!("ask step=not-encoded error=\"{e}\""))
        .ok()
}

async fn local_reply(node: &Node, query: &Query) -> QueryReply {
    let Some(log) = node.pool_log_of(query.pool()) else { return QueryReply::NotRead };
    if let Query::Partition { part, .. } = query {
        return is_answered(node, &log.topic, *part).await;
    }
    if !is_followed(node, &log).await {
        return QueryReply::NotRead;
    }
    match query {
        Query::State { id, caller, .. } => local_state(node, &log, *id, caller).await,
        Query::Pending { queue, .. } => local_pending(node, &log, queue).await,
        Query::Partition { .. } => QueryReply::NotRead,
    }
}

/// Returns whether this node has at some time known an owner of each pool, itself or another node. An owner that fails
/// later is replaced within seconds, which is no reason to send all callers to other nodes.
pub fn has_known_all_owners(node: &Node) -> bool {
    let has_owner = |log: &Arc<PoolLog>| {
        let ownership = lock(&node.ownership);
        let owned = ownership.my_token(&log.pool).is_some()
            || ownership.relay_of_owner(&log.pool).is_some();
        drop(ownership);
        log.has_had_owner(owned || log.is_followed())
    };
    node.pool_logs().iter().all(has_owner)
}

/// Returns whether this node follows a pool's records, after a short wait if the node has only just become the owner.
async fn is_followed(node: &Node, log: &PoolLog) -> bool {
    if !log.is_followed() && lock(&node.ownership).my_token(&log.pool).is_some() {
        log.wait_until_owned(TAKEOVER_TIMEOUT).await;
    }
    log.is_followed()
}
