//! The parameters of decisions: one typed struct, settable in the settings file, so that a decision
//! can be changed or switched off without changing the code.

use serde::{Deserialize, Serialize};

use crate::Ms;

/// The parameters of decisions. What a settings file leaves out has the default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How many VMs a pool needs.
    pub need: NeedPolicy,
    /// How VMs move between pools.
    pub moves: MovePolicy,
    /// How waves of maintenance are done.
    pub waves: WavePolicy,
    /// How tasks are ordered and placed.
    pub tasks: TaskPolicy,
}

/// How many VMs a pool needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NeedPolicy {
    /// How full VMs are to be, in percent: tasks differ in size, and the last of a VM's room is
    /// hard to use.
    pub fill_percent: u64,
    /// How far ahead the need is worked out while no move was measured, in milliseconds: the
    /// users' moves take 1.5 s, and it takes half a second to tell, to order and to begin. 0 looks at
    /// the present, also when moves were measured.
    pub lead_ms: Ms,
    /// Arrivals of a queue that its rate is taken from; 0 takes no account of what comes. With
    /// eight the rate is off by a third or so; fewer would call VMs for chance, more would tell a
    /// change later.
    pub arrivals: usize,
    /// Work that will be late gets the VMs that work in time leaves, in place of an equal claim:
    /// 0.57 in place of 0.56 of what is owed, less costs, in the mean of 24 days with mixed
    /// failures.
    pub late_last: bool,
    /// Work that follows what runs now counts only if it will not have ended either when VMs come. Without this a pool of 350 VMs
    /// in its turn told 1,100 to 1,300 cores of such work, with it 400 to 700, of 2,000 that were used.
    pub leaves_out_ended: bool,
    /// VMs that a pool keeps at least, so that the first jobs of a turn start at once.
    pub floor_vms: usize,
}

/// How VMs move between pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MovePolicy {
    /// What a pool keeps beyond its need when others are short, in percent.
    pub margin_percent: usize,
    /// How long a pool keeps what it needed last, in milliseconds. Two moves cost as much as two
    /// seconds of an idle VM (the sites' prices: 0.088 a move, 0.077 a VM-second).
    pub keep_ms: Ms,
    /// How long a VM that got work where it was moved to stays there, in milliseconds.
    pub stay_ms: Ms,
    /// Share of all VMs that may be on their way to another pool at once, in percent.
    pub at_once_percent: usize,
    /// Tasks that save their progress are stopped on VMs that another pool needs.
    pub stop_tasks: bool,
}

/// How waves of maintenance are done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WavePolicy {
    /// VMs of pools that are short of them wait while the wave has time.
    pub wait_for_pools: bool,
    /// While a pool is short of VMs, no more are worked on than must be for the wave to be in time:
    /// otherwise a wave holds a fifth of 49 VMs at the onset of a turn.
    pub pace: bool,
}

/// Whose jobs go first when a pool is full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SharePolicy {
    /// Those that are due first, whoever sent them.
    DueFirst,
    /// The same, but what a workspace sends beyond its weight in jobs a second goes last.
    #[default]
    BeyondLast,
}

/// How tasks are ordered and placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskPolicy {
    /// A late job that must begin within this time to be of use at all goes before those that can
    /// be in time, in milliseconds; 0 lets it wait.
    pub rescue_ms: Ms,
    /// Whose jobs go first when not all can.
    pub shares: SharePolicy,
    /// Filling tasks are slowed down while a serving task beside them is near its target.
    pub pacing: bool,
    /// Tasks under which VMs crashed are started with nothing of other jobs beside them.
    pub keep_suspects_apart: bool,
    /// How long a new owner moves no lasting tasks, in milliseconds: its predecessor's last stops
    /// may be under way, of which no record tells. The users' VMs take 900 ms at most to stop a
    /// run, and the next report comes within half a second.
    pub pause_after_takeover_ms: Ms,
}

impl Default for NeedPolicy {
    fn default() -> Self {
        Self {
            fill_percent: 80,
            lead_ms: 2_000,
            arrivals: 8,
            late_last: true,
            leaves_out_ended: true,
            floor_vms: 4,
        }
    }
}

impl Default for MovePolicy {
    fn default() -> Self {
        Self {
            margin_percent: 15,
            keep_ms: 2_500,
            stay_ms: 1_500,
            at_once_percent: 50,
            stop_tasks: true,
        }
    }
}

impl Default for WavePolicy {
    fn default() -> Self {
        Self { wait_for_pools: true, pace: true }
    }
}

impl Default for TaskPolicy {
    fn default() -> Self {
        Self {
            rescue_ms: 1_000,
            shares: SharePolicy::BeyondLast,
            pacing: true,
            keep_suspects_apart: true,
            pause_after_takeover_ms: 1_500,
        }
    }
}
