//! The planner: proposes changes to the agreed state, which the fold accepts or rejects.
//!
//! The planner is pure: it has no I/O and no clock, and the minute of the day is passed in. Any
//! member can run it; the fold rejects proposals that are based on an old state.

pub mod explain;
mod jobs;
mod progress;
mod proposal;
mod recover;
mod refill;
mod reserve;
mod scope;
mod spread;
mod wave;

use thistle_fold::State;

pub use jobs::{JobPlan, PlannedStart, cannot_run, plan_jobs};
pub use proposal::{PlanConfig, Proposal, RefillPolicy, WavePolicy};
pub use reserve::{largest_rack, reserve_target};
use scope::Scope;

/// The maximum number of proposals in a planning step.
pub const MAX_PROPOSALS: usize = 256;

/// Returns the proposed changes, the most urgent first.
pub fn plan(state: &State, cfg: &PlanConfig, minute: u16) -> Vec<Proposal> {
    let mut scope = Scope::new(state);
    let mut proposals = Vec::new();
    recover::give_back(&mut scope, &mut proposals);
    progress::advance(&scope, &mut proposals);
    refill::refill(&mut scope, cfg, &mut proposals);
    refill::release_surplus(&mut scope, &mut proposals);
    wave::drain_for_wave(&mut scope, cfg, minute, &mut proposals);
    proposals.truncate(MAX_PROPOSALS);
    proposals
}
