//! Planned stops finish within the grace period of the platform, whatever the store does.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::job;

/// Time between the signal to stop and the kill, as in the settings of the simulated site.
const GRACE: Duration = Duration::from_secs(6);

/// Longer than the timeout of any call to the store.
const HANG_TIME: Duration = Duration::from_secs(30);

/// Guards against a process that does not stop within its grace period, and is killed while it
/// still serves requests of callers. It has taken the pool, and kept trying to read the former
/// owner's state from a store that does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_cannot_read_the_pool_it_took_stops_in_time() {
    let mut cell = TestCell::open(2, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000a1";
    caller.submit(&cell.servers(), path, &job(1, "20000")).await;
    let owner = cell.wait_owner(|_| true).await;
    // A process that has taken the pool reads the guard row before it reads the jobs.
    cell.store.set_faults(StoreFaults {
        slow_rows: Some(("guard", HANG_TIME)),
        ..StoreFaults::default()
    });

    cell.kill(owner).await;
    let next = cell.wait_owner(|next| next != owner).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let stopped = cell.stop_within(next, GRACE).await;

    assert!(stopped, "the process did not stop within its grace period");
    cell.close().await;
}

const PATH: &str = "/plain/00000000000000a2";

/// A cell of two processes of which the store delays each transaction, and the index of the process
/// that does not own the pool.
async fn open_with_delay(delay: Duration) -> (TestCell, usize) {
    let cell = TestCell::open(2, 1).await;
    let owner = cell.wait_owner(|_| true).await;
    cell.store.set_faults(StoreFaults {
        delay,
        ..StoreFaults::default()
    });
    (cell, 1 - owner)
}

/// Submits a job to a process that is asked to stop `wait` before; returns the status of the reply,
/// its `Connection` header, and whether the process stopped within [`GRACE`].
async fn submit_after_stop(
    cell: &mut TestCell,
    index: usize,
    caller: &Caller,
    wait: Duration,
) -> (u16, Option<String>, bool) {
    let server = cell.server(index);
    let body = job(1, "100");
    let submit = async {
        tokio::time::sleep(wait).await;
        caller.connection(Method::POST, server, PATH, &body).await
    };
    let ((status, connection), in_time) = tokio::join!(submit, cell.stop_within(index, GRACE));
    (status, connection, in_time)
}

/// Guards against callers that stay on the connection to a stopping host until it is closed under
/// their next request: the balancer does not move open connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_reply_on_an_open_connection_tells_the_caller_to_reconnect() {
    let (mut cell, index) = open_with_delay(Duration::ZERO).await;
    let caller = Caller::new();
    let (server, body) = (cell.server(index), job(1, "100"));
    let open = caller.connection(Method::POST, server, PATH, &body).await;
    let rejected = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let path = "/none/00000000000000a2";
        Caller::new()
            .connection(Method::POST, server, path, &body)
            .await
    };

    let wait = Duration::from_millis(500);
    let stopping = submit_after_stop(&mut cell, index, &caller, wait);
    let (stopping, rejected) = tokio::join!(stopping, rejected);

    let close = Some("close".to_owned());
    assert_eq!(open, (200, None));
    assert_eq!(stopping, (200, close.clone(), true));
    assert_eq!(rejected, (404, close));
    cell.close().await;
}

/// Guards against refused connections: the balancer sends new ones for two seconds after the stop.
#[tokio::test(flavor = "multi_thread")]
async fn new_connections_are_served_until_the_balancer_has_noticed() {
    let (mut cell, index) = open_with_delay(Duration::ZERO).await;

    let wait = Duration::from_millis(2100);
    let (status, _, in_time) = submit_after_stop(&mut cell, index, &Caller::new(), wait).await;

    assert_eq!((status, in_time), (200, true));
    cell.close().await;
}

/// Guards against requests that were read and get no answer although the grace period allows for
/// it, since the store was slow.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_a_slow_store_delays_is_answered_within_the_grace_period() {
    let (mut cell, index) = open_with_delay(Duration::from_millis(2600)).await;

    let wait = Duration::from_millis(2300);
    let (status, _, in_time) = submit_after_stop(&mut cell, index, &Caller::new(), wait).await;

    assert_eq!((status, in_time), (200, true));
    cell.close().await;
}

/// Guards against a process that cuts the requests which it cannot answer within the grace period, or
/// is killed while it waits for the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_takes_longer_than_the_grace_period_is_answered_before_its_end() {
    let (mut cell, index) = open_with_delay(HANG_TIME).await;
    let mut config = site::config(2);
    config["routes"][0]["timeout_ms"] = 8000.into();
    cell.store.write("op", "config", &config);
    let caller = Caller::new();
    let server = cell.server(index);
    let added = "/added/00000000000000a3";
    while caller
        .send(Method::GET, server, added, &Value::Null)
        .await
        .0
        != 410
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let wait = Duration::from_millis(2300);
    let (status, _, in_time) = submit_after_stop(&mut cell, index, &caller, wait).await;

    assert_eq!((status, in_time), (504, true));
    cell.close().await;
}
