//! HTTP exchanges with backend servers: one request and its complete answer per connection at a
//! time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thistle_model::RefusalReason;
use thistle_request::SendGate;
use tokio::net::TcpStream;

use crate::gated_io::{GateSlot, GatedIo};

/// The maximum number of idle connections kept per VM.
const MAX_IDLE: usize = 8;

/// The body of a request to a backend server.
pub type BackendBody = Full<Bytes>;

/// A complete answer of a backend server.
#[derive(Debug)]
pub struct Answer {
    /// The status line and headers.
    pub parts: Parts,
    /// The complete body.
    pub body: Bytes,
}

/// Why an exchange ended without a complete answer. The send gate shows whether bytes were written.
#[derive(Debug)]
pub struct ExchangeError {
    /// The reason reported to the caller.
    pub reason: RefusalReason,
    /// A human-readable description of the failure.
    pub detail: String,
}

/// The parameters of an exchange.
#[derive(Clone, Debug)]
pub struct ExchangePlan {
    /// The address of the backend server.
    pub addr: SocketAddr,
    /// Whether the connection may be reused, which requires that answers echo their request's ID.
    pub reuse: bool,
    /// The gate that must admit the request before its first byte is written.
    pub gate: Arc<SendGate>,
    /// The connect timeout.
    pub connect_timeout: Duration,
    /// The maximum size of the answer's body, in bytes.
    pub max_answer: usize,
    /// The maximum size of the answer's headers, in bytes.
    pub max_headers: usize,
}

struct Connection {
    sender: SendRequest<BackendBody>,
    gate: GateSlot,
}

/// A pool of idle connections by backend server.
#[derive(Default)]
pub struct Backends {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Backends {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and returns the complete answer.
    ///
    /// A connection whose exchange did not end with a complete answer is never reused.
    pub async fn exchange(
        &self,
        plan: &ExchangePlan,
        req: Request<BackendBody>,
    ) -> Result<Answer, ExchangeError> {
        let (conn, answer) = match self.take_idle(plan) {
            Some(conn) => self.send_on_idle(plan, conn, req).await?,
            None => send_on_new(plan, req).await?,
        };
        let answer = read_complete(answer, plan.max_answer).await?;
        if plan.reuse {
            self.put_idle(plan.addr, conn);
        }
        Ok(answer)
    }

    /// Sends a request on an idle connection, or on a new one if the idle connection turns out to
    /// be closed and returns the request unsent.
    async fn send_on_idle(
        &self,
        plan: &ExchangePlan,
        mut conn: Connection,
        req: Request<BackendBody>,
    ) -> Result<(Connection, Response<Incoming>), ExchangeError> {
        conn.gate.set(plan.gate.clone());
        match conn.sender.try_send_request(req).await {
            Ok(answer) => Ok((conn, answer)),
            Err(mut e) => match e.take_message() {
                Some(req) if !plan.gate.has_passed() => send_on_new(plan, req).await,
                _ => Err(exchange_error(e.error())),
            },
        }
    }

    /// Closes the idle connections to servers for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|addr, _| keep(addr));
    }

    fn take_idle(&self, plan: &ExchangePlan) -> Option<Connection> {
        if !plan.reuse {
            return None;
        }
        let mut idle = self.lock();
        let conns = idle.get_mut(&plan.addr)?;
        while let Some(conn) = conns.pop() {
            if conn.sender.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    fn put_idle(&self, addr: SocketAddr, conn: Connection) {
        let mut idle = self.lock();
        let conns = idle.entry(addr).or_default();
        if conns.len() < MAX_IDLE {
            conns.push(conn);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send_on_new(
    plan: &ExchangePlan,
    req: Request<BackendBody>,
) -> Result<(Connection, Response<Incoming>), ExchangeError> {
    let mut conn = connect(plan).await?;
    conn.gate.set(plan.gate.clone());
    let answer = conn.sender.send_request(req).await.map_err(|e| exchange_error(&e))?;
    Ok((conn, answer))
}

async fn connect(plan: &ExchangePlan) -> Result<Connection, ExchangeError> {
    let connect_error = |detail: String| ExchangeError { reason: RefusalReason::Connect, detail };
    let connecting = TcpStream::connect(plan.addr);
    let stream = tokio::time::timeout(plan.connect_timeout, connecting)
        .await
        .map_err(|_| connect_error("the connection took too long to be made".to_owned()))?
        .map_err(|e| connect_error(e.to_string()))?;
    let _ = stream.set_nodelay(true);
    let gate = GateSlot::default();
    let io = TokioIo::new(GatedIo::new(stream, gate.clone()));
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(plan.max_headers)
        .handshake(io)
        .await
        .map_err(|e| connect_error(e.to_string()))?;
    tokio::spawn(conn);
    Ok(Connection { sender, gate })
}

async fn read_complete(answer: Response<Incoming>, max: usize) -> Result<Answer, ExchangeError> {
    let (parts, body) = answer.into_parts();
    let read = Limited::new(body, max).collect().await;
    let body = read.map_err(|e| {
        let too_large = e.downcast_ref::<LengthLimitError>().is_some();
        let reason =
            if too_large { RefusalReason::AnswerTooLarge } else { RefusalReason::BadAnswer };
        ExchangeError { reason, detail: format!("the answer's body: {e}") }
    })?;
    Ok(Answer { parts, body: body.to_bytes() })
}

fn exchange_error(e: &hyper::Error) -> ExchangeError {
    let reason = if e.is_parse() { RefusalReason::BadAnswer } else { RefusalReason::Broken };
    ExchangeError { reason, detail: e.to_string() }
}
