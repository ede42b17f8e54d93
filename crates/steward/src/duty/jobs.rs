//! Starts jobs, and makes night work yield to urgent jobs.

use thistle_fold::MemberState;
use thistle_model::job::{JobEnd, JobStart};
use thistle_model::{Change, MemberId, VmName, rendezvous};
use thistle_plan::plan_jobs;
use thistle_wire::platform::tasks::TaskState;

use crate::core::Core;
use crate::shared::Shared;
use crate::tasks::{TaskCommand, call_worker, job_ended, running_task};

/// Returns changes for job starts and for the ends of night work that yielded.
pub async fn proposals(shared: &Shared) -> Vec<Change> {
    let (mut changes, yields) = {
        let core = shared.core();
        let plan = plan_jobs(&core.state);
        let starts = plan.starts.into_iter().filter_map(|s| {
            log::info!("decision step=job-start job={} vm={} attempt={}", s.job, s.vm, s.attempt);
            let by = home_of(&core, &s.vm)?;
            let start = JobStart { job: s.job, vm: s.vm, attempt: s.attempt, by };
            Some(Change::JobStarted { start })
        });
        let starts: Vec<_> = starts.collect();
        let yields: Vec<_> =
            plan.yields.iter().filter_map(|job| running_task(&core.state, job)).collect();
        (starts, yields)
    };
    for (addr, id) in yields {
        log::info!("decision step=job-yield job={} worker={addr}", id.job);
        let answers = call_worker(addr, TaskCommand::Yield, vec![id]).await;
        let yielded = answers.iter().filter(|(_, s)| *s == Some(TaskState::Yielded));
        changes.extend(yielded.map(|(id, _)| job_ended(id, JobEnd::Yielded)));
    }
    changes
}

/// Returns the home of a VM, which is the member that tracks its tasks.
fn home_of(core: &Core, vm: &VmName) -> Option<MemberId> {
    let joined = core.state.members.iter().filter(|(_, m)| m.state == MemberState::Joined);
    rendezvous::pick(vm.as_str().as_bytes(), joined.map(|(&id, _)| id), |id| id.0)
}
