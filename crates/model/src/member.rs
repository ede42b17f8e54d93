//! Members: the stewards that have joined through the log.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{HallName, Name};

/// The identity of one run of a steward process; a restarted steward is a new member.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "m{:016x}", self.0)
    }
}

impl fmt::Debug for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// What a member announces about itself when it joins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFacts {
    /// The name of its entry VM in the settings.
    pub name: Name,
    /// The data hall in which it runs.
    pub hall: HallName,
    /// The address on which it serves peers.
    pub peer_addr: SocketAddr,
}
