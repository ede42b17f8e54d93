//! The planner: proposes changes to the agreed state, which the fold accepts or rejects.
//!
//! The planner is pure: it has no I/O and no clock, and the minute of the day is passed in. Any
//! member can run it; the fold rejects proposals that are based on an old state.

mod context;
pub mod explain;
mod jobs;
mod progress;
mod proposal;
mod recover;
mod refill;
mod reserve;
mod spread;
mod wave;

use thistle_fold::State;

use context::PlanContext;
pub use jobs::{JobPlan, PlannedStart, cannot_run, plan_jobs};
pub use proposal::{PlanConfig, Proposal, RefillPolicy, WavePolicy};
pub use reserve::{largest_rack, reserve_target};

/// The maximum number of proposals in a planning step.
pub const MAX_PROPOSALS: usize = 256;

/// Returns the proposed changes, the most urgent first.
pub fn plan(state: &State, cfg: &PlanConfig, minute: u16) -> Vec<Proposal> {
    let mut context = PlanContext::new(state);
    let mut proposals = Vec::new();
    recover::give_back(&mut context, &mut proposals);
    progress::advance(&context, &mut proposals);
    refill::refill(&mut context, cfg, &mut proposals);
    refill::release_surplus(&mut context, &mut proposals);
    wave::drain_for_wave(&mut context, cfg, minute, &mut proposals);
    proposals.truncate(MAX_PROPOSALS);
    proposals
}
