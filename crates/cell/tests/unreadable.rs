//! Rows that cannot be decoded: what they hold is not known, which is not the
//! same as that there is nothing.

use std::time::Duration;

use hyper::Method;
use platform::RowName;
use serde_json::Value;
use site::Caller;
use site::SiteCell;
use site::job;

/// Bytes that are no row of ours.
const GARBAGE: [u8; 3] = [0xff; 3];

fn spoil(cell: &SiteCell, row: &RowName) {
    cell.store
        .write_row(&row.table, &row.part, &row.key, &GARBAGE);
}

async fn ask(cell: &SiteCell, caller: &Caller, method: Method, path: &str) -> u16 {
    let send = caller.send(method, cell.server(0), path, &Value::Null);
    send.await.0
}

/// A caller was told that its job does not exist (410), and so was one that
/// cancelled it. The job's row was there, and could not be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_job_is_not_said_to_be_missing() {
    let cell = SiteCell::open(1, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000a1";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    spoil(&cell, &cell::job_row(0xa2));
    let spoilt = "/plain/00000000000000a2";

    let state = ask(&cell, &caller, Method::GET, spoilt).await;
    let cancel = ask(&cell, &caller, Method::DELETE, spoilt).await;

    assert_eq!((state, cancel), (503, 503));
    cell.close().await;
}

/// A job that had been shown as completed ran again, and was shown as pending.
/// The row of its progress could not be decoded at a take-over, and the job was
/// taken for one that had never begun.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_of_unreadable_progress_does_not_run_again() {
    let mut cell = SiteCell::open(1, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000a3";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    cell.kill(0).await;
    spoil(&cell, &cell::progress_row(0xa3));
    cell.start(0).await;
    // The successor works: what it starts, it has started.
    let other = "/plain/00000000000000a4";
    caller.submit(&cell.servers(), other, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), other, "completed").await;
    let cancel = ask(&cell, &caller, Method::DELETE, path).await;
    // The feed brings the row again, as that of a job that is changed.
    tokio::time::sleep(Duration::from_millis(800)).await;

    let state = ask(&cell, &caller, Method::GET, path).await;

    assert_eq!(cell.log.starts("00000000000000a3"), 1);
    assert_eq!((cancel, state), (200, 503));
    cell.close().await;
}
