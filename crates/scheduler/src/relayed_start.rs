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
use thistle_schedule::{Refusal, RunId, StartSize, TaskId, VmIncarnation};

use crate::locks::lock;
use crate::node::Node;
use crate::start_texts::find_text;

/// The path of requests to send a start.
pub const PATH: &str = "/starts";
/// The status of the answer of a node that does not have the text of the job. Older nodes take it for any refusal.
pub const NO_TEXT: u16 = StatusCode::CONFLICT.as_u16();
/// The timeout of a request: the longest timeout of an order to a VM, and the network time.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(800);
/// How long a node waits before it sends another node's start, to notice that the request was given up.
const CLOSE_NOTICE: Duration = Duration::from_millis(1);
/// The most VMs to which a node keeps clients for other nodes' starts.
const MAX_CLIENTS: usize = 2_048;

/// A request to send a start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StartRequest {
    pub pool: String,
    pub addr: SocketAddr,
    vm_id: Arc<str>,
    vm_started_at: Option<u64>,
    pub task: TaskId,
    attempt: u32,
    /// The hash of the job's text, which must be the same on both nodes.
    pub text_hash: u64,
    deadline_ms: u64,
    token: u64,
    checkpoint: String,
    ticket: Option<String>,
}

/// The outcome of a start that another node has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Outcome {
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
    /// This node does not have the text of the job.
    NoText,
    /// The link of this node is full.
    Busy,
    /// This node does not follow the pool.
    NotFollowing,
    /// This node knows that the job was cancelled.
    Cancelled,
}

impl Outcome {
    /// Returns the outcome for an owner of a build without `NotFollowing` and `Cancelled`, which can't decode them.
    pub const fn for_earlier_build(self) -> Self {
        match self {
            Self::NotFollowing | Self::Cancelled => Self::NoText,
            other => other,
        }
    }
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
    /// The start may no longer be sent, and the node was not asked.
    Withdrawn,
    /// The node has not sent the start.
    Refused(Refusal),
    /// What came of the start.
    Sent(Result<StartAnswer, OrderError>),
}

impl StartRequest {
    /// Creates the request to send a start to the VM at `addr`.
    pub fn new(
        pool: &str,
        addr: SocketAddr,
        order: &StartOrder,
        (deadline_ms, token): (u64, u64),
    ) -> Self {
        Self {
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
        }
    }

    const fn run(&self) -> RunId {
        RunId { task: self.task, attempt: self.attempt }
    }
}

/// Asks another node to send a start, in a request of its own.
pub(crate) async fn send_through(
    node: &Node,
    standby: SocketAddr,
    request: &StartRequest,
) -> Relayed {
    let body = match postcard::to_stdvec(request) {
        Ok(body) => body,
        Err(e) => {
            log::error!("start step=not-encoded run={} error=\"{e}\"", request.run());
            return Relayed::Refused(Refusal::Busy);
        }
    };
    let call = Call::new(Method::POST, PATH, TIMEOUT)
        .with_bytes(body.into())
        .counted_as(Message::RelayedStart);
    match node.peers.client(standby).call(call).await {
        Ok(answer) if answer.status == StatusCode::OK.as_u16() => {
            let outcome = postcard::from_bytes(&answer.body);
            outcome.map_or_else(
                |e| Relayed::Sent(Err(OrderError::Malformed(e.to_string()))),
                |outcome| answer_of(outcome, request.addr),
            )
        }
        Ok(answer) if answer.status == NO_TEXT => Relayed::Refused(Refusal::NoText),
        // A node that sends no start answers so.
        Ok(_) | Err(CallError::NotSent(..)) => Relayed::Refused(Refusal::Busy),
        Err(e @ CallError::Unanswered(..)) => Relayed::Sent(Err(OrderError::Unanswered(e))),
    }
}

/// Counts what came of a start that another node was asked to send.
pub(crate) fn count_relayed(result: &Relayed) {
    let outcome = match result {
        Relayed::Withdrawn => "withdrawn",
        Relayed::Refused(Refusal::Busy) => "refused",
        Relayed::Refused(Refusal::NoText) => "no-text",
        Relayed::Refused(Refusal::VmUnreached) => "vm-unreached",
        Relayed::Refused(Refusal::NotFollowing) => "not-following",
        Relayed::Refused(Refusal::Cancelled) => "cancelled",
        Relayed::Sent(Ok(_)) => "answered",
        Relayed::Sent(Err(_)) => "failed",
    };
    counter!("thistle_relayed_starts", "outcome" => outcome).increment(1);
}

pub(crate) fn answer_of(outcome: Outcome, addr: SocketAddr) -> Relayed {
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
        Outcome::NotSent => return Relayed::Refused(Refusal::VmUnreached),
        Outcome::NoText => return Relayed::Refused(Refusal::NoText),
        Outcome::Busy => return Relayed::Refused(Refusal::Busy),
        Outcome::NotFollowing => return Relayed::Refused(Refusal::NotFollowing),
        Outcome::Cancelled => return Relayed::Refused(Refusal::Cancelled),
    })
}

/// The answer of a node to a request to send a start.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The encoded outcome of the start, which was sent.
    Sent(Vec<u8>),
    /// The start was not sent, as this node does not have the text of the job.
    NoText,
    /// The start was not sent.
    Refused,
}

/// Sends a start for another node.
pub async fn send_for(node: &Arc<Node>, body: &[u8]) -> Answer {
    let request: StartRequest = match postcard::from_bytes(body) {
        Ok(request) => request,
        Err(e) => {
            log::warn!("start step=unreadable-request error=\"{e}\"");
            return Answer::Refused;
        }
    };
    match send(node, &request).await.for_earlier_build() {
        Outcome::NoText => Answer::NoText,
        Outcome::Busy => Answer::Refused,
        // Without an outcome the owner would send the start again.
        outcome => Answer::Sent(postcard::to_stdvec(&outcome).unwrap_or_default()),
    }
}

/// Sends a start for another node, if this node can send it now.
pub(crate) async fn send(node: &Arc<Node>, request: &StartRequest) -> Outcome {
    let run = request.run();
    let vm = VmIncarnation::new(request.vm_id.clone(), request.vm_started_at);
    let spec = match find_text(node, request).await {
        Ok(spec) => spec,
        Err(refusal) => {
            counter!("thistle_starts_for_others", "sent" => "no-text").increment(1);
            return refusal;
        }
    };
    // A node that was paused has requests whose owners have given up and closed their connections. The server notices that while
    // this waits, and drops the request; sent seconds late, the start could reach the VM's next incarnation.
    tokio::time::sleep(CLOSE_NOTICE).await;
    // A full link would delay the start by more than it would wait at the owner.
    if node.uplink.is_full() {
        counter!("thistle_starts_for_others", "sent" => "false").increment(1);
        return Outcome::Busy;
    }
    counter!("thistle_starts_for_others", "sent" => "true").increment(1);
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
    result.into()
}

pub(crate) fn text_hash(text: &str) -> u64 {
    weight(text.as_bytes(), 0)
}
