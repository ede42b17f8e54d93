//! The processing of a request: it is routed, claimed if needed, sent, and answered or refused.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::header::CONTENT_TYPE;
use thistle_model::clock::{Instant, wall_ms};
use thistle_model::{RefusalReason, Service, Tier};
use thistle_request::Router;
use thistle_request::admit::Ticket;
use thistle_request::claim::{Claim, ClaimState, KeptAnswer};
use thistle_request::exchange::{Pending, Refusal, Unsent};
use thistle_request::key::{ClaimKey, KeyAge, classify_age, fingerprint};
use thistle_request::router::{Decision, FailedVms, PoolKey, RouteRequest};
use tokio::sync::oneshot;

use crate::backend::Answer;
use crate::claimant::Claimant;
use crate::context::{Context, InFlight, WaitResult};
use crate::parse::CallerRequest;
use crate::reply::{self, Reply};
use crate::sending::SendOutcome;
use crate::{decision_log, stats};

/// The default retry delay reported with a refusal.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that is being processed.
pub struct ActiveRequest {
    /// The state shared by the entry's tasks.
    pub cx: Arc<Context>,
    /// The request ID, as shown in logs.
    pub id: String,
    /// The caller's request.
    pub req: Arc<CallerRequest>,
    /// The requested service.
    pub service: Service,
    /// The routing properties of the request.
    pub route_request: RouteRequest,
    claimant: Option<Claimant>,
}

/// Serves a request and returns the answer or the refusal.
///
/// A request that is not repeatable runs in its own task, so that it completes even if the caller
/// disconnects. A repeatable request is dropped when its caller disconnects.
pub async fn serve(cx: Arc<Context>, req: CallerRequest) -> Reply {
    let started_at = Instant::now();
    let ticket = cx.next_ticket();
    let id = cx.request_id(ticket);
    let req = Arc::new(req);
    let result = match prepare(&cx, &id, req.clone(), ticket, started_at) {
        Ok(request) if request.route_request.repeatable => request.run().await,
        Ok(request) => run_detached(request).await,
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(reply) => {
            stats::answered(&req.workspace, Instant::now().since(started_at));
            reply
        }
        Err(refusal) => {
            decision_log::refused(&id, &req, &refusal);
            stats::refused(&refusal);
            reply::problem(&refusal.into_problem(&id))
        }
    }
}

async fn run_detached(request: ActiveRequest) -> Result<Reply, Refusal> {
    let ended = tokio::spawn(request.run()).await;
    ended.unwrap_or_else(|_| {
        // The task panicked, so whether the request was sent is unknown.
        let sent = Pending::Unsent(Unsent::new()).start_send();
        Err(sent.refuse(RefusalReason::Broken, RETRY_AFTER))
    })
}

/// Resolves the service, deadline and claim of a request.
fn prepare(
    cx: &Arc<Context>,
    id: &str,
    req: Arc<CallerRequest>,
    ticket: Ticket,
    now: Instant,
) -> Result<ActiveRequest, Refusal> {
    let unsent = Unsent::new();
    if cx.is_stopping() {
        return Err(unsent.refuse(RefusalReason::Stopping, Duration::ZERO));
    }
    let Some((pool, tier, service)) = find_service(cx, &req) else {
        if cx.router().proof_until() <= now {
            return Err(unsent.refuse(RefusalReason::NoProof, Duration::ZERO));
        }
        return Err(unsent.refuse(RefusalReason::NoSuchService, RETRY_AFTER));
    };
    let default_deadline = Duration::from_millis(u64::from(service.deadline_ms));
    let deadline = now + req.deadline.unwrap_or(default_deadline);
    let repeatable = is_repeatable(&req, &service);
    let tier = service.tier.unwrap_or(tier);
    let route_request =
        RouteRequest { ticket, pool, tier, deadline, repeatable, failed_vms: FailedVms::default() };
    let claimant = new_claimant(cx, &req, repeatable, unsent)?;
    Ok(ActiveRequest { cx: cx.clone(), id: id.to_owned(), req, service, route_request, claimant })
}

