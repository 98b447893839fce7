//! The path of a request through real processes, from its submission to its answer.

mod support;

use std::time::Duration;

use fake::lookup_request;

use crate::support::open_cell;

/// Timeout for the final answer to a submission.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

// Guards against a retry that runs the request again or gets another answer than the first try.
// The retries go through all processes, also those that do not own the shard of the request.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_the_same_through_every_process() {
    let cell = open_cell(3).await;
    let request = lookup_request("bearing-1");

    let first = cell
        .caller
        .submit(cell.http(0), &request, ANSWER_TIMEOUT)
        .await
        .expect("answer");
    let mut retries = Vec::new();
    for member in &cell.members {
        retries.push(
            cell.caller
                .submit(member.http(), &request, ANSWER_TIMEOUT)
                .await
                .expect("answer"),
        );
    }

    // Code of the answer to a request that has succeeded.
    assert_eq!(first.number, 100, "{first:?}");
    assert!(first.answer.has_valid_digest());
    assert!(retries.iter().all(|retry| *retry == first), "{retries:?}");
    assert_eq!(cell.platform.log.runs_of("stores/bearing-1").len(), 1);
    cell.close();
}
