//! Jobs that a successor may or may not fail because no worker could ever run them.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::TestCell;
use site::job;

/// Longer than a successor waits for workers to register.
const REGISTRATION_WAIT: Duration = Duration::from_millis(5_500);

/// Guards against failing a gang that fits into the pool. One of two workers dies together with
/// the owner, so the successor finds only the worker's row, which did not state its capacity, and
/// it counted only the other worker, which is too small for the gang.
#[tokio::test(flavor = "multi_thread")]
async fn a_gang_is_not_failed_because_a_worker_died_with_the_owner() {
    let mut cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let first = "/plain/00000000000000d1";
    // Eight tasks of one core use both workers, so the owner stores a row of each.
    caller.submit(&cell.servers(), first, &job(8, "200")).await;
    caller.wait_state(&cell.servers(), first, "completed").await;
    let owner = cell.wait_owner(|_| true).await;
    cell.workers[1].die();
    cell.store.remove("servers", &cell.workers[1].id);
    cell.kill(owner).await;
    let next = cell.wait_owner(|next| next != owner).await;
    let path = "/plain/00000000000000d2";
    // A gang of six members does not fit on one worker of four cores.
    let mut gang = job(6, "200");
    gang["steps"][0]["gang"] = true.into();
    caller.submit(&[cell.server(next)], path, &gang).await;

    tokio::time::sleep(REGISTRATION_WAIT).await;

    let (_, body) = caller
        .send(Method::GET, cell.server(next), path, &Value::Null)
        .await;
    assert_eq!(body["state"], "pending");
    cell.close().await;
}
