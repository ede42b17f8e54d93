//! Admission of submissions while the store is unresponsive, slow, or unresponsive in one partition.

use googletest::prelude::*;
use thistle_schedule::Ms;
use thistle_schedule::admission::StoreView;

/// The timeout of an append, in milliseconds.
const APPEND_TIMEOUT_MS: Ms = 600;
/// The interval between reads of heartbeats, in milliseconds.
const READ_INTERVAL_MS: Ms = 450;
/// The interval between submissions at one node, in milliseconds.
const SUBMISSION_INTERVAL_MS: Ms = 10;
const OUTAGE: std::ops::Range<Ms> = 10_000..13_000;

/// The outcomes of the submissions at one node.
#[derive(Debug, Default)]
struct Outcome {
    kept: u32,
    refused_at_once: u32,
    /// Refused although the store was responsive.
    refused_needlessly: u32,
    unknown: u32,
    /// The time for which callers waited without an answer, in milliseconds.
    held_ms: Ms,
}

/// Simulates regular submissions at a node whose store answers after `answer_ms` and takes no appends during the outage.
/// With `reads_answered`, only one partition is unresponsive, so that reads are still answered.
fn simulate(answer_ms: Ms, reads_answered: bool) -> Outcome {
    let mut view = StoreView::default();
    let mut outcome = Outcome::default();
    let mut next_read = 0;
    for now in 0..20_000 {
        let unresponsive = OUTAGE.contains(&now);
        if now >= next_read {
            next_read = now + READ_INTERVAL_MS + answer_ms;
        }
        if now + READ_INTERVAL_MS == next_read && (!unresponsive || reads_answered) {
            view.answered_at = now;
        }
        if now < 2_000 || now % SUBMISSION_INTERVAL_MS != 0 {
            continue;
        }
        if !view.accepts_submissions(now) {
            outcome.refused_at_once += 1;
            outcome.refused_needlessly += u32::from(!unresponsive);
        } else if !unresponsive {
            outcome.kept += 1;
        } else {
            outcome.held_ms += APPEND_TIMEOUT_MS;
            let has_answered = reads_answered;
            let later_view = StoreView {
                answered_at: if has_answered { now + 1 } else { view.answered_at },
                ..view
            };
            if later_view.has_answered_since(now) {
                outcome.kept += 1;
            } else {
                outcome.unknown += 1;
            }
        }
    }
    outcome
}

/// Callers must not be held until their deadline when nothing can be written. While the store is unresponsive for 3 s, each
/// submission waits 0.6 s for the first partition and as long for the fallback one, unless the node knows of the outage.
/// A node that notices the outage only after 2.2 s, and draws no conclusion about one partition from the unanswered appends
/// of the other, holds 220 of these 300 callers for 1.2 s each, 264 s in all. With the limits of `StoreView` 120
/// are held for 0.6 s each, 72 s in all.
#[gtest]
fn an_unresponsive_store_delays_few_callers_and_briefly() {
    let outcome = simulate(4, false);
    expect_that!(outcome.unknown, le(120));
    expect_that!(outcome.held_ms, le(72_000));
    expect_that!(outcome.refused_at_once, ge(180));
    // Submissions are refused until the next read after the outage.
    expect_that!(
        outcome.refused_needlessly,
        le((READ_INTERVAL_MS / SUBMISSION_INTERVAL_MS) as u32 + 1)
    );
}

#[gtest]
fn a_slow_store_accepts_every_submission() {
    for answer_ms in [60, 120, 240, 480] {
        let outcome = simulate(answer_ms, true);
        expect_that!(outcome.refused_at_once, eq(0), "{answer_ms} ms an answer");
    }
}

#[gtest]
fn the_fallback_partition_is_tried_while_another_is_unresponsive() {
    let outcome = simulate(4, true);
    expect_that!((outcome.refused_at_once, outcome.unknown), eq((0, 0)));
}

#[gtest]
fn a_store_that_never_answered_accepts_no_submissions() {
    let view = StoreView::default();
    expect_that!(view.accepts_submissions(500), eq(false));
    expect_that!(view.is_reachable(500), eq(false));
}

#[gtest]
fn a_store_that_failed_recently_is_not_healthy() {
    let view = StoreView { answered_at: 9_900, failed_at: 8_000 };
    expect_that!(view.is_healthy_for(2_500, 10_000), eq(false));
    expect_that!(view.is_healthy_for(2_500, 10_500), eq(true));
}
