//! Waiting that ends when something comes to be owned.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use thistle_scheduler::ownership_flag::OwnershipFlag;
use tokio::time::Instant;

const PAUSE: Duration = Duration::from_secs(4);

/// A mixed day of the users' bench: a new owner slept on for up to 4 s after it had taken over, and a
/// step of a cancelled job began 3.1 s after the cancel was acknowledged.
#[tokio::test(start_paused = true)]
async fn a_pause_ends_when_the_pool_comes_to_be_owned() {
    let owned = Arc::new(OwnershipFlag::default());
    let began = Instant::now();
    let waiting = owned.clone();
    let pause = tokio::spawn(async move { waiting.wait_until_owned_or(PAUSE).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    owned.set(true);
    pause.await.unwrap();
    assert_that!(began.elapsed(), lt(PAUSE));
}

#[tokio::test(start_paused = true)]
async fn a_pause_lasts_while_the_pool_is_not_owned() {
    let owned = OwnershipFlag::default();
    owned.set(true);
    owned.set(false);
    let began = Instant::now();
    owned.wait_until_owned_or(PAUSE).await;
    assert_that!(began.elapsed(), ge(PAUSE));
}
