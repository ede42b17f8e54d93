//! A small HTTP/1.1 client with bounds, for the platform's services.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{ETAG, HOST, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

/// The largest answer that is read, in bytes.
pub const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// Why a call to the platform failed; it may have taken effect all the same.
#[derive(Debug)]
pub enum HttpError {
    /// No connection, or it broke.
    Io(SocketAddr, String),
    /// No answer in time.
    Timeout(SocketAddr),
    /// An answer of this status.
    Status(SocketAddr, u16),
    /// An answer that makes no sense.
    Malformed(SocketAddr, String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(a, e) => {
                write!(f, "the platform at {a} cannot be reached: {e}; it is tried again")
            }
            Self::Timeout(a) => write!(f, "the platform at {a} is slow; the call is tried again"),
            Self::Status(a, s) => {
                write!(f, "the platform at {a} answered with status {s}; the call is tried again")
            }
            Self::Malformed(a, e) => write!(
                f,
                "the platform at {a} sent an answer that makes no sense ({e}): check its version"
            ),
        }
    }
}

impl std::error::Error for HttpError {}

/// The status of an answer without a body: nothing changed.
const NOT_MODIFIED: u16 = 304;

/// An answer with the tag of its content.
#[derive(Clone, Debug)]
pub struct Tagged {
    /// The body.
    pub body: Bytes,
    /// The tag, if the service gives one.
    pub tag: Option<HeaderValue>,
}

type Sender = SendRequest<Full<Bytes>>;

/// A client with one connection, used by one call at a time.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    timeout: Duration,
    conn: Mutex<Option<Sender>>,
}

impl HttpClient {
    /// Makes a client whose answers must begin, and go on coming, within `timeout`. A fixed time for the whole would never
    /// let a snapshot through that takes longer over a slow link.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { addr, timeout, conn: Mutex::new(None) }
    }

    /// Returns the address.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and returns the body of a successful answer.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, HttpError> {
        self.call_tagged(method, path, body, None).await.map(|answer| answer.body)
    }

    /// Gets a path; `None` when it still is what `tag` names (RFC 9110, section 13.1.2).
    pub async fn get_changed(
        &self,
        path: &str,
        tag: Option<&HeaderValue>,
    ) -> Result<Option<Tagged>, HttpError> {
        match self.call_tagged(Method::GET, path, Bytes::new(), tag).await {
            Ok(answer) => Ok(Some(answer)),
            Err(HttpError::Status(_, NOT_MODIFIED)) => Ok(None),
            Err(e) => Err(e),
        }
    }

    async fn call_tagged(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        tag: Option<&HeaderValue>,
    ) -> Result<Tagged, HttpError> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.addr.to_string())
            .body(Full::new(body))
            .map_err(|e| HttpError::Malformed(self.addr, e.to_string()))?;
        if let Some(tag) = tag {
            req.headers_mut().insert(IF_NONE_MATCH, tag.clone());
        }
        let late = |_| HttpError::Timeout(self.addr);
        // The connection is taken out, so that a call given up never leaves a half-used one.
        let mut slot = timeout(self.timeout, self.conn.lock()).await.map_err(late)?;
        let kept = slot.take().filter(SendRequest::is_ready);
        let begun = timeout(self.timeout, self.begin(kept, req)).await.map_err(late)?;
        let (answer, sender) = begun?;
        let (status, tag) = (answer.status(), answer.headers().get(ETAG).cloned());
        let body = self.collect(answer.into_body()).await?;
        *slot = Some(sender);
        if !status.is_success() {
            return Err(HttpError::Status(self.addr, status.as_u16()));
        }
        Ok(Tagged { body, tag })
    }

    /// Sends a request and returns its answer as soon as it begins.
    async fn begin(
        &self,
        kept: Option<Sender>,
        req: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Sender), HttpError> {
        let mut sender = match kept {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let answer = sender.send_request(req).await.map_err(|e| self.io(&e))?;
        Ok((answer, sender))
    }

    async fn collect(&self, body: Incoming) -> Result<Bytes, HttpError> {
        let mut incoming = Limited::new(body, MAX_ANSWER);
        let mut body = BytesMut::new();
        loop {
            let next = timeout(self.timeout, incoming.frame()).await;
            let Some(frame) = next.map_err(|_| HttpError::Timeout(self.addr))? else {
                return Ok(body.freeze());
            };
            let frame = frame.map_err(|e| HttpError::Io(self.addr, e.to_string()))?;
            // Trailers say nothing that is of use here.
            if let Ok(data) = frame.into_data() {
                body.extend_from_slice(&data);
            }
        }
    }

    async fn connect(&self) -> Result<Sender, HttpError> {
        let stream = TcpStream::connect(self.addr)
            .await
            .map_err(|e| HttpError::Io(self.addr, e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| self.io(&e))?;
        tokio::spawn(conn);
        Ok(sender)
    }

    fn io(&self, e: &hyper::Error) -> HttpError {
        HttpError::Io(self.addr, e.to_string())
    }
}
