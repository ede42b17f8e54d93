//! Serves metrics over HTTP in the Prometheus text format.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Binds `addr` and serves the text that `render` returns, until the returned future is dropped.
pub async fn serve<F>(addr: SocketAddr, render: F) -> std::io::Result<()>
where
    F: Fn() -> String + Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    crate::serve::accept(listener, move |stream| {
        let render = render.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_: Request<hyper::body::Incoming>| {
                let body = Full::new(Bytes::from(render()));
                async move { Ok::<_, Infallible>(Response::new(body)) }
            });
            // A scraper that disconnects is not an error.
            let _ = crate::serve::http().serve_connection(TokioIo::new(stream), service).await;
        });
    })
    .await;
    Ok(())
}
