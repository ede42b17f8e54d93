//! `thistle-bench fleet`: compares waves, moves and buffers with the baselines at several fleet sizes.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use thistle_plan::{PlanConfig, RefillPolicy, WavePolicy};
use thistle_replay::fleet::{Failure, Fleet, FleetReport, Layout};

use super::Error;

const HOUR: u64 = 3_600;

/// Prints a table of waves and a table of buffers.
pub fn run() -> Result<(), Error> {
    let layouts = [
        ("budnet", Layout::three_halls(), PlanConfig::default().with_weights(3, 1, 1)),
        ("trasteo-listo", Layout::four_halls(), PlanConfig::default().with_weights(1, 3, 1)),
        ("400", Layout::uniform(400, 22, 12), PlanConfig::default()),
        ("1600", Layout::uniform(1_600, 22, 12), PlanConfig::default()),
        ("3200", Layout::uniform(3_200, 22, 12), PlanConfig::default()),
    ];
    println!(
        "{:<14} {:<12} {:>9} {:>6} {:>7} {:>9} {:>9} {:>9} {:>8} {:>10} {:>11} {:>9}",
        "fleet",
        "policy",
        "wave h",
        "moves",
        "failed",
        "accepted",
        "rejected",
        "bytes",
        "plans",
        "longest ms",
        "below floor",
        "buffer h"
    );
    for (name, layout, cfg) in &layouts {
        let failures = draw_failures(layout);
        let ours = run_one(layout, *cfg, &failures);
        print_row(name, "ours", &ours);
        // One VM at a time takes minutes to compute at the larger sizes. Its duration is the sum of the
        // single reboots, so two sizes are enough.
        if layout.vms <= 400 {
            let one = PlanConfig { wave: WavePolicy::OneAtATime, ..*cfg };
            print_row(name, "one at once", &run_one(layout, one, &failures));
        }
        let greedy = PlanConfig { refill: RefillPolicy::Greedy, ..*cfg };
        print_row(name, "greedy fill", &run_one(layout, greedy, &failures));
    }
    println!("\nbuffer that covers the loss of any one rack, in VMs");
    println!("{:<14} {:>8} {:>16} {:>16}", "fleet", "shared", "by pool, spread", "by pool, greedy");
    for (name, layout, _) in &layouts {
        let spread = Fleet::new(layout.clone(), PlanConfig::default(), 1);
        let cfg = PlanConfig { refill: RefillPolicy::Greedy, ..PlanConfig::default() };
        let greedy = Fleet::new(layout.clone(), cfg, 1);
        let (shared, own) = (spread.shared_buffer(), spread.buffers_by_pool());
        println!("{name:<14} {shared:>8} {own:>16} {:>16}", greedy.buffers_by_pool());
    }
    Ok(())
}

/// Draws the failures of the first hours: VMs at a rate of 46 a day in 3,200, and one rack.
fn draw_failures(layout: &Layout) -> Vec<(u64, Failure)> {
    let mut rng = SmallRng::seed_from_u64(5);
    let count = (layout.vms * 46 / 3_200 / 4).max(2);
    let vm = |rng: &mut SmallRng| {
        let (at, vm) = (rng.random_range(0..2 * HOUR), rng.random_range(0..layout.vms));
        (at, Failure::Vm(vm, HOUR / 2))
    };
    let mut failures: Vec<_> = (0..count).map(|_| vm(&mut rng)).collect();
    failures.push((600, Failure::Rack(layout.rack_count() / 2, HOUR)));
    failures
}

fn run_one(layout: &Layout, cfg: PlanConfig, failures: &[(u64, Failure)]) -> FleetReport {
    Fleet::new(layout.clone(), cfg, 1).run_wave(failures)
}

fn print_row(fleet: &str, policy: &str, r: &FleetReport) {
    println!(
        "{fleet:<14} {policy:<12} {:>9.2} {:>6} {:>7} {:>9} {:>9} {:>9} {:>8} {:>10.2} {:>11} {:>9.0}",
        r.wave_seconds as f64 / HOUR as f64,
        r.moves,
        r.failed_in_pools,
        r.accepted,
        r.rejected,
        r.bytes,
        r.plans,
        r.longest_plan_us as f64 / 1_000.0,
        r.below_floor_seconds,
        r.buffer_vm_hours,
    );
}
