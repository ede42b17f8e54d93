//! A fake log service: append, read by offset and expiry, with injected outages, delays and lost responses.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use thistle_settings::StandinSettings;
use tokio::sync::{Mutex, watch};

use crate::answer::{json, status};
use crate::serve::{body, query, query_text, serve};

/// The maximum number of entries in one response.
const PAGE_SIZE: usize = 500;

/// The injected fault, set by `POST /fault?mode=...`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Up,
    Down,
    LoseAnswers,
}

struct Inner {
    base: u64,
    entries: VecDeque<Bytes>,
    keep: usize,
    append_time: Duration,
    fault: Fault,
    appends: u64,
    reads: u64,
}

struct LogStandin {
    inner: Mutex<Inner>,
    end: watch::Sender<u64>,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

#[derive(Serialize)]
struct Page {
    base: u64,
    end: u64,
    entries: Vec<String>,
}

#[derive(Serialize)]
struct Counts {
    end: u64,
    bytes: usize,
    appends: u64,
    reads: u64,
}

/// Runs the log service.
pub async fn run(settings: &StandinSettings) -> std::io::Result<()> {
    let log = Arc::new(LogStandin {
        inner: Mutex::new(Inner {
            base: 0,
            entries: VecDeque::new(),
            keep: settings.keep_entries,
            append_time: settings.append_time.0,
            fault: Fault::Up,
            appends: 0,
            reads: 0,
        }),
        end: watch::Sender::new(0),
    });
    serve(settings.log_listen, move |req| {
        let log = log.clone();
        async move { log.handle(req).await }
    })
    .await
}

impl LogStandin {
    async fn handle(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        match (req.method().clone(), req.uri().path()) {
            (Method::POST, "/log") => self.append(req).await,
            (Method::GET, "/log") => self.read(&req).await,
            (Method::POST, "/fault") => self.set_fault(&req).await,
            (Method::GET, "/counts") => self.counts().await,
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn append(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let entry = body(req).await;
        // Appends run one at a time and each takes the append time, which allows about a hundred in a second.
        let mut inner = self.inner.lock().await;
        if inner.fault == Fault::Down {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        tokio::time::sleep(inner.append_time).await;
        inner.entries.push_back(entry);
        inner.appends += 1;
        if inner.entries.len() > inner.keep {
            inner.entries.pop_front();
            inner.base += 1;
        }
        let end = inner.base + inner.entries.len() as u64;
        self.end.send_replace(end);
        if inner.fault == Fault::LoseAnswers {
            return status(StatusCode::GATEWAY_TIMEOUT);
        }
        json(&Appended { offset: end - 1 })
    }

    async fn read(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        let from = query(req, "from").unwrap_or(0);
        let wait = Duration::from_millis(query(req, "wait_ms").unwrap_or(0));
        let mut end = self.end.subscribe();
        if *end.borrow() <= from {
            // After a timeout the response is empty.
            let _ = tokio::time::timeout(wait, end.wait_for(|&e| e > from)).await;
        }
        let mut inner = self.inner.lock().await;
        if inner.fault == Fault::Down {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        inner.reads += 1;
        let skip = usize::try_from(from.saturating_sub(inner.base)).unwrap_or(usize::MAX);
        let entries = inner.entries.iter().skip(skip).take(PAGE_SIZE).map(|e| STANDARD.encode(e));
        json(&Page {
            base: inner.base,
            end: inner.base + inner.entries.len() as u64,
            entries: entries.collect(),
        })
    }

    async fn set_fault(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        let mut inner = self.inner.lock().await;
        if let Some(ms) = query(req, "append_ms") {
            inner.append_time = Duration::from_millis(ms);
        }
        inner.fault = match query_text(req, "mode").as_deref() {
            Some("down") => Fault::Down,
            Some("lose-answers") => Fault::LoseAnswers,
            _ => Fault::Up,
        };
        status(StatusCode::NO_CONTENT)
    }

    async fn counts(&self) -> Response<Full<Bytes>> {
        let inner = self.inner.lock().await;
        json(&Counts {
            end: inner.base + inner.entries.len() as u64,
            bytes: inner.entries.iter().map(Bytes::len).sum(),
            appends: inner.appends,
            reads: inner.reads,
        })
    }
}
