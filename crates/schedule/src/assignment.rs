//! Assignment of queues to pools: a queue is assigned to one pool at a time, and only that pool's owner adopts its jobs.
//!
//! Load pattern: the operator routes a queue to another pool, back, or under another name, within a second and while callers
//! send jobs again. Meanwhile nodes have different configurations, the store executes appends late, and owners change.
//!
//! A job is bound to a pool once the pool's owner has written progress of it. An owner binds the jobs that it has adopted
//! before it assigns their queue to another pool, and the next pool reads which jobs are bound before it adopts any.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Queue};
use crate::id::JobId;

/// The assignment of a queue to a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The pool whose owner adopts the jobs of the queue.
    pub pool: Arc<str>,
    /// The version of the configuration by which the queue is assigned to this pool.
    pub version: u64,
    /// The addresses under which callers have reached the queue; see [`Queue::address`].
    #[serde(default)]
    pub addresses: BTreeSet<String>,
    /// Other pools that the queue was assigned to before. Jobs of the queue may be bound to them.
    #[serde(default)]
    pub earlier: BTreeSet<Arc<str>>,
}

/// A change of an assignment, to be written by a pool's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The queue.
    pub queue: Arc<str>,
    /// Its new assignment.
    pub assignment: Assignment,
    /// The offset of the assignment that it replaces.
    pub replaces: Option<u64>,
    /// Whether the owner's pool loses the queue.
    pub is_handover: bool,
}

/// Where a job belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Home {
    /// The job belongs to this pool.
    Here,
    /// The job's queue is assigned to this pool, which decides on the job.
    AssignedTo(Arc<str>),
    /// The job is bound to this pool, to which its queue was assigned before.
    BoundTo(Arc<str>),
    /// The job has to wait.
    Undecided(Undecided),
}

/// Why it is undecided where a job belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Undecided {
    /// The queue is not assigned to a pool yet.
    NotAssigned,
    /// This pool's owner may have assigned the queue to another pool.
    HandingOver,
    /// The configuration routes the queue to this pool, and the pool that it is assigned to has to hand it over.
    HandoverDue,
    /// The jobs that are bound to earlier pools have not been read.
    EarlierNotRead,
    /// Cancellations that other pools do not have yet may not have been read.
    CancelsNotRead,
    /// The job's records could not be written to the pool that it belongs to.
    NotPassedOn,
}

/// The jobs that are bound to the earlier pools of a queue.
pub type EarlierJobs = BTreeMap<Arc<str>, HashSet<JobId>>;

/// What a pool's owner knows when it decides where a job belongs.
#[derive(Clone, Copy, Debug)]
pub struct HomeFacts<'a> {
    /// The owner's pool.
    pub pool: &'a str,
    /// The configuration in force.
    pub catalog: Option<&'a Catalog>,
    /// Whether the owner is handing the queue over.
    pub is_handing_over: bool,
    /// The jobs that are bound to earlier pools, read after the queue was assigned to this pool.
    pub earlier: Option<&'a EarlierJobs>,
}

/// An assignment with the offset of its record.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Recorded {
    assignment: Assignment,
    offset: u64,
}

/// The assignments of all queues, by the records read so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignments {
    by_queue: BTreeMap<Arc<str>, Recorded>,
}

impl Assignments {
    /// Records an assignment that was read or written at an offset. Returns whether it is new.
    pub fn record(&mut self, queue: &Arc<str>, assignment: Assignment, offset: u64) -> bool {
        if self.by_queue.get(queue).is_some_and(|known| known.offset >= offset) {
            return false;
        }
        self.by_queue.insert(queue.clone(), Recorded { assignment, offset });
        true
    }

    /// Returns the assignment of a queue.
    pub fn get(&self, queue: &str) -> Option<&Assignment> {
        self.by_queue.get(queue).map(|recorded| &recorded.assignment)
    }

    /// Returns the offset of the record that holds the assignment of a queue.
    pub fn offset_of(&self, queue: &str) -> Option<u64> {
        self.by_queue.get(queue).map(|recorded| recorded.offset)
    }

