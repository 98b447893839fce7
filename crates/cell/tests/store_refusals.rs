//! A store that refuses calls for one of its parts, or calls from one of the hosts, and serves the
//! others: jobs are still accepted, and only once.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::job;

const ID: u64 = 0x71;
const PATH: &str = "/plain/0000000000000071";

/// The store refuses calls for rows of this part.
fn faults(part: &'static str) -> StoreFaults {
    StoreFaults {
        refused_part: Some(part),
        ..StoreFaults::default()
    }
}

/// Opens a cell and completes one job; also returns the part of the store to which the row of the
/// job [`ID`] is written first.
async fn open(processes: usize) -> (TestCell, Caller, &'static str) {
    let cell = TestCell::open(processes, 1).await;
    let caller = Caller::new();
    let path = "/plain/0000000000000070";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    let part = cell::job_row(ID).part.leak();
    (cell, caller, part)
}

/// Guards against refusing a job because one part of the store is unavailable. A job was written
/// only to the part that its id selects, so while a fifth of the parts was unavailable, a fifth of
/// the jobs was refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_accepted_while_its_first_part_is_unavailable() {
    let (cell, caller, part) = open(1).await;
    cell.store.set_faults(faults(part));

    let (status, _) = caller
        .send(Method::POST, cell.server(0), PATH, &job(1, "20"))
        .await;

    assert_eq!(status, 200);
    caller.wait_state(&cell.servers(), PATH, "completed").await;
    cell.close().await;
}

/// Guards against running a job again because of a second row. Its first part was unavailable, so
/// its row is in another part; a repeated submission finds the first part available again and
/// writes a second row there. Both rows must count as one job, and its outcome must not change.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_with_two_rows_runs_once() {
    let (cell, caller, part) = open(1).await;
    cell.store.set_faults(faults(part));
    caller.submit(&cell.servers(), PATH, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), PATH, "completed").await;
    cell.store.set_faults(StoreFaults::default());

    let (status, _) = caller
        .send(Method::POST, cell.server(0), PATH, &job(1, "20"))
        .await;
    // The feed delivers the second row within 0.3 s.
    tokio::time::sleep(Duration::from_millis(800)).await;

    assert_eq!(status, 200);
    assert_eq!(
        cell.store.count(cell::JOB_TABLE),
        3,
        "one row of the first job and two of this one"
    );
    assert_eq!(cell.log.starts("0000000000000071"), 1);
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    caller.wait_state(&cell.servers(), PATH, "completed").await;
    cell.close().await;
}

/// Guards against a cancel that looks for the job's row only in its first part: that part was
/// unavailable when the job was accepted, so the row is in another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_outside_its_first_part_is_cancelled() {
    let (cell, caller, part) = open(1).await;
    cell.store.set_faults(faults(part));
    caller.submit(&cell.servers(), PATH, &job(1, "30000")).await;
    cell.store.set_faults(StoreFaults::default());

    let (status, _) = caller
        .send(Method::DELETE, cell.server(0), PATH, &Value::Null)
        .await;

    assert_eq!(status, 200);
    caller.wait_state(&cell.servers(), PATH, "canceled").await;
    cell.close().await;
}

/// Guards against refusing jobs at a host whose calls the store refuses: callers were asked to try
/// again and missed their objective, while every other host could have accepted their jobs.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_the_store_refuses_forwards_jobs() {
    let (cell, caller, _) = open(3).await;
    let owner = cell.owner().expect("an owner");
    let other = (owner + 1) % 3;
    cell.store_proxies[other].set_refuses(true);

    for _ in 0..2 {
        let (status, _) = caller
            .send(Method::POST, cell.server(other), PATH, &job(1, "20"))
            .await;
        assert_eq!(status, 200);
        // Before the second submission, the host has counted the store as unreachable.
        tokio::time::sleep(Duration::from_millis(900)).await;
    }

    caller
        .wait_state(&[cell.server(owner)], PATH, "completed")
        .await;
    assert_eq!(cell.log.starts("0000000000000071"), 1);
    cell.close().await;
}
