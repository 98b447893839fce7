//! Hosts whose link to the store is thin: reads take seconds.

use std::time::Duration;

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
