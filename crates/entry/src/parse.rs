//! Reading and validating callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Request};
use thistle_request::key::MAX_KEY_LEN;

/// Header with the caller's deadline in milliseconds; the backend server receives the time left.
pub const DEADLINE: &str = "thistle-deadline-ms";
/// Header that overrides whether the request may be repeated: `yes` or `no`.
pub const REPEATABLE: &str = "thistle-repeatable";
/// Header with the request ID, in answers and in requests to backend servers.
pub const REQUEST_ID: &str = "thistle-request-id";
/// Header with the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The workspace.
    pub workspace: String,
    /// The service.
    pub service: String,
    /// The method.
    pub method: Method,
    /// The path and query sent to the backend server.
    pub target: String,
    /// The headers sent to the backend server.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The time that the caller waits, if specified.
    pub deadline: Option<Duration>,
    /// Whether the request may be repeated, if specified by the caller.
    pub repeatable: Option<bool>,
    /// The idempotency key, if any.
    pub key: Option<String>,
}

/// A description of why a request is invalid, and how to fix it.
#[derive(Debug)]
pub struct BadRequest(pub String);

/// Reads and validates a request.
pub async fn parse(req: Request<Incoming>, max_body: usize) -> Result<CallerRequest, BadRequest> {
    let (parts, body) = req.into_parts();
    let (workspace, service, target) = split_path(&parts.uri)?;
    let deadline = header_number(&parts.headers, DEADLINE)?.map(Duration::from_millis);
    let repeatable = repeatable_header(&parts.headers)?;
    let key = header_text(&parts.headers, IDEMPOTENCY_KEY)?.map(str::to_owned);
    if key.as_ref().is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_LEN) {
        return Err(bad_request(format!("Idempotency-Key: use 1 to {MAX_KEY_LEN} characters")));
    }
    let body = Limited::new(body, max_body).collect().await.map_err(|e| {
        bad_request(format!(
            "the body could not be read whole ({e}): send at most {max_body} bytes"
        ))
    })?;
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    Ok(CallerRequest {
        workspace,
        service,
        method: parts.method,
        target,
        headers,
        body: body.to_bytes(),
        deadline,
        repeatable,
        key,
    })
}

/// Removes hop-by-hop headers and `Content-Length`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(hyper::header::CONTENT_LENGTH);
}

/// Splits `/w/WORKSPACE/SERVICE/REST` into workspace, service and `/SERVICE/REST`.
fn split_path(uri: &hyper::Uri) -> Result<(String, String, String), BadRequest> {
    let mut parts = uri.path().splitn(5, '/');
    let (empty, w) = (parts.next(), parts.next());
    let (workspace, service) = (parts.next(), parts.next());
    let (Some(""), Some("w"), Some(workspace), Some(service)) = (empty, w, workspace, service)
    else {
        return Err(bad_request(
            "the path names no workspace and service: use /w/WORKSPACE/SERVICE/...",
        ));
    };
    let rest = parts.next().map(|r| format!("/{r}")).unwrap_or_default();
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    Ok((workspace.to_owned(), service.to_owned(), format!("/{service}{rest}{query}")))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| bad_request(format!("{name}: use printable ASCII characters")))?;
    Ok(Some(text))
}

fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, BadRequest> {
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    let number =
        text.parse().map_err(|_| bad_request(format!("{name}: use a whole number of ms")))?;
    Ok(Some(number))
}

fn repeatable_header(headers: &HeaderMap) -> Result<Option<bool>, BadRequest> {
    match header_text(headers, REPEATABLE)? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(bad_request(format!("{REPEATABLE}: use yes or no"))),
    }
}

fn bad_request(detail: impl Into<String>) -> BadRequest {
    BadRequest(detail.into())
}
