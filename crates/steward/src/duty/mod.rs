//! The planner on duty: one voter at a time proposes changes.
//!
//! Two stewards may safely act as the planner on duty at once: the fold accepts each change only
//! once.

mod drains;
mod jobs;
mod members;
mod observe;
mod plan;
mod snapshots;

pub use drains::acknowledging_members;
pub use plan::{config, minute_of_day};

use std::sync::Arc;
use std::time::Duration;

use thistle_model::Change;
use thistle_model::clock::Instant;
use thistle_wire::platform::VmService;

use crate::shared::Shared;

/// The longest time between two runs of the planner; each change of the state triggers one too.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest time between two runs of the planner.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// How long the planner waits for a proposal to be read back before it runs again.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(3);

/// Plans while on duty, until the process ends.
pub async fn run<V: VmService>(shared: Arc<Shared>, vms: Arc<V>) {
    tokio::spawn(observe::run(shared.clone(), vms.clone()));
    let mut changed = shared.changed.subscribe();
    loop {
        let _ = tokio::time::timeout(PLAN_INTERVAL, changed.changed()).await;
        tokio::time::sleep(MIN_PAUSE).await;
        if !is_on_duty(&shared) {
            continue;
        }
        plan::request_reboots(&shared, vms.as_ref()).await;
        let mut changes = proposals(&shared);
        changes.extend(jobs::proposals(&shared).await);
        propose_and_wait(&shared, changes).await;
    }
}

/// Returns whether this steward is the planner on duty and can append to the log.
pub fn is_on_duty(shared: &Shared) -> bool {
    let core = shared.core();
    let now = Instant::now();
    let contact_timeout = shared.settings.heartbeat.0 * 3;
    core.log_up
        && core.caught_up
        && core.is_member()
        && is_first_or_on_duty(&core, contact_timeout, now)
}

fn is_first_or_on_duty(core: &crate::core::Core, contact_timeout: Duration, now: Instant) -> bool {
    // While there are no voters, each of the first members may propose itself; the fold accepts one
    // proposal.
    core.state.voters.current.is_empty()
        || core.planner_on_duty(contact_timeout, now) == Some(core.me)
}

fn proposals(shared: &Shared) -> Vec<Change> {
    let mut changes = members::proposals(shared);
    if changes.is_empty() {
        changes = drains::proposals(shared);
        changes.extend(plan::proposals(shared));
        changes.extend(snapshots::proposals(shared));
    }
    changes
}

async fn propose_and_wait(shared: &Shared, changes: Vec<Change>) {
    let Some(id) = shared.propose(changes) else {
        return;
    };
    let verdict = shared.core().verdicts.wait_for(id);
    // Without a verdict the log is slow or down; the next run starts from the current state.
    let _ = tokio::time::timeout(VERDICT_TIMEOUT, verdict).await;
}
