//! Data halls that the operator evacuates: no new task starts there until the operator withdraws the request.
//!
//! Load pattern: a hall with up to a third of the VMs suddenly accepts no new work, possibly while load shifts between pools
//! or owners change, and returns seconds later. Tasks that run there end as usual.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{Ms, freshness};

/// The evacuation of a hall, which accepts no new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The hall.
    pub hall: Arc<str>,
    /// The offset of the operator's request.
    pub offset: u64,
}

/// The halls that are currently evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Halls {
    /// The evacuated halls, each with the offset of the operator's request.
    evacuated: BTreeMap<Arc<str>, u64>,
}

impl Halls {
    /// Records the operator's request to evacuate a hall.
    pub fn evacuate(&mut self, evacuation: Evacuation) {
        self.evacuated.insert(evacuation.hall, evacuation.offset);
    }

    /// Withdraws the request for a hall, and returns whether there was one.
    pub fn withdraw(&mut self, hall: &str) -> bool {
        self.evacuated.remove(hall).is_some()
    }

    /// Returns whether new work may start in a hall.
    pub fn accepts_work(&self, hall: &str) -> bool {
        !self.evacuated.contains_key(hall)
    }

    /// Returns the current evacuations.
    pub fn evacuated(&self) -> impl Iterator<Item = Evacuation> {
        let evacuation =
            |(hall, &offset): (&Arc<str>, &u64)| Evacuation { hall: hall.clone(), offset };
        self.evacuated.iter().map(evacuation)
    }
}

/// Returns the age of the newest read that reached the end of the operator's requests, in milliseconds.
pub fn read_age(read_at: Option<Ms>, now: Ms) -> Option<Ms> {
    read_at.map(|at| now.saturating_sub(at))
}

/// Returns whether the known evacuations are recent enough to start tasks. `read_at` is when the newest read that reached the
/// end of the operator's requests was sent. `within` is the time allowed until an evacuation takes effect, or `None` on sites
/// without evacuations.
pub fn is_current(read_at: Option<Ms>, within: Option<Ms>, now: Ms) -> bool {
    let Some(within) = within else { return true };
    freshness::is_current(read_at, within, now)
}
