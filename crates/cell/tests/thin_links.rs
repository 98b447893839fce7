//! Hosts whose link to the store is thin: reads take seconds.
//!
//! Symptom of the last test: tasks of jobs that were cancelled 17 s before were started,
//! and tasks that were done ran again. Sequence: a host on a thin link takes the pool and
//! reads all jobs for 4 s; what has changed meanwhile takes longer than 0.6 s to arrive; the
//! owner gives that read up and asks for it again, for good. Cause: a fixed time for the
//! feed's answer. Log line 339 ("jobs cannot be read") showed it, without 349 after it.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde_json::Value;
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

/// Guards against an owner that never hears of cancels, since its reads are given up.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_whose_feed_takes_long_hears_of_cancels() {
    const SOON: Duration = Duration::from_secs(8);
    let cell = SiteCell::open(2, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000d2";
    caller.submit(&cell.servers(), path, &job(2, "20000")).await;
    caller.wait_state(&cell.servers(), path, "active").await;
    cell.store.set_faults(StoreFaults {
        slow_feed: Some(("jobs", Duration::from_millis(1500))),
        ..StoreFaults::default()
    });

    let asked = Instant::now();
    let owner = cell.wait_owner(|_| true).await;
    let other = cell.server(1 - owner);
    let (status, _) = caller.send(Method::DELETE, other, path, &Value::Null).await;

    assert_eq!(status, 200);
    let ended = || {
        let spans = cell.log.spans("00000000000000d2");
        spans.iter().all(|span| span.end.is_some())
    };
    while !ended() && asked.elapsed() < SOON {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(ended(), "a cancelled job runs on");
    cell.close().await;
}
