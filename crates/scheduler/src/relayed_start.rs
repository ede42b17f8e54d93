//! Start orders that another node sends for a pool's owner.
//!
//! A start contains the text of its job, and an owner may have more starts to send than its link carries. The standbys of its
//! pool have the texts, as they follow its records. A request to one of them is a tenth as long as a start with a text of 2 KB.
//! The owner decides on each start and checks it right before the request; the standby only sends it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::{Method, StatusCode};
use metrics::counter;
use serde::{Deserialize, Serialize};
use thistle_model::rendezvous::weight;
use thistle_platform::http::Call;
use thistle_platform::http::traffic::Message;
use thistle_platform::worker::Start;
use thistle_platform::{CallError, OrderError, StartAnswer, WorkerClient};
use thistle_schedule::pool::StartOrder;
use thistle_schedule::{RunId, StartSize, TaskId, VmIncarnation};

use crate::locks::lock;
use crate::node::Node;

/// The path of requests to send a start.
pub const PATH: &str = "/starts";
/// The timeout of a request: the longest timeout of an order to a VM, and the network time.
const TIMEOUT: Duration = Duration::from_millis(800);
/// How long a node waits before it sends another node's start, to notice that the request was given up.
const CLOSE_NOTICE: Duration = Duration::from_millis(1);
/// The most VMs to which a node keeps clients for other nodes' starts.
const MAX_CLIENTS: usize = 2_048;

/// A request to send a start.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StartRequest {
    pool: String,
    addr: SocketAddr,
    vm_id: Arc<str>,
    vm_started_at: Option<u64>,
    task: TaskId,
    attempt: u32,
    /// The hash of the job's text, which must be the same on both nodes.
    text_hash: u64,
    deadline_ms: u64,
    token: u64,
    checkpoint: String,
    ticket: Option<String>,
}

/// The outcome of a start that another node has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Outcome {
    Started,
    Old,
    Late,
    NoRoom,
    Ticket,
    Invalid,
    Gone,
    Fenced,
    Unhealthy(u16),
    /// The VM could not be reached.
    NotSent,
    /// The start may have been executed, or may be executed later.
    Unanswered,
}

impl From<Result<StartAnswer, OrderError>> for Outcome {
    fn from(result: Result<StartAnswer, OrderError>) -> Self {
        match result {
            Ok(StartAnswer::Started) => Self::Started,
            Ok(StartAnswer::Old) => Self::Old,
            Ok(StartAnswer::Late) => Self::Late,
            Ok(StartAnswer::NoRoom) => Self::NoRoom,
            Ok(StartAnswer::Ticket) => Self::Ticket,
            Ok(StartAnswer::Invalid) => Self::Invalid,
            Err(OrderError::Gone) => Self::Gone,
            Err(OrderError::Fenced) => Self::Fenced,
            Err(OrderError::Unhealthy(status)) => Self::Unhealthy(status),
            Err(OrderError::NotSent(_)) => Self::NotSent,
            // A start is never answered with a start time; if it were, its outcome would be open.
            Err(
                OrderError::Unanswered(_) | OrderError::Malformed(_) | OrderError::Restarted(_),
            ) => Self::Unanswered,
        }
    }
}

/// The clients with which a node sends other nodes' starts, by the VM's address and incarnation.
#[derive(Debug, Default)]
pub struct StartClients(Mutex<HashMap<(SocketAddr, VmIncarnation), Arc<WorkerClient>>>);

impl StartClients {
    fn client(&self, node: &Node, addr: SocketAddr, vm: &VmIncarnation) -> Arc<WorkerClient> {
        let mut clients = lock(&self.0);
        let key = (addr, vm.clone());
        if clients.len() >= MAX_CLIENTS && !clients.contains_key(&key) {
            clients.clear();
        }
        let new = || {
            WorkerClient::new(addr, vm.clone())
                .with_answers(node.vm_answers.clone())
                .with_link_delay(node.uplink.delay().clone())
        };
        clients.entry(key).or_insert_with(|| Arc::new(new())).clone()
    }
}

/// The result of asking another node to send a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Relayed {
    /// The node has not sent the start.
    Refused,
    /// What came of the start.
    Sent(Result<StartAnswer, OrderError>),
}

