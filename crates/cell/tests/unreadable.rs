//! Rows that cannot be decoded. They must not be treated as missing rows.

use std::time::Duration;

use hyper::Method;
use platform::RowName;
use serde_json::Value;
use site::Caller;
use site::TestCell;
use site::job;

/// Bytes that cannot be decoded as any kind of row.
const GARBAGE: [u8; 3] = [0xff; 3];

fn overwrite(cell: &TestCell, row: &RowName) {
    cell.store
        .write_row(&row.table, &row.part, &row.key, &GARBAGE);
}

/// Sends a request without a body to the first process; returns the HTTP status.
async fn send_request(cell: &TestCell, caller: &Caller, method: Method, path: &str) -> u16 {
    let send = caller.send(method, cell.server(0), path, &Value::Null);
    send.await.0
}

/// Guards against the reply to a status query or a cancel that the job does not exist (410),
/// although its row exists and cannot be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_job_is_not_reported_as_missing() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000a1";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    overwrite(&cell, &cell::job_row(0xa2));
    let unreadable = "/plain/00000000000000a2";

    let state = send_request(&cell, &caller, Method::GET, unreadable).await;
    let cancel = send_request(&cell, &caller, Method::DELETE, unreadable).await;

    assert_eq!((state, cancel), (503, 503));
    cell.close().await;
}

/// Guards against running a completed job again: the successor could not decode the job's row at
/// first, and had forgotten the job's progress when the row was written anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_becomes_readable_does_not_run_again() {
    let mut cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000a5";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    cell.kill(0).await;
    let row = cell::job_row(0xa5);
    let stored = cell.store.raw(&row.table, &row.part, &row.key);
    overwrite(&cell, &row);
    cell.start(0).await;
    let other = "/plain/00000000000000a6";
    caller.submit(&cell.servers(), other, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), other, "completed").await;

    let stored = stored.expect("the job's row");
    cell.store
        .write_row(&row.table, &row.part, &row.key, &stored);
    // The feed delivers the job's row to the owner.
    tokio::time::sleep(Duration::from_millis(800)).await;
    caller.wait_state(&cell.servers(), path, "completed").await;

    assert_eq!(cell.log.starts("00000000000000a5"), 1);
    cell.close().await;
}

/// Guards against running a completed job again and showing it as pending. The successor cannot
/// decode the row of the job's progress, and treated the job as one that had never started.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_with_unreadable_progress_does_not_run_again() {
    let mut cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000a3";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    cell.kill(0).await;
    overwrite(&cell, &cell::progress_row(0xa3));
    cell.start(0).await;
    // The process that was restarted completes another job, so it could have started this one.
    let other = "/plain/00000000000000a4";
    caller.submit(&cell.servers(), other, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), other, "completed").await;
    let cancel = send_request(&cell, &caller, Method::DELETE, path).await;
    // The feed delivers the job's row again, because the cancel changed it.
    tokio::time::sleep(Duration::from_millis(800)).await;

    let state = send_request(&cell, &caller, Method::GET, path).await;

    assert_eq!(cell.log.starts("00000000000000a3"), 1);
    assert_eq!((cancel, state), (200, 503));
    cell.close().await;
}
