//! The HTTP server for callers: submit a job, get its state, cancel it, count the pending jobs of a queue.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::{counter, histogram};
use thistle_model::clock::wall_ms;
use thistle_platform::http::traffic::{CountedStream, Message};
use thistle_platform::{KeyedRecord, body};
use thistle_schedule::job_log::{encode_received_cancel, encode_spec, submit_key};
use thistle_schedule::quota::within;
use thistle_schedule::record_size::RecordSize;
use thistle_schedule::{Caller, Catalog, JobId, JobSpec, JobState, Queue, Step};
use thistle_wire::serve::HEADER_TIMEOUT;
use tokio::net::{TcpListener, TcpStream};

use crate::access::caller_of;
use crate::admission::refuse_by_load;
use crate::cancel_notice::notify_owner;
use crate::cancel_records::cancel_records;
use crate::clock::steady_ms;
use crate::find_job::{self, SearchResult, find_log, related_pools, search_pools};
use crate::node::Node;
use crate::reply::{self, Reply};
use crate::request_body::{self, BodyError};
use crate::write_outcome::WriteOutcome;

/// The largest size of request headers until a configuration is known, in bytes.
const HEADER_BYTES: usize = 16 * 1024;
/// The smallest buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER: usize = 8 * 1024;

/// Serves callers until the task is dropped.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    thistle_wire::serve::accept(listener, move |stream| {
        tokio::spawn(serve(node.clone(), stream));
    })
    .await;
}

async fn serve(node: Arc<Node>, stream: TcpStream) {
    // Sends small replies without delay; the connection still works if this fails.
    let _ = stream.set_nodelay(true);
    let limits = node.catalog.borrow().as_ref().map(|c| c.limits);
    let header_bytes = limits.map_or(HEADER_BYTES, |l| l.header_bytes);
    let idle = limits.map_or(HEADER_TIMEOUT, |l| Duration::from_millis(l.idle_timeout_ms));
    let respond = service_fn(|req: Request<Incoming>| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(respond(&node, req).await) }
    });
    let mut closing = node.closing.subscribe();
    // On a graceful shutdown the library closes a connection from which it has read nothing. A caller that connects
    // while the node is closing connections still gets one reply; then its connection is closed.
    let is_closing = *closing.borrow_and_update();
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(MIN_BUFFER))
        .keep_alive(!is_closing)
        .serve_connection(TokioIo::new(CountedStream::new(stream, Message::FromCaller)), respond);
    tokio::pin!(conn);
    if is_closing {
        // A disconnect by the caller is not an error.
        let _ = conn.await;
        return;
    }
    // A disconnect by the caller is not an error.
    tokio::select! {
        _ = &mut conn => return,
        _ = closing.wait_for(|&close| close) => (),
    }
    // The request in progress is answered before the connection is closed.
    conn.as_mut().graceful_shutdown();
    let _ = conn.await;
}

