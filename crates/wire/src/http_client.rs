//! A small HTTP/1.1 client with timeouts and a size limit, for the platform's services.

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

/// The largest response body that is read, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The reason why a call to the platform failed. The call may have taken effect nevertheless.
#[derive(Debug)]
pub enum HttpError {
    /// The connection could not be established, or it broke.
    Io(SocketAddr, String),
    /// The response did not arrive in time.
    Timeout(SocketAddr),
    /// The response has this status.
    Status(SocketAddr, u16),
    /// The response is malformed.
    Malformed(SocketAddr, String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(a, e) => {
                write!(f, "the platform at {a} cannot be reached: {e}; the call is retried")
            }
            Self::Timeout(a) => {
                write!(f, "the call to the platform at {a} timed out; it is retried")
            }
            Self::Status(a, s) => {
                write!(f, "the platform at {a} answered with status {s}; the call is retried")
            }
            Self::Malformed(a, e) => {
                write!(f, "the platform at {a} sent a malformed response ({e}): check its version")
            }
        }
    }
}

impl std::error::Error for HttpError {}

/// The status of a response without a body, which says that the content is unchanged.
const NOT_MODIFIED: u16 = 304;

/// A response body with its entity tag.
#[derive(Clone, Debug)]
pub struct TaggedBody {
    /// The body.
    pub body: Bytes,
    /// The entity tag, if the service sends one.
    pub tag: Option<HeaderValue>,
}

type Sender = SendRequest<Full<Bytes>>;

/// A client with one connection, which serves one call at a time.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    timeout: Duration,
    conn: Mutex<Option<Sender>>,
}

impl HttpClient {
    /// Returns a client that waits up to `timeout` for the start of a response and for each further part of it. A timeout
    /// for the whole response would never let a snapshot through that takes longer over a slow link.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { addr, timeout, conn: Mutex::new(None) }
    }

    /// Returns the address.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and returns the body of a successful response.
    pub async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, HttpError> {
        self.call_tagged(method, path, body, None).await.map(|answer| answer.body)
    }

    /// Gets a path; returns `None` when its content still matches `tag` (RFC 9110, section 13.1.2).
    pub async fn get_changed(
        &self,
        path: &str,
        tag: Option<&HeaderValue>,
    ) -> Result<Option<TaggedBody>, HttpError> {
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
    ) -> Result<TaggedBody, HttpError> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.addr.to_string())
            .body(Full::new(body))
            .map_err(|e| HttpError::Malformed(self.addr, e.to_string()))?;
        if let Some(tag) = tag {
            req.headers_mut().insert(IF_NONE_MATCH, tag.clone());
        }
        let timed_out = |_| HttpError::Timeout(self.addr);
        // The connection is taken out of the slot, so that a cancelled call never leaves a half-used one behind.
        let mut slot = timeout(self.timeout, self.conn.lock()).await.map_err(timed_out)?;
        let idle = slot.take().filter(SendRequest::is_ready);
        let response = timeout(self.timeout, self.send(idle, req)).await.map_err(timed_out)?;
        let (answer, sender) = response?;
        let (status, tag) = (answer.status(), answer.headers().get(ETAG).cloned());
        let body = self.collect(answer.into_body()).await?;
        *slot = Some(sender);
        if !status.is_success() {
            return Err(HttpError::Status(self.addr, status.as_u16()));
        }
        Ok(TaggedBody { body, tag })
    }

    /// Sends a request and returns the response as soon as its headers arrive.
    async fn send(
        &self,
        idle: Option<Sender>,
        req: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Sender), HttpError> {
        let mut sender = match idle {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let answer = sender.send_request(req).await.map_err(|e| self.io_error(&e))?;
        Ok((answer, sender))
    }

    async fn collect(&self, body: Incoming) -> Result<Bytes, HttpError> {
        let mut incoming = Limited::new(body, MAX_RESPONSE_BYTES);
        let mut body = BytesMut::new();
        loop {
            let next = timeout(self.timeout, incoming.frame()).await;
            let Some(frame) = next.map_err(|_| HttpError::Timeout(self.addr))? else {
                return Ok(body.freeze());
            };
            let frame = frame.map_err(|e| HttpError::Io(self.addr, e.to_string()))?;
            // Trailers are ignored.
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
            .map_err(|e| self.io_error(&e))?;
        tokio::spawn(conn);
        Ok(sender)
    }

    fn io_error(&self, e: &hyper::Error) -> HttpError {
        HttpError::Io(self.addr, e.to_string())
    }
}
