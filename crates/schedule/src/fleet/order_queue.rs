//! Orders that wait until their rows are in the store, while the decision loop goes on.
//!
//! Load pattern: the store becomes 34 to 60 times as slow at the onset of a burst. An owner that awaits each append of its record
//! takes two to four steps a second, and reports, answers to orders and lists of VMs wait for it.
//!
//! At most one append of the record is in flight. It takes the record from one snapshot to the next, so a successor reads a
//! state in which each row is that of one of the two snapshots. An order may be sent only while both have its row. Then a
//! successor knows of the order whichever part of the append it reads.

use indexmap::IndexMap;

use super::{FleetOrder, FleetRecord, FleetRow, Stage, VmWork};

/// The orders that wait for their rows, and the record as the store has it.
#[derive(Debug, Default)]
pub struct OrderQueue {
    /// The record as of the last answered append.
    written: FleetRecord,
    /// The record as of the append in flight.
    in_flight: Option<FleetRecord>,
    /// The waiting orders by VM, in the order in which they were given.
    waiting: IndexMap<String, FleetOrder>,
}

impl OrderQueue {
    /// Creates a queue for an owner that found a record in the store.
    pub fn new(written: FleetRecord) -> Self {
        Self { written, ..Self::default() }
    }

    /// Returns the record as of the last answered append.
    pub const fn written(&self) -> &FleetRecord {
        &self.written
    }

    /// Returns the number of waiting orders.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no order waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds orders. An order replaces an earlier one for the same VM.
    pub fn add(&mut self, orders: Vec<FleetOrder>) {
        for order in orders {
            self.waiting.insert(order.vm.clone(), order);
        }
    }

    /// Returns the rows that `owner` appends next, or `None` if an append is in flight or nothing has changed. The append
    /// counts as in flight from now on.
    pub fn begin_append(&mut self, current: &FleetRecord, owner: &str) -> Option<Vec<FleetRow>> {
        if self.in_flight.is_some() || current.has_same_work(&self.written) {
            return None;
        }
        let mut next = current.clone();
        owner.clone_into(&mut next.owner);
        let rows = next.changes_since(&self.written);
        self.in_flight = Some(next);
        Some(rows)
    }

    /// Records that the append in flight was answered, and returns the record as it was written before.
    pub fn finish_append(&mut self) -> Option<FleetRecord> {
        let written = self.in_flight.take()?;
        Some(std::mem::replace(&mut self.written, written))
    }

    /// Removes and returns the orders that may be sent now.
    pub fn take_sendable(&mut self, current: &FleetRecord) -> Vec<FleetOrder> {
        let (sendable, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, order)| is_ordered(current, order) && self.is_in_store(current, order));
        self.waiting = waiting;
        self.waiting.retain(|_, order| is_ordered(current, order));
        IndexMap::into_values(sendable).collect()
    }

    /// Returns whether every state of the record that the store may have now contains the row of an order. The row names the
    /// VM's incarnation, so that of an earlier move to the same pool does not count.
    fn is_in_store(&self, current: &FleetRecord, order: &FleetOrder) -> bool {
        let row = current.work_on(&order.vm);
        let has_row = |record: &FleetRecord| record.work_on(&order.vm) == row;
        has_row(&self.written) && self.in_flight.as_ref().is_none_or(has_row)
    }
}

/// Returns whether an order is still wanted: the work for which it was given is open.
fn is_ordered(current: &FleetRecord, order: &FleetOrder) -> bool {
    let wants = |work: &VmWork| work.stage != Stage::Emptying && work.purpose == order.purpose;
    current.work_on(&order.vm).is_some_and(wants)
}
