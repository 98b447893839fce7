//! Replies about jobs and queues while the owner changes or the store is unreachable.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::StoreFaults;
use site::TestCell;
use site::WAIT_LIMIT;
use site::job;

/// Position of a status in the order in which a job that completes has them.
fn rank(state: &str) -> usize {
    let states = ["pending", "active", "completed"];
    let found = states.iter().position(|name| *name == state);
    found.expect("status of a completing job")
}

/// Polls a process for the status of a job until it is completed; returns each change.
async fn poll_statuses(cell: &TestCell, caller: &Caller, at: usize, path: &str) -> Vec<String> {
    let mut statuses = Vec::new();
    let polling = async {
        while statuses.last().is_none_or(|state| state != "completed") {
            let (status, body) = caller
                .send(Method::GET, cell.server(at), path, &Value::Null)
                .await;
            if status == 200 {
                statuses.push(body["state"].as_str().unwrap_or_default().to_owned());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let ended = tokio::time::timeout(WAIT_LIMIT, polling).await;
    assert!(ended.is_ok(), "never completed: {statuses:?}");
    statuses.dedup();
    statuses
}

/// Guards against a job that is shown as active and then as pending. The owner is killed before a
/// task has ended, so the store contains only the job's row. The other processes took this for a
/// job of which no task had started, and so did the successor until it had received the reports
/// of the workers.
#[tokio::test(flavor = "multi_thread")]
async fn job_status_does_not_go_back_when_the_owner_dies() {
    let mut cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let path = "/plain/0000000000000081";
    caller.submit(&cell.servers(), path, &job(2, "3000")).await;
    caller.wait_state(&cell.servers(), path, "active").await;
    let owner = cell.wait_owner(|_| true).await;
    cell.kill(owner).await;

    let statuses = poll_statuses(&cell, &caller, 1 - owner, path).await;

    assert!(
        statuses.is_sorted_by_key(|state| rank(state)),
        "{statuses:?}"
    );
    assert!(!statuses.contains(&"pending".to_owned()), "{statuses:?}");
    cell.close().await;
}

/// Guards against a 404 for a queue that was added seconds before. The process cannot read the
/// store and answered from the configuration that it had read before. While that is too old, an
/// unlisted queue has to be answered with 503.
#[tokio::test(flavor = "multi_thread")]
async fn an_old_configuration_does_not_rule_out_a_queue() {
    let cell = TestCell::open(2, 1).await;
    let caller = Caller::new();
    let path = "/plain/0000000000000082";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    let (missing, _) = caller
        .send(Method::GET, cell.server(0), "/never/", &Value::Null)
        .await;
    cell.store_proxies[0].set_cut(true);
    // Version 2 of the configuration has the queue `added`.
    cell.store.write("op", "config", &site::config(2));
    // Until the configuration that the process has read is too old.
    tokio::time::sleep(Duration::from_secs(5)).await;

    let (added, _) = caller
        .send(Method::GET, cell.server(0), "/added/", &Value::Null)
        .await;

    assert_eq!((missing, added), (404, 503));
    cell.close().await;
}

/// Guards against a queue that stays unknown for as long as the change feed hangs, though the store
/// answers reads of the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_hung_feed_hides_no_new_queue() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    let path = "/plain/0000000000000083";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    cell.store.set_faults(StoreFaults {
        hung_feed: true,
        ..StoreFaults::default()
    });
    // Version 2 of the configuration has the queue `added`.
    cell.store.write("op", "config", &site::config(2));
    tokio::time::sleep(Duration::from_secs(10)).await;

    let path = "/added/0000000000000084";
    let (added, _) = caller
        .send(Method::POST, cell.server(0), path, &job(1, "20"))
        .await;

    assert_eq!(added, 200);
    cell.close().await;
}
