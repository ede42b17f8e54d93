//! Replies to callers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use thistle_model::Problem;
use thistle_request::claim::KeptAnswer;

use crate::backend::Answer;
use crate::parse::{REQUEST_ID, strip_hop_by_hop};

/// A reply to a caller.
pub type Reply = Response<Full<Bytes>>;

/// Header that marks the replayed answer of an earlier attempt with the same key.
const REPLAYED: &str = "idempotency-replayed";

/// Builds the reply for a refusal.
pub fn problem(problem: &Problem) -> Reply {
    let body = serde_json::to_vec(problem).unwrap_or_default();
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    // Retry-After is in whole seconds; the body has the exact delay.
    headers.insert(RETRY_AFTER, HeaderValue::from(problem.retry_after_ms.div_ceil(1_000)));
    with_request_id(reply, &problem.request_id)
}

/// Builds the reply from a backend server's complete answer.
pub fn answer(answer: Answer, request_id: &str) -> Reply {
    let mut reply = Response::from_parts(answer.parts, Full::new(answer.body));
    strip_hop_by_hop(reply.headers_mut());
    with_request_id(reply, request_id)
}

/// Builds the reply from the stored answer of an earlier attempt.
pub fn replayed(kept: &KeptAnswer, request_id: &str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::copy_from_slice(&kept.body)));
    *reply.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    if let Ok(value) = HeaderValue::from_str(&kept.content_type) {
        reply.headers_mut().insert(CONTENT_TYPE, value);
    }
    reply.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    with_request_id(reply, request_id)
}

/// Builds a plain-text reply with a status.
pub fn plain_text(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

fn with_request_id(mut reply: Reply, request_id: &str) -> Reply {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        reply.headers_mut().insert(REQUEST_ID, value);
    }
    reply
}
