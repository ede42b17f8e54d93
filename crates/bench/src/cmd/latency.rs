//! `thistle-bench latency`: sends the same request to several targets in alternating rounds.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Error;

/// The number of rounds; each target gets an equal share of its requests in each round.
const ROUNDS: u32 = 10;

/// A target with its response times.
struct Target {
    label: String,
    addr: SocketAddr,
    path: String,
    micros: Vec<u64>,
    failed: u32,
    busy: Duration,
}

/// Sends `requests` to each target over `connections` persistent connections, in alternating rounds.
///
/// A target is `LABEL=IP:PORT/PATH`.
pub fn run(targets: &[String], requests: u32, connections: u32) -> Result<(), Error> {
    let mut targets: Vec<Target> = targets.iter().map(|t| parse(t)).collect::<Result<_, _>>()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let per_round = (requests / ROUNDS / connections).max(1);
    runtime.block_on(async {
        for _ in 0..ROUNDS {
            for target in &mut targets {
                run_round(target, per_round, connections).await;
            }
        }
    });
    println!(
        "{:<12} {:>9} {:>8} {:>8} {:>8} {:>10} {:>7}",
        "target", "requests", "p50 us", "p99 us", "p999 us", "per second", "failed"
    );
    for target in &mut targets {
        report(target);
    }
    Ok(())
}

fn parse(text: &str) -> Result<Target, Error> {
    let parts = text.split_once('=').and_then(|(label, rest)| {
        let (addr, path) = rest.split_once('/')?;
        Some((label, addr.parse().ok()?, format!("/{path}")))
    });
    let (label, addr, path) = parts.ok_or_else(|| Error::Argument(text.to_owned()))?;
    let label = label.to_owned();
    Ok(Target { label, addr, path, micros: Vec::new(), failed: 0, busy: Duration::ZERO })
}

async fn run_round(target: &mut Target, requests: u32, connections: u32) {
    let began = Instant::now();
    let tasks: Vec<_> = (0..connections)
        .map(|_| tokio::spawn(one_connection(target.addr, target.path.clone(), requests)))
        .collect();
    for task in tasks {
        let (micros, failed) = task.await.unwrap_or_default();
        target.micros.extend(micros);
        target.failed += failed;
    }
    target.busy += began.elapsed();
}

async fn one_connection(addr: SocketAddr, path: String, requests: u32) -> (Vec<u64>, u32) {
    let mut micros = Vec::new();
    let mut failed = 0;
    let Some(mut sender) = connect(addr).await else {
        return (micros, requests);
    };
    for _ in 0..requests {
        let began = Instant::now();
        match send(&mut sender, addr, &path).await {
            Some(200) => micros.push(u64::try_from(began.elapsed().as_micros()).unwrap_or(0)),
            _ => failed += 1,
        }
    }
    (micros, failed)
}

async fn connect(addr: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(stream);
    let (sender, conn) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(conn);
    Some(sender)
}

async fn send(sender: &mut SendRequest<Empty<Bytes>>, addr: SocketAddr, path: &str) -> Option<u16> {
    let req = Request::get(path).header("host", addr.to_string()).body(Empty::new()).ok()?;
    let answer = sender.send_request(req).await.ok()?;
    let status = answer.status().as_u16();
    answer.into_body().collect().await.ok()?;
    Some(status)
}

fn report(target: &mut Target) {
    target.micros.sort_unstable();
    let n = target.micros.len();
    let at = |part: usize| target.micros.get(n * part / 1_000).copied().unwrap_or(0);
    let rate = n as f64 / target.busy.as_secs_f64();
    println!(
        "{:<12} {n:>9} {:>8} {:>8} {:>8} {rate:>10.0} {:>7}",
        target.label,
        at(500),
        at(990),
        at(999),
        target.failed
    );
}
