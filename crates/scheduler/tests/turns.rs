//! Taking turns, for no longer than one may be held.

use std::time::Duration;

use googletest::prelude::*;
use thistle_scheduler::turns::Turns;
use tokio::time::Instant;

const MOST: Duration = Duration::from_millis(1_000);

/// Meskel Deskworks grown, scale-1, 31 to 34 s: while the store was silent, submissions waited behind others
/// until their callers' deadlines.
#[gtest]
#[tokio::test(start_paused = true)]
async fn one_that_gets_no_turn_in_time_is_told_so() {
    let turns = Turns::new(2);
    let first = turns.take(true, MOST).await;
    expect_that!(first.is_some(), eq(true));
    let began = Instant::now();
    expect_that!(turns.take(false, MOST).await.is_none(), eq(true));
    expect_that!(began.elapsed(), lt(2 * MOST));
    drop(first);
    expect_that!(turns.take(false, MOST).await.is_some(), eq(true));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn one_that_wants_all_turns_waits_for_all() {
    let turns = Turns::new(2);
    let first = turns.take(false, MOST).await;
    expect_that!(turns.take(true, MOST).await.is_none(), eq(true));
    drop(first);
    expect_that!(turns.take(true, MOST).await.is_some(), eq(true));
}
