//! An owner whose host has too few cores for the pool.
//!
//! The tests guard against a pool that stays with a small host while larger ones are idle. All
//! larger hosts had lost power for 2 s, and a host with 0.12 of a core had taken the pool. It
//! could not keep up: for 18 s, members of gangs waited in vain for the others and a fifth of the
//! requests failed. The larger hosts did not take the pool, because the small one renewed its
//! ownership, and a pool was taken only once it was released or its ownership had expired. The log
//! showed `pool opened` (code 330) on the small host and, until the next `pool opened`, replies
//! that took 1.2 s (`slowest_ms` in the lines with code 373).

use std::time::Duration;

use site::Caller;
use site::TestCell;
use site::job;

/// Longer than it takes until a larger host takes the pool from one that cannot keep up.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);

/// Opens a cell whose first host is small (0.1 of a core) and owns the pool; the second host has
/// one core and is not running.
async fn owned_by_a_small_host() -> TestCell {
    let mut cell = TestCell::open(2, 3).await;
    cell.kill(0).await;
    cell.kill(1).await;
    cell.set_cores(0, 0.1);
    cell.start(0).await;
    cell.wait_owner(|owner| owner == 0).await;
    cell
}

/// Guards against a pool that stays with a small owner whose workers take 0.4 s for each reply.
#[tokio::test(flavor = "multi_thread")]
async fn a_larger_host_takes_the_pool_from_one_that_cannot_keep_up() {
    let mut cell = owned_by_a_small_host().await;
    cell.start(1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000f1";
    caller.submit(&cell.servers(), path, &job(4, "3000")).await;
    caller.wait_state(&cell.servers(), path, "active").await;

    for worker in &cell.workers {
        worker.set_delay(Duration::from_millis(400));
    }

    cell.wait_owner(|owner| owner == 1).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against a larger host that takes the pool from an owner which keeps up with it.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_keeps_up_keeps_the_pool() {
    let mut cell = owned_by_a_small_host().await;

    cell.start(1).await;

    tokio::time::sleep(TAKEOVER_TIME).await;
    assert_eq!(cell.owner(), Some(0));
    cell.close().await;
}

/// Guards against a take-over by a smaller host, which cannot keep up either.
#[tokio::test(flavor = "multi_thread")]
async fn a_smaller_host_does_not_take_the_pool() {
    let mut cell = owned_by_a_small_host().await;
    cell.start(1).await;
    for worker in &cell.workers {
        worker.set_delay(Duration::from_millis(400));
    }
    cell.wait_owner(|owner| owner == 1).await;

    tokio::time::sleep(TAKEOVER_TIME).await;

    assert_eq!(cell.owner(), Some(1));
    cell.close().await;
}
