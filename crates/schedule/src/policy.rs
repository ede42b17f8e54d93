//! The parameters of scheduling decisions: one typed struct, configurable in the settings file, so that a decision can be
//! changed or disabled without a code change.

use serde::{Deserialize, Serialize};

use crate::Ms;

/// The parameters of scheduling decisions. Those that are absent from the settings file have their defaults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How the number of VMs that a pool needs is computed.
    pub need: NeedPolicy,
    /// How VMs move between pools.
    pub moves: MovePolicy,
    /// How maintenance waves are carried out.
    pub waves: WavePolicy,
    /// How tasks are ordered and placed.
    pub tasks: TaskPolicy,
    /// How nodes own shards.
    pub ownership: OwnershipPolicy,
    /// Which jobs are refused when a pool is full.
    pub admission: AdmissionPolicy,
}

/// The parameters for the ownership of shards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OwnershipPolicy {
    /// Whether owners send their heartbeats to a partition of their own, where they do not queue behind those of idle nodes.
    pub owner_heartbeats: bool,
    /// Whether a node that owns several shards hands one over to a node that owns none, and a node that stops names the nodes
    /// that own its shards next.
    pub spread: bool,
}

/// The parameters for the number of VMs that a pool needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NeedPolicy {
    /// The target utilization of VMs, in percent. As tasks differ in size, the last part of a VM's capacity is hard to use.
    pub fill_percent: u64,
    /// How far ahead the need is computed until the duration of a move is known, in milliseconds. A move takes 1.5 s, and
    /// reporting, ordering and starting take half a second. With 0 the need is always that of the present.
    pub lead_ms: Ms,
    /// The number of arrivals at a queue from which its arrival rate is estimated; 0 ignores future arrivals. With eight the
    /// estimate is off by about a third. Fewer arrivals would request VMs for random variations; more would detect a change
    /// later.
    pub arrivals: usize,
    /// Whether work that will be late gets only the VMs that are left over by work that can finish in time, instead of an equal
    /// share. This raises the mean net value from 0.56 to 0.57 of the value due, over 24 days with mixed failures.
    pub late_last: bool,
    /// Whether steps that follow the running ones are left out of the need if they will have ended before new VMs arrive. At
    /// peak load this lowers the reported need for such steps in a pool of 350 VMs from 1,100 to 1,300 cores to 400 to 700,
    /// with 2,000 in use.
    pub leaves_out_ended: bool,
    /// Whether arrival rates are held while the owner cannot read submissions as they come, for at most six seconds.
    pub holds_rate: bool,
    /// The minimum number of VMs of a pool, so that the first jobs start at once when its load rises.
    pub floor_vms: usize,
    /// Whether VMs are moved only for work that can still finish in time once they have arrived. Other work keeps the VMs that
    /// its pool has.
    pub in_time_only: bool,
}

/// The parameters for moving VMs between pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MovePolicy {
    /// The margin that a pool keeps above its need when other pools are short, in percent.
    pub margin_percent: usize,
    /// How long a pool keeps VMs that it no longer needs, in milliseconds. Two moves cost about as much as two seconds of an
    /// idle VM (the sites' prices are 0.088 for a move and 0.077 for a VM-second).
    pub keep_ms: Ms,
    /// The minimum time that a VM with work stays in the pool to which it was moved, in milliseconds.
    pub stay_ms: Ms,
    /// The maximum share of all VMs that may be moving between pools at once, in percent.
    pub at_once_percent: usize,
    /// Whether tasks with checkpoints are stopped on VMs that another pool needs.
    pub stop_tasks: bool,
    /// Whether the fleet's owner goes on while it writes its record, and gets the reports of pools directly.
    pub pipelined: bool,
    /// Whether VMs without work in evacuated halls are switched off, if their pool can do without them.
    pub switch_off_evacuated: bool,
    /// Whether VMs are divided by max-min fairness when pools need more than there are, instead of in proportion to their needs.
    pub max_min: bool,
    /// Whether idle VMs beyond a pool's need are given up without a margin as soon as another pool is short of VMs, and no VM is
    /// switched off meanwhile.
    pub keep_while_short: bool,
    /// Whether the limit of `at_once_percent` counts only VMs that are being emptied, and not those that have left their pools.
    pub limit_emptying: bool,
    /// The price of a move as the time for which a VM that is up costs the same, in milliseconds. VMs are switched off if
    /// keeping them has cost as much as switching them off and on again. 0: VMs are switched off after `keep_ms`.
    pub move_cost_ms: Ms,
}

/// The parameters for maintenance waves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WavePolicy {
    /// Whether VMs of pools that are short of VMs are maintained last, as long as the wave has time.
    pub wait_for_pools: bool,
    /// Whether a wave, while a pool is short of VMs, works on only as many VMs at once as it must to finish in time.
    /// Otherwise a wave occupies a fifth of 49 VMs just when the load of a pool rises.
    pub pace: bool,
}

/// Which jobs go first when a pool is full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SharePolicy {
    /// Jobs that are due first, whichever workspace submitted them.
    DueFirst,
    /// Jobs that are due first, but those that a workspace submits beyond its weight in jobs a second go last.
    #[default]
    BeyondLast,
}

/// Which jobs go first while a pool's jobs cannot all finish in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OverloadPolicy {
    /// Jobs that are due first, as otherwise.
    #[default]
    DueFirst,
    /// Jobs that are due first, but those with the most work left go last as far as the others could not finish in time. One in
    /// three jobs is exempt.
    LeastWork,
}

/// The parameters for ordering and placing tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskPolicy {
    /// A late job that must start within this time to have any value goes before jobs that can finish in time, in
    /// milliseconds; 0 disables this.
    pub rescue_ms: Ms,
    /// Which jobs go first when a pool is full.
    pub shares: SharePolicy,
    /// Which jobs go first while not all can finish in time.
    pub overload: OverloadPolicy,
    /// Whether tasks that use leftover CPU time are slowed down while a serving task on the same VM is near its target.
    pub pacing: bool,
    /// Whether tasks under which VMs crashed start only on VMs without tasks of other jobs.
    pub keep_suspects_apart: bool,
    /// How long a new owner moves no lasting tasks, in milliseconds. Its predecessor's last stops may still be in progress and
    /// are not recorded. A VM takes at most 900 ms to stop a run, and the next report arrives within half a second.
    pub pause_after_takeover_ms: Ms,
}

/// The parameters for the admission of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionPolicy {
    /// Whether a job is refused if it can no longer be of use with all VMs that its pool may get. While the links of a pool's
    /// owner and standbys can't carry its starts, such jobs are refused in any case, as no VM helps.
    pub by_load: bool,
    /// The time within which an accepted job has its first start while its pool has room, in milliseconds. A job that would
    /// wait for longer, because the pool's owner can't start as much, is refused. With 0, none is.
    pub start_within_ms: Ms,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self { by_load: false, start_within_ms: 3_000 }
    }
}

impl Default for NeedPolicy {
    fn default() -> Self {
        Self {
            fill_percent: 80,
            lead_ms: 2_000,
            arrivals: 8,
            late_last: true,
            leaves_out_ended: true,
            holds_rate: true,
            floor_vms: 4,
            in_time_only: false,
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
            pipelined: true,
            switch_off_evacuated: false,
            max_min: false,
            keep_while_short: false,
            limit_emptying: false,
            move_cost_ms: 0,
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
            overload: OverloadPolicy::DueFirst,
            pacing: true,
            keep_suspects_apart: true,
            pause_after_takeover_ms: 1_500,
        }
    }
}
