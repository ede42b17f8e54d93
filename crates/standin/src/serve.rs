//! A minimal HTTP/1.1 server and helpers for its requests.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Serves `handle` on `addr` until accepting a connection fails.
pub async fn serve<F, Fut>(addr: SocketAddr, handle: F) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(|req| {
                let answer = handle(req);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let conn = hyper::server::conn::http1::Builder::new();
            // A client that disconnects is not an error.
            let _ = conn.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Reads the whole body; empty when it cannot be read.
pub async fn body(req: Request<Incoming>) -> Bytes {
    req.into_body().collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default()
}

/// Returns a numeric parameter of the query string.
pub fn query(req: &Request<Incoming>, name: &str) -> Option<u64> {
    query_text(req, name)?.parse().ok()
}

/// Returns a parameter of the query string as text.
pub fn query_text(req: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = req.uri().query()?.split('&');
    let mut values = pairs.filter_map(|p| p.split_once('='));
    values.find(|(k, _)| *k == name).map(|(_, v)| v.to_owned())
}
