//! `thistle-bench forward`: a plain hyper forwarder, the baseline for added latency.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::Error;

/// The idle connections to the target.
type IdleConnections = Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>>;

/// Forwards every request to one address until the process ends.
pub fn run(listen: SocketAddr, to: SocketAddr) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(listen).await?;
        let idle = IdleConnections::default();
        loop {
            let (stream, _) = listener.accept().await?;
            let _ = stream.set_nodelay(true);
            let idle = idle.clone();
            tokio::spawn(async move {
                let service = service_fn(|req| forward(idle.clone(), to, req));
                let conn = hyper::server::conn::http1::Builder::new();
                let _ = conn.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

async fn forward(
    idle: IdleConnections,
    to: SocketAddr,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let answer = exchange(&idle, to, req).await;
    Ok(answer.unwrap_or_else(|| {
        let mut answer = Response::new(Full::new(Bytes::new()));
        *answer.status_mut() = StatusCode::BAD_GATEWAY;
        answer
    }))
}

async fn exchange(
    idle: &IdleConnections,
    to: SocketAddr,
    req: Request<Incoming>,
) -> Option<Response<Full<Bytes>>> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let connection = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
    let mut sender = match connection.filter(SendRequest::is_ready) {
        Some(sender) => sender,
        None => connect(to).await?,
    };
    let answer = sender.send_request(Request::from_parts(parts, Full::new(body))).await.ok()?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    idle.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
    Some(Response::from_parts(parts, Full::new(body)))
}

async fn connect(to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(to).await.ok()?;
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(stream);
    let (sender, conn) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(conn);
    Some(sender)
}
