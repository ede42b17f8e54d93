//! The size of a job's progress record, which the store limits.
//!
//! Load pattern: a job of thousands of tasks finds room for all of them at once. Its record lists each running task with its VM, and
//! each finished one until its repetition is done, so that it is longest while many tasks run. A start that the record cannot hold
//! waits until others have ended, and a job whose finished tasks alone fill the record is refused when it is submitted. Checkpoints and
//! crash histories take what is left; see [`crate::record_fit`].

use crate::progress::{TaskPlacement, TaskRecord};
use crate::spec::{JobSpec, Step};

/// The most bytes of a progress record without its tasks, done repetitions and crash histories, with its key and length.
const HEAD_BYTES: usize = 96;
/// The bytes that a submission has to leave free for each task of a step whose tasks all run at once: the name and the start time of
/// a VM.
const VM_BYTES: usize = 52;

/// A quarter of a record is left for starts by the finished tasks of an accepted job, and by checkpoints and crash histories: owners of
/// older versions hold back the starts that a record cannot hold beside these.
const LEFT_FOR_STARTS: usize = 4;
/// An eighth of a record is left by starts, for the first repetition of a job of which nothing runs any more.
const LEFT_BY_STARTS: usize = 8;

/// The bytes of the parts of a progress record, in the encoding of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordSize(pub usize);

/// What a record lists of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListedTask {
    /// The repetition.
    pub repetition: u32,
    /// The step.
    pub step: usize,
    /// The task within the step.
    pub index: usize,
    /// The number of its last run.
    pub attempt: u32,
    /// The number of failed runs.
    pub failures: u32,
    /// The length of the name of the VM on which it runs, if it does.
    pub vm_len: Option<usize>,
    /// The length of its checkpoint.
    pub checkpoint_len: usize,
}

impl From<&TaskRecord> for ListedTask {
    fn from(record: &TaskRecord) -> Self {
        let vm_len = match &record.placement {
            TaskPlacement::On(vm) => Some(vm.len()),
            TaskPlacement::Waiting | TaskPlacement::Done => None,
        };
        Self {
            repetition: record.repetition,
            step: record.step.into(),
            index: record.index as usize,
            attempt: record.attempt,
            failures: record.failures,
            vm_len,
            checkpoint_len: record.checkpoint.len(),
        }
    }
}

impl RecordSize {
    /// Returns the most bytes of a record without tasks.
    pub fn of_head(done_repetitions: &[u32]) -> Self {
        let done = done_repetitions.iter().map(|&number| varint_len(number as usize));
        Self(HEAD_BYTES + done.sum::<usize>())
    }

    /// Returns the bytes of a task.
    pub fn of_task(task: &ListedTask) -> Self {
        const PLACEMENT_TAG: usize = 1;
        let numbers = [
            task.repetition as usize,
            task.step,
            task.index,
            task.attempt as usize,
            task.failures as usize,
        ];
        let numbers: usize = numbers.into_iter().map(varint_len).sum();
        let vm = task.vm_len.map_or(0, text_len);
        Self(numbers + PLACEMENT_TAG + vm + text_len(task.checkpoint_len))
    }

    /// Returns the most bytes of a task that has just been ordered to start on a VM with a name of this length.
    pub fn of_start(vm_len: usize) -> Self {
        const MOST_NUMBERS: usize = 5 + 3 + 5 + 5 + 5;
        Self(MOST_NUMBERS + 2 + text_len(vm_len))
    }

    /// Returns the least bytes that the record of a job has shortly before it completes.
    pub fn at_least_of(spec: &JobSpec) -> Self {
        let repetition = spec.repetitions().saturating_sub(1);
        let done_repetitions = varint_len(repetition as usize) * (repetition as usize);
        let step_bytes = |(i, step): (usize, &Step)| {
            let all_run = step.gang || step.lasting;
            let count = step.count as usize;
            let last = ListedTask {
                repetition,
                step: i,
                index: count,
                vm_len: all_run.then_some(VM_BYTES),
                ..ListedTask::default()
            };
            Self::of_task(&last).0.saturating_mul(count)
        };
        let tasks = spec.steps.iter().enumerate().map(step_bytes);
        let tasks = tasks.fold(0, usize::saturating_add);
        Self(HEAD_BYTES.saturating_add(done_repetitions).saturating_add(tasks))
    }

    /// Returns whether a job with this least size can be recorded until it completes, with room for tasks that run.
    pub const fn is_accepted_in(self, max_record_bytes: usize) -> bool {
        self.0 <= without(max_record_bytes, LEFT_FOR_STARTS)
    }

    /// Returns the bytes that starts may add to a record whose tasks take this size.
    pub const fn room_for_starts_in(self, max_record_bytes: usize) -> usize {
        without(max_record_bytes, LEFT_BY_STARTS).saturating_sub(self.0)
    }

    /// Returns the bytes that checkpoints and crash histories may add to a record whose tasks take this size.
    pub const fn room_beside_starts_in(self, max_record_bytes: usize) -> usize {
        without(max_record_bytes, LEFT_FOR_STARTS).saturating_sub(self.0)
    }
}

/// Returns the bytes of a record without one of these parts.
const fn without(max_record_bytes: usize, part: usize) -> usize {
    max_record_bytes - max_record_bytes / part
}

/// Returns the bytes of an integer.
const fn varint_len(value: usize) -> usize {
    let bits = usize::BITS - (value | 1).leading_zeros();
    bits.div_ceil(7) as usize
}

/// Returns the bytes of a text of this length.
pub(crate) const fn text_len(len: usize) -> usize {
    varint_len(len) + len
}
