//! Jobs that a successor may or may not fail because no worker could ever run them.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::StoreFaults;
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

/// Guards against callers of a host that is cut off who come back only after a second, though other
/// hosts serve.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_host_that_is_cut_off_may_come_back_at_once() {
    let mut cell = TestCell::open(3, 1).await;
    let owner = cell.wait_owner(|_| true).await;
    let other = (owner + 1) % 3;
    // The host reaches neither the store nor the owner.
    cell.store_proxies[other].set_cut(true);
    cell.kill(owner).await;
    tokio::time::sleep(Duration::from_secs(2)).await;

    let (status, retry) = Caller::new()
        .retry_after(
            Method::POST,
            cell.server(other),
            "/plain/00000000000000d3",
            &job(1, "20"),
        )
        .await;

    assert_eq!((status, retry.as_deref()), (503, Some("0")));
    cell.close().await;
}

/// Guards against callers who come back at once, and in vain, while the store is down for all hosts.
#[tokio::test(flavor = "multi_thread")]
async fn callers_wait_a_second_while_the_store_is_down() {
    let cell = TestCell::open(2, 1).await;
    cell.wait_owner(|_| true).await;
    cell.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut found = Vec::new();

    for server in cell.servers() {
        let path = "/plain/00000000000000d4";
        let caller = Caller::new();
        found.push(
            caller
                .retry_after(Method::POST, server, path, &job(1, "20"))
                .await,
        );
    }

    let refused = (503, Some("1".to_owned()));
    assert_eq!(found, [refused.clone(), refused]);
    cell.close().await;
}
