//! Proposals and policies of the planner.

use thistle_model::{Change, VmName};

/// A change that the planner proposes, with its reason for logs and `thistle wave plan`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The proposed change.
    pub change: Change,
    /// The VM that the change concerns.
    pub vm: VmName,
    /// The name of the step.
    pub step: &'static str,
    /// The reason, as text for operators.
    pub why: String,
}

/// How many VMs a maintenance wave takes out of service at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WavePolicy {
    /// Rack by rack across pools, as many VMs as the budgets allow.
    ByRack,
    /// One VM at a time; a baseline for comparisons.
    OneAtATime,
}

/// Which spare VM is assigned to a pool that has too few VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefillPolicy {
    /// The VM that spreads the pool best over data halls and racks.
    Spread,
    /// The first VM; a baseline for comparisons.
    Greedy,
}

/// The weights and policies of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanConfig {
    /// The weight of the duration of waves.
    pub roll_out_time: u32,
    /// The weight of the capacity that is held in reserve.
    pub buffer_cost: u32,
    /// The number of racks whose VMs the reserve should be able to replace.
    pub spare_racks: u32,
    /// How many VMs a wave takes out of service at a time.
    pub wave: WavePolicy,
    /// Which spare VM is assigned to a pool that has too few VMs.
    pub refill: RefillPolicy,
}

impl Default for PlanConfig {
    fn default() -> Self {
        Self {
            roll_out_time: 1,
            buffer_cost: 1,
            spare_racks: 1,
            wave: WavePolicy::ByRack,
            refill: RefillPolicy::Spread,
        }
    }
}

impl PlanConfig {
    /// Sets the weights.
    pub fn with_weights(mut self, roll_out_time: u32, buffer_cost: u32, spare_racks: u32) -> Self {
        self.roll_out_time = roll_out_time;
        self.buffer_cost = buffer_cost;
        self.spare_racks = spare_racks;
        self
    }

    /// Returns the number of VMs of a pool's slack that a wave leaves for a failure during the
    /// wave.
    ///
    /// If buffer cost weighs more than roll-out time, there are few spares to replace a failed VM,
    /// so one VM of a slack of two or more is left.
    pub(crate) fn slack_to_keep(&self, slack: u32) -> u32 {
        u32::from(self.buffer_cost > self.roll_out_time && slack >= 2)
    }
}
