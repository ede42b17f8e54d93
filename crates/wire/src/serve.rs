//! Accepting connections of the system's own protocols.

use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};

/// Requests of one connection that are served at one time.
pub const MAX_REQUESTS: usize = 256;
/// Pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How long the head of a request, or the next part of its body, may take.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a connection may lie idle: longer than anyone's pause between two requests on one that is in use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the HTTP server for connections of nodes, balancers and scrapers. One that falls silent for good is closed,
/// so that it holds no descriptor.
pub fn http() -> http1::Builder {
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    server
}

/// Hands each accepted connection to `handle`, until the task is dropped.
pub async fn accept(listener: TcpListener, mut handle: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => handle(stream),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Serves a tarpc service on every connection that `$listener` accepts.
#[macro_export]
macro_rules! serve_tarpc {
    ($listener:expr, $server:expr) => {{
        let server = $server;
        $crate::serve::accept($listener, move |stream| {
            use futures::StreamExt;
            use tarpc::server::Channel;
            let transport = $crate::dial::wrap(stream);
            let channel = tarpc::server::BaseChannel::with_defaults(transport);
            let requests = channel.execute(server.clone().serve());
            let handle = |request| request;
            tokio::spawn(requests.for_each_concurrent($crate::serve::MAX_REQUESTS, handle));
        })
    }};
}
