//! Waiting for a permit of the concurrency limit, up to a maximum time.

use std::time::Duration;

use googletest::prelude::*;
use thistle_scheduler::concurrency_limit::ConcurrencyLimit;
use tokio::time::Instant;

const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// Without a maximum, submissions to an unresponsive store wait behind others until their callers' deadlines.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_for_a_permit_fails_after_the_maximum_wait() {
    let limit = ConcurrencyLimit::new(1, 1);
    let first = limit.acquire(false, MAX_WAIT).await;
    expect_that!(first.is_some(), eq(true));
    let started_at = Instant::now();
    expect_that!(limit.acquire(false, MAX_WAIT).await.is_none(), eq(true));
    expect_that!(started_at.elapsed(), lt(2 * MAX_WAIT));
    drop(first);
    expect_that!(limit.acquire(false, MAX_WAIT).await.is_some(), eq(true));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn operations_on_a_slow_store_do_not_wait_for_earlier_ones_and_have_a_limit_of_their_own() {
    let limit = ConcurrencyLimit::new(1, 2);
    let _before = limit.acquire(false, MAX_WAIT).await;
    let first = limit.acquire(true, MAX_WAIT).await;
    let second = limit.acquire(true, MAX_WAIT).await;
    expect_that!(first.is_some() && second.is_some(), eq(true));
    expect_that!(limit.acquire(true, MAX_WAIT).await.is_none(), eq(true));
    drop(first);
    expect_that!(limit.acquire(true, MAX_WAIT).await.is_some(), eq(true));
}
