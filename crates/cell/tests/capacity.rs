//! Workers whose capacity shrinks and grows while tasks run there, with whole processes. A
//! simulated worker records a violation if a task starts beyond the worker's new size more than
//! 4.5 s after it has shrunk.

use std::time::Duration;

use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::job;

#[tokio::test(flavor = "multi_thread")]
async fn workers_that_shrink_and_grow_are_not_overfilled() {
    // Two processes and three workers of four cores.
    let cell = TestCell::open(2, 3).await;
    let caller = Caller::new();
    for nth in 0..30 {
        let path = format!("/plain/{:016x}", 0xf100 + nth);
        caller.submit(&cell.servers(), &path, &job(4, "500")).await;
    }

    for cores in [2, 1, 3, 1, 4] {
        for at in 0..3 {
            cell.resize(at, cores);
        }
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }

    for nth in 0..30 {
        let path = format!("/plain/{:016x}", 0xf100 + nth);
        caller.wait_state(&cell.servers(), &path, "completed").await;
    }
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against an owner that keeps filling a worker which has shrunk for the whole outage of
/// the store. The owner cannot read the registrations, which contain the capacities, and used
/// those that it had read before the outage. It has read a smaller capacity of this worker once
/// before, so it must expect it to shrink again.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_without_the_store_fills_no_worker_that_may_have_shrunk() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    cell.wait_owner(|_| true).await;
    // The owner reads registrations every 0.4 s.
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.resize(0, 2);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.resize(0, 4);
    tokio::time::sleep(Duration::from_secs(1)).await;
    // Enough tasks of 0.5 s for 7.5 s on four cores.
    let path = "/plain/00000000000000f2";
    caller.submit(&cell.servers(), path, &job(60, "500")).await;
    let down = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };
    cell.store.set_faults(down);
    cell.resize(0, 2);

    tokio::time::sleep(Duration::from_secs(8)).await;

    cell.store.set_faults(StoreFaults::default());
    caller.wait_state(&cell.servers(), path, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}
