//! Number of waiting jobs that callers get for a queue while workers leave start commands
//! unanswered, with whole processes.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use serde_json::json;
use site::Caller;
use site::DelayPlan;
use site::TestCell;
use site::job;

const JOBS: u32 = 6;

fn path(nth: u32) -> String {
    format!("/plain/{:016x}", 0xf100 + nth)
}

/// Returns a plan that delays all start commands until after the end of the test.
fn starts_after_the_test() -> DelayPlan {
    DelayPlan {
        starts: 1.0,
        stops: 0.0,
        renewals: 0.0,
        min_delay: Duration::from_mins(1),
        max_delay: Duration::from_mins(1),
    }
}

/// Returns a field of the reply to a query.
async fn get_field(caller: &Caller, cell: &TestCell, path: &str, field: &str) -> Value {
    let (status, body) = caller
        .send(Method::GET, cell.server(0), path, &Value::Null)
        .await;
    assert_eq!(status, 200, "{body}");
    body[field].clone()
}

/// Guards against the reply that no job waits, although six were accepted more than five seconds
/// before and no worker had started one of their tasks. The owner had sent start commands that the
/// workers left unanswered, and counted these jobs as started. With the same fault, the owner
/// logged `waiting jobs of a queue counted` (code 372) with waiting=1, ordered=41 (jobs with
/// unanswered starts) and unfinished=176.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_whose_starts_are_unanswered_count_as_waiting() {
    let cell = TestCell::open(2, 2).await;
    let caller = Caller::new();
    caller
        .submit(&cell.servers(), "/plain/00000000000000f0", &job(1, "20"))
        .await;
    caller
        .wait_state(&cell.servers(), "/plain/00000000000000f0", "completed")
        .await;
    for worker in &cell.workers {
        worker.set_delay_plan(starts_after_the_test());
    }
    for nth in 0..JOBS {
        caller
            .submit(&cell.servers(), &path(nth), &job(1, "20"))
            .await;
    }
    // Longer than the 0.5 s after which a start command counts as unanswered.
    tokio::time::sleep(Duration::from_millis(1500)).await;

    let waiting = get_field(&caller, &cell, "/plain/", "waiting").await;
    let state = get_field(&caller, &cell, &path(0), "state").await;
    for worker in &cell.workers {
        worker.set_delay_plan(DelayPlan::default());
    }

    assert_eq!((waiting, state), (json!(JOBS), json!("pending")));
    for nth in 0..JOBS {
        caller
            .wait_state(&cell.servers(), &path(nth), "completed")
            .await;
    }
    cell.close().await;
}
