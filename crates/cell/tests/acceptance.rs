//! What callers are told of a write whose answer is missing or unclear.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Act;
use site::Answer;
use site::Caller;
use site::SiteCell;
use site::job;

/// A cell whose store is known to answer.
async fn open() -> (SiteCell, Caller) {
    let cell = SiteCell::open(1, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000f0";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    (cell, caller)
}

fn act(done: bool, after: u64, answer: Answer) -> Act {
    Act {
        done,
        after: Duration::from_millis(after),
        answer,
    }
}

/// A caller was told that its job had not been accepted, and the job ran. The
/// first try of the write got no answer for a while, so a second one was sent;
/// that was done, and its answer was broken. Then the first one was refused,
/// and this refusal was taken for that of both.
#[tokio::test(flavor = "multi_thread")]
async fn the_refusal_of_one_try_does_not_stand_for_the_other() {
    let (cell, caller) = open().await;
    let path = "/plain/00000000000000f1";
    let acts = [
        act(false, 1_800, Answer::Status(503)),
        act(true, 0, Answer::Garbled),
    ];
    cell.store.set_script(cell::JOB_TABLE, &acts);

    let (status, _) = caller
        .send(Method::POST, cell.server(0), path, &job(1, "20"))
        .await;

    assert_eq!(status, 200, "found by the next try");
    caller.wait_state(&cell.servers(), path, "completed").await;
    cell.close().await;
}

/// A caller was told that its job had not been accepted, and the job ran. The
/// store did the write and then failed with a status that does not say that
/// nothing was done; every status but success was taken for a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_leaves_it_open_is_no_refusal() {
    let (cell, caller) = open().await;
    for (nth, status) in [500, 502, 504].into_iter().enumerate() {
        let path = format!("/plain/{:016x}", 0xf10 + nth);
        let acts = [act(true, 0, Answer::Status(status))];
        cell.store.set_script(cell::JOB_TABLE, &acts);

        let (told, _) = caller
            .send(Method::POST, cell.server(0), &path, &job(1, "20"))
            .await;

        assert_eq!(told, 200, "{status}: found by the next try");
    }
    cell.close().await;
}

/// A caller was told that its cancel had not been stored, though the store may
/// still do it: no try of the write was answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_without_answer_is_not_said_to_be_refused() {
    let (cell, caller) = open().await;
    let path = "/plain/00000000000000f2";
    caller.submit(&cell.servers(), path, &job(1, "30000")).await;
    let acts = [act(false, 0, Answer::Never); 3];
    cell.store.set_script(cell::JOB_TABLE, &acts);

    let (status, _) = caller
        .send(Method::DELETE, cell.server(0), path, &Value::Null)
        .await;

    assert_eq!(status, 504);
    cell.close().await;
}

/// A cancel that was certainly not stored is said to be refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_cancel_is_said_to_be_refused() {
    let (cell, caller) = open().await;
    let path = "/plain/00000000000000f3";
    caller.submit(&cell.servers(), path, &job(1, "30000")).await;
    let acts = [act(false, 0, Answer::Status(503)); 100];
    cell.store.set_script(cell::JOB_TABLE, &acts);

    let (status, _) = caller
        .send(Method::DELETE, cell.server(0), path, &Value::Null)
        .await;

    assert_eq!(status, 503);
    cell.close().await;
}
