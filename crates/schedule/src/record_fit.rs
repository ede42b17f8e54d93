//! Fits the progress of a job into one record of the store.
//!
//! Load pattern: a rack of VMs crashes under a job of thousands of tasks. All that ran there wait at once, each with its checkpoint and
//! its crash history, and both may be longer than a record.
//!
//! Where a task may run and which tasks are done comes first, as no task may run twice. Starts are held back so that this always fits;
//! see [`crate::record_size`]. Crash histories come next, those with the most crashes first, and then checkpoints, the shortest first.
//! What does not fit stays with the owner: the next one starts such a task from its beginning, or counts its crashes anew.

use crate::crash_history::CrashHistoryRecord;
use crate::job_log::encode;
use crate::progress::{Progress, TaskRecord};
use crate::record_size::{ListedTask, RecordSize, text_len};

/// What a record leaves out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeftOut {
    /// The number of checkpoints.
    pub checkpoints: usize,
    /// The number of crash histories.
    pub crash_histories: usize,
}

impl LeftOut {
    /// Returns whether the record holds everything.
    pub const fn is_nothing(self) -> bool {
        self.checkpoints == 0 && self.crash_histories == 0
    }
}

/// Takes out of a job's progress what a record of `max_record_bytes` cannot hold, and returns what it has taken out.
pub fn fit(progress: &mut Progress, max_record_bytes: usize) -> LeftOut {
    let mut room = size_of_placements(progress).room_beside_starts_in(max_record_bytes);
    LeftOut {
        crash_histories: fit_crash_histories(&mut progress.crash_histories, &mut room),
        checkpoints: fit_checkpoints(&mut progress.tasks, &mut room),
    }
}

/// Returns the size of the record without crash histories and checkpoints.
fn size_of_placements(progress: &Progress) -> RecordSize {
    let listed = |record: &TaskRecord| ListedTask { checkpoint_len: 0, ..ListedTask::from(record) };
    let tasks: usize = progress.tasks.iter().map(|t| RecordSize::of_task(&listed(t)).0).sum();
    RecordSize(RecordSize::of_head(&progress.done_repetitions).0 + tasks)
}

fn fit_crash_histories(histories: &mut Vec<CrashHistoryRecord>, room: &mut usize) -> usize {
    let sizes: Vec<usize> = histories.iter().map(|history| encode(history).len()).collect();
    let mut order: Vec<usize> = (0..histories.len()).collect();
    order.sort_by_key(|&i| {
        let history = &histories[i].crash_history;
        let unclear = history.unclear.len();
        std::cmp::Reverse((history.crashes, history.at_start, history.alone, unclear))
    });
    let keeps = kept(order, &sizes, room);
    let mut keeps_next = keeps.iter().copied();
    histories.retain(|_| keeps_next.next().unwrap_or(false));
    keeps.iter().filter(|keep| !**keep).count()
}

fn fit_checkpoints(tasks: &mut [TaskRecord], room: &mut usize) -> usize {
    // A task without a checkpoint is listed with an empty one.
    let extra_bytes = |task: &TaskRecord| text_len(task.checkpoint.len()) - text_len(0);
    let sizes: Vec<usize> = tasks.iter().map(extra_bytes).collect();
    let mut order: Vec<usize> = (0..tasks.len()).filter(|&i| sizes[i] > 0).collect();
    order.sort_by_key(|&i| sizes[i]);
    let saved = order.len();
    let keeps = kept(order, &sizes, room);
    for (task, _) in tasks.iter_mut().zip(&keeps).filter(|(_, keep)| !**keep) {
        task.checkpoint.clear();
    }
    saved - keeps.iter().filter(|keep| **keep).count()
}

/// Returns which items have room, taken in this order until one has none, and takes their bytes from the room.
fn kept(order: Vec<usize>, sizes: &[usize], room: &mut usize) -> Vec<bool> {
    let mut keeps = vec![false; sizes.len()];
    for i in order {
        let Some(left) = room.checked_sub(sizes[i]) else { break };
        (keeps[i], *room) = (true, left);
    }
    keeps
}
