//! Tasks of a worker stand-in, with leases on its own clock.
//!
//! The name of a job sets its behaviour: one that begins with `fail` fails, one that begins with `long`
//! runs until it has to yield, and any other is done after [`RUN_TIME`].

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use thistle_wire::platform::tasks::{TaskCall, TaskId, TaskState};

/// How long an ordinary task runs.
const RUN_TIME: Duration = Duration::from_millis(300);

struct Task {
    state: TaskState,
    began: Instant,
    lease_until: Instant,
}

/// The tasks that one worker knows.
#[derive(Default)]
pub struct Tasks {
    tasks: BTreeMap<TaskId, Task>,
    /// The number of starts of each job.
    pub starts: BTreeMap<String, u64>,
    /// Whether every task fails.
    pub fails_all: bool,
}

impl Tasks {
    /// Starts tasks; a known task is not started again.
    pub fn start(&mut self, call: &TaskCall) -> Vec<TaskState> {
        let lease = Duration::from_millis(call.lease_ms);
        for id in &call.tasks {
            if self.tasks.contains_key(id) {
                continue;
            }
            *self.starts.entry(id.job.to_string()).or_default() += 1;
            let now = Instant::now();
            let task = Task { state: TaskState::Running, began: now, lease_until: now + lease };
            self.tasks.insert(id.clone(), task);
        }
        self.renew(call)
    }

    /// Renews the leases of tasks that still run.
    pub fn renew(&mut self, call: &TaskCall) -> Vec<TaskState> {
        let lease = Duration::from_millis(call.lease_ms);
        let fails_all = self.fails_all;
        let state = |id: &TaskId| {
            let Some(task) = self.tasks.get_mut(id) else {
                return TaskState::Unknown;
            };
            task.advance(id, fails_all);
            if task.state == TaskState::Running {
                task.lease_until = Instant::now() + lease;
            }
            task.state
        };
        call.tasks.iter().map(state).collect()
    }

    /// Makes running tasks yield.
    pub fn yield_tasks(&mut self, call: &TaskCall) -> Vec<TaskState> {
        let state = |id: &TaskId| {
            let Some(task) = self.tasks.get_mut(id) else {
                return TaskState::Unknown;
            };
            if task.state == TaskState::Running {
                task.state = TaskState::Yielded;
            }
            task.state
        };
        call.tasks.iter().map(state).collect()
    }
}

impl Task {
    fn advance(&mut self, id: &TaskId, fails_all: bool) {
        if self.state != TaskState::Running {
            return;
        }
        let name = id.job.as_str();
        let now = Instant::now();
        if now > self.lease_until {
            self.state = TaskState::Unknown;
        } else if fails_all || name.starts_with("fail") {
            self.state = TaskState::Failed;
        } else if !name.starts_with("long") && now - self.began > RUN_TIME {
            self.state = TaskState::Done;
        }
    }
}
