//! The HTTP server for other nodes: forwards store calls for nodes that cannot reach the store directly, accepts forwarded
//! submissions, notices of cancellations and the reports of pools, sends starts for owners, and answers queries. Also watches whether this node reaches the store directly.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use metrics::counter;
use thistle_platform::http::traffic::{CountedStream, CurrentMessage, Message};
use thistle_platform::{CallError, ForwardedCall, NOT_ANSWERED, NOT_FORWARDED};
use thistle_wire::serve::HEADER_TIMEOUT;
use tokio::net::TcpListener;

use crate::fleet_owner::{REPORT_PATH, Rejection, accept_report};
use crate::node::Node;
use crate::relayed_start::Answer;
use crate::request_body;
use crate::start_batch::OutcomeBody;
use crate::{cancel_notice, find_job, forward, query, relayed_start, start_batch};

/// How often the direct route to the store is probed while calls go through another node.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Serves other nodes until the future is dropped.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    thistle_wire::serve::accept(listener, move |stream| {
        let node = node.clone();
        // Sends small replies without delay; the connection still works if this fails.
        let _ = stream.set_nodelay(true);
        tokio::spawn(async move {
            let current = CurrentMessage::new(Message::FromNode);
            let stream = CountedStream::with_current(stream, current.clone());
            let respond = service_fn(|req: Request<Incoming>| {
                let node = node.clone();
                current.set(Message::of_path_from_node(req.uri().path()));
                async move { Ok::<_, Infallible>(handle_request(&node, req).await) }
            });
            // If the connection fails, the other node uses another relay.
            let _ =
                thistle_wire::serve::http().serve_connection(TokioIo::new(stream), respond).await;
        });
    })
    .await;
}

/// A reply whose body is streamed as it arrives. Over a link of 10 Mbit/s, a node that first read a whole megabyte would
/// begin to reply after 0.8 s, when the requesting node's call has already timed out.
type RelayReply = Response<ReplyBody>;
type ReplyBody = Either<Full<Bytes>, Either<Incoming, OutcomeBody>>;

async fn handle_request(node: &Arc<Node>, req: Request<Incoming>) -> RelayReply {
    let method = req.method().clone();
    let path = req.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
    let body =
        request_body::read(req.into_body(), node.settings.max_append_bytes, HEADER_TIMEOUT).await;
    let reply = match body {
        Err(e) => {
            log::info!("relay step=not-forwarded path={path} reason=\"{e:?}\"");
            not_forwarded()
        }
        Ok(body) if path.starts_with(forward::PATH) => {
            let pool = &path[forward::PATH.len()..];
            match forward::append_forwarded(node, pool, &body).await {
                Some(written) => reply(StatusCode::OK.as_u16(), Either::Left(written.into())),
                None => not_forwarded(),
            }
        }
        Ok(body) if path.starts_with(REPORT_PATH) => {
            let status = match accept_report(node, &path[REPORT_PATH.len()..], &body) {
                Ok(()) => StatusCode::OK,
                Err(Rejection::Malformed) => StatusCode::BAD_REQUEST,
                Err(Rejection::NotOwner) => StatusCode::CONFLICT,
            };
            reply(status.as_u16(), Either::Left(Full::default()))
        }
        Ok(body) if path.starts_with(cancel_notice::PATH) => {
            match cancel_notice::accept_notice(node, &path[cancel_notice::PATH.len()..], &body) {
                true => reply(StatusCode::OK.as_u16(), Either::Left(Full::default())),
                false => not_forwarded(),
            }
        }
        Ok(body) if path == query::PATH => match find_job::answer_query(node, &body).await {
            Some(encoded) => reply(StatusCode::OK.as_u16(), Either::Left(encoded.into())),
            None => not_forwarded(),
        },
        Ok(body) if path == relayed_start::PATH => {
            match relayed_start::send_for(node, &body).await {
                Answer::Sent(outcome) => {
                    reply(StatusCode::OK.as_u16(), Either::Left(outcome.into()))
                }
                Answer::NoText => reply(relayed_start::NO_TEXT, Either::Left(Full::default())),
                Answer::Refused => not_forwarded(),
            }
        }
        Ok(body) if path == start_batch::PATH => match start_batch::send_batch_for(node, &body) {
            Some(outcomes) => {
                let body = ReplyBody::Right(Either::Right(outcomes));
                reply(StatusCode::OK.as_u16(), body)
            }
            None => not_forwarded(),
        },
        Ok(_) if !node.uplink.may_forward() => {
            log::debug!("relay step=not-forwarded path={path} reason=full-link");
            not_forwarded()
        }
        Ok(body) => {
            let call = ForwardedCall { method, path: path.clone(), body };
            match node.store.forward(call).await {
                // A reply with this status from the store itself does not show whether the call was executed.
                Ok(Some(answer)) if answer.status == NOT_FORWARDED => {
                    log::info!("relay step=not-answered path={path} status={NOT_FORWARDED}");
                    reply(NOT_ANSWERED, Either::Left(Full::default()))
                }
                Ok(Some(answer)) => {
                    reply(answer.status, Either::Right(Either::Left(answer.into_body())))
                }
                Ok(None) | Err(CallError::NotSent(..)) => not_forwarded(),
                Err(e @ CallError::Unanswered(..)) => {
                    log::info!("relay step=not-answered path={path} error=\"{e}\"");
                    reply(NOT_ANSWERED, Either::Left(Full::default()))
                }
            }
        }
    };
    counter!("thistle_passed_on", "status" => reply.status().as_str().to_owned()).increment(1);
    reply
}

fn not_forwarded() -> RelayReply {
    reply(NOT_FORWARDED, Either::Left(Full::default()))
}

fn reply(status: u16, body: ReplyBody) -> RelayReply {
    let mut reply = Response::new(body);
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    reply
}

/// Probes the direct route to the store while calls go through another node, so that calls soon go directly again.
/// Logs each change of the route.
pub async fn watch_route(node: Arc<Node>) {
    let mut previous = None;
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let forwarding_peer = node.store.forwarding_peer();
        if forwarding_peer != previous {
            match forwarding_peer {
                Some(peer) => log::warn!("store step=turned-away through={peer}"),
                None => log::info!("store step=direct-again"),
            }
            previous = forwarding_peer;
        }
        if forwarding_peer.is_some() {
            node.store.probe_directly().await;
        }
    }
}
