//! Accepts connections of the system's own protocols.

use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};

/// The maximum number of concurrent requests of one connection.
pub const MAX_REQUESTS: usize = 256;
/// The pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How long the head of a request, or the next part of its body, may take.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a connection may be idle: longer than any client pauses between two requests on a connection in use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the HTTP server for connections of nodes, load balancers and scrapers. It closes idle connections, so that a
/// client that is gone does not hold a file descriptor.
pub fn http() -> http1::Builder {
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    server
}

/// Calls `handle` with each accepted connection, until the returned future is dropped.
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
            let transport = $crate::dial::into_transport(stream);
            let channel = tarpc::server::BaseChannel::with_defaults(transport);
            let requests = channel.execute(server.clone().serve());
            let handle = |request| request;
            tokio::spawn(requests.for_each_concurrent($crate::serve::MAX_REQUESTS, handle));
        })
    }};
}
