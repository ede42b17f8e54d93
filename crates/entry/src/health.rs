//! Liveness and readiness endpoints for the load balancer.

use hyper::StatusCode;

use crate::context::Context;
use crate::reply::{Reply, plain_text};

/// The path of the liveness endpoint: whether the process runs.
const ALIVE: &str = "/-/alive";
/// The path of the readiness endpoint: whether the balancer should send requests here.
const READY: &str = "/-/ready";

/// Answers a health request; returns `None` for any other path.
pub fn answer(cx: &Context, path: &str) -> Option<Reply> {
    match path {
        ALIVE => Some(plain_text(StatusCode::OK, "alive\n")),
        READY if cx.is_ready() => Some(plain_text(StatusCode::OK, "ready\n")),
        READY if cx.is_stopping() => {
            Some(plain_text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"))
        }
        READY => Some(plain_text(StatusCode::SERVICE_UNAVAILABLE, "no proof of membership\n")),
        _ => None,
    }
}
