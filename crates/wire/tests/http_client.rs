//! The HTTP client of the platform's services with slow responses.
//!
//! Guards against a timeout for the whole response: a snapshot that takes longer over a slow link is then never read, because
//! each retry starts from the beginning. A response of ten parts 60 ms apart must not time out when 300 ms are allowed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use hyper::Method;
use thistle_wire::http_client::{HttpClient, HttpError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The timeout for the next part of a response.
const PART_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of parts of a response, and the pause before each.
const PARTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(60);

/// Answers every request with the first `sent` of the promised parts, and then sends nothing more.
async fn serve(listener: TcpListener, sent: usize) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut buf = [0; 1_024];
            while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {
                answer(&mut stream, sent).await;
            }
        });
    }
}

async fn answer(stream: &mut TcpStream, sent: usize) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    for _ in 0..sent {
        tokio::time::sleep(PAUSE).await;
        stream.write_all(b"x").await.expect("it is sent");
    }
}

async fn call(sent: usize) -> std::result::Result<Bytes, HttpError> {
    let listener =
        TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("it binds");
    let addr = listener.local_addr().expect("it has an address");
    tokio::spawn(serve(listener, sent));
    HttpClient::new(addr, PART_TIMEOUT).call(Method::GET, "/log", Bytes::new()).await
}

#[gtest]
#[tokio::test]
async fn slow_response_is_read_while_parts_keep_arriving() {
    expect_that!(call(PARTS).await.map(|body| body.len()), ok(eq(&PARTS)));
}

#[gtest]
#[tokio::test]
async fn response_that_stops_times_out() {
    expect_that!(matches!(call(PARTS / 2).await, Err(HttpError::Timeout(_))), eq(true));
}
