//! Refusal of submissions to a pool that has more work than it can do in time.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use thistle_schedule::admission::Decision;
use thistle_schedule::{Caller, Catalog, JobId, JobSpec, Ms, Queue};

use crate::clock::steady_ms;
use crate::find_job::{SearchResult, search_related};
use crate::locks::lock;
use crate::node::Node;
use crate::reply::{self, Reply};

/// How long the store must have answered all calls of this node before a job is refused, in milliseconds. An earlier attempt
/// for the same job, whose append was not answered, may still be written after the job was not found.
const HEALTHY_MS: Ms = 3_000;
/// The shortest and the longest timeout of the search for a job that is about to be refused, in milliseconds. Without a result
/// the job is accepted.
const SEARCH_MS: RangeInclusive<Ms> = 100..=800;
/// The part of the time until the job would begin that the search may take. An owner that is late with starts is late with
/// answers too.
const SEARCH_DIVISOR: Ms = 4;

/// Returns the reply to a submission that the load of its pool forbids, or `None` if the job is to be stored.
pub async fn refuse_by_load(
    node: &Arc<Node>,
    catalog: &Catalog,
    queue: &Queue,
    caller: &Caller,
    id: JobId,
    spec: &JobSpec,
) -> Option<Reply> {
    let policy = node.settings.policy.admission;
    let healthy = node.store_health.view().is_healthy_for(HEALTHY_MS, steady_ms());
    if !healthy || node.store.is_slow() {
        count_unchecked(if healthy { "store-slow" } else { "store-unhealthy" });
        return None;
    }
    let owner_token = lock(&node.ownership).owner(&queue.pool).map(|(_, token, _)| token);
    let Decision::Refuse { begins_in, age, retry_after_s, beyond_share } =
        node.outlooks.decide(&queue.pool, owner_token, id, spec, &policy)
    else {
        return None;
    };
    // An earlier attempt may have stored the job without an answer to the caller.
    let search = search_related(node, queue, id, caller);
    let timeout = (begins_in / SEARCH_DIVISOR).clamp(*SEARCH_MS.start(), *SEARCH_MS.end());
    match tokio::time::timeout(Duration::from_millis(timeout), search).await {
        Ok(SearchResult::NotFound) => (),
        Ok(SearchResult::InPool(..)) => {
            log::info!("accept id={id} queue={} step=duplicate theirs=true", queue.name);
            return Some(reply::accepted());
        }
        Ok(SearchResult::NotTheirs(_)) => {
            log::info!("accept id={id} queue={} step=duplicate theirs=false", queue.name);
            return Some(reply::id_taken());
        }
        Ok(SearchResult::NotRead) | Err(_) => {
            log::info!(
                "accept id={id} queue={} step=not-searched timeout_ms={timeout}",
                queue.name
            );
            count_unchecked("not-searched");
            return None;
        }
    }
    log::info!(
        "accept id={id} queue={} workspace={} pool={} version={} written=Refused begins_in_ms={begins_in} \
         outlook_age_ms={age} beyond_share={beyond_share} retry_after_s={retry_after_s}",
        queue.name,
        spec.workspace,
        queue.pool,
        catalog.version,
    );
    let class = if beyond_share { "beyond-share" } else { "within-share" };
    let pool = queue.pool.to_string();
    counter!("thistle_refused_by_load", "pool" => pool, "class" => class).increment(1);
    let workspace = catalog.workspaces.metric_name(&spec.workspace).to_owned();
    counter!("thistle_submissions", "workspace" => workspace, "outcome" => "Refused").increment(1);
    Some(reply::unavailable(
        "the pool has too much work; nothing was taken: come back",
        retry_after_s,
    ))
}

/// Counts a submission that is accepted whatever the load of its pool.
fn count_unchecked(reason: &'static str) {
    counter!("thistle_load_unchecked", "reason" => reason).increment(1);
}
