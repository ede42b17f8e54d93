//! Data halls that the operator evacuates: nothing new is started there until they are taken back.
//!
//! The load pattern: a hall with up to a third of the VMs takes no new work from one moment to the next, in the middle of
//! a turn of load or beside a change of owners, and is back seconds later. What runs there ends as usual.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Ms;

/// How long before the time allowed for an evacuation to take effect the last start may go out by older knowledge, in
/// milliseconds: a start takes as long to arrive at most.
const START_ARRIVES_MS: Ms = 1_000;

/// A hall that takes no new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The hall.
    pub hall: Arc<str>,
    /// The offset of the operator's request.
    pub since: u64,
}

/// The halls that are evacuated now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Halls {
    evacuated: BTreeMap<Arc<str>, u64>,
}

impl Halls {
    /// Takes in the operator's request for a hall.
    pub fn evacuate(&mut self, evacuation: Evacuation) {
        self.evacuated.insert(evacuation.hall, evacuation.since);
    }

    /// Takes in that the request for a hall is withdrawn, and returns whether there was one.
    pub fn take_back(&mut self, hall: &str) -> bool {
        self.evacuated.remove(hall).is_some()
    }

    /// Returns whether new work may be started in a hall.
    pub fn takes_work(&self, hall: &str) -> bool {
        !self.evacuated.contains_key(hall)
    }

    /// Returns the halls that take no new work.
    pub fn evacuated(&self) -> impl Iterator<Item = Evacuation> {
        let evacuation =
            |(hall, &since): (&Arc<str>, &u64)| Evacuation { hall: hall.clone(), since };
        self.evacuated.iter().map(evacuation)
    }
}

/// Returns whether what is known of evacuations is new enough to start tasks by it. `read_at` is when the newest read was
/// sent that reached the end of the operator's requests, `within` the time allowed until an evacuation takes effect; none
/// where there are no evacuations.
pub fn is_known(read_at: Option<Ms>, within: Option<Ms>, now: Ms) -> bool {
    let Some(within) = within else { return true };
    read_at.is_some_and(|at| now < at + within.saturating_sub(START_ARRIVES_MS))
}
