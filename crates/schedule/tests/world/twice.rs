//! Rule TWICE by its own words: no two runs of a task at once on VMs that are up, and no start after a run ended
//! `done` if that end is acknowledged at that time or afterwards, unless its VM's lease lapsed in between.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use thistle_schedule::{EndKind, Ms, RunId, TaskId, VmIncarnation};

/// How a run ended.
#[derive(Clone, Debug)]
struct Over {
    sequence: u64,
    kind: EndKind,
    at: Ms,
    /// Count of all that happened, which tells what came first at one time.
    order: u64,
    acknowledged: Option<Ms>,
    /// The VM's lease lapsed before it was acknowledged: it does not count, whatever comes later.
    void: bool,
}

/// A run that a VM began.
#[derive(Clone, Debug)]
struct Begun {
    vm: VmIncarnation,
    attempt: u32,
    token: u64,
    ordered: Ms,
    at: Ms,
    order: u64,
    over: Option<Over>,
    /// Its VM is gone with all that ran there.
    dead: bool,
}

/// All runs that VMs began, by task.
#[derive(Debug, Default)]
pub(super) struct Runs {
    of_task: BTreeMap<TaskId, Vec<Begun>>,
    happened: u64,
}

/// Who gave a start, and when.
#[derive(Clone, Copy, Debug)]
pub(super) struct Given {
    pub token: u64,
    pub at: Ms,
}

impl Runs {
    fn count(&mut self) -> u64 {
        self.happened += 1;
        self.happened
    }

    pub(super) fn note_start(&mut self, vm: &VmIncarnation, run: RunId, given: Given, now: Ms) {
        let order = self.count();
        let begun = Begun {
            vm: vm.clone(),
            attempt: run.attempt,
            token: given.token,
            ordered: given.at,
            at: now,
            order,
            over: None,
            dead: false,
        };
        self.of_task.entry(run.task).or_default().push(begun);
        self.check_one_at_a_time(run.task);
        self.check_task(run.task);
    }

    pub(super) fn note_end(
        &mut self,
        vm: &VmIncarnation,
        run: RunId,
        kind: EndKind,
        sequence: u64,
        at: Ms,
    ) {
        let order = self.count();
        let runs = self.of_task.get_mut(&run.task).into_iter().flatten();
        // A run that was barred before it came has an end, too, and no start.
        let begun =
            runs.filter(|r| r.vm == *vm && r.attempt == run.attempt).find(|r| r.over.is_none());
        if let Some(begun) = begun {
            begun.over = Some(Over { sequence, kind, at, order, acknowledged: None, void: false });
        }
    }

    pub(super) fn note_lapse(&mut self, vm: &VmIncarnation) {
        let runs = self.of_task.values_mut().flatten().filter(|r| r.vm == *vm);
        for over in runs.filter_map(|r| r.over.as_mut()).filter(|o| o.acknowledged.is_none()) {
            over.void = true;
        }
    }

    pub(super) fn note_death(&mut self, vm: &VmIncarnation) {
        for begun in self.of_task.values_mut().flatten().filter(|r| r.vm == *vm) {
            begun.dead = true;
        }
    }

    pub(super) fn note_acknowledged(&mut self, vm: &VmIncarnation, sequence: u64, now: Ms) {
        let mut tasks = Vec::new();
        for (&task, runs) in &mut self.of_task {
            for begun in runs.iter_mut().filter(|r| r.vm == *vm && !r.dead) {
                let over = begun.over.as_mut().filter(|o| o.sequence <= sequence);
                let Some(over) = over.filter(|o| o.acknowledged.is_none()) else { continue };
                over.acknowledged = Some(now);
                tasks.push(task);
            }
        }
        for task in tasks {
            self.check_task(task);
        }
    }

    fn check_one_at_a_time(&self, task: TaskId) {
        let runs = &self.of_task[&task];
        let at_work = runs.iter().filter(|r| r.over.is_none() && !r.dead).count();
        assert!(at_work <= 1, "TWICE: {task} runs {at_work} times at once:\n{}", Trace(runs));
    }

    /// Looks for a start after an end `done` that counts. Judged at each start and each acknowledgement.
    fn check_task(&self, task: TaskId) {
        let runs = &self.of_task[&task];
        let counts = |o: &&Over| o.kind == EndKind::Done && o.acknowledged.is_some() && !o.void;
        let first =
            runs.iter().filter_map(|r| r.over.as_ref()).filter(counts).map(|o| o.order).min();
        let Some(first) = first else { return };
        let again = runs.iter().any(|r| r.order > first);
        assert!(!again, "TWICE: {task} was started after it was done:\n{}", Trace(runs));
    }
}

struct Trace<'a>(&'a [Begun]);

impl Display for Trace<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for run in self.0 {
            let Begun { vm, attempt, token, ordered, at, over, dead, .. } = run;
            write!(f, "  run {attempt} on {vm}: token {token}, ordered {ordered}, began {at}")?;
            if let Some(Over { kind, at, acknowledged, void, .. }) = over {
                write!(f, ", {kind:?} at {at}, acknowledged {acknowledged:?}, void {void}")?;
            }
            writeln!(f, "{}", if *dead { ", VM gone" } else { "" })?;
        }
        Ok(())
    }
}