fn find_service(cx: &Context, req: &CallerRequest) -> Option<(PoolKey, Tier, Service)> {
    let router = cx.router();
    let key = router.pool_key(&req.workspace)?;
    let pool = router.pool(key)?;
    let service = pool.service(&req.service)?.clone();
    Some((key, pool.tier, service))
}

/// Returns whether a request may be run twice, as set by the caller, else by the service, else by
/// whether the method is idempotent (RFC 9110, section 9.2.2).
fn is_repeatable(req: &CallerRequest, service: &Service) -> bool {
    let idempotent_method = matches!(
        req.method,
        Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE
    );
    req.repeatable.unwrap_or(service.repeatable || idempotent_method)
}

/// Creates the claim that a request needs, if any; refuses keys so old that their claim may have
/// expired.
fn new_claimant(
    cx: &Arc<Context>,
    req: &CallerRequest,
    repeatable: bool,
    unsent: Unsent,
) -> Result<Option<Claimant>, Refusal> {
    let Some(key) = req.key.as_ref().filter(|_| !repeatable) else {
        return Ok(None);
    };
    let claims_from = cx.link().voters.claims_from_ms;
    match classify_age(key, wall_ms(), cx.settings.claim_keep.0, claims_from) {
        KeyAge::Fresh => {}
        KeyAge::TooOld => {
            return Err(unsent.refuse_as_unknown(RefusalReason::KeyTooOld, RETRY_AFTER));
        }
        KeyAge::InFuture => {
            let mut refusal = unsent.refuse(RefusalReason::BadRequest, RETRY_AFTER);
            refusal.detail =
                "the time in the Idempotency-Key lies ahead: set your clock".to_owned();
            return Err(refusal);
        }
    }
    let request_hash = fingerprint(req.method.as_str(), &req.target, &req.body);
    let key = ClaimKey::new(&req.workspace, &req.service, key);
    Ok(Some(Claimant::new(cx.clone(), key, request_hash)))
}

/// The result of a claim that does not lead to a refusal.
enum ClaimResult {
    /// The request may be sent, as it holds the claim or needs none.
    Won(Pending),
    /// An earlier attempt got this answer.
    Replay(Reply),
}

impl ActiveRequest {
    async fn run(mut self) -> Result<Reply, Refusal> {
        let pending = Pending::Unsent(Unsent::new());
        let (decision, waiter) =
            self.decide(|router, request, now| Some(router.submit(request, now)));
        let (pending, mut in_flight) = self.wait_for_vm(pending, decision, waiter).await?;
        let mut pending = match self.claim(pending).await? {
            ClaimResult::Won(pending) => pending,
            ClaimResult::Replay(reply) => return Ok(reply),
        };
        loop {
            let vm = in_flight.vm();
            let (restored, last_result) = match self.send(pending, in_flight).await {
                SendOutcome::Answered(answer) => return Ok(self.answered(answer)),
                SendOutcome::Refused(refusal) => return Err(refusal),
                SendOutcome::ServerError(answer, sent) => (sent.into_repeated(), Ok(answer)),
                SendOutcome::Retry(restored, reason, detail) => (restored, Err((reason, detail))),
            };
            self.route_request.failed_vms.add(vm);
            let (decision, waiter) =
                self.decide(|router, request, now| router.resubmit(request, &restored, now));
            if decision.is_none() {
                return match last_result {
                    Ok(answer) => Ok(self.answered(answer)),
                    Err((reason, detail)) => {
                        Err(self.abandon(restored, reason, RETRY_AFTER, detail))
                    }
                };
            }
            stats::retried();
            (pending, in_flight) = self.wait_for_vm(restored, decision, waiter).await?;
        }
    }

    /// Gets the router's decision. A request that must wait is registered under the same lock, so
    /// that no wake is missed.
    fn decide(
        &self,
        decide: impl FnOnce(&mut Router, RouteRequest, Instant) -> Option<Decision>,
    ) -> (Option<Decision>, Option<oneshot::Receiver<WaitResult>>) {
        let mut router = self.cx.router();
        let decision = decide(&mut router, self.route_request, Instant::now());
        let waits = decision == Some(Decision::Wait);
        let waiter = waits.then(|| self.cx.register_waiter(self.route_request.ticket));
        (decision, waiter)
    }

