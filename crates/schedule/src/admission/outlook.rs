//! The outlook of a pool: when a job that arrives now would begin. The pool's owner makes it for the nodes that take
//! submissions.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::queue::{Capacity, Class, OpenWork, Queued, jobs_done, work_within};
use crate::Ms;

/// The unit of encoded times, in milliseconds: with it, times of up to four minutes take two bytes each.
const UNIT_MS: Ms = 16;
/// The number of classes in an outlook, those that go last. With two points for each curve and four workspaces, an encoded
/// outlook stays below 100 bytes.
const MAX_CLASSES: usize = 3;
/// The number of workspaces in an outlook that exceed their shares, those with the most work.
const MAX_WORKSPACES: usize = 4;
/// The part of the time until its last job must end, in percent, that a class's queue takes before it is worth an outlook. Below it, no job
/// would be refused before the next outlook is made.
const FULL_PERCENT: Ms = 50;

/// One point of a curve, in units of 16 ms from the time of the outlook.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Point {
    ends_by: u16,
    done_in: u16,
}

/// When the work that goes before a job is done, by the time at which the job must end. Jobs that must end later do not
/// delay it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Curve(Vec<Point>);

impl Curve {
    /// Creates the curve through half of the jobs and all of them. The jobs `ahead` go before all jobs of the curve.
    fn new(jobs: Vec<Queued>, ahead: &[Queued], capacity: &Capacity) -> Self {
        let done = jobs_done(jobs, ahead, capacity);
        let mut times: Vec<Ms> = ahead.iter().chain(&done).map(|job| job.ends_by).collect();
        times.sort_unstable();
        let Some(&last) = times.last() else { return Self::default() };
        let mut points: Vec<Point> = [times[times.len() / 2], last]
            .into_iter()
            .map(|ends_by| {
                let same = done.iter().filter(|job| job.ends_by <= ends_by);
                let work = work_within(ahead, ends_by) + work_within(same, ends_by);
                point(ends_by, capacity.time_for(work))
            })
            .collect();
        points.dedup();
        Self(points)
    }

    /// Returns when the work before a job that must end by `ends_by` is done, in milliseconds after the outlook was made, which is
    /// `age` ago.
    pub fn done_in(&self, ends_by: Ms, age: Ms) -> Ms {
        let is_ahead = |p: &&Point| Ms::from(p.ends_by) * UNIT_MS <= ends_by + age;
        let last = self.0.iter().rfind(is_ahead);
        last.map_or(0, |p| Ms::from(p.done_in) * UNIT_MS)
    }
}

/// Rounds so that the work never counts as done later than computed.
fn point(ends_by: Ms, done_in: Ms) -> Point {
    let units = |n: Ms| u16::try_from(n).unwrap_or(u16::MAX);
    Point { ends_by: units(ends_by.div_ceil(UNIT_MS)), done_in: units(done_in / UNIT_MS) }
}

/// The outlook for jobs of one rank class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassOutlook {
    priority: u32,
    beyond_share: bool,
    /// The queue of jobs that can be in time, and of late jobs that go before them.
    pub in_time: Curve,
    /// The queue of all jobs that can be of use.
    pub of_use: Curve,
}

impl ClassOutlook {
    /// Returns the class.
    pub const fn class(&self) -> Class {
        Class { priority: self.priority, beyond_share: self.beyond_share }
    }
}

/// When jobs that arrive at a pool now would begin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// The token of the pool's owner that made it.
    pub token: u64,
    /// The number of the outlook under this token.
    pub number: u64,
    /// The rate at which the backlog drains: the largest CPU capacity that the pool may reach, in thousandths of a core.
    pub drain_cpu: u64,
    /// The factor in percent, at least 100, by which tasks take longer than their callers estimate.
    pub slowdown_percent: u16,
    /// The classes with open work, those that go first first.
    pub classes: Vec<ClassOutlook>,
    /// The hashes of the names of workspaces with jobs beyond their shares.
    pub beyond_share: Vec<u32>,
    /// Whether the links that carry the pool's starts are full. It is known by the key of the outlook's record.
    #[serde(skip)]
    pub is_link_bound: bool,
}

impl Outlook {
    /// Creates the outlook for the open work of a pool.
    pub fn new(works: &[OpenWork], capacity: &Capacity) -> Self {
        let drain_cpu = capacity.reachable_cpu.max(capacity.cpu);
        if drain_cpu == 0 {
            // Without any known VM there is no estimate.
            return Self::default();
        }
        let classes: BTreeSet<Class> = works.iter().map(|w| w.class).collect();
        let last = classes.iter().rev().take(MAX_CLASSES).rev();
        Self {
            drain_cpu,
            slowdown_percent: 100,
            classes: last.map(|&class| class_outlook(works, class, capacity)).collect(),
            ..Self::default()
        }
    }

    /// Sets the workspaces with jobs beyond their shares, those with the most work first.
    #[must_use]
    pub fn with_beyond_share<'a>(mut self, names: impl Iterator<Item = &'a str>) -> Self {
        self.beyond_share = names.take(MAX_WORKSPACES).map(workspace_hash).collect();
        self
    }

    /// Returns the outlook for a job: that of its class, or of the last class that goes before it.
    pub fn class(&self, class: Class) -> Option<&ClassOutlook> {
        self.classes.iter().rfind(|c| c.class() <= class)
    }

    /// Returns whether a workspace's jobs exceed its share.
    pub fn is_beyond_share(&self, workspace: &str) -> bool {
        !workspace.is_empty() && self.beyond_share.contains(&workspace_hash(workspace))
    }

    /// Returns whether an arriving job might be refused before the next outlook.
    pub fn is_filling(&self) -> bool {
        self.classes.iter().any(|class| {
            let last = class.of_use.0.last();
            last.is_some_and(|p| Ms::from(p.done_in) * 100 >= Ms::from(p.ends_by) * FULL_PERCENT)
        })
    }
}

fn class_outlook(works: &[OpenWork], class: Class, capacity: &Capacity) -> ClassOutlook {
    let curve = |ends_by: fn(&OpenWork) -> Option<Ms>| {
        let queued = |w: &OpenWork| Some(Queued { ends_by: ends_by(w)?, work: w.work, cpu: w.cpu });
        let before = works.iter().filter(|w| w.class < class).filter_map(queued).collect();
        let ahead = jobs_done(before, &[], capacity);
        let same = works.iter().filter(|w| w.class == class).filter_map(queued).collect();
        Curve::new(same, &ahead, capacity)
    };
    ClassOutlook {
        priority: class.priority,
        beyond_share: class.beyond_share,
        in_time: curve(|w| w.due_in.or(w.is_rescued.then_some(w.last_in))),
        of_use: curve(|w| Some(w.last_in)),
    }
}

/// Returns the 32-bit FNV-1a hash of a workspace's name, which is the same on all nodes.
pub fn workspace_hash(name: &str) -> u32 {
    name.bytes()
        .fold(0x811c_9dc5, |hash: u32, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
