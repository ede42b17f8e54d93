//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use thistle_platform::body;
use thistle_schedule::progress::JobState;

/// An answer.
pub type Reply = Response<Full<Bytes>>;

/// In how many seconds a caller is told to come back: an outage of the store lasts seconds, and
/// another node may be in touch with it at once.
const RETRY_AFTER_S: &str = "1";

/// The job is kept, or its cancel is.
pub fn accepted() -> Reply {
    json(StatusCode::OK, b"{}".to_vec())
}

/// A job's state.
pub fn state(state: JobState) -> Reply {
    json(StatusCode::OK, body::encode_state(state))
}

/// How many jobs of a queue have not begun.
pub fn pending(count: u64) -> Reply {
    json(StatusCode::OK, body::encode_pending(count))
}

/// There is no such job.
pub fn no_such_job() -> Reply {
    error(StatusCode::GONE, "there is no such job")
}

/// The caller's key names no workspace.
pub fn no_key() -> Reply {
    error(StatusCode::UNAUTHORIZED, "send a valid key of your workspace in the header Api-Key")
}

/// The ID is another job's.
pub fn id_taken() -> Reply {
    error(StatusCode::CONFLICT, "this ID is taken: choose another")
}

/// There is no such queue.
pub fn no_such_queue() -> Reply {
    error(StatusCode::NOT_FOUND, "there is no queue at this host and path")
}

/// The request makes no sense.
pub fn bad_request(remedy: &str) -> Reply {
    error(StatusCode::BAD_REQUEST, remedy)
}

/// The body is too large.
pub fn too_large(limit: usize) -> Reply {
    error(StatusCode::PAYLOAD_TOO_LARGE, &format!("send at most {limit} bytes"))
}

/// The body has stopped coming; nothing was taken.
pub fn too_slow(within: Duration) -> Reply {
    let remedy = format!("send each part of the body within {} ms", within.as_millis());
    error(StatusCode::REQUEST_TIMEOUT, &remedy)
}

/// The method is not known.
pub fn wrong_method() -> Reply {
    error(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE")
}

/// Nothing was taken; the caller may come back.
pub fn not_taken(why: &str) -> Reply {
    let mut reply = error(StatusCode::SERVICE_UNAVAILABLE, why);
    reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    reply
}

/// It is not known whether it was taken; the caller may send the same again.
pub fn unknown() -> Reply {
    error(StatusCode::GATEWAY_TIMEOUT, "it may have been taken: send the same ID again")
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
