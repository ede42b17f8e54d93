//! Costs of the state: the fold, the planner, the snapshot and the view.

use std::hint::black_box;

use thistle_fold::{image, view};
use thistle_model::record::encode;
use thistle_model::{Change, Offset, Record, RecordId, Revision};
use thistle_plan::{PlanConfig, plan};
use thistle_replay::fleet::{Fleet, Layout};

use super::{Slope, micros};

const SIZES: [usize; 4] = [50, 400, 1_600, 3_200];
const POOLS: usize = 22;
const HALLS: usize = 12;

/// Measures the memory of the state. Runs early, while there is little freed memory that could be reused.
pub fn memory_slope() -> Slope {
    let sizes = [400usize, 800, 1_600, 3_200];
    let points = sizes.iter().map(|&n| (n as f64, memory(&fleet(n)))).collect();
    Slope::new("memory of the state", "VM", "bytes", points)
}

/// Measures the costs that grow with the number of VMs.
pub fn measure() -> Vec<Slope> {
    let fleets: Vec<(f64, Fleet)> = SIZES.iter().map(|&n| (n as f64, fleet(n))).collect();
    let of = |cost: &dyn Fn(&Fleet) -> f64| -> Vec<(f64, f64)> {
        fleets.iter().map(|(n, f)| (*n, cost(f))).collect()
    };
    vec![
        Slope::new(
            "snapshot of the state",
            "VM",
            "bytes",
            of(&|f| image::encode(&f.state).len() as f64),
        ),
        Slope::new(
            "encoding the snapshot",
            "VM",
            "us",
            of(&|f| {
                micros(5, 3, || {
                    black_box(image::encode(&f.state));
                })
            }),
        ),
        Slope::new(
            "one planning step, nothing to do",
            "VM",
            "us",
            of(&|f| {
                micros(5, 3, || {
                    black_box(plan(&f.state, &PlanConfig::default(), 0));
                })
            }),
        ),
        Slope::new("one planning step, a wave to start", "VM", "us", of(&wave_step)),
        Slope::new("one planning step, within a wave", "VM", "us", of(&within_wave_step)),
        Slope::new("folding one record", "VM", "us", of(&fold_record)),
        Slope::new(
            "whole view for an entry",
            "VM",
            "bytes",
            of(&|f| view_bytes(f, Revision::NONE)),
        ),
        Slope::new("view after one change", "VM", "bytes", of(&view_after_change)),
    ]
}

fn fleet(vms: usize) -> Fleet {
    let layout = if vms == 50 { Layout::three_halls() } else { Layout::uniform(vms, POOLS, HALLS) };
    Fleet::new(layout, PlanConfig::default(), 1)
}

/// Returns the memory of one copy of the state: the growth of this process by ten copies, divided by ten.
fn memory(f: &Fleet) -> f64 {
    const COPIES: usize = 10;
    let before = resident();
    let copies: Vec<_> = (0..COPIES).map(|_| f.state.clone()).collect();
    let after = resident();
    std::mem::forget(black_box(copies));
    after.saturating_sub(before) as f64 / COPIES as f64
}

/// Returns the resident memory of this process, in bytes.
pub(super) fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1_024
}

fn wave_step(f: &Fleet) -> f64 {
    let mut state = f.state.clone();
    apply(&mut state, Change::WaveStart { base: Revision::NONE });
    micros(5, 3, || {
        black_box(plan(&state, &PlanConfig::default(), 0));
    })
}

fn within_wave_step(f: &Fleet) -> f64 {
    let mut state = f.state.clone();
    apply(&mut state, Change::WaveStart { base: Revision::NONE });
    loop {
        let proposals = plan(&state, &PlanConfig::default(), 0);
        if proposals.is_empty() {
            break;
        }
        proposals.into_iter().for_each(|p| apply(&mut state, p.change));
    }
    micros(5, 3, || {
        black_box(plan(&state, &PlanConfig::default(), 0));
    })
}

fn fold_record(f: &Fleet) -> f64 {
    const RECORDS: u32 = 2_000;
    let mut state = f.state.clone();
    let names: Vec<_> = state.vm_keys.keys().cloned().collect();
    let mut n = 0usize;
    micros(3, RECORDS, || {
        let vm = names[n % names.len()].clone();
        let base = state.vms[state.vm_keys[&vm]].revision;
        n += 1;
        apply(&mut state, Change::Cordon { vm, base, on: n.is_multiple_of(2), force: true });
    })
}

fn apply(state: &mut thistle_fold::State, change: Change) {
    let seq = state.records + 1;
    let record = Record { id: RecordId { writer: 9, seq }, at_ms: 0, change };
    let offset: Offset = state.next;
    black_box(state.apply_entry(offset, &encode(&[record])));
}

fn view_bytes(f: &Fleet, since: Revision) -> f64 {
    let update = view::changed_since(&f.state, since);
    super::control::wire_bytes(&update)
}

/// Returns the bytes of the view update after a change of one VM, which holds the pool of the VM.
fn view_after_change(f: &Fleet) -> f64 {
    let mut changed = Fleet::new(Layout::uniform(4, 1, 1), PlanConfig::default(), 1);
    changed.state = f.state.clone();
    let since = Revision(f.state.accepted);
    let key = f.state.vms.iter().find(|(_, vm)| vm.pool != f.state.reserve).map(|(k, _)| k);
    let Some(vm) = key.map(|k| &f.state.vms[k]) else { return 0.0 };
    let change = Change::Cordon { vm: vm.name.clone(), base: vm.revision, on: true, force: true };
    apply(&mut changed.state, change);
    view_bytes(&changed, since)
}
