//! Planned stops finish within the grace period of the platform, whatever the store does.

use std::time::Duration;

use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::job;

/// Time between the signal to stop and the kill, as in the settings of the simulated site.
const GRACE: Duration = Duration::from_secs(6);

/// Longer than the timeout of any call to the store.
const HANG_TIME: Duration = Duration::from_secs(30);

/// Guards against a process that does not stop within its grace period, and is killed while it
/// still serves requests of callers. It has taken the pool, and kept trying to read the former
/// owner's state from a store that does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_cannot_read_the_pool_it_took_stops_in_time() {
    let mut cell = TestCell::open(2, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000a1";
    caller.submit(&cell.servers(), path, &job(1, "20000")).await;
    let owner = cell.wait_owner(|_| true).await;
    // A process that has taken the pool reads the guard row before it reads the jobs.
    cell.store.set_faults(StoreFaults {
        slow_rows: Some(("guard", HANG_TIME)),
        ..StoreFaults::default()
    });

    cell.kill(owner).await;
    let next = cell.wait_owner(|next| next != owner).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let stopped = cell.stop_within(next, GRACE).await;

    assert!(stopped, "the process did not stop within its grace period");
    cell.close().await;
}
