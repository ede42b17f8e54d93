//! Serves the view of the agreed state to the entry on the steward's VM.

use std::sync::Arc;
use std::time::Duration;

use tarpc::context::Context;
use thistle_fold::view::changed_since;
use thistle_model::Revision;
use thistle_model::clock::Instant;
use thistle_wire::link::{Link, ViewReply, ViewRequest};
use thistle_wire::peer::EntryReport;

use crate::heartbeat;
use crate::shared::Shared;

/// The longest time that a view request waits for a change.
const VIEW_WAIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time since the last request of the attached entry after which another entry may attach.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// The server of the link between a steward and its entry.
#[derive(Clone)]
pub struct LinkServer {
    shared: Arc<Shared>,
}

impl LinkServer {
    /// Creates the server.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Records the entry's report; returns `false` if another entry is attached.
    fn attach_entry(&self, entry: u64, report: EntryReport) -> bool {
        let now = Instant::now();
        let mut core = self.shared.core();
        if core.entry.id != Some(entry) {
            let other_is_alive =
                core.entry.id.is_some() && now.since(core.entry.last_contact) < ENTRY_TIMEOUT;
            if other_is_alive {
                return false;
            }
            log::info!("entry id={entry:016x} step=attached");
            // The previous entry may send requests until its last proof expires, at the latest after the
            // fence time.
            let had_entry = core.entry.id.is_some();
            core.entry.id = Some(entry);
            if had_entry {
                core.entry.ack_from = core.entry.ack_from.max(now + self.shared.settings.fence.0);
            }
        }
        core.entry.last_contact = now;
        let mut report = report;
        if now < core.entry.ack_from {
            report.acks.clear();
        }
        let changed = core.entry.report != report;
        core.entry.report = report;
        drop(core);
        if changed {
            self.shared.heartbeat_now.notify_one();
        }
        true
    }

    fn has_changes(&self, have: Revision, hints: u64) -> bool {
        let core = self.shared.core();
        core.state.accepted > have.0 || core.hints.version() > hints
    }

    fn reply(&self, req: &ViewRequest, attached: bool) -> ViewReply {
        let core = self.shared.core();
        let now = Instant::now();
        let is_changed = core.state.accepted > req.have.0 || core.hints.version() != req.hints;
        let update = is_changed.then(|| {
            let mut update = changed_since(&core.state, req.have);
            update.leaving = core.hints.all();
            update
        });
        ViewReply {
            member: core.me,
            update,
            revision: Revision(core.state.accepted),
            hints: core.hints.version(),
            proof_until: if attached { core.proof_until(now) } else { Instant::default() },
        }
    }
}

impl Link for LinkServer {
    async fn view(self, _: Context, req: ViewRequest) -> ViewReply {
        let attached = self.attach_entry(req.entry, req.report.clone());
        let new = self.shared.core().hints.add(req.leaving.iter().cloned(), Instant::now());
        if !new.is_empty() {
            log::info!("hint vms={new:?} state=leaving source=entry");
            self.shared.notify();
            heartbeat::broadcast_hints(&self.shared, &new);
        }
        let mut changed = self.shared.changed.subscribe();
        let wait = async {
            while !self.has_changes(req.have, req.hints) && changed.changed().await.is_ok() {}
        };
        // A reply without changes still renews the proof.
        let _ = tokio::time::timeout(VIEW_WAIT_TIMEOUT, wait).await;
        self.reply(&req, attached)
    }
}