async fn respond(node: &Arc<Node>, req: Request<Incoming>) -> Reply {
    let started_at = steady_ms();
    let is_read = req.method() == Method::GET;
    let path = req.uri().path().to_owned();
    let mut exiting = node.exiting.subscribe();
    let mut reply = tokio::select! {
        biased;
        reply = answer(node, req) => reply,
        _ = exiting.wait_for(|&exits| exits) => {
            log::info!("request step=cut-off-by-exit path={path} read={is_read}");
            reply::exiting(is_read)
        }
    };
    let status = reply.status().as_u16().to_string();
    counter!("thistle_requests", "status" => status).increment(1);
    histogram!("thistle_request_seconds").record(seconds(steady_ms().saturating_sub(started_at)));
    if *node.stopping.borrow() {
        // The caller's next request opens a new connection, which the balancer sends to another node.
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn answer(node: &Arc<Node>, req: Request<Incoming>) -> Reply {
    let Some(catalog) = node.catalog.borrow().clone() else {
        return reply::unavailable(
            "this node has no configuration yet: ask another, or come back",
            reply::STORE_RETRY_S,
        );
    };
    let host = host(&req);
    let path = req.uri().path().to_owned();
    let Some((queue, rest)) = catalog.route(&host, &path) else {
        log::info!("request step=no-queue host={host} path={path} version={}", catalog.version);
        return reply::no_such_queue();
    };
    match caller_of(&catalog, queue, req.headers(), &node.secret) {
        Err(denied) => {
            let (queue, version) = (&queue.name, catalog.version);
            log::info!(
                "request step=denied queue={queue} path={path} reason={denied:?} version={version}"
            );
            counter!("thistle_denied", "reason" => format!("{denied:?}")).increment(1);
            reply::invalid_key()
        }
        Ok(caller) => {
            let call = Call { catalog: &catalog, queue, caller };
            match (req.method(), rest) {
                (&Method::GET, "") => pending(node, queue).await,
                (&Method::POST | &Method::GET | &Method::DELETE, id) => match id.parse::<JobId>() {
                    Ok(id) => handle_job_request(node, &call, id, req).await,
                    Err(e) => reply::bad_request(&e.to_string()),
                },
                _ => reply::method_not_allowed(),
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "times of requests are far below 2^52 ms")]
fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

fn host(req: &Request<Incoming>) -> String {
    let header = req.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = header.or_else(|| req.uri().host()).unwrap_or_default();
    // The port, if any, is ignored.
    host.split(':').next().unwrap_or_default().to_owned()
}

/// An authenticated request.
struct Call<'a> {
    /// The configuration against which the request was authenticated.
    catalog: &'a Catalog,
    queue: &'a Queue,
    caller: Caller,
}

async fn handle_job_request(
    node: &Arc<Node>,
    call: &Call<'_>,
    id: JobId,
    req: Request<Incoming>,
) -> Reply {
    match *req.method() {
        Method::POST => submit(node, call, id, req).await,
        Method::DELETE => cancel(node, call, id).await,
        _ => state(node, call, id).await,
    }
}

async fn submit(node: &Arc<Node>, call: &Call<'_>, id: JobId, req: Request<Incoming>) -> Reply {
    let Call { catalog, queue, caller } = call;
    let limit = catalog.limits.body_bytes;
    let part_timeout = Duration::from_millis(catalog.limits.header_timeout_ms);
    let body = match request_body::read(req.into_body(), limit, part_timeout).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return reply::too_large(limit),
        Err(BodyError::Stalled(timeout)) => {
            let within_ms = timeout.as_millis();
            log::info!(
                "accept id={id} queue={} step=body-stopped within_ms={within_ms}",
                queue.name
            );
            return reply::body_timeout(timeout);
        }
        Err(BodyError::Broken(e)) => {
            return reply::bad_request(&format!("the body cannot be read: {e}"));
        }
    };
    let mut spec: JobSpec = match body::decode_job(&body) {
        Ok(spec) => spec,
        Err(e) => return reply::bad_request(&format!("the body is no job: {}", e.0)),
    };
    if let Err(e) = spec.check() {
        return reply::bad_request(&e.to_string());
    }
    if let Some(step) =
        caller.workspace.as_deref().and_then(|w| oversized_gang_step(catalog, w, &spec))
    {
        log::info!("accept id={id} queue={} step=wider-than-cap number={step}", queue.name);
        return reply::bad_request(&format!(
            "step {step} is a gang that your workspace's cap can never hold"
        ));
    }
    queue.name.as_ref().clone_into(&mut spec.queue);
    spec.objective = queue.objective;
    spec.advice = queue.advice;
    spec.accepted_ms = wall_ms();
    spec.workspace = caller.workspace.clone().unwrap_or_default();
    spec.admitted_by = catalog.version;
    // A job that is already stored is not stored again.
    if let Some(log) = find_log(node, id) {
        let theirs =
            log.jobs().get(id).and_then(|e| e.spec.clone()).is_none_or(|s| caller.may_see(&s));
        log::info!("accept id={id} queue={} step=duplicate theirs={theirs}", queue.name);
        return if theirs { reply::accepted() } else { reply::id_taken() };
    }
    let record = KeyedRecord::new(submit_key(id), encode_spec(&spec));
    if let Some(refusal) = refuse_by_size(node, queue, id, &spec, &record) {
        return refusal;
    }
    if let Some(refusal) = refuse_by_load(node, catalog, queue, caller, id, &spec).await {
        return refusal;
    }
    let started_at = steady_ms();
    let written = if node.store_health.view().accepts_submissions(steady_ms()) {
        node.ensure_pool_log(&queue.pool).write(record).await
    } else {
        WriteOutcome::NotKept
    };
    log::info!(
        "accept id={id} queue={} workspace={} pool={} version={} steps={} tasks={} lasting={} fills={} serving={} \
         gang={} times={} written={written:?} took_ms={} follows={:?}",
        queue.name,
        spec.workspace,
        queue.pool,
        catalog.version,
        spec.steps.len(),
        spec.steps.iter().map(|s| s.count).sum::<u32>(),
        spec.is_lasting(),
        spec.steps.iter().any(|s| s.fills),
        spec.steps.iter().any(|s| s.tail_target_ms > 0),
        spec.steps.iter().any(|s| s.gang),
        spec.repetitions(),
        steady_ms().saturating_sub(started_at),
        find_job::followed_pools(node),
    );
    let workspace = catalog.workspaces.metric_name(&spec.workspace).to_owned();
    let outcome = format!("{written:?}");
    counter!("thistle_submissions", "workspace" => workspace, "outcome" => outcome).increment(1);
    reply_to_outcome(written)
}

/// Refuses a job whose records the store would never take.
fn refuse_by_size(
    node: &Node,
    queue: &Queue,
    id: JobId,
    spec: &JobSpec,
    record: &KeyedRecord,
) -> Option<Reply> {
    let max_bytes = node.settings.max_record_bytes;
    let progress_bytes = RecordSize::at_least_of(spec).0;
    let too_many_tasks = !RecordSize(progress_bytes).is_accepted_in(max_bytes);
    // The store would refuse a record that is too long together with all submissions that are appended with it.
    let too_long = record.framed_len() > max_bytes;
    if too_many_tasks || too_long {
        log::info!(
            "accept id={id} queue={} step=too-large bytes={} progress_bytes={progress_bytes} max_bytes={max_bytes}",
            queue.name,
            record.framed_len(),
        );
    }
    match (too_many_tasks, too_long) {
        (true, _) => Some(reply::bad_request(
            "the job has more tasks or repetitions than its record can hold: split it into several jobs",
        )),
        (false, true) => Some(reply::too_large(max_bytes)),
        (false, false) => None,
    }
}

/// Returns the index of the first gang step that demands more than its workspace's cap allows.
fn oversized_gang_step(catalog: &Catalog, workspace: &str, spec: &JobSpec) -> Option<usize> {
    let cap = catalog.workspaces.get(workspace)?.cap;
    let never_fits = |step: &Step| step.gang && !within(step.demand.times(step.count), cap, cap);
    spec.steps.iter().position(never_fits)
}

fn reply_to_outcome(written: WriteOutcome) -> Reply {
    match written {
        WriteOutcome::Kept => reply::accepted(),
        WriteOutcome::NotKept => reply::unavailable(
            "the store cannot be reached from here; nothing was taken: come back",
            reply::STORE_RETRY_S,
        ),
        WriteOutcome::Unknown => reply::outcome_unknown(),
    }
}

async fn cancel(node: &Arc<Node>, call: &Call<'_>, id: JobId) -> Reply {
    let Call { queue, caller, .. } = call;
    let found = search_pools(node, queue, id, caller).await;
    // An unknown job is cancelled too: its submission may still be on its way to the store, or the job in a pool that cannot be
    // read.
    let (pool, state) = match &found {
        SearchResult::InPool(pool, state) => (pool, Some(*state)),
        SearchResult::NotTheirs(_) => {
            log::info!("cancel id={id} queue={} step=not-theirs", queue.name);
            return reply::no_such_job();
        }
        SearchResult::NotFound | SearchResult::NotRead => (&queue.pool, None),
    };
    let mut pools = related_pools(node, queue);
    if !pools.contains(pool) {
        pools.push(pool.clone());
    }
    let written = match state {
        Some(JobState::Completed | JobState::Failed) => WriteOutcome::Kept,
        // Another pool may start the job as long as it has no record of the cancellation.
        Some(JobState::Cancelled) if pools.len() == 1 => WriteOutcome::Kept,
        // A job that has started is bound to its pool.
        Some(JobState::Running) => write_cancel(node, std::slice::from_ref(pool), caller, id).await,
        Some(JobState::Queued | JobState::Cancelled) | None => {
            write_cancel(node, &pools, caller, id).await
        }
    };
    log::info!(
        "cancel id={id} queue={} pool={pool} state={state:?} view={} written={written:?}",
        queue.name,
        find_job::view_of(node, pool),
    );
    match (written, found) {
        (WriteOutcome::Kept, SearchResult::NotFound) => reply::no_such_job(),
        (written, _) => reply_to_outcome(written),
    }
}

/// Writes a cancellation to all pools whose owners may start the job. An owner starts jobs by the records of its own pool, and the
/// owner of another pool may pass the cancellation on too late.
async fn write_cancel(
    node: &Arc<Node>,
    pools: &[Arc<str>],
    caller: &Caller,
    id: JobId,
) -> WriteOutcome {
    let [own, shared] = cancel_records(id, caller, encode_received_cancel(caller, wall_ms()));
    let write = async |pool| {
        let log = node.ensure_pool_log(pool);
        let (own, shared) = (own.clone(), shared.clone());
        let notice = shared.clone();
        let written = WriteOutcome::of_all(&join_all([log.write(own), log.write(shared)]).await);
        if written == WriteOutcome::Kept {
            notify_owner(node, &log, notice);
        }
        written
    };
    WriteOutcome::of_all(&join_all(pools.iter().map(write)).await)
}

async fn state(node: &Arc<Node>, call: &Call<'_>, id: JobId) -> Reply {
    let queue = call.queue;
    match search_pools(node, queue, id, &call.caller).await {
        SearchResult::InPool(_, state) => reply::state(state),
        SearchResult::NotTheirs(pool) => {
            log::info!("state id={id} queue={} step=not-theirs pool={pool}", queue.name);
            reply::no_such_job()
        }
        SearchResult::NotFound => {
            log::info!("state id={id} queue={} step=unknown", queue.name);
            reply::no_such_job()
        }
        SearchResult::NotRead => {
            log::info!("state id={id} queue={} step=not-read", queue.name);
            reply::unavailable(
                "the job's records cannot be read from here: come back",
                reply::STORE_RETRY_S,
            )
        }
    }
}

async fn pending(node: &Arc<Node>, queue: &Queue) -> Reply {
    match find_job::pending(node, queue).await {
        Some(count) => reply::pending(count),
        None => {
            log::info!("pending queue={} step=not-read", queue.name);
            reply::unavailable(
                "the queue's records cannot be read from here: come back",
                reply::STORE_RETRY_S,
            )
        }
    }
}
