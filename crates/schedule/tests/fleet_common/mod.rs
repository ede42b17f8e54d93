//! Helpers shared by the fleet tests: they build VMs, pool reports, waves and fleets.
#![allow(dead_code, reason = "each test file uses its own part")]

use thistle_schedule::fleet::{
    Fleet, FleetOrder, FleetRecord, FleetVm, HoldOff, PoolReport, VmState, WaveRequest,
};

pub fn vm(name: &str, pool: &str, incarnation_number: u32, state: VmState) -> FleetVm {
    let incarnation = Some(format!("{name}-{incarnation_number}").into());
    let (hall, rack) = ("hall-a".into(), "r1".into());
    FleetVm { name: name.into(), pool: pool.into(), state, hall, rack, incarnation }
}

pub fn up_vms(names: &[&str]) -> Vec<FleetVm> {
    names.iter().map(|n| vm(n, "desk", 1, VmState::Up)).collect()
}

pub fn emptied_report(names: &[&str]) -> PoolReport {
    let empty = |n: &&str| ((*n).to_owned(), format!("{n}-1"));
    PoolReport { emptied: names.iter().map(empty).collect(), vms: 6, ..PoolReport::default() }
}

pub fn wave(names: &[&str], cap: usize) -> WaveRequest {
    let vms = names.iter().map(|n| (*n).to_owned()).collect();
    WaveRequest { wave: 1, vms, duration_ms: 25_000, cap, requested_at: None }
}

pub fn fleet(names: &[&str], cap: usize) -> Fleet {
    let mut fleet = Fleet::new(FleetRecord::default(), HoldOff::default());
    fleet.set_pools(["desk".into()].into(), None);
    fleet.set_vms(up_vms(&["a", "b", "c", "d", "e", "f"]), 0);
    fleet.set_wave(wave(names, cap));
    fleet
}

pub fn vms_of(orders: &[FleetOrder]) -> Vec<&str> {
    orders.iter().map(|o| o.vm.as_str()).collect()
}

pub fn two_pools() -> Fleet {
    let mut fleet = Fleet::new(FleetRecord::default(), HoldOff::default());
    fleet.set_pools(["desk".into(), "hub".into()].into(), Some("off".into()));
    let mut vms = Vec::new();
    for i in 0..6 {
        vms.push(vm(&format!("d{i}"), "desk", 1, VmState::Up));
        vms.push(vm(&format!("h{i}"), "hub", 1, VmState::Up));
    }
    vms.push(vm("o", "off", 1, VmState::Up));
    fleet.set_vms(vms, 0);
    fleet
}

/// Returns the report of a pool that expects to need the CPU in use and three times the waiting CPU soon.
pub fn busy_report(waiting: u64, used: u64, idle: &[&str]) -> PoolReport {
    PoolReport {
        waiting_cpu: waiting,
        used_cpu: used,
        soon_cpu: used + 3 * waiting,
        cpu: 96_000,
        vms: 6,
        idle: idle.iter().map(|n| (*n).to_owned()).collect(),
        ..PoolReport::default()
    }
}
