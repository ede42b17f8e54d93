//! Faults beside bursts of work: VMs that are cut off together and are back at one moment, entries that vanish while their VMs serve
//! on, nodes that are paused, replaced, or killed and started at once.
//!
//! Another incarnation of a VM is never listed while the one before it works: a VM is one life of its machine, and what runs
//! there dies before the next life begins. What is played is an entry that outlasts its VM beside that of the next incarnation, and one
//! that vanishes seconds before its VM crashes or is listed again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::SliceRandom;
use thistle_platform::standin::{Connectivity, Stall, VmFake};

use super::faults::Soak;
use super::rhythm::Rhythm;

/// VMs that are left in reach: elsewhere there is room for what ran on the others.
const LEFT: usize = 2;
/// For how long several VMs are cut off at once, in milliseconds: their leases, of 6 s at most, run out in some.
const CUT_MS: std::ops::Range<u64> = 5_000..9_000;
/// For how long they are as a burst begins, in milliseconds: they are back about when their leases run out, by which time others
/// have been given their tasks.
const CUT_ABOUT_A_LEASE_MS: std::ops::Range<u64> = 5_000..7_200;
/// For how long one VM hears or says only a part, in milliseconds.
const PART_MS: std::ops::Range<u64> = 1_000..8_000;
/// For how long an entry is gone or stands too long, in milliseconds.
const ENTRY_MS: std::ops::Range<u64> = 500..6_000;
/// For how long a node is paused, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1_000..8_000;

/// What is mended at its time.
pub enum Later {
    /// Everything gets through to these VMs again.
    InReach(Vec<Arc<VmFake>>),
    /// This incarnation writes its entry again, if it is up.
    Listed(Arc<str>),
    /// The entry of this incarnation goes.
    Forgotten(Arc<str>),
    /// This node goes on.
    GoesOn(usize),
}

