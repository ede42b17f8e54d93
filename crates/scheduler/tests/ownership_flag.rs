//! Pauses of a loop that end early when the node becomes the pool's owner.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use thistle_scheduler::ownership_flag::OwnershipFlag;
use tokio::time::Instant;

const PAUSE: Duration = Duration::from_secs(4);

/// A new owner that waits out a pause of up to 4 s after its takeover acts too late: a step of a cancelled job starts 3.1 s
/// after the cancel was acknowledged.
#[tokio::test(start_paused = true)]
async fn a_pause_ends_when_the_pool_becomes_owned() {
    let flag = Arc::new(OwnershipFlag::default());
    let started_at = Instant::now();
    let waiting_flag = flag.clone();
    let pause = tokio::spawn(async move { waiting_flag.wait_until_owned_or(PAUSE).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    flag.set(true);
    pause.await.unwrap();
    assert_that!(started_at.elapsed(), lt(PAUSE));
}

#[tokio::test(start_paused = true)]
async fn a_pause_lasts_while_the_pool_is_not_owned() {
    let flag = OwnershipFlag::default();
    flag.set(true);
    flag.set(false);
    let started_at = Instant::now();
    flag.wait_until_owned_or(PAUSE).await;
    assert_that!(started_at.elapsed(), ge(PAUSE));
}