    /// Returns the queues with their assignments.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Assignment)> {
        self.by_queue.iter().map(|(queue, recorded)| (queue, &recorded.assignment))
    }

    /// Returns all pools that may have jobs of a queue, the one to which it is assigned first.
    pub fn pools_of(&self, queue: &str) -> Vec<Arc<str>> {
        let Some(assignment) = self.get(queue) else { return Vec::new() };
        std::iter::once(&assignment.pool).chain(&assignment.earlier).cloned().collect()
    }

    /// Returns all pools that may have jobs of queues with this address, under whatever name.
    pub fn pools_at<'a>(&'a self, address: &'a str) -> impl Iterator<Item = &'a Arc<str>> {
        let at_address = self.iter().filter(move |(_, a)| a.addresses.contains(address));
        at_address.flat_map(|(_, a)| std::iter::once(&a.pool).chain(&a.earlier))
    }

    /// Returns the changes that the owner of `pool` has to write: queues that are not assigned yet, among them `unassigned`
    /// ones of jobs that it has read, and queues that the configuration routes to another pool. `is_handing_over` states for
    /// which queues an earlier change may still be written.
    pub fn changes(
        &self,
        catalog: &Catalog,
        pool: &str,
        unassigned: &BTreeSet<Arc<str>>,
        is_handing_over: impl Fn(&str) -> bool,
    ) -> Vec<Change> {
        let unknown = unassigned.iter().filter(|queue| catalog.queue(queue).is_none());
        let routed = catalog.queues().iter().filter(|queue| *queue.pool == *pool);
        let mut changes: Vec<Change> = routed
            .filter(|queue| self.get(&queue.name).is_none())
            .filter_map(|queue| self.first_assignment(catalog, queue))
            .collect();
        changes.extend(unknown.filter(|queue| self.get(queue).is_none()).map(|queue| Change {
            queue: queue.clone(),
            assignment: Assignment {
                pool: pool.into(),
                version: 0,
                addresses: BTreeSet::new(),
                earlier: BTreeSet::new(),
            },
            replaces: None,
            is_handover: false,
        }));
        let own = self.iter().filter(|(_, assignment)| *assignment.pool == *pool);
        changes.extend(own.filter_map(|(queue, assignment)| {
            self.reassignment(catalog, queue, assignment, is_handing_over(queue))
        }));
        changes
    }

    /// Returns the first assignment of a queue, or `None` while a queue with the same address has to be handed over first.
    fn first_assignment(&self, catalog: &Catalog, queue: &Queue) -> Option<Change> {
        let address = queue.address();
        let mut earlier = BTreeSet::new();
        // The operator may rename a queue: a job that is sent again then comes under the new name.
        for (name, other) in self.iter().filter(|(_, other)| other.addresses.contains(&address)) {
            let target = target(catalog, name, other);
            if other.pool != queue.pool && target.is_some_and(|target| target.pool == queue.pool) {
                return None;
            }
            earlier.extend(std::iter::once(&other.pool).chain(&other.earlier).cloned());
        }
        earlier.remove(&queue.pool);
        let assignment = Assignment {
            pool: queue.pool.clone(),
            version: catalog.version,
            addresses: BTreeSet::from([address]),
            earlier,
        };
        Some(Change { queue: queue.name.clone(), assignment, replaces: None, is_handover: false })
    }

    fn reassignment(
        &self,
        catalog: &Catalog,
        queue: &Arc<str>,
        current: &Assignment,
        is_handing_over: bool,
    ) -> Option<Change> {
        let mut assignment = current.clone();
        let is_newer = catalog.version > current.version;
        match target(catalog, queue, current).filter(|_| is_newer) {
            Some(target) if target.pool != current.pool => {
                assignment.pool = target.pool.clone();
                assignment.version = catalog.version;
                assignment.addresses.insert(target.address());
                assignment.earlier.insert(current.pool.clone());
                assignment.earlier.remove(&target.pool);
            }
            Some(target) if assignment.addresses.insert(target.address()) => {
                assignment.version = catalog.version;
            }
            // A record that follows an unanswered one keeps it from being written later.
            _ if is_handing_over => assignment.version = catalog.version.max(current.version),
            _ => return None,
        }
        let is_handover = assignment.pool != current.pool;
        let replaces = self.offset_of(queue);
        Some(Change { queue: queue.clone(), assignment, replaces, is_handover })
    }

    /// Decides where a job of a queue belongs that is not bound to the owner's pool.
    pub fn home_of(&self, id: JobId, queue: &str, facts: &HomeFacts<'_>) -> Home {
        let Some(assignment) = self.get(queue) else {
            return Home::Undecided(Undecided::NotAssigned);
        };
        if *assignment.pool != *facts.pool {
            let newer = facts.catalog.filter(|catalog| catalog.version > assignment.version);
            let target = newer.and_then(|catalog| target(catalog, queue, assignment));
            return match target.is_some_and(|target| *target.pool == *facts.pool) {
                true => Home::Undecided(Undecided::HandoverDue),
                false => Home::AssignedTo(assignment.pool.clone()),
            };
        }
        if facts.is_handing_over {
            return Home::Undecided(Undecided::HandingOver);
        }
        if assignment.earlier.is_empty() {
            return Home::Here;
        }
        let Some(earlier) = facts.earlier else {
            return Home::Undecided(Undecided::EarlierNotRead);
        };
        let bound_to = earlier.iter().find(|(_, jobs)| jobs.contains(&id));
        bound_to.map_or(Home::Here, |(pool, _)| Home::BoundTo(pool.clone()))
    }
}

/// Returns the queue by which the configuration routes an assigned queue: the one of its name, or else one at its address.
fn target<'a>(catalog: &'a Catalog, queue: &str, assignment: &Assignment) -> Option<&'a Queue> {
    let at_its_address = |queue: &&Queue| assignment.addresses.contains(&queue.address());
    catalog.queue(queue).or_else(|| catalog.queues().iter().find(at_its_address))
}
