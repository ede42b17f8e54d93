//! Limits what runs of a job to what its progress record can hold.

use std::collections::BTreeSet;

use super::job::{Job, Task, TaskState};
use super::place::ReadyStep;
use super::{JobKey, Pool};
use crate::id::JobId;
use crate::record_size::{ListedTask, RecordSize};

/// The bytes by which starts may extend the progress record of a job in one step.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecordRoom {
    bytes: usize,
    /// The bytes of them that later repetitions leave to the first open one, which would otherwise wait for repetitions that wait
    /// for room themselves.
    for_first: usize,
    /// The first open repetition.
    first: u32,
    /// The last repetition that may start tasks.
    last: u32,
    /// The most bytes that a start of the job adds.
    start_bytes: usize,
}

impl RecordRoom {
    const fn bytes_for(self, repetition: u32) -> usize {
        if repetition == self.first {
            self.bytes
        } else if repetition <= self.last {
            self.bytes.saturating_sub(self.for_first)
        } else {
            0
        }
    }
}

impl Pool {
    /// Sets the largest size of a progress record; without it, records have no limit.
    #[must_use]
    pub const fn with_max_record_bytes(mut self, max: usize) -> Self {
        self.max_record_bytes = Some(max);
        self
    }

    /// Records whose progress was too long to be written. These jobs start no tasks and their ends are not acknowledged until
    /// their progress is written.
    pub fn set_unrecorded(&mut self, ids: BTreeSet<JobId>) {
        for key in ids.iter().filter_map(|id| self.job_keys.get(id).copied()).collect::<Vec<_>>() {
            self.mark_changed(key);
        }
        self.unrecorded = ids;
    }

    /// Computes the most bytes that a start adds to a record.
    pub(super) fn update_start_record_bytes(&mut self) {
        let longest = self.vms.values().map(|vm| vm.id.max_encoded_len()).max().unwrap_or(0);
        self.longest_vm_name = longest;
        self.start_record_bytes = RecordSize::of_start(longest).0;
    }

    /// Computes how many starts the record of a job can hold, if it may become too long.
    pub(super) fn update_record_room(&mut self, key: JobKey) {
        let Some(max) = self.max_record_bytes else { return };
        let job = &self.jobs[key];
        let room = if self.unrecorded.contains(&job.id) {
            Some(RecordRoom { start_bytes: usize::MAX, ..RecordRoom::default() })
        } else if self.may_outgrow(job, max) {
            self.record_room_of(job, max)
        } else {
            None
        };
        self.jobs[key].record_room = room;
    }

    fn may_outgrow(&self, job: &Job, max: usize) -> bool {
        let steps = job.repetitions.values().flat_map(|repetition| &repetition.steps);
        let tasks: usize = steps.map(|step| step.tasks.len()).sum();
        let head = RecordSize::of_head(&job.done_repetitions).0;
        let most = head.saturating_add(tasks.saturating_mul(self.start_record_bytes));
        RecordSize(most).room_for_starts_in(max) == 0
    }

    /// Computes the room of a job by what its record lists at most until the next starts.
    ///
    /// A repetition may start tasks only if, beside all tasks of the open repetitions up to it, the record can hold what has to start at
    /// once: a task, or all members of a gang. So there is room for that whenever none of these tasks runs any more.
    fn record_room_of(&self, job: &Job, max: usize) -> Option<RecordRoom> {
        let (&first, _) = job.repetitions.first_key_value()?;
        let start_bytes = RecordSize::of_task(&self.largest_start(job)).0;
        let gangs = job.spec.steps.iter().filter(|step| step.gang).map(|step| step.count as usize);
        let at_once = start_bytes.saturating_mul(gangs.max().unwrap_or(1));
        let head = RecordSize::of_head(&job.done_repetitions).0;
        let (mut listed_bytes, mut ended_bytes) = (head, head);
        let (mut last, mut all_fit) = (first, true);
        let (mut any_runs, mut first_waits) = (false, false);
        for (&repetition, state) in &job.repetitions {
            let mut is_listed = false;
            for (step, step_state) in state.steps.iter().enumerate() {
                let is_lasting = job.spec.steps[step].lasting;
                for (index, task) in step_state.tasks.iter().enumerate() {
                    let listed = self.most_listed(job, repetition, step, index, task);
                    if task.state != TaskState::Waiting || task.attempt > 0 {
                        listed_bytes += RecordSize::of_task(&listed).0;
                        is_listed = true;
                    }
                    let ended = ListedTask { vm_len: None, ..listed };
                    // A lasting task does not end by itself.
                    ended_bytes +=
                        if is_lasting { start_bytes } else { RecordSize::of_task(&ended).0 };
                    any_runs |= matches!(task.state, TaskState::Assigned(_));
                    first_waits |= repetition == first && task.waits();
                }
            }
            all_fit &= RecordSize(ended_bytes).room_for_starts_in(max) >= at_once;
            // A repetition that an owner of an older version has started goes on.
            if is_listed || all_fit {
                last = repetition;
            }
        }
        let mut bytes = RecordSize(listed_bytes).room_for_starts_in(max);
        if !any_runs && bytes < at_once {
            // Nothing will end that could leave more room.
            bytes = max.saturating_sub(listed_bytes).min(at_once);
        }
        let for_first = if first_waits { at_once } else { 0 };
        Some(RecordRoom { bytes, for_first, first, last, start_bytes })
    }

    /// Returns what the record lists of a task that has just been started, at most.
    fn largest_start(&self, job: &Job) -> ListedTask {
        let mut largest = ListedTask {
            failures: job.spec.objective.max_attempts,
            vm_len: Some(self.longest_vm_name),
            ..ListedTask::default()
        };
        for (&repetition, state) in &job.repetitions {
            largest.repetition = largest.repetition.max(repetition);
            for (step, step_state) in state.steps.iter().enumerate() {
                largest.step = largest.step.max(step);
                largest.index = largest.index.max(step_state.tasks.len());
                for task in &step_state.tasks {
                    largest.attempt = largest.attempt.max(task.attempt.saturating_add(1));
                    largest.failures = largest.failures.max(task.failures);
                }
            }
        }
        largest
    }

    /// Returns what the record lists of a task, at most, until its next start: its run may fail, and its VM may turn out to have another
    /// start time.
    fn most_listed(
        &self,
        job: &Job,
        repetition: u32,
        step: usize,
        index: usize,
        task: &Task,
    ) -> ListedTask {
        let (vm_len, failures) = match task.state {
            TaskState::Assigned(vm) => {
                let most_failures = job.spec.objective.max_attempts.max(task.failures);
                (self.vms.get(vm).map(|vm| vm.id.max_encoded_len()), most_failures)
            }
            TaskState::Waiting | TaskState::Done => (None, task.failures),
        };
        let attempt = task.attempt;
        ListedTask { repetition, step, index, attempt, failures, vm_len, checkpoint_len: 0 }
    }

    /// Returns whether the record of a job can hold this many more starts of a step.
    pub(super) fn record_has_room(&self, ready: ReadyStep, starts: usize) -> bool {
        let room = self.jobs[ready.job_key].record_room;
        room.is_none_or(|room| {
            room.bytes_for(ready.repetition) >= starts.saturating_mul(room.start_bytes)
        })
    }

    /// Takes the bytes of a start from the room of its job's record.
    pub(super) fn spend_record_room(&mut self, ready: ReadyStep) {
        if let Some(room) = &mut self.jobs[ready.job_key].record_room {
            room.bytes = room.bytes.saturating_sub(room.start_bytes);
        }
    }
}
