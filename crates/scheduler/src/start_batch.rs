//! Starts that an owner has a standby send, several in one request.
//!
//! The standby sends them all at once and streams each outcome as it arrives, so that a slow VM delays no other's outcome. The
//! sends are part of the response: if the owner gives up and closes the connection, those under way are dropped.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{FuturesUnordered, Stream, StreamExt};
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::{Method, StatusCode};
use metrics::counter;
use thistle_platform::http::Call;
use thistle_platform::http::traffic::Message;
use thistle_platform::{CallError, OrderError};
use thistle_schedule::Refusal;
use thistle_schedule::start_batches::{Added, GATHER_MS, StartBatches};
use tokio::sync::oneshot;

use crate::clock::steady_ms;
use crate::locks::lock;
use crate::node::Node;
use crate::relayed_start::{
    Outcome, Relayed, StartRequest, TIMEOUT, answer_of, count_relayed, send, send_through,
};

/// The path of requests to send several starts.
pub const PATH: &str = "/start-batches";
/// Follows the starts of a batch whose owner can decode all outcomes. Nodes of earlier builds ignore it.
const DECODES_ALL_OUTCOMES: u8 = 1;
/// The most outcomes in one part of the response.
const MAX_OUTCOMES_IN_PART: usize = 64;

/// The response to a batch: each outcome with the index of its start.
pub type OutcomeBody = UnsyncBoxBody<Bytes, Infallible>;

/// A start that waits to be sent in a batch.
struct WaitingStart {
    request: StartRequest,
    /// Whether the start may still be sent.
    is_valid: Box<dyn Fn() -> bool + Send>,
    result: oneshot::Sender<Relayed>,
}

impl fmt::Debug for WaitingStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WaitingStart").field("request", &self.request).finish_non_exhaustive()
    }
}

impl WaitingStart {
    fn finish(self, result: Relayed) {
        count_relayed(&result);
        // The order may have ended with its owner, and then needs no result.
        let _ = self.result.send(result);
    }
}

/// The starts that this node has standbys send.
#[derive(Debug, Default)]
pub struct RelayedStarts(Mutex<StartBatches<SocketAddr, WaitingStart>>);

/// Asks a standby to send a start, together with others that are ordered now. `is_valid` is checked right before the request.
pub(crate) async fn send_in_batch(
    node: &Arc<Node>,
    standby: SocketAddr,
    request: StartRequest,
    is_valid: impl Fn() -> bool + Send + 'static,
) -> Relayed {
    let addr = request.addr;
    let (tx, rx) = oneshot::channel();
    let start = WaitingStart { request, is_valid: Box::new(is_valid), result: tx };
    let added = lock(&node.relayed_starts.0).add(standby, start, steady_ms());
    match added {
        Added::Opened => {
            let node = node.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
                let batch = lock(&node.relayed_starts.0).take(standby);
                send_batch(&node, standby, batch).await;
            });
        }
        Added::Joined => (),
        Added::Completed(batch) => {
            let node = node.clone();
            tokio::spawn(async move { send_batch(&node, standby, batch).await });
        }
        Added::Single(start) => send_single(node, standby, start).await,
    }
    let dropped = |_| Relayed::Sent(Err(unanswered(addr, "the batch of the start was dropped")));
    rx.await.unwrap_or_else(dropped)
}

fn unanswered(addr: SocketAddr, reason: &str) -> OrderError {
    CallError::Unanswered(addr, reason.to_owned()).into()
}

async fn send_single(node: &Node, standby: SocketAddr, start: WaitingStart) {
    let result = match (start.is_valid)() {
        true => send_through(node, standby, &start.request).await,
        false => Relayed::Withdrawn,
    };
    start.finish(result);
}

