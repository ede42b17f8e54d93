//! A fake worker with 8 slots and 64 connections; `POST /-/fault?mode=...` injects faults.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use thistle_model::vm::{DEFAULT_CONNECTIONS, DEFAULT_SLOTS};
use thistle_settings::standin::WorkerSettings;
use thistle_wire::platform::tasks::TaskCall;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, Semaphore};

use crate::answer::{json, status};
use crate::serve::{query, query_text};
use crate::tasks::Tasks;

/// The header that identifies a request.
const REQUEST_ID: &str = "thistle-request-id";
/// The service time of a request without `?ms=`, in milliseconds.
const DEFAULT_SERVICE_MS: u64 = 0;

/// The injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Fails every request immediately.
    Fail,
    /// Runs the request and never responds.
    Silent,
    /// Truncates the body of the response.
    Truncate,
    /// Responds with the id of another request.
    Mismatch,
    /// Does not run the request, and reports so.
    NotRun,
    /// Runs the request and closes the connection without a response.
    Hangup,
}

#[derive(Default, Serialize)]
struct Counts {
    runs: u64,
    peak: usize,
    by_key: BTreeMap<String, u64>,
    starts: BTreeMap<String, u64>,
}

struct Worker {
    name: String,
    slots: Semaphore,
    connections: AtomicUsize,
    in_flight: AtomicUsize,
    fault: Mutex<Fault>,
    counts: Mutex<Counts>,
    tasks: Mutex<Tasks>,
}

#[derive(Serialize)]
struct Answer<'a> {
    vm: &'a str,
    path: String,
    body: String,
}

type WorkerBody = BoxBody<Bytes, std::io::Error>;

/// Runs a worker.
pub async fn run(settings: &WorkerSettings) -> std::io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let worker = Arc::new(Worker {
        name: settings.name.to_string(),
        slots: Semaphore::new(usize::from(DEFAULT_SLOTS)),
        connections: AtomicUsize::new(0),
        in_flight: AtomicUsize::new(0),
        fault: Mutex::new(Fault::None),
        counts: Mutex::new(Counts::default()),
        tasks: Mutex::new(Tasks::default()),
    });
    loop {
        let (stream, _) = listener.accept().await?;
        let _ = stream.set_nodelay(true);
        if worker.connections.load(Ordering::Relaxed) >= usize::from(DEFAULT_CONNECTIONS) {
            continue;
        }
        worker.connections.fetch_add(1, Ordering::Relaxed);
        let worker = worker.clone();
        tokio::spawn(async move {
            let service = service_fn(|req| worker.clone().handle(req));
            let conn = hyper::server::conn::http1::Builder::new();
            // Injected faults end the connection with an error on purpose.
            let _ = conn.serve_connection(TokioIo::new(stream), service).await;
            worker.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

fn with_boxed_body(answer: Response<Full<Bytes>>) -> Response<WorkerBody> {
    answer.map(|b| b.map_err(|never: Infallible| match never {}).boxed())
}

impl Worker {
    async fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Result<Response<WorkerBody>, std::io::Error> {
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/-/fault") => {
                *self.fault.lock().await = parse_fault(query_text(&req, "mode").as_deref());
                Ok(with_boxed_body(status(StatusCode::NO_CONTENT)))
            }
            (&Method::POST, path) if path.starts_with("/-/tasks/") => self.task_call(req).await,
            (&Method::GET, "/-/counts") => Ok(with_boxed_body(json(&*self.counts.lock().await))),
            _ => self.serve(req).await,
        }
    }

    async fn task_call(
        &self,
        req: Request<Incoming>,
    ) -> Result<Response<WorkerBody>, std::io::Error> {
        let path = req.uri().path().to_owned();
        let body = crate::serve::body(req).await;
        let Ok(call) = serde_json::from_slice::<TaskCall>(&body) else {
            return Ok(with_boxed_body(status(StatusCode::BAD_REQUEST)));
        };
        let mut tasks = self.tasks.lock().await;
        tasks.fails_all = *self.fault.lock().await == Fault::Fail;
        let states = match path.as_str() {
            "/-/tasks/start" => tasks.start(&call),
            "/-/tasks/renew" => tasks.renew(&call),
            _ => tasks.yield_tasks(&call),
        };
        self.counts.lock().await.starts = tasks.starts.clone();
        Ok(with_boxed_body(json(&states)))
    }

    async fn serve(&self, req: Request<Incoming>) -> Result<Response<WorkerBody>, std::io::Error> {
        let fault = *self.fault.lock().await;
        let id = req.headers().get(REQUEST_ID).cloned();
        match fault {
            Fault::Fail => return Ok(with_boxed_body(status(StatusCode::INTERNAL_SERVER_ERROR))),
            Fault::NotRun => {
                let mut answer = status(StatusCode::SERVICE_UNAVAILABLE);
                let one = hyper::header::HeaderValue::from_static("1");
                answer.headers_mut().insert("thistle-not-run", one);
                if let Some(id) = id {
                    answer.headers_mut().insert(REQUEST_ID, id);
                }
                return Ok(with_boxed_body(answer));
            }
            _ => {}
        }
        let ms = query(&req, "ms").unwrap_or(DEFAULT_SERVICE_MS);
        let key = req.headers().get("idempotency-key").and_then(|k| k.to_str().ok());
        let key = key.map(str::to_owned);
        let path = req.uri().path().to_owned();
        let body = crate::serve::body(req).await;
        self.run_request(key, ms).await;
        match fault {
            Fault::Silent => std::future::pending::<()>().await,
            Fault::Hangup => return Err(std::io::ErrorKind::ConnectionAborted.into()),
            _ => {}
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let mut answer = json(&Answer { vm: &self.name, path, body });
        if let Some(id) = id {
            let other = hyper::header::HeaderValue::from_static("another-request");
            let returned_id = if fault == Fault::Mismatch { other } else { id };
            answer.headers_mut().insert(REQUEST_ID, returned_id);
        }
        if fault == Fault::Truncate {
            return Ok(truncate(answer).await);
        }
        Ok(with_boxed_body(answer))
    }

    /// Occupies a slot for the service time and counts the run.
    async fn run_request(&self, key: Option<String>, ms: u64) {
        let in_flight = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        let slot = self.slots.acquire().await;
        if ms > 0 {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        drop(slot);
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        let mut counts = self.counts.lock().await;
        counts.runs += 1;
        counts.peak = counts.peak.max(in_flight);
        if let Some(key) = key {
            *counts.by_key.entry(key).or_default() += 1;
        }
    }
}

/// Returns a response that declares the full length, sends the first half of the body and then fails.
async fn truncate(answer: Response<Full<Bytes>>) -> Response<WorkerBody> {
    let (mut parts, body) = answer.into_parts();
    let body = body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    parts.headers.insert(hyper::header::CONTENT_LENGTH, body.len().into());
    let half = body.slice(..body.len() / 2);
    let frames = [Ok(Frame::data(half)), Err(std::io::ErrorKind::ConnectionAborted.into())];
    let stream = StreamBody::new(futures::stream::iter(frames));
    Response::from_parts(parts, BodyExt::boxed(stream))
}

fn parse_fault(mode: Option<&str>) -> Fault {
    match mode {
        Some("fail") => Fault::Fail,
        Some("silent") => Fault::Silent,
        Some("truncate") => Fault::Truncate,
        Some("mismatch") => Fault::Mismatch,
        Some("not-run") => Fault::NotRun,
        Some("hangup") => Fault::Hangup,
        _ => Fault::None,
    }
}
