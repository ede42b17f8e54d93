//! Claims an idempotency key at the voters before a request is sent.

use std::sync::Arc;
use std::time::Duration;

use thistle_model::MemberId;
use thistle_model::clock::Instant;
use thistle_model::view::{ViewMember, Voters};
use thistle_request::claim::{AttemptId, Claim, ClaimReply, ClaimState, KeptAnswer, Tally};
use thistle_request::key::ClaimKey;
use thistle_wire::dial::context_with_timeout;
use thistle_wire::peer::ClaimRequest;
use tokio::task::JoinSet;

use crate::context::Context;

/// The timeout of a call to a voter.
const VOTER_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of requests for a claim while the set of voters changes.
const MAX_TRIES: u32 = 4;
/// The delay between two such requests, during which the view may catch up.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The claim of one attempt on an idempotency key.
pub struct Claimant {
    cx: Arc<Context>,
    key: ClaimKey,
    claim: Claim,
}

impl Claimant {
    /// Creates a claim that has not been requested yet.
    pub fn new(cx: Arc<Context>, key: ClaimKey, fingerprint: u64) -> Self {
        let attempt = AttemptId(rand::random());
        Self { cx, key, claim: Claim { attempt, fingerprint, answer: None } }
    }

    /// Requests the claim from the voters until it is granted, held by another attempt, or fails.
    pub async fn acquire(&self, deadline: Instant) -> ClaimState {
        for _ in 0..MAX_TRIES {
            let state = self.acquire_once().await;
            if state != ClaimState::NoQuorum || Instant::now() >= deadline {
                return state;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        ClaimState::NoQuorum
    }

    async fn acquire_once(&self) -> ClaimState {
        let (voters, addrs) = self.voters();
        let mut calls = JoinSet::new();
        for voter in addrs {
            let (cx, req) = (self.cx.clone(), self.request(voter.id, &voters));
            calls.spawn(async move { (voter.id, request_claim(&cx, &voter, req).await) });
        }
        let mut tally = Tally::new(voters);
        while tally.claim_state() == ClaimState::Pending {
            let Some(joined) = calls.join_next().await else {
                return ClaimState::NoQuorum;
            };
            if let Ok((id, reply)) = joined {
                tally.record_reply(id, reply);
            }
        }
        // The remaining calls complete in the background: they can only add votes for this claim.
        calls.detach_all();
        tally.claim_state()
    }

    /// Releases the key, as nothing was sent.
    pub fn release(&self) {
        let (key, attempt) = (self.key, self.claim.attempt);
        self.notify_voters(move |client| async move {
            client.release(context_with_timeout(VOTER_TIMEOUT), key, attempt).await
        });
    }

    /// Stores the answer at the voters for later attempts.
    pub fn store_answer(&self, answer: &KeptAnswer) {
        let (key, attempt) = (self.key, self.claim.attempt);
        let answer = answer.clone();
        self.notify_voters(move |client| {
            let answer = answer.clone();
            async move { client.settle(context_with_timeout(VOTER_TIMEOUT), key, attempt, answer).await }
        });
    }

    fn notify_voters<F, Fut>(&self, call: F)
    where
        F: Fn(thistle_wire::peer::PeerClient) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = Result<(), tarpc::client::RpcError>> + Send,
    {
        for voter in self.voters().1 {
            let (cx, call) = (self.cx.clone(), call.clone());
            tokio::spawn(async move {
                let connection = cx.peer_connection(voter.peer_addr);
                let Ok(client) = connection.client().await else {
                    return;
                };
                let result = call(client).await;
                // Errors are ignored: at worst, a later attempt with the same key is refused with an
                // unknown outcome.
                let _ = connection.check(result).await;
            });
        }
    }

    fn voters(&self) -> (Voters, Vec<ViewMember>) {
        let link = self.cx.link();
        (link.voters.clone(), link.voter_addrs.clone())
    }

    fn request(&self, to: MemberId, voters: &Voters) -> ClaimRequest {
        ClaimRequest { to, key: self.key, claim: self.claim.clone(), voters: voters.revision }
    }
}

async fn request_claim(cx: &Context, voter: &ViewMember, req: ClaimRequest) -> Option<ClaimReply> {
    let connection = cx.peer_connection(voter.peer_addr);
    let client = connection.client().await.ok()?;
    let call = client.claim(context_with_timeout(VOTER_TIMEOUT), req).await;
    connection.check(call).await.ok()
}
