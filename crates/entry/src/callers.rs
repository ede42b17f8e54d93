//! The HTTP server for callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use thistle_model::RefusalReason;
use thistle_request::exchange::Unsent;
use tokio::net::{TcpListener, TcpStream};
use tower::{Service, ServiceBuilder, ServiceExt};

use crate::context::Context;
use crate::parse::{BadRequest, parse};
use crate::reply::Reply;
use crate::{forward, health, reply};

/// The time within which a caller must send its headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// The retry delay reported to callers that are refused because this entry is at its limit.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Accepts and serves callers' connections until the task is dropped.
pub async fn run(cx: Arc<Context>, listener: TcpListener) {
    let handler = {
        let cx = cx.clone();
        tower::service_fn(move |req| handle(cx.clone(), req))
    };
    // Requests beyond the limit are refused immediately, before their body is read.
    let service = ServiceBuilder::new()
        .load_shed()
        .concurrency_limit(cx.settings.max_requests)
        .service(handler);
    let max_headers = cx.settings.max_header_bytes;
    thistle_wire::serve::accept(listener, move |stream| {
        tokio::spawn(serve(cx.clone(), stream, max_headers, service.clone()));
    })
    .await;
}

async fn serve<S>(cx: Arc<Context>, stream: TcpStream, max_headers: usize, service: S)
where
    S: Service<Request<Incoming>, Response = Reply, Error = tower::BoxError> + Clone,
{
    let _ = stream.set_nodelay(true);
    let respond = service_fn(|req: Request<Incoming>| {
        let (cx, service) = (cx.clone(), service.clone());
        async move { Ok::<_, Infallible>(respond(&cx, service, req).await) }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(max_headers)
        .serve_connection(TokioIo::new(stream), respond);
    // A caller that disconnects is not an error; requests that are not repeatable run to
    // completion.
    let _ = conn.await;
}

async fn respond<S>(cx: &Context, service: S, req: Request<Incoming>) -> Reply
where
    S: Service<Request<Incoming>, Response = Reply, Error = tower::BoxError>,
{
    if let Some(reply) = health::answer(cx, req.uri().path()) {
        return reply;
    }
    service.oneshot(req).await.unwrap_or_else(|_| {
        let refusal = Unsent::new().refuse(RefusalReason::Overload, FULL_RETRY_AFTER);
        crate::stats::refused(&refusal);
        reply::problem(&refusal.into_problem("-"))
    })
}

/// Reads a complete request, then serves it.
async fn handle(cx: Arc<Context>, req: Request<Incoming>) -> Result<Reply, Infallible> {
    let req = match parse(req, cx.settings.max_body_bytes).await {
        Ok(req) => req,
        Err(BadRequest(detail)) => {
            let mut refusal = Unsent::new().refuse(RefusalReason::BadRequest, Duration::ZERO);
            refusal.detail = detail;
            crate::stats::refused(&refusal);
            return Ok(reply::problem(&refusal.into_problem("-")));
        }
    };
    Ok(forward::serve(cx, req).await)
}
