//! Passing calls to the store on for nodes that it turns away, taking submissions that they hand over,
//! and watching whether it turns this one away.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use metrics::counter;
use thistle_platform::{CallError, NOT_ANSWERED, NOT_PASSED_ON, PassedOn};
use tokio::net::TcpListener;

use crate::control::{HEARTBEATS, TOPIC};
use crate::hand_over;
use crate::node::Node;

/// How often the store is asked itself while calls go through another node.
const ASK_EVERY: Duration = Duration::from_millis(250);

/// Passes calls on until the task is dropped.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    thistle_wire::serve::accept(listener, move |stream| {
        let node = node.clone();
        // Small answers go out at once; a connection on which this fails still works.
        let _ = stream.set_nodelay(true);
        tokio::spawn(async move {
            let respond = service_fn(|req: Request<Incoming>| {
                let node = node.clone();
                async move { Ok::<_, Infallible>(pass_on(&node, req).await) }
            });
            let conn = hyper::server::conn::http1::Builder::new();
            // A node that goes away asks another.
            let _ = conn.serve_connection(TokioIo::new(stream), respond).await;
        });
    })
    .await;
}

async fn pass_on(node: &Arc<Node>, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let method = req.method().clone();
    let path = req.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
    let body = Limited::new(req.into_body(), node.settings.max_append_bytes).collect().await;
    let (status, body) = match body {
        // A body that cannot be read is not passed on.
        Err(_) => (NOT_PASSED_ON, Bytes::new()),
        Ok(body) if path.starts_with(hand_over::PATH) => {
            let pool = &path[hand_over::PATH.len()..];
            match hand_over::take(node, pool, &body.to_bytes()).await {
                Some(written) => (StatusCode::OK.as_u16(), written.into()),
                None => (NOT_PASSED_ON, Bytes::new()),
            }
        }
        Ok(body) => {
            let call = PassedOn { method, path, body: body.to_bytes() };
            match node.store.pass_on(call).await {
                Ok(answer) => (answer.status, answer.body),
                Err(CallError::NotSent(..)) => (NOT_PASSED_ON, Bytes::new()),
                Err(CallError::Unanswered(..)) => (NOT_ANSWERED, Bytes::new()),
            }
        }
    };
    counter!("thistle_passed_on", "status" => status.to_string()).increment(1);
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    reply
}

/// Asks the store itself while calls go through another node, so that they go directly again soon;
/// tells when that changes.
pub async fn watch(node: Arc<Node>) {
    let mut before = None;
    loop {
        tokio::time::sleep(ASK_EVERY).await;
        let detour = node.store.detour();
        if detour != before {
            match detour {
                Some(peer) => log::warn!("store step=turned-away through={peer}"),
                None => log::info!("store step=direct-again"),
            }
            before = detour;
        }
        if detour.is_some() {
            node.store.ask_directly(TOPIC, HEARTBEATS).await;
        }
    }
}
