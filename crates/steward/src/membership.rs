//! Joins the members, and rejoins with a new ID when the others regard this member as gone.

use std::sync::Arc;
use std::time::Duration;

use thistle_fold::MemberState;
use thistle_model::clock::Instant;
use thistle_model::{Change, MemberId};

use crate::shared::Shared;

/// How often the membership is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a proposal to join may take to be read back from the log.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Keeps this steward a member until the process ends.
pub async fn run(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(changes) = join_changes(&shared) else {
            continue;
        };
        let Some(id) = shared.propose(changes) else {
            continue;
        };
        let verdict = shared.core().verdicts.wait_for(id);
        // Without a verdict the log is slow or down; the next check proposes again if necessary.
        let _ = tokio::time::timeout(JOIN_TIMEOUT, verdict).await;
    }
}

/// Returns the changes that make this steward a member, or `None` if it is one or cannot join yet.
fn join_changes(shared: &Shared) -> Option<Vec<Change>> {
    let mut core = shared.core();
    if !core.log_up || !core.caught_up {
        return None;
    }
    let me = core.me;
    let known = core.state.members.get(&me).map(|m| m.state);
    let is_removed = known == Some(MemberState::Gone) || (core.must_rejoin && known.is_some());
    if known == Some(MemberState::Joined) && !is_removed {
        return None;
    }
    let mut changes = Vec::new();
    if is_removed {
        changes.push(Change::MemberLeave { member: me });
        rejoin(&mut core, shared.settings.fence.0);
    }
    log::info!("member id={} step=join", core.me);
    changes.push(Change::MemberJoin { member: core.me, facts: shared.facts() });
    Some(changes)
}

/// Takes a new member ID; acknowledgements of the entry count again after the fence time.
fn rejoin(core: &mut crate::core::Core, fence: Duration) {
    core.me = MemberId(rand::random());
    core.must_rejoin = false;
    core.proof.clear();
    core.promises = crate::promise::Promises::new(fence);
    core.entry.ack_from = Instant::now() + fence;
    core.entry.report.acks.clear();
}
