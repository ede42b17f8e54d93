//! A single send of a request to a VM, and its outcome.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderValue;
use thistle_model::RefusalReason;
use thistle_model::clock::Instant;
use thistle_request::SendGate;
use thistle_request::breaker::SendResult;
use thistle_request::exchange::{BackendRefusal, MaybeSent, Pending, Refusal};
use thistle_request::router::VmKey;

use crate::backend::{Answer, ExchangeError, ExchangePlan};
use crate::context::InFlight;
use crate::decision_log;
use crate::forward::{ActiveRequest, RETRY_AFTER};
use crate::parse::{DEADLINE, REQUEST_ID};

/// Header by which a backend server states that it did not run a request.
const NOT_RUN: &str = "thistle-not-run";
/// Header by which a backend server announces that it is leaving.
const LEAVING: &str = "thistle-leaving";

/// The outcome of one send.
pub enum SendOutcome {
    /// A complete answer.
    Answered(Answer),
    /// The request may be retried, or refused with this reason and detail.
    Retry(Pending, RefusalReason, String),
    /// A complete answer with a server error, to a repeatable request.
    ServerError(Answer, MaybeSent),
    /// The request is refused.
    Refused(Refusal),
}

impl ActiveRequest {
    /// Sends the request to a VM and waits for the complete answer.
    pub async fn send(&self, pending: Pending, in_flight: InFlight) -> SendOutcome {
        let Some((plan, gate)) = self.exchange_plan(in_flight.vm(), pending.sends()) else {
            let detail = "the VM left before the request was sent".to_owned();
            return SendOutcome::Retry(pending, RefusalReason::NoVm, detail);
        };
        let req = self.backend_request();
        let sent = pending.start_send();
        let remaining = self.route_request.deadline.since(Instant::now());
        let exchange = self.cx.backends.exchange(&plan, req);
        let result = match tokio::time::timeout(remaining, exchange).await {
            Ok(Ok(answer)) => self.check_answer(answer),
            Ok(Err(e)) => Err(e),
            Err(_) => Err(ExchangeError {
                reason: RefusalReason::Deadline,
                detail: "no whole answer within the deadline".to_owned(),
            }),
        };
        match result {
            Ok(answer) => self.handle_answer(sent, answer, in_flight),
            Err(e) => self.handle_error(sent, &gate, e, in_flight),
        }
    }

    fn exchange_plan(&self, key: VmKey, sends: u32) -> Option<(ExchangePlan, Arc<SendGate>)> {
        let router = self.cx.router();
        let vm = router.vm(key)?;
        decision_log::sent(&router, &self.id, &self.req, key, sends);
        let gate = Arc::new(SendGate::new(router.proof_until()));
        let plan = ExchangePlan {
            addr: vm.facts.addr,
            reuse: self.service.echoes_request_id,
            gate: gate.clone(),
            connect_timeout: self.cx.settings.connect_timeout.0,
            max_answer: self.cx.settings.max_answer_bytes,
            max_headers: self.cx.settings.max_header_bytes,
        };
        Some((plan, gate))
    }

    fn backend_request(&self) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.req.body.clone()));
        *req.method_mut() = self.req.method.clone();
        if let Ok(uri) = self.req.target.parse() {
            *req.uri_mut() = uri;
        }
        *req.headers_mut() = self.req.headers.clone();
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            req.headers_mut().insert(REQUEST_ID, id);
        }
        let remaining = self.route_request.deadline.since(Instant::now()).as_millis();
        let remaining = u64::try_from(remaining).unwrap_or(u64::MAX);
        req.headers_mut().insert(DEADLINE, HeaderValue::from(remaining));
        req
    }

    /// Checks that an answer belongs to this request.
    fn check_answer(&self, answer: Answer) -> Result<Answer, ExchangeError> {
        let echoed_id = answer.parts.headers.get(REQUEST_ID);
        let is_ours = echoed_id.map(|id| id.as_bytes() == self.id.as_bytes());
        if is_ours.unwrap_or(!self.service.echoes_request_id) {
            return Ok(answer);
        }
        let detail = "the answer is not that of this request".to_owned();
        Err(ExchangeError { reason: RefusalReason::BadAnswer, detail })
    }

    fn handle_answer(&self, sent: MaybeSent, answer: Answer, in_flight: InFlight) -> SendOutcome {
        let header = |name| answer.parts.headers.get(name).and_then(|v| v.to_str().ok());
        if header(LEAVING) == Some("1") {
            self.record_leaving(in_flight.vm());
        }
        let status = answer.parts.status.as_u16();
        if let Some(statement) = BackendRefusal::from_answer(status, header(NOT_RUN)) {
            in_flight.finish(SendResult::Failure);
            let restored = sent.refused_by_backend(&statement);
            let detail = "the backend server did not run it".to_owned();
            return SendOutcome::Retry(restored, RefusalReason::BackendRefused, detail);
        }
        let is_error = answer.parts.status.is_server_error();
        in_flight.finish(if is_error { SendResult::Failure } else { SendResult::Success });
        if is_error && self.route_request.repeatable {
            return SendOutcome::ServerError(answer, sent);
        }
        SendOutcome::Answered(answer)
    }

    fn handle_error(
        &self,
        sent: MaybeSent,
        gate: &SendGate,
        e: ExchangeError,
        in_flight: InFlight,
    ) -> SendOutcome {
        let timed_out = e.reason == RefusalReason::Deadline;
        in_flight.finish(match e.reason {
            RefusalReason::Connect => SendResult::ConnectFailed,
            // A caller's deadline below that of the service says nothing about the VM's health.
            RefusalReason::Deadline if self.has_short_deadline() => SendResult::Neutral,
            _ => SendResult::Failure,
        });
        match sent.confirm_unsent(gate) {
            Ok(restored) if timed_out => {
                SendOutcome::Refused(self.abandon(restored, e.reason, RETRY_AFTER, e.detail))
            }
            Ok(restored) => {
                let proof_expired = Instant::now() >= self.cx.router().proof_until();
                let reason =
                    if proof_expired { RefusalReason::NoProof } else { RefusalReason::Connect };
                SendOutcome::Retry(restored, reason, e.detail)
            }
            Err(sent) if self.route_request.repeatable && !timed_out => {
                SendOutcome::Retry(sent.into_repeated(), e.reason, e.detail)
            }
            Err(sent) => {
                let mut refusal = sent.refuse(e.reason, RETRY_AFTER);
                refusal.detail = e.detail;
                SendOutcome::Refused(refusal)
            }
        }
    }

    fn has_short_deadline(&self) -> bool {
        let service_deadline = Duration::from_millis(u64::from(self.service.deadline_ms));
        self.req.deadline.is_some_and(|d| d < service_deadline)
    }

    fn record_leaving(&self, key: VmKey) {
        let name = self.cx.router().vm(key).map(|vm| vm.name.clone());
        let Some(name) = name else { return };
        let mut link = self.cx.link();
        if !link.leaving.contains(&name) {
            link.leaving.push(name);
            drop(link);
            self.cx.report_now.notify_one();
        }
    }
}
