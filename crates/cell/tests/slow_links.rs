//! Hosts with a slow link to the store: reads take seconds.
//!
//! The tests with a slow feed guard against tasks that start for jobs cancelled 17 s before, and
//! against tasks that run again after they are done. A host on a slow link took the pool and
//! needed 4 s to read all jobs. The feed's reply with the changes made meanwhile took longer than
//! its fixed timeout of 0.6 s, so the owner abandoned each read of the feed and repeated it
//! without end. The log showed `job rows cannot be read from the store` (code 339) and no
//! `job rows can be read from the store again` (code 349) after it.

use std::time::Duration;
use std::time::Instant;

use cell::JOB_TABLE;
use cell::decode_row;
use cell::encode_row;
use cell::job_row;
use hyper::Method;
use job::JobId;
use job::JobSpec;
use serde_json::Value;
use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::job;

/// Guards against a pool that no host keeps, in which no task starts. A new owner renewed its
/// ownership only after it had read all jobs, which took longer than an ownership lasts without a
/// renewal; then the next host took the pool and read for as long. The log showed `pool opened`
/// and `pool lost` on one host after the other.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_whose_first_read_takes_long_keeps_the_pool() {
    let mut cell = TestCell::open(3, 2).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000d1";
    caller.submit(&cell.servers(), path, &job(4, "1500")).await;
    let owner = cell.wait_owner(|_| true).await;
    cell.store.set_faults(StoreFaults {
        // Each read of rows of jobs takes 2 s.
        slow_rows: Some(("jobs", Duration::from_secs(2))),
        ..StoreFaults::default()
    });

    cell.kill(owner).await;

    cell.wait_owner(|next| next != owner).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

/// Guards against an owner that keeps the pool while it reads the state of the former owner,
/// although it was asked to stop: it checked for this only after the read, and renewed its
/// ownership until then. No task started for seconds while hosts were stopped one after the
/// other.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_has_to_stop_while_it_reads_releases_the_pool() {
    // A process that stops serves its callers for another 2.6 s; a free pool is taken within a
    // second.
    const RELEASE_TIME: Duration = Duration::from_millis(3600);
    let mut cell = TestCell::open(3, 1).await;
    let first = cell.wait_owner(|_| true).await;
    cell.store.set_faults(StoreFaults {
        slow_rows: Some(("jobs", Duration::from_secs(5))),
        ..StoreFaults::default()
    });
    cell.kill(first).await;
    let second = cell.wait_owner(|next| next != first).await;

    let requested = Instant::now();
    cell.stop(second).await;

    cell.wait_owner(|next| next != first && next != second)
        .await;
    let took = requested.elapsed();
    assert!(
        took < RELEASE_TIME,
        "a stopping host kept the pool for {took:?}"
    );
    cell.close().await;
}

/// Time within which the tasks of a cancelled job have to end.
const END_TIME: Duration = Duration::from_secs(8);

/// Opens a cell of two processes that runs a job of two tasks of 20 s, and whose feed of job rows
/// takes `delay` for each reply.
async fn with_slow_feed(id: JobId, delay: Duration) -> (TestCell, Caller) {
    let cell = TestCell::open(2, 1).await;
    let caller = Caller::new();
    let path = format!("/plain/{id:016x}");
    caller
        .submit(&cell.servers(), &path, &job(2, "20000"))
        .await;
    caller.wait_state(&cell.servers(), &path, "active").await;
    cell.store.set_faults(StoreFaults {
        slow_feed: Some((JOB_TABLE, delay)),
        ..StoreFaults::default()
    });
    (cell, caller)
}

/// Waits until no task of a job is running; returns false if one still runs after `time`.
async fn ends_within(cell: &TestCell, id: JobId, time: Duration) -> bool {
    let started = Instant::now();
    let ended = || {
        let spans = cell.log.spans(&cell::hex(id));
        spans.iter().all(|span| span.end.is_some())
    };
    while !ended() && started.elapsed() < time {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    ended()
}

/// Guards against an owner that never receives cancellations, because its reads of the feed time
/// out.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_with_a_slow_feed_receives_cancellations() {
    const ID: JobId = 0xd2;
    let (cell, _) = with_slow_feed(ID, Duration::from_millis(1500)).await;

    // The process that cancels the job ends before it can notify the owner.
    let row = job_row(ID);
    let value = cell.store.raw(&row.table, &row.part, &row.key);
    let mut spec: JobSpec = decode_row(&value.expect("a row")).expect("a job");
    spec.canceled = true;
    cell.store
        .write_row(&row.table, &row.part, &row.key, &encode_row(&spec));

    assert!(
        ends_within(&cell, ID, END_TIME).await,
        "tasks of the cancelled job are still running"
    );
    cell.close().await;
}

/// Guards against tasks that start, or keep running, until the feed delivers the cancellation of
/// their job, here after 30 s: the process that stores the cancellation has to notify the owner.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_cannot_read_the_feed_is_notified_of_cancellations() {
    const ID: JobId = 0xd3;
    const PROMPT_TIME: Duration = Duration::from_secs(3);
    let (cell, caller) = with_slow_feed(ID, Duration::from_secs(30)).await;

    let owner = cell.wait_owner(|_| true).await;
    let other = cell.server(1 - owner);
    let path = format!("/plain/{ID:016x}");
    let (status, _) = caller
        .send(Method::DELETE, other, &path, &Value::Null)
        .await;

    assert_eq!(status, 200);
    assert!(
        ends_within(&cell, ID, PROMPT_TIME).await,
        "tasks of the cancelled job are still running"
    );
    cell.close().await;
}