/// Sends the valid starts of a batch and passes on their outcomes as they arrive.
async fn send_batch(node: &Node, standby: SocketAddr, batch: Vec<WaitingStart>) {
    let (valid, withdrawn): (Vec<_>, Vec<_>) =
        batch.into_iter().partition(|start| (start.is_valid)());
    for start in withdrawn {
        start.finish(Relayed::Withdrawn);
    }
    let body = match valid.as_slice() {
        [] => return,
        starts => {
            let requests: Vec<_> = starts.iter().map(|s| &s.request).collect();
            postcard::to_stdvec(&(requests, DECODES_ALL_OUTCOMES))
        }
    };
    let body = match body {
        Ok(body) => body,
        Err(e) => {
            log::error!("start step=batch-not-encoded error=\"{e}\"");
            valid.into_iter().for_each(|start| start.finish(Relayed::Refused(Refusal::Busy)));
            return;
        }
    };
    counter!("thistle_start_batches").increment(1);
    let call = Call::new(Method::POST, PATH, TIMEOUT)
        .with_bytes(body.into())
        .counted_as(Message::RelayedStart);
    let client = node.peers.client(standby);
    let mut starts: Vec<_> = valid.into_iter().map(Some).collect();
    let failed = match client.open(call).await {
        Ok(mut answer) if answer.status == StatusCode::OK.as_u16() => {
            let mut buf = Vec::new();
            let result = loop {
                match client.next_part(&mut answer).await {
                    Ok(Some(part)) => buf.extend_from_slice(&part),
                    Ok(None) => break Ok(()),
                    Err(e) => break Err(e),
                }
                finish_answered(&mut starts, &mut buf);
            };
            match result {
                Ok(()) => {
                    client.finish(answer);
                    Relayed::Sent(Err(unanswered(standby, "the response had no outcome")))
                }
                Err(e) => Relayed::Sent(Err(e.into())),
            }
        }
        Ok(answer) => {
            // A node of an earlier build, which has sent none of the starts.
            log::info!("start step=no-batches node={standby} status={}", answer.status);
            lock(&node.relayed_starts.0).record_unsupported(standby, steady_ms());
            let singles = starts.into_iter().flatten();
            singles
                .map(|start| send_single(node, standby, start))
                .collect::<FuturesUnordered<_>>()
                .collect::<()>()
                .await;
            return;
        }
        Err(CallError::NotSent(..)) => Relayed::Refused(Refusal::Busy),
        Err(e @ CallError::Unanswered(..)) => Relayed::Sent(Err(e.into())),
    };
    starts.into_iter().flatten().for_each(|start| start.finish(failed.clone()));
}

/// Passes on the outcomes at the beginning of `buf`, and removes them.
fn finish_answered(starts: &mut [Option<WaitingStart>], buf: &mut Vec<u8>) {
    let mut rest = buf.as_slice();
    // An outcome whose end has not arrived yet can't be decoded.
    while let Ok(((index, outcome), after)) = postcard::take_from_bytes::<(u16, Outcome)>(rest) {
        rest = after;
        if let Some(start) = starts.get_mut(usize::from(index)).and_then(Option::take) {
            let addr = start.request.addr;
            start.finish(answer_of(outcome, addr));
        }
    }
    let consumed = buf.len() - rest.len();
    buf.drain(..consumed);
}

/// Sends the starts of a batch for another node. Returns the response, or `None` if the batch is unreadable.
pub fn send_batch_for(node: &Arc<Node>, body: &[u8]) -> Option<OutcomeBody> {
    let (requests, rest) = match postcard::take_from_bytes::<Vec<StartRequest>>(body) {
        Ok(decoded) => decoded,
        Err(e) => {
            log::warn!("start step=unreadable-batch error=\"{e}\"");
            return None;
        }
    };
    let decodes_all = rest.first() == Some(&DECODES_ALL_OUTCOMES);
    Some(OutcomeBody::new(StreamBody::new(outcomes(node.clone(), requests, decodes_all))))
}

fn outcomes(
    node: Arc<Node>,
    requests: Vec<StartRequest>,
    decodes_all: bool,
) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> {
    let sends: FuturesUnordered<_> = (0_u16..)
        .zip(requests)
        .map(|(index, request)| {
            let node = node.clone();
            async move {
                let outcome = send(&node, &request).await;
                (index, if decodes_all { outcome } else { outcome.for_earlier_build() })
            }
        })
        .collect();
    sends.ready_chunks(MAX_OUTCOMES_IN_PART).map(|outcomes| {
        // Without an outcome the start stays unclear at the owner.
        let encoded = outcomes.iter().filter_map(|o| postcard::to_stdvec(o).ok());
        Ok(Frame::data(encoded.flatten().collect::<Vec<u8>>().into()))
    })
}
