//! Hosts whose link to the store is thin: reads take seconds.

use std::time::Duration;
use std::time::Instant;

use site::Caller;
use site::SiteCell;
use site::StoreFaults;
use site::job;

/// Symptom: after the owner was cut off nothing ran any more, for good; the log
/// showed `pool opened` and `pool lost` in turn on one host after the other.
/// Sequence: the owner dies; its successor reads the jobs, which takes longer than
/// an ownership lasts without renewal; the next host takes the pool and reads as
/// long. Cause: an owner renewed only once it had read everything.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_reads_for_long_keeps_the_pool() {
    let mut cell = SiteCell::open(3, 2).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000d1";
    caller.submit(&cell.servers(), path, &job(4, "1500")).await;
    let owner = cell.wait_owner(|_| true).await;
    cell.store.set_faults(StoreFaults {
        slow_rows: Some(("jobs", Duration::from_secs(2))),
        ..StoreFaults::default()
    });

    cell.kill(owner).await;

    cell.wait_owner(|next| next != owner).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    assert_eq!(cell.log.faults(), Vec::<String>::new());
    cell.close().await;
}

/// Symptom: nothing started for seconds while hosts were stopped in turn. Sequence: a
/// host takes the pool and reads what is left; it is asked to stop; it goes on reading
/// and renewing, and gives the pool up only then. Cause: an owner that still read did
/// not look whether it had to stop.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_has_to_stop_while_it_reads_gives_the_pool_up() {
    // A process that stops drains for 2.6 s; a free pool is taken within a second.
    const SOON: Duration = Duration::from_millis(3600);
    let mut cell = SiteCell::open(3, 1).await;
    let first = cell.wait_owner(|_| true).await;
    cell.store.set_faults(StoreFaults {
        slow_rows: Some(("jobs", Duration::from_secs(5))),
        ..StoreFaults::default()
    });
    cell.kill(first).await;
    let second = cell.wait_owner(|next| next != first).await;

    let asked = Instant::now();
    cell.stop(second).await;

    cell.wait_owner(|next| next != first && next != second)
        .await;
    let took = asked.elapsed();
    assert!(took < SOON, "held for {took:?} by a host that stops");
    cell.close().await;
}
