//! Caps hold across all pools while owners and lenders are replaced at any moment, usage reports arrive late or never, and caps
//! change. A split by demand leaves less of a cap idle than equal parts.

mod quota_world;

use quota_world::{DisabledSafeguard, Split, World};

/// The number of ticks of one history.
const TICKS: u64 = 600;
/// The number of ticks for which a pool is the busy one.
const PHASE_TICKS: u64 = 150;
const SEEDS: u64 = 150;
/// The number of histories within which a disabled safeguard must cause a start over the cap.
const SEEDS_PER_SAFEGUARD: u64 = 400;

fn simulate(seed: u64, split: Split, disabled: DisabledSafeguard, has_faults: bool) -> World {
    let mut world = World::new(seed, split, disabled, has_faults);
    for tick in 0..TICKS {
        let busy = usize::try_from(tick / PHASE_TICKS).unwrap_or(0) % 3;
        world.tick(busy);
    }
    world
}

/// Seeds that failed before and are simulated in each run.
///
/// 658: a cap was unlimited for a while. When it was limited again, a pool used the part that it was lent before, in
/// addition to the tasks that another pool had started without a limit (4 starts over the cap).
/// 176, 3507: the same with owners and lenders that were replaced in between and used older records.
/// 14: a workspace that was limited for the first time was lent its whole cap in addition to its running tasks.
/// 3240: a new owner whose node did not know the limit yet started tasks that its predecessor had left waiting.
const REGRESSION_SEEDS: [u64; 5] = [14, 176, 658, 3240, 3507];

fn seeds() -> std::ops::Range<u64> {
    let is_long_run = std::env::var_os("THISTLE_LONG_RUN").is_some();
    0..if is_long_run { 10_000 } else { SEEDS }
}

#[test]
fn no_task_starts_over_a_cap_despite_replacements_and_delays() {
    let mut starts = 0;
    for seed in seeds().chain(REGRESSION_SEEDS) {
        let world = simulate(seed, Split::Lent, DisabledSafeguard::Nothing, true);
        assert_eq!(world.starts_over_cap, 0, "seed {seed}");
        starts += world.starts;
    }
    println!("{starts} starts over {} histories, none over a cap", seeds().end);
    assert!(starts > seeds().end * 20, "too few starts to tell: {starts}");
}

#[test]
fn each_disabled_safeguard_causes_a_start_over_a_cap() {
    let safeguards = [
        DisabledSafeguard::Confirmation,
        DisabledSafeguard::ReadingFirst,
        DisabledSafeguard::LoweredCap,
        DisabledSafeguard::Predecessor,
        DisabledSafeguard::Admission,
    ];
    for disabled in safeguards {
        let is_over = |&seed: &u64| simulate(seed, Split::Lent, disabled, true).starts_over_cap > 0;
        let failing_seed = (0..SEEDS_PER_SAFEGUARD).find(is_over);
        println!("without {disabled:?}: a start over a cap shows at seed {failing_seed:?}");
        assert!(failing_seed.is_some(), "{disabled:?}");
    }
}

/// The pools are busy one after the other. With equal parts, the busy pool has waiting tasks while the parts of the others
/// are idle.
#[test]
fn little_of_a_cap_is_idle_while_a_pool_waits_for_it() {
    let idle_share = |split| {
        let (mut idle, mut cap, mut waits_ms) = (0, 0, Vec::new());
        for seed in 0..20 {
            let world = simulate(seed, split, DisabledSafeguard::Nothing, false);
            assert_eq!(world.starts_over_cap, 0, "seed {seed}");
            idle += world.idle_cpu_while_waiting;
            cap += world.cap_cpu_while_waiting;
            waits_ms.extend(world.waits_for_share_ms);
        }
        waits_ms.sort_unstable();
        let percentile =
            |percent: usize| waits_ms.get(waits_ms.len() * percent / 100).copied().unwrap_or(0);
        println!(
            "{split:?}: {idle} of {cap} idle, share after {} ms p50, {} ms p99",
            percentile(50),
            percentile(99)
        );
        idle as f64 / cap as f64
    };
    let (lent, equal) = (idle_share(Split::Lent), idle_share(Split::Equal));
    assert!(lent < 0.1 && lent * 3.0 < equal, "lent {lent:.3}, equal parts {equal:.3}");
}
