//! Events of a replay, processed in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use thistle_request::router::VmKey;
use thistle_request::slot_home::{SlotGrant, SlotWant};

/// An attempt: one send of a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    /// The request.
    pub request: usize,
    /// The key of the VM in the router of the entry.
    pub vm: VmKey,
    /// The worker.
    pub worker: usize,
    /// The time at which it was sent, in microseconds.
    pub sent_at: u64,
}

/// The end of an attempt, as seen by the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// A complete response arrived.
    Answered,
    /// The server returned an error.
    Error,
    /// No connection was established; nothing was sent.
    NoConnect,
    /// The connection broke after bytes were sent.
    Broken,
}

/// An event of a replay.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A request arrives at its entry.
    Arrive(usize),
    /// An attempt arrives at its worker.
    ArriveAtWorker(Attempt),
    /// A worker has finished an attempt: the attempt, and the incarnation of the worker at its start.
    RunDone(Attempt, u64),
    /// The end of an attempt reaches its entry.
    End(Attempt, AttemptEnd),
    /// The deadline of a request passes.
    Deadline(usize),
    /// An entry polls its queue.
    Poll(usize),
    /// An entry requests slots from the homes, unless a request with a later number is scheduled.
    RequestSlots(usize, u64),
    /// Slot wants reach a home: entry, home, time of the request, wants.
    Wants(usize, usize, u64, Vec<SlotWant>),
    /// Grants reach an entry: entry, time of the request, grants.
    Grants(usize, u64, Vec<SlotGrant>),
    /// A fault of the trace occurs.
    Fault(usize),
}

/// A queue of events, ordered by time.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    next: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn add(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.heap.push(Reverse((at, self.next)));
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<(u64, Event)> {
        let Reverse((at, id)) = self.heap.pop()?;
        self.events.remove(&id).map(|event| (at, event))
    }
}
