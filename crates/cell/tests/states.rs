//! States that callers are shown while the owner changes.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::PATIENCE;
use site::SiteCell;
use site::job;

/// How far a job is in a state.
fn rank(state: &str) -> usize {
    let states = ["pending", "active", "completed"];
    let found = states.iter().position(|known| *known == state);
    found.expect("state of a job that ends well")
}

/// States that a process shows until the job is completed.
async fn watch(cell: &SiteCell, caller: &Caller, at: usize, path: &str) -> Vec<String> {
    let mut shown = Vec::new();
    let looks = async {
        while shown.last().is_none_or(|state| state != "completed") {
            let (status, body) = caller
                .send(Method::GET, cell.server(at), path, &Value::Null)
                .await;
            if status == 200 {
                shown.push(body["state"].as_str().unwrap_or_default().to_owned());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let ended = tokio::time::timeout(PATIENCE, looks).await;
    assert!(ended.is_ok(), "never completed: {shown:?}");
    shown.dedup();
    shown
}

/// A caller was shown a job as active and then as pending. The owner was
/// killed; nothing of the job had ended, so the store had nothing of it but its
/// row, and this was taken for a job of which nothing has started. So was it by
/// the successor, until it had asked the workers.
#[tokio::test(flavor = "multi_thread")]
async fn states_do_not_go_back_when_the_owner_dies() {
    let mut cell = SiteCell::open(2, 2).await;
    let caller = Caller::new();
    let path = "/plain/0000000000000081";
    caller.submit(&cell.servers(), path, &job(2, "3000")).await;
    caller.wait_state(&cell.servers(), path, "active").await;
    let owner = cell.wait_owner(|_| true).await;
    cell.kill(owner).await;

    let shown = watch(&cell, &caller, 1 - owner, path).await;

    assert!(shown.is_sorted_by_key(|state| rank(state)), "{shown:?}");
    assert!(!shown.contains(&"pending".to_owned()), "{shown:?}");
    cell.close().await;
}

/// A caller was told that a queue does not exist (404) which had been added
/// seconds before. The process could not read the store, and answered by the
/// configuration that it had.
#[tokio::test(flavor = "multi_thread")]
async fn an_old_configuration_does_not_deny_a_queue() {
    let cell = SiteCell::open(2, 1).await;
    let caller = Caller::new();
    let path = "/plain/0000000000000082";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    let (known, _) = caller
        .send(Method::GET, cell.server(0), "/never/", &Value::Null)
        .await;
    cell.doors[0].set_cut(true);
    cell.store.write("op", "config", &site::config(2));
    tokio::time::sleep(Duration::from_secs(5)).await;

    let (added, _) = caller
        .send(Method::GET, cell.server(0), "/added/", &Value::Null)
        .await;

    assert_eq!((known, added), (404, 503));
    cell.close().await;
}
