//! Tests fencing in random runs with network cuts, freezes, log outages, late reads and late
//! messages: after a drain is recorded as done, no entry sends to the VM, whatever the entry has
//! missed.

mod fence_world;

use fence_world::{World, vm};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use thistle_fold::Stage;

fn cases() -> u32 {
    if std::env::var_os("THISTLE_LONG_RUN").is_some() { 100_000 } else { 400 }
}

#[test]
fn no_entry_sends_to_a_drained_vm() {
    let config = Config { cases: cases(), failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(any::<[u32; 3]>(), 100..900);
    let counts = std::cell::Cell::new((0u64, 0u64, 0u64));
    runner
        .run(&steps, |steps| {
            let mut world = World::new();
            steps.iter().for_each(|s| world.step(s));
            let key = world.agreed.vm_key(&vm()).unwrap();
            let drained = matches!(world.agreed.vms[key].stage, Stage::Drained(_));
            let (s, d, r) = counts.get();
            counts.set((
                s + u64::from(world.sends),
                d + u64::from(drained),
                r + u64::from(world.fenced_out),
            ));
            Ok(())
        })
        .unwrap();
    let (sends, drained, removed) = counts.get();
    println!("sends {sends}, runs with a drain done {drained}, members fenced out {removed}");
    // The runs test fencing only if sends, drains and removals happen in them.
    let cases = u64::from(cases());
    assert!(sends > cases * 10 && drained > cases / 10 && removed > 0);
}
