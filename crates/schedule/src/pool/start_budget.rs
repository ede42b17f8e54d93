//! The limit on what is placed by the bytes that the owner's link can carry.

use super::{Pool, StartOrder};
use crate::link_budget::StartSize;

/// The bytes of starts that may still be placed in this step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartBudget {
    /// The bytes that the owner's link can take.
    pub bytes: u64,
    /// The bytes of starts that other nodes can send for the owner.
    pub relayed_bytes: u64,
}

impl Pool {
    /// Sets the bytes of starts that the next step may place; without a value there is no limit.
    pub const fn set_start_budget(&mut self, budget: Option<StartBudget>) {
        self.start_budget = budget;
    }

    /// Returns whether the last step left tasks waiting because the owner's link could not take their starts.
    pub const fn is_bound_by_link(&self) -> bool {
        self.bound_by_link
    }

    /// Returns whether the link can take a further start, and remembers if it can't.
    pub(super) fn link_has_room(&mut self) -> bool {
        let has_room = self.start_budget.is_none_or(|budget| budget.bytes > 0);
        self.bound_by_link |= !has_room;
        has_room
    }

    /// Takes the bytes of a start from the budget.
    pub(super) fn spend_start_budget(&mut self, order: &StartOrder) {
        let Some(budget) = &mut self.start_budget else { return };
        let size = order.size();
        let is_relayed = size.relayed < size.direct && budget.relayed_bytes >= size.direct;
        if is_relayed {
            budget.relayed_bytes -= size.direct;
        }
        let bytes = if is_relayed { size.relayed } else { size.direct };
        budget.bytes = budget.bytes.saturating_sub(bytes);
    }
}

impl StartOrder {
    /// Returns the sizes of the order on the owner's link.
    pub fn size(&self) -> StartSize {
        StartSize::new(self.spec.text.len(), self.checkpoint.len())
    }
}
