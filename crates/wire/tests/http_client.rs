//! The client of the platform's services against answers that come slowly.
//!
//! Symptom: a snapshot of the state is never read. Sequence: it comes over a slow link for longer than a call may take, and each
//! try begins anew. Cause: the time of a call was fixed for the whole answer, however long it was. What settled it: an answer of
//! ten parts 60 ms apart ended in `Timeout` with 300 ms allowed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use hyper::Method;
use thistle_wire::http_client::{HttpClient, HttpError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long a call may take until something of its answer comes.
const ALLOWED: Duration = Duration::from_millis(300);
/// Parts of an answer, and the pause before each.
const PARTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(60);

/// Answers every request with so many of the parts that it promises, and then says nothing.
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
    HttpClient::new(addr, ALLOWED).call(Method::GET, "/log", Bytes::new()).await
}

#[gtest]
#[tokio::test]
async fn an_answer_may_take_as_long_as_it_comes() {
    expect_that!(call(PARTS).await.map(|body| body.len()), ok(eq(&PARTS)));
}

#[gtest]
#[tokio::test]
async fn an_answer_that_stops_is_given_up() {
    expect_that!(matches!(call(PARTS / 2).await, Err(HttpError::Timeout(_))), eq(true));
}
