//! The fleet's record is written in rows, one for each VM or wave that changed.
//!
//! A record in a single value takes about 95 bytes for each VM with work. In a fleet of 6,000 VMs it can exceed the 262,144 bytes
//! that the store accepts. Each append then fails with status 400 and the fleet's owner can order nothing more.

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use thistle_schedule::fleet::{FleetRecord, FleetRow, Purpose, Stage, VmWork, WaveRecord};

fn work(vm: &str, stage: Stage) -> VmWork {
    VmWork { vm: vm.to_owned(), purpose: Purpose::Move { to: "hub".to_owned() }, stage }
}

fn name(number: u32) -> String {
    format!("vm-{number}")
}

/// Makes one random change to the record.
fn change(record: &mut FleetRecord, rng: &mut StdRng) {
    let vm = name(rng.random_range(0..20));
    match rng.random_range(0..8) {
        0 | 1 => record.work.insert(work(&vm, Stage::Emptying)),
        2 => record.work.set_stage(&vm, Stage::Ordered { incarnation: Some(vm.clone()) }),
        3 => _ = record.work.remove(&vm),
        4 if !record.ordered_lately.contains(&vm) => record.ordered_lately.push(vm),
        5 => record.ordered_lately.retain(|known| *known != vm),
        6 => (record.owner, record.move_ms) = (vm, rng.random_range(0..3)),
        _ => change_wave(record, rng.random_range(1..3), vm),
    }
}

fn change_wave(record: &mut FleetRecord, number: u64, vm: String) {
    let Some(wave) = record.waves.iter_mut().find(|w| w.wave == number) else {
        let left = (0..10).map(name).collect();
        record.waves.push(WaveRecord { wave: number, left, ..WaveRecord::default() });
        return;
    };
    if wave.left.shift_remove(&vm) {
        wave.done.insert(vm);
    } else {
        wave.completed |= wave.left.is_empty();
    }
}

/// Returns the content of a record in sorted order, so that two records can be compared.
fn sorted_content(record: &FleetRecord) -> impl PartialEq + std::fmt::Debug + use<> {
    let mut work: Vec<VmWork> = record.work.iter().cloned().collect();
    work.sort_by(|a, b| a.vm.cmp(&b.vm));
    let mut ordered_lately = record.ordered_lately.clone();
    ordered_lately.sort();
    let wave_content = |w: &WaveRecord| match w.completed {
        true => (w.wave, true, Vec::new(), Vec::new()),
        false => {
            let sorted = |names: &indexmap::IndexSet<String>| {
                let mut names: Vec<String> = names.iter().cloned().collect();
                names.sort();
                names
            };
            (w.wave, false, sorted(&w.left), sorted(&w.done))
        }
    };
    let mut waves: Vec<_> = record.waves.iter().map(wave_content).collect();
    waves.sort();
    (record.owner.clone(), record.move_ms, work, ordered_lately, waves)
}

#[gtest]
fn applying_all_changes_yields_the_same_record() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut record, mut written, mut applied) =
            (FleetRecord::default(), FleetRecord::default(), FleetRecord::default());
        for _ in 0..100 {
            for _ in 0..rng.random_range(1..6) {
                change(&mut record, &mut rng);
            }
            for row in record.changes_since(&written) {
                applied.apply(row);
            }
            written = record.clone();
            assert_eq!(sorted_content(&applied), sorted_content(&record), "seed {seed}");
        }
    }
}

#[gtest]
fn a_change_of_one_vm_is_one_row_however_many_vms_have_work() {
    let mut record = FleetRecord::default();
    for number in 0..12_000 {
        record.work.insert(work(&name(number), Stage::Emptying));
    }
    let before = record.clone();
    record.work.remove("vm-7");
    record.ordered_lately.push("vm-7".to_owned());
    let row = FleetRow::Vm { vm: "vm-7".to_owned(), work: None, ordered_lately: true };
    expect_that!(record.changes_since(&before), elements_are![eq(&row)]);
}