    /// Waits until the request is assigned a VM or refused.
    async fn wait_for_vm(
        &self,
        pending: Pending,
        decision: Option<Decision>,
        waiter: Option<oneshot::Receiver<WaitResult>>,
    ) -> Result<(Pending, InFlight), Refusal> {
        match (decision, waiter) {
            (Some(Decision::Send(vm)), _) => Ok((pending, InFlight::new(self.cx.clone(), vm))),
            (Some(Decision::Refuse(reason, after)), _) => {
                Err(self.abandon(pending, reason, after, String::new()))
            }
            (_, Some(waiter)) => self.wait(pending, waiter).await,
            (_, None) => {
                Err(self.abandon(pending, RefusalReason::Overload, RETRY_AFTER, String::new()))
            }
        }
    }

    async fn wait(
        &self,
        pending: Pending,
        waiter: oneshot::Receiver<WaitResult>,
    ) -> Result<(Pending, InFlight), Refusal> {
        self.cx.renew_slots_now.notify_one();
        let remaining = self.route_request.deadline.since(Instant::now());
        match tokio::time::timeout(remaining, waiter).await {
            Ok(Ok(WaitResult::Send(in_flight))) => Ok((pending, in_flight)),
            Ok(Ok(WaitResult::Refuse(reason, after))) => {
                Err(self.abandon(pending, reason, after, String::new()))
            }
            Ok(Err(_)) | Err(_) => {
                self.cx.router().cancel(self.route_request.ticket);
                self.cx.unregister_waiter(self.route_request.ticket);
                Err(self.abandon(pending, RefusalReason::Deadline, RETRY_AFTER, String::new()))
            }
        }
    }

    /// Claims the idempotency key, if any; returns the answer of an earlier attempt if known.
    async fn claim(&self, pending: Pending) -> Result<ClaimResult, Refusal> {
        let Some(claimant) = &self.claimant else {
            return Ok(ClaimResult::Won(pending));
        };
        match claimant.acquire(self.route_request.deadline).await {
            ClaimState::Won => Ok(ClaimResult::Won(pending)),
            ClaimState::Held(held) => {
                claimant.release();
                self.replay(&held).map(ClaimResult::Replay)
            }
            ClaimState::Pending | ClaimState::NoQuorum => {
                let detail = "this sending did not run; an earlier one with the same key may have";
                let detail = detail.to_owned();
                Err(self.abandon(pending, RefusalReason::NoClaim, RETRY_AFTER, detail))
            }
        }
    }

    fn replay(&self, held: &Claim) -> Result<Reply, Refusal> {
        let unsent = Unsent::new();
        let request_hash = fingerprint(self.req.method.as_str(), &self.req.target, &self.req.body);
        if held.fingerprint != request_hash {
            return Err(unsent.refuse(RefusalReason::KeyReused, RETRY_AFTER));
        }
        match &held.answer {
            Some(answer) => Ok(reply::replayed(answer, &self.id)),
            None => Err(unsent.refuse_as_unknown(RefusalReason::HeldElsewhere, RETRY_AFTER)),
        }
    }

    fn answered(&self, answer: Answer) -> Reply {
        if let Some(claimant) = &self.claimant {
            let kind = answer.parts.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
            claimant.store_answer(&KeptAnswer {
                status: answer.parts.status.as_u16(),
                content_type: kind.unwrap_or_default().to_owned(),
                body: answer.body.to_vec(),
            });
        }
        reply::answer(answer, &self.id)
    }

    /// Refuses the request; releases its claim if nothing was sent.
    pub fn abandon(
        &self,
        pending: Pending,
        reason: RefusalReason,
        retry_after: Duration,
        detail: String,
    ) -> Refusal {
        let is_unsent = matches!(pending, Pending::Unsent(_));
        if let Some(claimant) = self.claimant.as_ref().filter(|_| is_unsent) {
            claimant.release();
        }
        let mut refusal = pending.refuse(reason, retry_after);
        refusal.detail = detail;
        refusal
    }
}
