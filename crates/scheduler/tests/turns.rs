//! Taking turns, for no longer than one may be held.

use std::time::Duration;

use googletest::prelude::*;
use thistle_scheduler::concurrency_limit::ConcurrencyLimit;
use tokio::time::Instant;

const MOST: Duration = Duration::from_millis(1_000);

/// Meskel Deskworks grown, scale-1, 31 to 34 s: while the store was silent, submissions waited behind others
/// until their callers' deadlines.
#[gtest]
#[tokio::test(start_paused = true)]
async fn one_that_gets_no_turn_in_time_is_told_so() {
    let turns = ConcurrencyLimit::new(1, 1);
    let first = turns.acquire(false, MOST).await;
    expect_that!(first.is_some(), eq(true));
    let began = Instant::now();
    expect_that!(turns.acquire(false, MOST).await.is_none(), eq(true));
    expect_that!(began.elapsed(), lt(2 * MOST));
    drop(first);
    expect_that!(turns.acquire(false, MOST).await.is_some(), eq(true));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn one_beside_a_slow_store_does_not_wait_for_those_of_before_and_few_go_at_once() {
    let turns = ConcurrencyLimit::new(1, 2);
    let _before = turns.acquire(false, MOST).await;
    let first = turns.acquire(true, MOST).await;
    let second = turns.acquire(true, MOST).await;
    expect_that!(first.is_some() && second.is_some(), eq(true));
    expect_that!(turns.acquire(true, MOST).await.is_none(), eq(true));
    drop(first);
    expect_that!(turns.acquire(true, MOST).await.is_some(), eq(true));
}