/// Asks another node to send a start to the VM at `addr`.
pub async fn send_through(
    node: &Node,
    standby: SocketAddr,
    pool: &str,
    addr: SocketAddr,
    order: &StartOrder,
    (deadline_ms, token): (u64, u64),
) -> Relayed {
    let request = StartRequest {
        pool: pool.to_owned(),
        addr,
        vm_id: order.vm.id().clone(),
        vm_started_at: order.vm.started_at(),
        task: order.run.task,
        attempt: order.run.attempt,
        text_hash: text_hash(&order.spec.text),
        deadline_ms,
        token,
        checkpoint: order.checkpoint.clone(),
        ticket: order.ticket.clone(),
    };
    let body = match postcard::to_stdvec(&request) {
        Ok(body) => body,
        Err(e) => {
            log::error!("start step=not-encoded run={} error=\"{e}\"", order.run);
            return Relayed::Refused;
        }
    };
    let call = Call::new(Method::POST, PATH, TIMEOUT)
        .with_bytes(body.into())
        .counted_as(Message::RelayedStart);
    let result = match node.peers.client(standby).call(call).await {
        Ok(answer) if answer.status == StatusCode::OK.as_u16() => {
            let outcome = postcard::from_bytes(&answer.body);
            outcome.map_or_else(
                |e| Relayed::Sent(Err(OrderError::Malformed(e.to_string()))),
                |outcome| answer_of(outcome, addr),
            )
        }
        // A node that sends no start answers so.
        Ok(_) | Err(CallError::NotSent(..)) => Relayed::Refused,
        Err(e @ CallError::Unanswered(..)) => Relayed::Sent(Err(OrderError::Unanswered(e))),
    };
    let outcome = match &result {
        Relayed::Refused => "refused",
        Relayed::Sent(Ok(_)) => "answered",
        Relayed::Sent(Err(_)) => "failed",
    };
    counter!("thistle_relayed_starts", "outcome" => outcome).increment(1);
    result
}

fn answer_of(outcome: Outcome, addr: SocketAddr) -> Relayed {
    let unreached = || "the node that sends the start got no answer".to_owned();
    Relayed::Sent(match outcome {
        Outcome::Started => Ok(StartAnswer::Started),
        Outcome::Old => Ok(StartAnswer::Old),
        Outcome::Late => Ok(StartAnswer::Late),
        Outcome::NoRoom => Ok(StartAnswer::NoRoom),
        Outcome::Ticket => Ok(StartAnswer::Ticket),
        Outcome::Invalid => Ok(StartAnswer::Invalid),
        Outcome::Gone => Err(OrderError::Gone),
        Outcome::Fenced => Err(OrderError::Fenced),
        Outcome::Unhealthy(status) => Err(OrderError::Unhealthy(status)),
        Outcome::Unanswered => Err(CallError::Unanswered(addr, unreached()).into()),
        // The owner may reach the VM itself.
        Outcome::NotSent => return Relayed::Refused,
    })
}

/// Sends a start for another node and returns the encoded outcome, or `None` if this node has not sent it.
pub async fn send_for(node: &Node, body: &[u8]) -> Option<Vec<u8>> {
    let request: StartRequest = match postcard::from_bytes(body) {
        Ok(request) => request,
        Err(e) => {
            log::warn!("start step=unreadable-request error=\"{e}\"");
            return None;
        }
    };
    let run = RunId { task: request.task, attempt: request.attempt };
    let vm = VmIncarnation::new(request.vm_id.clone(), request.vm_started_at);
    let spec = node.pool_log_of(&request.pool).and_then(|log| {
        let jobs = log.jobs();
        let entry = jobs.get(run.task.job).filter(|entry| !entry.cancelled)?;
        entry.spec.clone().filter(|spec| text_hash(&spec.text) == request.text_hash)
    });
    // A full link would delay the start by more than it would wait at the owner.
    let Some(spec) = spec.filter(|_| !node.uplink.is_full()) else {
        counter!("thistle_starts_for_others", "sent" => "false").increment(1);
        return None;
    };
    counter!("thistle_starts_for_others", "sent" => "true").increment(1);
    // A node that was paused has requests whose owners have given up and closed their connections. The server notices that while
    // this waits, and drops the request; sent seconds late, the start could reach the VM's next incarnation.
    tokio::time::sleep(CLOSE_NOTICE).await;
    node.uplink.give(StartSize::new(spec.text.len(), request.checkpoint.len()).direct);
    let start = Start {
        run,
        text: &spec.text,
        deadline_ms: request.deadline_ms,
        token: request.token,
        checkpoint: &request.checkpoint,
        ticket: request.ticket.as_deref(),
    };
    let result = node.start_clients.client(node, request.addr, &vm).start(start).await;
    if let Err(e) = &result {
        log::info!("start step=failed-for-owner run={run} vm={vm} error=\"{e}\"");
    }
    postcard::to_stdvec(&Outcome::from(result)).ok()
}

fn text_hash(text: &str) -> u64 {
    weight(text.as_bytes(), 0)
}
