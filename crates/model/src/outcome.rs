//! Refusals: what a caller receives when a request is refused or its response is lost.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No backend server received any byte of it.
    NotRun,
    /// It may have run, wholly or in part.
    Unknown,
}

impl Outcome {
    /// Returns the word used in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The reason why a request is refused or abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The request itself is invalid.
    BadRequest,
    /// No such workspace or service.
    NoSuchService,
    /// The pool has no VM that may take work.
    NoVm,
    /// The pool is full and the request would miss its deadline.
    Overload,
    /// The deadline has passed.
    Deadline,
    /// This entry cannot prove that it is still a member.
    NoProof,
    /// This entry is stopping.
    Stopping,
    /// The claim on the idempotency key could not be obtained.
    NoClaim,
    /// Another attempt holds the idempotency key and its response is not known.
    HeldElsewhere,
    /// The idempotency key is older than the time for which claims are kept.
    KeyTooOld,
    /// The idempotency key was used with another request.
    KeyReused,
    /// Connecting to the VM failed.
    Connect,
    /// The connection broke after bytes were sent.
    Broken,
    /// The response was truncated, malformed, or belongs to another request.
    BadAnswer,
    /// The response exceeds the size limit.
    AnswerTooLarge,
    /// The backend server reported that it did not run the request.
    BackendRefused,
}

impl RefusalReason {
    /// Returns the word used in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::NoSuchService => "no-such-service",
            Self::NoVm => "no-vm",
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::NoProof => "no-proof",
            Self::Stopping => "stopping",
            Self::NoClaim => "no-claim",
            Self::HeldElsewhere => "held-elsewhere",
            Self::KeyTooOld => "key-too-old",
            Self::KeyReused => "key-reused",
            Self::Connect => "connect",
            Self::Broken => "broken",
            Self::BadAnswer => "bad-answer",
            Self::AnswerTooLarge => "answer-too-large",
            Self::BackendRefused => "backend-refused",
        }
    }

    /// Returns the advice for the caller.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::BadRequest => "mend the request as the detail says, then send it again",
            Self::NoSuchService => "check the workspace and the service in the path",
            Self::NoVm | Self::Overload => "send it again after the time in Retry-After",
            Self::Deadline => "send it again with a longer Thistle-Deadline-Ms",
            Self::NoProof | Self::Stopping | Self::Connect | Self::BackendRefused => {
                "send it again at once; another entry or VM will take it"
            }
            Self::NoClaim => "send it again with the same Idempotency-Key",
            Self::HeldElsewhere => {
                "ask again with the same Idempotency-Key for the first attempt's answer"
            }
            Self::KeyTooOld => "look up whether the first attempt took effect; do not send it anew",
            Self::KeyReused => "use a new Idempotency-Key for a new request",
            Self::Broken | Self::BadAnswer | Self::AnswerTooLarge => {
                "look up whether it took effect, or ask again with the same Idempotency-Key"
            }
        }
    }

    /// Returns the HTTP status of the refusal.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::NoSuchService => 404,
            Self::KeyReused => 422,
            Self::KeyTooOld => 409,
            Self::HeldElsewhere => 409,
            Self::Deadline => 504,
            Self::Broken | Self::BadAnswer | Self::AnswerTooLarge => 502,
            Self::NoVm
            | Self::Overload
            | Self::NoProof
            | Self::Stopping
            | Self::NoClaim
            | Self::Connect
            | Self::BackendRefused => 503,
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal as an RFC 9457 problem details object, with extension members of this product.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A URI reference that identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason in one word.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened to this request.
    pub detail: String,
    /// Whether it may have run.
    pub outcome: Outcome,
    /// What the caller can do.
    pub remedy: String,
    /// The time after which to retry, in milliseconds.
    pub retry_after_ms: u64,
    /// The id of the request in the logs.
    pub request_id: String,
}

impl Problem {
    /// Returns the problem for a refusal.
    pub fn new(reason: RefusalReason, outcome: Outcome, retry_after: Duration) -> Self {
        Self {
            kind: format!("urn:thistlelanding:{}", reason.as_str()),
            title: reason.as_str().to_owned(),
            status: reason.status(),
            detail: String::new(),
            outcome,
            remedy: reason.remedy().to_owned(),
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            request_id: String::new(),
        }
    }

    /// Sets the detail.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets the request id.
    pub fn with_request_id(mut self, id: impl Into<String>) -> Self {
        self.request_id = id.into();
        self
    }
}
