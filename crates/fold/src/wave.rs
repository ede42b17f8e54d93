//! The maintenance wave, in which every VM is maintained once, as many at a time as the budgets allow.

use serde::{Deserialize, Serialize};
use thistle_model::Revision;

use crate::operator::expect_revision;
use crate::reject::Reject;
use crate::state::State;

/// The current maintenance wave, or the last one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The number of the wave; 0 before the first.
    pub number: u32,
    /// The revision at which the wave was last started, paused or resumed.
    pub revision: Revision,
    /// Whether an operator has paused the wave.
    pub paused: bool,
}

impl State {
    pub(crate) fn wave_start(&mut self, base: Revision) -> Result<(), Reject> {
        expect_revision("the wave", "maintenance", base, self.wave.revision)?;
        if self.wave_left() > 0 {
            return Err(Reject::WaveUnderWay);
        }
        let revision = self.next_revision();
        self.wave = Wave { number: self.wave.number + 1, revision, paused: false };
        Ok(())
    }

    pub(crate) fn wave_pause(&mut self, base: Revision, on: bool) -> Result<(), Reject> {
        expect_revision("the wave", "maintenance", base, self.wave.revision)?;
        if self.wave_left() == 0 {
            return Err(Reject::NoWave);
        }
        self.wave.revision = self.next_revision();
        self.wave.paused = on;
        Ok(())
    }

    /// Returns the number of VMs that the current wave has yet to maintain.
    pub fn wave_left(&self) -> usize {
        self.vms.values().filter(|vm| vm.wave < self.wave.number).count()
    }
}
