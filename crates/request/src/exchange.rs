//! The send states of a request as types: only an unsent request can be refused as not run.

use std::time::Duration;

use thistle_model::{Outcome, Problem, RefusalReason};

use crate::gate::{GateClosed, SendGate};

/// A refusal: the final reply to a request that the entry abandons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// The delay before the caller should retry.
    pub retry_after: Duration,
    /// A human-readable description of the failure.
    pub detail: String,
}

impl Refusal {
    /// Converts the refusal into problem details.
    pub fn into_problem(self, request_id: &str) -> Problem {
        Problem::new(self.reason, self.outcome, self.retry_after)
            .with_detail(self.detail)
            .with_request_id(request_id)
    }
}

/// A request that cannot have run: no byte of it reached a backend server, or the server stated
/// that it did not run the request.
#[derive(Debug)]
pub struct Unsent {
    sends: u32,
}

/// A request of which bytes may have reached a backend server.
#[derive(Debug)]
pub struct MaybeSent {
    sends: u32,
    earlier_may_have_run: bool,
}

/// A backend server's explicit statement that it did not run the request.
#[derive(Debug)]
pub struct BackendRefusal(());

impl BackendRefusal {
    /// Returns the refusal that a complete response with this status and `Thistle-Not-Run` header
    /// expresses, if any.
    ///
    /// A 503 without the header does not count: a server may send it after it started the request.
    pub fn from_answer(status: u16, not_run_header: Option<&str>) -> Option<Self> {
        (status == 503 && not_run_header == Some("1")).then_some(Self(()))
    }
}

impl Default for Unsent {
    fn default() -> Self {
        Self::new()
    }
}

impl Unsent {
    /// Creates the state of a request that was just received.
    pub const fn new() -> Self {
        Self { sends: 0 }
    }

    /// Refuses the request as not run.
    pub fn refuse(self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal { reason, outcome: Outcome::NotRun, retry_after, detail: String::new() }
    }

    /// Refuses a request whose key an earlier attempt holds or may have held. The outcome is unknown,
    /// as that attempt may have run.
    pub fn refuse_as_unknown(self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal { reason, outcome: Outcome::Unknown, retry_after, detail: String::new() }
    }
}

impl MaybeSent {
    /// Restores the state before the send if the gate shows that no byte was written.
    pub fn confirm_unsent(self, gate: &SendGate) -> Result<Pending, Self> {
        match gate.close() {
            Some(GateClosed { .. }) => Ok(self.previous_state()),
            None => Err(self),
        }
    }

    /// Restores the state before the send, as the backend server states that it did not run the
    /// request.
    pub fn refused_by_backend(self, _refusal: &BackendRefusal) -> Pending {
        self.previous_state()
    }

    /// Prepares a repeatable request for another send.
    ///
    /// The result can no longer be refused as not run.
    pub const fn into_repeated(self) -> Pending {
        Pending::Repeated(Repeated { sends: self.sends })
    }

    /// Refuses the request with an unknown outcome, as it may have run.
    pub fn refuse(self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal { reason, outcome: Outcome::Unknown, retry_after, detail: String::new() }
    }

    /// Returns the state before the last send, which did not run.
    const fn previous_state(&self) -> Pending {
        if self.earlier_may_have_run {
            return Pending::Repeated(Repeated { sends: self.sends });
        }
        Pending::Unsent(Unsent { sends: self.sends })
    }
}

/// A repeatable request that may already have run and is to be sent again.
#[derive(Debug)]
pub struct Repeated {
    sends: u32,
}

/// A request that is not in flight; an earlier send of it may have run.
#[derive(Debug)]
pub enum Pending {
    /// No earlier send can have run.
    Unsent(Unsent),
    /// An earlier send may have run.
    Repeated(Repeated),
}

impl Pending {
    /// Returns the number of sends started so far.
    pub const fn sends(&self) -> u32 {
        match self {
            Self::Unsent(r) => r.sends,
            Self::Repeated(r) => r.sends,
        }
    }

    /// Marks the start of a send; from here on bytes may be written to the connection.
    pub const fn start_send(self) -> MaybeSent {
        match self {
            Self::Unsent(r) => MaybeSent { sends: r.sends + 1, earlier_may_have_run: false },
            Self::Repeated(r) => MaybeSent { sends: r.sends + 1, earlier_may_have_run: true },
        }
    }

    /// Refuses the request with the outcome that its state allows.
    pub fn refuse(self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        let outcome = match self {
            Self::Unsent(r) => return r.refuse(reason, retry_after),
            Self::Repeated(_) => Outcome::Unknown,
        };
        Refusal { reason, outcome, retry_after, detail: String::new() }
    }
}
