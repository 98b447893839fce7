//! Starts of a killed owner that reach the worker after the successor has claimed it. The requests
//! are confirmations: requests that are not idempotent, so they must run at most once. In one
//! test the worker refuses calls with an older fence (the fencing token of an owner); in the
//! other it accepts any fence, which shows that the checker detects the failure.

mod support;

use std::time::Duration;

use fake::Cell;
use fake::confirmation_request;
use fake::spawn_load;
use fake::verify;
use model::Request;

use crate::support::load_plan;
use crate::support::open_cell;

/// Delay of starts on their way to the workers. Longer than a take-over takes (the lease of a
/// killed process expires after 2 s), and shorter than the lease of the tasks (10 s), after which a
/// worker refuses a start whatever its fence.
const START_DELAY: Duration = Duration::from_secs(7);

fn nth_confirmation(number: u32) -> Request {
    confirmation_request(&format!("confirm-{number}"))
}

/// Kills a process while its starts are on their way to the workers. They arrive after other
/// processes have taken its shards over and claimed the workers. Returns the violations that
/// [`verify`] finds.
async fn kill_owner_with_delayed_starts(cell: &mut Cell) -> Vec<String> {
    // 60 requests, all sent within one second. Each process owns some of their shards.
    let plan = load_plan(cell, 60, 60, nth_confirmation);
    for worker in &cell.platform.workers {
        worker.update(|behaviour| behaviour.start_delay = START_DELAY);
    }
    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.members[0].kill();
    // Starts that are already under way keep their delay; those of the successors have none.
    for worker in &cell.platform.workers {
        worker.update(|behaviour| behaviour.start_delay = Duration::ZERO);
    }
    let outcomes = load.await.expect("load");
    tokio::time::sleep(START_DELAY).await;
    verify(&outcomes, &cell.platform.log.runs(), cell.platform.capacity)
}

// Guards against a confirmation that runs twice. Its owner sends the start and is killed. The
// successor claims the worker, whose reply does not list the task, and starts it again. Then
// the first start arrives. The worker must refuse it, because its fence has an older epoch.
#[tokio::test(flavor = "multi_thread")]
async fn a_delayed_start_of_a_killed_owner_is_refused() {
    let mut cell = open_cell(3).await;

    let violations = kill_owner_with_delayed_starts(&mut cell).await;

    assert!(violations.is_empty(), "{violations:#?}");
    cell.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_fence_the_checker_reports_confirmations_run_twice() {
    let mut cell = open_cell(3).await;
    for worker in &cell.platform.workers {
        worker.update(|behaviour| behaviour.ignore_fence = true);
    }

    let violations = kill_owner_with_delayed_starts(&mut cell).await;

    let repeated = violations
        .iter()
        .filter(|text| text.starts_with("RepeatedRun"))
        .count();
    assert!(
        repeated > 0,
        "the checker reported no repeated run: {violations:?}"
    );
    cell.close();
}
