//! A simulated VM of the random runs.

use std::collections::BTreeMap;

use thistle_schedule::{EndKind, Ms, Room, RunEnd, RunId, TaskId};

#[derive(Debug)]
pub struct Run {
    pub attempt: u32,
    pub ends_at: Ms,
    pub fails: bool,
    pub demand: Room,
}

#[derive(Default, Debug)]
pub struct SimVm {
    pub incarnation: u32,
    /// The number in the ID under which the VM is listed. The VM may restart under the same ID.
    pub id_number: u32,
    /// The highest token that the VM has seen.
    pub fence: u64,
    pub runs: BTreeMap<TaskId, Run>,
    /// The highest attempt of each task that ended or was stopped, which the VM does not start any more.
    pub barred: BTreeMap<TaskId, u32>,
    pub ended: Vec<RunEnd>,
    /// Ends up to this number were listed before the lease expired and do not count when they are acknowledged later.
    pub void_up_to: u64,
    pub next_end: u64,
    pub lease_until: Ms,
    pub cut_until: Ms,
    pub down_until: Ms,
}

impl SimVm {
    /// Lists an end and returns its sequence number.
    pub fn list_end(&mut self, run: RunId, kind: EndKind) -> u64 {
        let barred = self.barred.entry(run.task).or_default();
        *barred = run.attempt.max(*barred);
        let sequence = self.next_end;
        self.next_end += 1;
        self.ended.push(RunEnd { sequence, run, kind, checkpoint: String::new() });
        sequence
    }
}
