//! Replies to callers when the store's reply to a write is missing or ambiguous.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::RefusedCalls;
use site::Reply;
use site::ScriptedReply;
use site::StoreFaults;
use site::TestCell;
use site::WAIT_LIMIT;
use site::job;

/// Opens a cell of one process and one worker and completes one job, so that the process and the
/// store are ready.
async fn open() -> (TestCell, Caller) {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000f0";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    (cell, caller)
}

/// Returns how the store handles one transaction: whether it carries it out, after how many
/// milliseconds it replies, and with what.
fn scripted(commit: bool, delay: u64, reply: Reply) -> ScriptedReply {
    ScriptedReply {
        commit,
        delay: Duration::from_millis(delay),
        reply,
    }
}

/// Guards against a reply "not accepted" for a job that then runs. The process gets no reply to
/// its first write of the job's row and sends a second one, which the store carries out, but
/// answers with bytes that cannot be decoded. Then the store refuses the first write (503), which
/// the process took for a refusal of both.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_one_attempt_is_not_taken_for_a_refusal_of_both() {
    let (cell, caller) = open().await;
    let path = "/plain/00000000000000f1";
    let replies = [
        scripted(false, 1_800, Reply::Status(503)),
        scripted(true, 0, Reply::Malformed),
    ];
    cell.store.set_script(cell::JOB_TABLE, &replies);

    let (status, _) = caller
        .send(Method::POST, cell.server(0), path, &job(1, "20"))
        .await;

    assert_eq!(status, 200, "the next attempt finds the stored job");
    caller.wait_state(&cell.servers(), path, "completed").await;
    cell.close().await;
}

/// Guards against a reply "not accepted" for a job that then runs. The store carries out the
/// write and replies with an error status that leaves open whether it did. The process took every
/// status except success for a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn an_ambiguous_error_status_is_not_taken_for_a_refusal() {
    let (cell, caller) = open().await;
    for (nth, status) in [500, 502, 504].into_iter().enumerate() {
        let path = format!("/plain/{:016x}", 0xf10 + nth);
        let replies = [scripted(true, 0, Reply::Status(status))];
        cell.store.set_script(cell::JOB_TABLE, &replies);

        let (returned, _) = caller
            .send(Method::POST, cell.server(0), &path, &job(1, "20"))
            .await;

        assert_eq!(
            returned, 200,
            "store status {status}: the next attempt finds the stored job"
        );
    }
    cell.close().await;
}

/// Guards against the reply that a cancel is not stored (503) although the store may still carry
/// out the write: none of the attempts gets a reply, so the outcome is unknown (504).
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_without_a_store_reply_is_not_reported_as_refused() {
    let (cell, caller) = open().await;
    let path = "/plain/00000000000000f2";
    caller.submit(&cell.servers(), path, &job(1, "30000")).await;
    let replies = [scripted(false, 0, Reply::Lost); 3];
    cell.store.set_script(cell::JOB_TABLE, &replies);

    let (status, _) = caller
        .send(Method::DELETE, cell.server(0), path, &Value::Null)
        .await;

    assert_eq!(status, 504);
    cell.close().await;
}

/// A cancel that is certainly not stored, because the store refuses each attempt, is answered
/// with 503.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_cancel_is_reported_as_refused() {
    let (cell, caller) = open().await;
    let path = "/plain/00000000000000f3";
    caller.submit(&cell.servers(), path, &job(1, "30000")).await;
    let replies = [scripted(false, 0, Reply::Status(503)); 100];
    cell.store.set_script(cell::JOB_TABLE, &replies);

    let (status, _) = caller
        .send(Method::DELETE, cell.server(0), path, &Value::Null)
        .await;

    assert_eq!(status, 503);
    cell.close().await;
}

/// Guards against the reply that it is unknown whether a job was accepted (504) although the store
/// refused every write of its row. While a refusal was on its way, the store also refused the
/// change feed, and the process abandoned the write as if the store were silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_the_store_refuses_together_with_the_feed_is_reported_as_refused() {
    let (cell, caller) = open().await;
    let path = "/plain/00000000000000f4";
    // The next call of the change feed is at most 0.4 s away, so its refusal arrives first.
    let replies = [scripted(false, 700, Reply::Status(503)); 3];
    cell.store.set_script(cell::JOB_TABLE, &replies);
    let received = cell.store.transactions(cell::JOB_TABLE);
    let server = cell.server(0);
    let submission = tokio::spawn(async move {
        caller
            .send(Method::POST, server, path, &job(1, "20"))
            .await
            .0
    });
    let write_received = async {
        while cell.store.transactions(cell::JOB_TABLE) == received {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, write_received)
        .await
        .expect("a write of the job's row");

    cell.store.set_faults(StoreFaults {
        refused_calls: RefusedCalls::Reads,
        ..StoreFaults::default()
    });
    let status = submission.await.expect("a reply");

    assert_eq!(status, 503);
    let writes = cell.store.transactions(cell::JOB_TABLE) - received;
    assert_eq!(writes, 1, "no write is sent while the store is unreachable");
    cell.close().await;
}
