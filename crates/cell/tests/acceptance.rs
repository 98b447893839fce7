//! Replies to callers when the store's reply to a write is missing or ambiguous.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Act;
use site::Answer;
use site::Caller;
use site::SiteCell;
use site::job;

/// Opens a cell and completes one job, which shows that the store answers.
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

/// Guards against a reply "not accepted" for a job that then runs. The first attempt of the write
/// gets no reply for a while, so a second one is sent, which the store carries out with a garbled
/// reply. Then the first attempt is refused, and that refusal was taken to mean both attempts.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_one_attempt_is_not_taken_for_both() {
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

    assert_eq!(status, 200, "found by the next attempt");
    caller.wait_state(&cell.servers(), path, "completed").await;
    cell.close().await;
}

/// Guards against a reply "not accepted" for a job that then runs. The store carries out the
/// write, but replies with an error status that does not rule this out. Every status except
/// success was taken for a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn an_ambiguous_error_status_is_not_taken_for_a_refusal() {
    let (cell, caller) = open().await;
    for (nth, status) in [500, 502, 504].into_iter().enumerate() {
        let path = format!("/plain/{:016x}", 0xf10 + nth);
        let acts = [act(true, 0, Answer::Status(status))];
        cell.store.set_script(cell::JOB_TABLE, &acts);

        let (returned, _) = caller
            .send(Method::POST, cell.server(0), &path, &job(1, "20"))
            .await;

        assert_eq!(returned, 200, "{status}: found by the next attempt");
    }
    cell.close().await;
}

/// Guards against a reply "cancel not stored" although the store may still carry out the write:
/// none of the attempts gets a reply.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_without_a_store_reply_is_not_reported_as_refused() {
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

/// A cancel that is certainly not stored is answered with 503.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_cancel_is_reported_as_refused() {
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