impl Soak {
    /// Brings about a fault of this kind, or any other one, after what is due.
    pub async fn burst_fault(&mut self) {
        self.mend_what_is_due();
        self.start_what_ended_early();
        if Rhythm::Bursts.is_burst(self.began) != self.was_burst {
            self.was_burst = !self.was_burst;
            if self.was_burst {
                // What is ordered as a burst begins waits behind orders that have no answer, while others have room.
                let what = self.cut_off_several(CUT_ABOUT_A_LEASE_MS);
                self.faults.push(what);
            }
        }
        let node = self.rng.random_range(0..self.system.nodes.len());
        let what = match self.rng.random_range(0..100) {
            0..12 => self.cut_off_several(CUT_MS),
            12..20 if self.was_burst => self.cut_off_several(CUT_MS),
            20..31 => self.cut_a_part(),
            31..39 => self.lose_entries(),
            39..44 => self.crash_unsaid().await,
            44..53 => self.pause_for_a_while(node),
            53..59 => self.kill_and_start(node),
            59..65 => self.replace(node),
            65..72 => self.signal_all(),
            _ => {
                self.fault().await;
                return;
            }
        };
        self.faults.push(what);
        let pause = self.rng.random_range(20..500);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    /// Mends everything whose time has not come yet.
    pub fn mend_what_is_left(&mut self) {
        for (_, later) in std::mem::take(&mut self.later) {
            self.mend(later);
        }
    }

    /// Returns whether a VM is to be in reach again at a time of its own.
    pub fn is_cut_off(&self, vm: &VmFake) -> bool {
        let of = |later: &Later| matches!(later, Later::InReach(vms) if vms.iter().any(|v| v.id == vm.id));
        self.later.iter().any(|(_, later)| of(later))
    }

    fn mend_what_is_due(&mut self) {
        let now = Instant::now();
        let (due, left) = std::mem::take(&mut self.later).into_iter().partition(|l| l.0 <= now);
        self.later = left;
        let due: Vec<(Instant, Later)> = due;
        for (_, later) in due {
            self.mend(later);
        }
    }

    fn mend(&mut self, later: Later) {
        let machines = &self.system.platform.machines;
        match later {
            Later::InReach(vms) => vms.iter().for_each(|vm| vm.set_connectivity(Connectivity::All)),
            Later::Listed(id) => machines.rewrite_entry(&id),
            Later::Forgotten(id) => machines.remove_entry(&id),
            Later::GoesOn(node) => self.go_on(node),
        }
    }

    fn later(&mut self, ms: std::ops::Range<u64>, what: Later) -> Duration {
        let after = Duration::from_millis(self.rng.random_range(ms));
        self.later.push((Instant::now() + after, what));
        after
    }

    /// Returns VMs that are up and in reach, in any order, those at work first; some are left.
    fn vms_to_cut(&mut self) -> Vec<Arc<VmFake>> {
        let mut vms = self.system.platform.machines.vms();
        vms.retain(|vm| !self.is_cut_off(vm));
        vms.shuffle(&mut self.rng);
        vms.sort_by_key(|vm| vm.running().is_empty());
        vms.truncate(vms.len().saturating_sub(LEFT));
        vms
    }

    fn cut_off_several(&mut self, ms: std::ops::Range<u64>) -> String {
        let mut vms = self.vms_to_cut();
        vms.truncate(self.rng.random_range(2..=4));
        let held_up = self.rng.random_bool(0.4);
        let reach = if held_up { Connectivity::Delayed } else { Connectivity::Nothing };
        self.cut(vms, reach, ms)
    }

    fn cut_a_part(&mut self) -> String {
        let mut vms = self.vms_to_cut();
        vms.truncate(self.rng.random_range(1..=2));
        let parts = [Connectivity::HoldsOnly, Connectivity::LateOrders, Connectivity::Calls];
        let reach = parts[self.rng.random_range(0..parts.len())];
        self.cut(vms, reach, PART_MS)
    }

    fn cut(
        &mut self,
        vms: Vec<Arc<VmFake>>,
        reach: Connectivity,
        ms: std::ops::Range<u64>,
    ) -> String {
        for vm in &vms {
            vm.set_connectivity(reach);
            if reach == Connectivity::Nothing {
                vm.stall_connections(Stall::BothWays);
            }
        }
        let ids: Vec<String> = vms.iter().map(|vm| vm.id.to_string()).collect();
        let after = self.later(ms, Later::InReach(vms));
        if ids.is_empty() {
            return "enough VMs are cut off".to_owned();
        }
        format!("{reach:?} of {} for {after:?}", ids.join(" "))
    }

    /// Has the entries of VMs go while they serve on.
    fn lose_entries(&mut self) -> String {
        let mut vms = self.system.platform.machines.vms();
        vms.shuffle(&mut self.rng);
        vms.truncate(self.rng.random_range(1..=2));
        let mut gone = Vec::new();
        for vm in vms {
            self.system.platform.machines.remove_entry(&vm.id);
            let after = self.later(ENTRY_MS, Later::Listed(vm.id.clone()));
            gone.push(format!("{} for {after:?}", vm.id));
        }
        format!("entries gone: {}", gone.join(", "))
    }

    /// Crashes a VM whose entry stands on beside that of its next incarnation.
    async fn crash_unsaid(&mut self) -> String {
        let vms = self.system.platform.machines.vms();
        let Some(vm) = vms.get(self.rng.random_range(0..vms.len().max(1))) else {
            return "no VM is up".to_owned();
        };
        let (name, id) = (vm.place.name.clone(), vm.id.clone());
        let crashed = self.system.platform.machines.crash_keeping_entry(&name).await;
        crashed.expect("it comes up again");
        let after = self.later(ENTRY_MS, Later::Forgotten(id.clone()));
        format!("crash of {id}, whose entry stands for {after:?}")
    }

    fn pause_for_a_while(&mut self, node: usize) -> String {
        let what = self.pause(node);
        if !self.is_paused(node) {
            return what;
        }
        let after = self.later(PAUSE_MS, Later::GoesOn(node));
        format!("{what} for {after:?}")
    }

    fn kill_and_start(&mut self, node: usize) -> String {
        if !self.is_up(node) {
            return format!("kill and start {node}: it is not up");
        }
        self.kill(node);
        self.start_again(node);
        format!("kill and start {node}")
    }

    /// Tells a node to stop and starts one that is down in its place at once: both answer callers for a time.
    fn replace(&mut self, node: usize) -> String {
        let nodes = &mut self.system.nodes;
        let mut ended = self.down.iter().copied().filter(|&n| n != node && nodes[n].has_ended());
        let Some(spare) = ended.next() else {
            // It is to take the place of the next one.
            return self.terminate(node);
        };
        let what = self.terminate(node);
        self.start_again(spare);
        format!("{what}, start {spare}")
    }

    /// Tells all nodes of changed settings, with changes of the configuration before and after.
    fn signal_all(&mut self) -> String {
        let before = self.config();
        let up: Vec<usize> = (0..self.system.nodes.len()).filter(|&n| self.is_up(n)).collect();
        for &node in &up {
            self.system.nodes[node].signal("HUP");
        }
        format!("{before}, reload {up:?}, {}", self.config())
    }
}
