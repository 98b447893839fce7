//! The length of a queue, as callers are told, while workers leave starts
//! unanswered; with whole processes.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use serde_json::json;
use site::Caller;
use site::LatePlan;
use site::SiteCell;
use site::job;

const JOBS: u32 = 6;

fn path(nth: u32) -> String {
    format!("/plain/{:016x}", 0xf100 + nth)
}

/// Starts are carried out so late that none is within the test.
fn deaf_to_starts() -> LatePlan {
    LatePlan {
        starts: 1.0,
        stops: 0.0,
        holds: 0.0,
        least: Duration::from_mins(1),
        most: Duration::from_mins(1),
    }
}

async fn ask(caller: &Caller, cell: &SiteCell, path: &str, field: &str) -> Value {
    let (status, body) = caller
        .send(Method::GET, cell.server(0), path, &Value::Null)
        .await;
    assert_eq!(status, 200, "{body}");
    body[field].clone()
}

/// A caller was told that no job waits, while six had been accepted more than
/// five seconds before and no worker had begun a task of them: the owner had
/// ordered their starts, the workers left these unanswered, and what was ordered
/// counted as begun. The owner's log said: waiting=1, ordered=41, unfinished=176.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_that_no_worker_has_begun_are_told_as_waiting() {
    let cell = SiteCell::open(2, 2).await;
    let caller = Caller::new();
    caller
        .submit(&cell.servers(), "/plain/00000000000000f0", &job(1, "20"))
        .await;
    caller
        .wait_state(&cell.servers(), "/plain/00000000000000f0", "completed")
        .await;
    for worker in &cell.workers {
        worker.set_late(deaf_to_starts());
    }
    for nth in 0..JOBS {
        caller
            .submit(&cell.servers(), &path(nth), &job(1, "20"))
            .await;
    }
    // Longer than the 0.5 s after which a start counts as unanswered.
    tokio::time::sleep(Duration::from_millis(1500)).await;

    let waiting = ask(&caller, &cell, "/plain/", "waiting").await;
    let state = ask(&caller, &cell, &path(0), "state").await;
    for worker in &cell.workers {
        worker.set_late(LatePlan::default());
    }

    assert_eq!((waiting, state), (json!(JOBS), json!("pending")));
    for nth in 0..JOBS {
        caller
            .wait_state(&cell.servers(), &path(nth), "completed")
            .await;
    }
    cell.close().await;
}
