//! End-to-end tests with whole processes: submission, advice, start, end and job status.

use hyper::Method;
use serde_json::Value;
use serde_json::json;
use site::Caller;
use site::TestCell;
use site::WAIT_LIMIT;
use site::config;
use site::job;

/// Path of a job in the queue `plain`: the job's id in 16 hexadecimal digits, in lower case.
const JOB: &str = "/plain/00000000000000a1";

#[tokio::test(flavor = "multi_thread")]
async fn a_completed_job_is_shown_by_every_process() {
    let cell = TestCell::open(3, 2).await;
    let caller = Caller::new();

    caller.submit(&cell.servers(), JOB, &job(3, "30")).await;

    for server in cell.servers() {
        caller.wait_state(&[server], JOB, "completed").await;
    }
    assert_eq!(cell.log.starts("00000000000000a1"), 3);
    assert_eq!(cell.log.violations(), Vec::<String>::new());
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_queue_with_advice_calls_the_advice_service() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    let path = "/advised/00000000000000a2";

    caller.submit(&cell.servers(), path, &job(2, "20")).await;

    caller.wait_state(&cell.servers(), path, "completed").await;
    assert!(cell.advice.calls() >= 1);
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_id_submitted_to_two_processes_is_one_job() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();

    caller.submit(&[cell.server(0)], JOB, &job(2, "30")).await;
    caller.submit(&[cell.server(1)], JOB, &job(2, "30")).await;

    caller.wait_state(&cell.servers(), JOB, "completed").await;
    assert_eq!(cell.log.starts("00000000000000a1"), 2);
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_fails_after_the_last_attempt_of_a_task() {
    let cell = TestCell::open(1, 2).await;
    let caller = Caller::new();

    caller.submit(&cell.servers(), JOB, &job(1, "fail")).await;

    caller.wait_state(&cell.servers(), JOB, "failed").await;
    assert_eq!(cell.log.starts("00000000000000a1"), 2, "two attempts");
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_is_shown_as_canceled() {
    let cell = TestCell::open(2, 1).await;
    let caller = Caller::new();
    caller.submit(&cell.servers(), JOB, &job(2, "600000")).await;
    caller.wait_state(&cell.servers(), JOB, "active").await;

    let (status, _) = caller
        .send(Method::DELETE, cell.server(1), JOB, &Value::Null)
        .await;

    assert_eq!(status, 200);
    caller.wait_state(&cell.servers(), JOB, "canceled").await;
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_a_specific_status() {
    let cell = TestCell::open(1, 1).await;
    let caller = Caller::new();
    caller.submit(&cell.servers(), JOB, &job(1, "20")).await;
    let server = cell.server(0);
    let no_steps = json!({"spec": "", "steps": []});
    let self_dependency = json!({"spec": "", "steps": [{"count": 1, "after": [0]}]});
    let cases = [
        // The id has too few digits.
        (Method::POST, "/plain/123", &no_steps, 400),
        // It has a capital letter.
        (Method::POST, "/plain/00000000000000A1", &no_steps, 400),
        // The id is valid; the bodies are not.
        (Method::POST, "/plain/00000000000000a3", &no_steps, 400),
        (
            Method::POST,
            "/plain/00000000000000a3",
            &self_dependency,
            400,
        ),
        // There is no such queue.
        (Method::POST, "/other/00000000000000a3", &no_steps, 404),
        // There is no such job.
        (Method::GET, "/plain/00000000000000a4", &no_steps, 410),
        (Method::DELETE, "/plain/00000000000000a4", &no_steps, 410),
        // The method is not supported.
        (Method::PUT, "/plain/00000000000000a4", &no_steps, 405),
    ];

    for (method, path, body, expected) in cases {
        let (status, _) = caller.send(method.clone(), server, path, body).await;

        assert_eq!(status, expected, "{method} {path}");
    }
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_queue_reports_its_waiting_jobs() {
    let cell = TestCell::open(2, 1).await;
    let caller = Caller::new();
    // Four tasks of ten minutes fill the worker.
    caller.submit(&cell.servers(), JOB, &job(4, "600000")).await;
    caller.wait_state(&cell.servers(), JOB, "active").await;
    let waiting = "/plain/00000000000000a5";
    caller.submit(&cell.servers(), waiting, &job(1, "20")).await;

    let polling = async {
        loop {
            let server = cell.server(1);
            let (status, body) = caller
                .send(Method::GET, server, "/plain/", &Value::Null)
                .await;
            if (status, &body["waiting"]) == (200, &json!(1)) {
                return;
            }
        }
    };

    assert!(tokio::time::timeout(WAIT_LIMIT, polling).await.is_ok());
    cell.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newer_configuration_is_applied_by_every_process() {
    let cell = TestCell::open(2, 1).await;
    let caller = Caller::new();
    caller.submit(&cell.servers(), JOB, &job(1, "20")).await;

    // Versions above 1 have the queue `added`.
    cell.store.write("op", "config", &config(5));

    for server in cell.servers() {
        let path = "/added/00000000000000a6";
        caller.submit(&[server], path, &job(1, "20")).await;
    }
    cell.close().await;
}
