//! HTTP replies to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use thistle_platform::body;
use thistle_schedule::progress::JobState;

/// An HTTP reply.
pub type Reply = Response<Full<Bytes>>;

/// The number of seconds after which a caller should retry if this node cannot reach the store: an outage lasts for seconds,
/// and another node may reach the store immediately.
pub const STORE_RETRY_S: u64 = 1;

/// The job or its cancellation is stored.
pub fn accepted() -> Reply {
    json(StatusCode::OK, b"{}".to_vec())
}

/// The state of a job.
pub fn state(state: JobState) -> Reply {
    json(StatusCode::OK, body::encode_state(state))
}

/// The number of jobs of a queue that have not started.
pub fn pending(count: u64) -> Reply {
    json(StatusCode::OK, body::encode_pending(count))
}

/// There is no such job.
pub fn no_such_job() -> Reply {
    error(StatusCode::GONE, "there is no such job")
}

/// The request has no valid key of a workspace.
pub fn invalid_key() -> Reply {
    error(StatusCode::UNAUTHORIZED, "send a valid key of your workspace in the header Api-Key")
}

/// The ID belongs to a job of another workspace.
pub fn id_taken() -> Reply {
    error(StatusCode::CONFLICT, "this ID is taken: choose another")
}

/// No queue has this host and path.
pub fn no_such_queue() -> Reply {
    error(StatusCode::NOT_FOUND, "there is no queue at this host and path")
}

/// The request is invalid.
pub fn bad_request(remedy: &str) -> Reply {
    error(StatusCode::BAD_REQUEST, remedy)
}

/// The body is too large.
pub fn too_large(limit: usize) -> Reply {
    error(StatusCode::PAYLOAD_TOO_LARGE, &format!("send at most {limit} bytes"))
}

/// The body stalled, and nothing was accepted.
pub fn body_timeout(part_timeout: Duration) -> Reply {
    let remedy = format!("send each part of the body within {} ms", part_timeout.as_millis());
    error(StatusCode::REQUEST_TIMEOUT, &remedy)
}

/// The method is not supported.
pub fn method_not_allowed() -> Reply {
    error(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE")
}

/// This node cannot handle the request now and accepted nothing; the caller may retry after some seconds.
pub fn unavailable(remedy: &str, retry_after_s: u64) -> Reply {
    let mut reply = error(StatusCode::SERVICE_UNAVAILABLE, remedy);
    reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from(retry_after_s));
    reply
}

/// Whether the request was accepted is unknown; the caller may send it again.
pub fn outcome_unknown() -> Reply {
    error(StatusCode::GATEWAY_TIMEOUT, "it may have been taken: send the same ID again")
}

/// This node exits before it has the result of the request. A write may have been sent to the store.
pub fn exiting(is_read: bool) -> Reply {
    match is_read {
        true => unavailable("this node is stopping: ask another", STORE_RETRY_S),
        false => outcome_unknown(),
    }
}

fn error(status: StatusCode, remedy: &str) -> Reply {
    json(status, body::encode_error(remedy))
}

fn json(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}
