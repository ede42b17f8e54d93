//! All entries together never hold more slots of a VM than it has.

use std::time::Duration;

use proptest::prelude::*;
use thistle_model::clock::Instant;
use thistle_model::{MemberId, VmName};
use thistle_request::slot_home::{SLOT_LEASE, SlotHome, SlotWant};

const SLOTS: u16 = 8;
const ENTRIES: usize = 9;

/// The slots that one entry holds according to its last grant, and when its lease expires.
#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    slots: u16,
    until: Instant,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        ..ProptestConfig::default()
    })]

    #[test]
    fn entries_never_hold_more_slots_than_the_vm_has(
        steps in prop::collection::vec((0..ENTRIES, 0..12u16, 0..900u64, any::<bool>()), 1..300),
    ) {
        let vm = VmName::new("vm").unwrap();
        let mut home = SlotHome::new();
        home.become_home(&vm, Instant::default());
        let mut held = [Holding::default(); ENTRIES];
        let mut now = Instant::from_micros(1);
        for (e, want, wait_ms, lost) in steps {
            now = now + Duration::from_millis(wait_ms);
            let requested_at = now;
            let unexpired = if now < held[e].until { held[e].slots } else { 0 };
            held[e].slots = unexpired.min(want);
            let want = SlotWant { vm: vm.clone(), held: held[e].slots, want };
            let grant = home.grant(MemberId(e as u64), &want, SLOTS, now).unwrap();
            if !lost {
                held[e] = Holding {
                    slots: grant.share.min(grant.slots),
                    until: requested_at + SLOT_LEASE,
                };
            }
            let all: u16 = held.iter().filter(|h| now < h.until).map(|h| h.slots).sum();
            prop_assert!(all <= SLOTS, "{} slots held", all);
        }
    }
}

#[test]
fn new_home_only_renews_before_the_old_leases_expire() {
    let vm = VmName::new("vm").unwrap();
    let mut home = SlotHome::new();
    let grants_from = Instant::from_micros(1_000);
    home.become_home(&vm, grants_from);
    let want = |held, want| SlotWant { vm: vm.clone(), held, want };
    let before = Instant::from_micros(10);
    let renewed = home.grant(MemberId(1), &want(3, 6), SLOTS, before).unwrap();
    assert_eq!(renewed.slots, 3);
    let new = home.grant(MemberId(2), &want(0, 4), SLOTS, before).unwrap();
    assert_eq!(new.slots, 0);
    let later = home.grant(MemberId(2), &want(0, 4), SLOTS, grants_from).unwrap();
    assert!(later.slots > 0);
}
