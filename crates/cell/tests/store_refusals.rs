//! A store that refuses some of its parts, or one of the hosts, and serves the others: jobs are
//! still accepted, and only once.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::job;

const ID: u64 = 0x71;
const PATH: &str = "/plain/0000000000000071";

fn faults(part: &'static str) -> StoreFaults {
    StoreFaults {
        refused_part: Some(part),
        ..StoreFaults::default()
    }
}

/// Opens a cell and completes one job; also returns the usual part of the next job.
async fn open(processes: usize) -> (TestCell, Caller, &'static str) {
    let cell = TestCell::open(processes, 1).await;
    let caller = Caller::new();
    let path = "/plain/0000000000000070";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    let part = cell::job_row(ID).part.leak();
    (cell, caller, part)
}

/// Guards against refusing jobs because of one part of the store. While a fifth of the parts was
/// unavailable, a job was written only to the part that its id selects, and
/// refused if that part was unavailable.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_accepted_while_its_usual_part_is_unavailable() {
    let (cell, caller, part) = open(1).await;
    cell.store.set_faults(faults(part));

    let (status, _) = caller
        .send(Method::POST, cell.server(0), PATH, &job(1, "20"))
        .await;

    assert_eq!(status, 200);
    caller.wait_state(&cell.servers(), PATH, "completed").await;
    cell.close().await;
}

/// A repeated submission that finds the usual part available again writes a second row of the
/// job. It must remain one job, and its outcome must not change.
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
        "the second row was written"
    );
    assert_eq!(cell.log.starts("0000000000000071"), 1);
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    caller.wait_state(&cell.servers(), PATH, "completed").await;
    cell.close().await;
}

/// A cancel finds a job whose row is not in its usual part.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_outside_its_usual_part_is_cancelled() {
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

/// Guards against refusing callers at a host that the store refuses: they got replies to retry and
/// missed their objective, while every other host could have accepted their jobs.
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
        // By the second submission the host knows that the store does not answer it.
        tokio::time::sleep(Duration::from_millis(900)).await;
    }

    caller
        .wait_state(&[cell.server(owner)], PATH, "completed")
        .await;
    assert_eq!(cell.log.starts("0000000000000071"), 1);
    cell.close().await;
}
