//! A request is never reported as "not run" if a backend server may have run it.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use thistle_model::clock::Instant;
use thistle_model::{Outcome, RefusalReason};
use thistle_request::SendGate;
use thistle_request::exchange::{BackendRefusal, Pending, Unsent};

const NEVER: Instant = Instant::from_micros(u64::MAX);

#[gtest]
fn gate_lets_nothing_pass_after_it_was_closed() {
    let gate = SendGate::new(NEVER);
    expect_that!(gate.close(), some(anything()));
    expect_that!(gate.pass(Instant::default()), eq(false));
}

#[gtest]
fn gate_is_not_closed_after_a_byte_passed() {
    let gate = SendGate::new(NEVER);
    expect_that!(gate.pass(Instant::default()), eq(true));
    expect_that!(gate.close(), none());
}

#[gtest]
fn gate_stays_closed_when_the_proof_has_expired() {
    let until = Instant::from_micros(100);
    let gate = SendGate::new(until);
    expect_that!(gate.pass(until), eq(false));
    expect_that!(gate.close(), some(anything()));
}

#[gtest]
fn partly_written_request_completes_after_the_proof_expired() {
    let gate = SendGate::new(Instant::from_micros(100));
    expect_that!(gate.pass(Instant::from_micros(50)), eq(true));
    expect_that!(gate.pass(Instant::from_micros(500)), eq(true));
}

#[gtest]
fn of_a_writer_and_a_closer_exactly_one_wins() {
    for _ in 0..2_000 {
        let gate = Arc::new(SendGate::new(NEVER));
        let writer = {
            let gate = gate.clone();
            std::thread::spawn(move || gate.pass(Instant::default()))
        };
        let closed = gate.close().is_some();
        let passed = writer.join().unwrap();
        assert!(closed != passed, "closed {closed}, passed {passed}");
    }
}

#[gtest]
fn bare_503_does_not_mean_not_run() {
    expect_that!(BackendRefusal::from_answer(503, None), none());
    expect_that!(BackendRefusal::from_answer(500, Some("1")), none());
    expect_that!(BackendRefusal::from_answer(503, Some("1")), some(anything()));
}

/// How one send ends.
#[derive(Clone, Copy, Debug)]
enum End {
    ConnectRefused,
    ConnectTimeout,
    WriteFailedBeforeAnyByte,
    WriteFailedAfterSome,
    Reset,
    NoResponse,
    BackendRefused,
}

impl End {
    const ALL: [Self; 7] = [
        Self::ConnectRefused,
        Self::ConnectTimeout,
        Self::WriteFailedBeforeAnyByte,
        Self::WriteFailedAfterSome,
        Self::Reset,
        Self::NoResponse,
        Self::BackendRefused,
    ];

    fn wrote_bytes(self) -> bool {
        matches!(
            self,
            Self::WriteFailedAfterSome | Self::Reset | Self::NoResponse | Self::BackendRefused
        )
    }

    /// Returns whether the backend server may have run the request.
    fn may_have_run(self) -> bool {
        self.wrote_bytes() && !matches!(self, Self::BackendRefused)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn not_run_is_reported_only_if_nothing_can_have_run(
        ends in prop::collection::vec(0..End::ALL.len(), 1..6),
    ) {
        let mut pending = Pending::Unsent(Unsent::new());
        let mut may_have_run = false;
        for end in ends.into_iter().map(|i| End::ALL[i]) {
            let gate = SendGate::new(NEVER);
            let sent = pending.start_send();
            if end.wrote_bytes() {
                gate.pass(Instant::default());
            }
            may_have_run |= end.may_have_run();
            if let End::BackendRefused = end {
                let statement = BackendRefusal::from_answer(503, Some("1")).unwrap();
                pending = sent.refused_by_backend(&statement);
                continue;
            }
            pending = match sent.confirm_unsent(&gate) {
                Ok(pending) => pending,
                Err(sent) => sent.into_repeated(),
            };
        }
        let refusal = pending.refuse(RefusalReason::Broken, Duration::ZERO);
        let reported_not_run = refusal.outcome == Outcome::NotRun;
        prop_assert_eq!(reported_not_run, !may_have_run);
    }
}
