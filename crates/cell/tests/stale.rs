//! Replies of an owner whose information about jobs may be out of date.

use std::time::Duration;

use cell::JOB_TABLE;
use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::RefusedCalls;
use site::StoreFaults;
use site::TestCell;
use site::job;

/// Longer than the greatest age of the information that an owner may still use in replies to
/// callers.
const STALE_AFTER: Duration = Duration::from_millis(2_600);

/// Opens a cell whose workers are fully booked for the whole test, by a job of one-minute tasks on
/// all four cores of each, so that jobs submitted later wait.
async fn open(processes: usize, workers: u32) -> (TestCell, Caller) {
    let cell = TestCell::open(processes, workers as usize).await;
    let caller = Caller::new();
    let path = "/plain/0000000000000070";
    let full = job(4 * workers, "60000");
    caller.submit(&cell.servers(), path, &full).await;
    caller.wait_state(&cell.servers(), path, "active").await;
    (cell, caller)
}

/// Submits jobs of one task to the process `at`.
async fn submit_jobs(cell: &TestCell, caller: &Caller, at: usize, count: u32) {
    for nth in 0..count {
        let path = format!("/plain/{:016x}", 0x7100 + nth);
        let small = job(1, "20");
        caller.submit(&[cell.server(at)], &path, &small).await;
    }
}

/// Sends a query to the process `at`: for the number of waiting jobs of a queue, or the status of a
/// job. Returns the HTTP status and the body.
async fn get(cell: &TestCell, caller: &Caller, at: usize, path: &str) -> (u16, Value) {
    let send = caller.send(Method::GET, cell.server(at), path, &Value::Null);
    send.await
}

/// Stores an accepted job without notifying the owner, as a copy of the first job's row.
fn accept_without_notification(cell: &TestCell) {
    let first = cell::job_row(0x70);
    let row = cell.store.raw(&first.table, &first.part, &first.key);
    let copy = row.expect("row of the first job");
    let other = cell::job_row(0x71);
    cell.store
        .write_row(&other.table, &other.part, &other.key, &copy);
}

/// A store that answers no call, or none of the change feed.
fn faults(down: bool, hung_feed: bool) -> StoreFaults {
    StoreFaults {
        down,
        hung_feed,
        ..StoreFaults::default()
    }
}

/// Guards against the reply that no job waits while six do. The owner's process is cut off from
/// the store and from the workers, so nothing notifies it that another process has taken the pool
/// and accepts jobs; it went on answering with old information.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_was_cut_off_gives_no_count_or_status() {
    let (cell, caller) = open(2, 1).await;
    let former = cell.wait_owner(|_| true).await;
    // Workers that answer no call, and a process that cannot reach the store.
    cell.workers[0].set_silent(true);
    cell.store_proxies[former].set_cut(true);
    let next = cell.wait_owner(|next| next != former).await;
    submit_jobs(&cell, &caller, next, 6).await;
    tokio::time::sleep(STALE_AFTER).await;

    let count = get(&cell, &caller, former, "/plain/").await;
    let state = get(&cell, &caller, former, "/plain/0000000000000070").await;

    assert_eq!((count.0, state.0), (503, 503), "{count:?} {state:?}");
    cell.close().await;
}

/// Guards against an outdated count of waiting jobs from an owner whose process was frozen and is
/// queried as soon as it continues.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_was_frozen_gives_no_stale_count() {
    let (cell, caller) = open(2, 1).await;
    let former = cell.wait_owner(|_| true).await;
    cell.freeze(former, Duration::from_secs(5));
    let next = cell.wait_owner(|next| next != former).await;
    submit_jobs(&cell, &caller, next, 6).await;

    let (status, body) = get(&cell, &caller, former, "/plain/").await;

    let waiting = body["waiting"].as_u64();
    assert!(status == 503 || waiting == Some(6), "{status} {body}");
    cell.close().await;
}

/// Guards against the reply that no job waits while one does. The process that accepted the job
/// cannot notify the owner, and the owner can read neither the change feed nor the job rows.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_cannot_read_new_jobs_gives_no_count() {
    let (cell, caller) = open(1, 1).await;
    cell.store.set_faults(StoreFaults {
        slow_rows: Some((JOB_TABLE, STALE_AFTER * 4)),
        ..faults(false, true)
    });
    accept_without_notification(&cell);
    tokio::time::sleep(STALE_AFTER).await;

    let (status, body) = get(&cell, &caller, 0, "/plain/").await;

    assert_eq!(status, 503, "{body}");
    cell.close().await;
}

/// Guards against no count, or an outdated one, from an owner whose change feed hangs, though the
/// store answers reads of the job rows. The process that accepted the job cannot notify the owner.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_whose_feed_hangs_counts_the_job_rows() {
    let (cell, caller) = open(1, 1).await;
    cell.store.set_faults(faults(false, true));
    accept_without_notification(&cell);
    tokio::time::sleep(STALE_AFTER).await;

    let (status, body) = get(&cell, &caller, 0, "/plain/").await;

    assert_eq!((status, body["waiting"].as_u64()), (200, Some(1)), "{body}");
    cell.close().await;
}

/// Guards against an outdated count of waiting jobs from an owner whose store refuses reads but
/// carries out transactions. The owner's process counted the store as unreachable; it assumed that
/// no process could accept a job and went on answering with old information.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_can_write_but_not_read_gives_no_count() {
    let (cell, caller) = open(1, 1).await;
    let refused = StoreFaults {
        refused_calls: RefusedCalls::Reads,
        ..StoreFaults::default()
    };
    cell.store.set_faults(refused);
    accept_without_notification(&cell);
    tokio::time::sleep(STALE_AFTER * 2).await;

    let (status, body) = get(&cell, &caller, 0, "/plain/").await;

    assert_eq!(status, 503, "{body}");
    cell.close().await;
}

/// While the store is down for all processes, no job is accepted and no other process can take the
/// pool, so the owner's information stays valid and the owner goes on answering. Replies of more
/// than half of the workers confirm its ownership, so it answers even if one of them is late.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_goes_on_answering_while_the_store_is_down() {
    let (cell, caller) = open(2, 3).await;
    submit_jobs(&cell, &caller, 0, 3).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cell.store.set_faults(faults(true, false));
    let mut replies = Vec::new();

    for _ in 0..8 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for at in 0..2 {
            let (status, body) = get(&cell, &caller, at, "/plain/").await;
            replies.push((status, body["waiting"].as_u64()));
            let path = "/plain/0000000000000070";
            replies.push((get(&cell, &caller, at, path).await.0, Some(3)));
        }
    }

    // Two replies, the second without a count, from each of two processes, eight times.
    assert_eq!(replies, vec![(200, Some(3)); 32]);
    cell.close().await;
}
