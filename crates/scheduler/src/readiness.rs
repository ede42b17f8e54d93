//! The readiness endpoint, which reports to the balancer whether this node accepts new connections.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use thistle_platform::READINESS_PATH;
use tokio::net::TcpListener;

use crate::find_job;
use crate::node::Node;

/// Serves the balancer's readiness checks until the future is dropped.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    thistle_wire::serve::accept(listener, move |stream| {
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(|req: Request<hyper::body::Incoming>| {
                let status = answer(&node, req.uri().path());
                let mut reply = Response::new(Full::<Bytes>::default());
                *reply.status_mut() = status;
                async move { Ok::<_, Infallible>(reply) }
            });
            // If the connection fails, the balancer repeats its check.
            let _ =
                thistle_wire::serve::http().serve_connection(TokioIo::new(stream), service).await;
        });
    })
    .await;
}

fn answer(node: &Node, path: &str) -> StatusCode {
    if path != READINESS_PATH {
        return StatusCode::NOT_FOUND;
    }
    if is_ready(node) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

/// Returns whether this node accepts connections: it has a configuration, has at some time known an owner of each pool, which
/// it queries about jobs, has recent replies from the store, and is not stopping.
fn is_ready(node: &Node) -> bool {
    let configured = node.catalog.borrow().is_some();
    configured
        && node.store_health.is_reachable()
        && !*node.stopping.borrow()
        && find_job::has_known_all_owners(node)
}
