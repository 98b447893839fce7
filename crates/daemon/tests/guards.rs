//! A start that is late on its way, with the worker's fence and without it:
//! the checker is no proof unless it fails when the guard is taken out.

mod support;

use std::time::Duration;

use fake::Cell;
use fake::confirmation_request;
use fake::spawn_load;
use fake::verify;
use model::Request;

use crate::support::open_cell;
use crate::support::plan_for;

/// Longer than a take-over.
const LATE: Duration = Duration::from_secs(7);

fn confirmations(number: u32) -> Request {
    confirmation_request(&format!("confirm-{number}"))
}

/// Kills a process while its starts are on the way to the workers, which get
/// them long after another process has claimed them.
async fn kill_with_late_starts(cell: &mut Cell) -> Vec<String> {
    let plan = plan_for(cell, 60, 60, confirmations);
    for worker in &cell.platform.workers {
        worker.update(|manner| manner.start_delay = LATE);
    }
    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.members[0].kill();
    for worker in &cell.platform.workers {
        worker.update(|manner| manner.start_delay = Duration::ZERO);
    }
    let outcomes = load.await.expect("load");
    tokio::time::sleep(LATE).await;
    verify(&outcomes, &cell.platform.log.runs(), cell.platform.capacity)
}

// Symptom: a confirmation ran twice. Sequence: its owner sends the start and
// dies; the next owner claims the worker, which does not list the task, and
// starts it anew; then the first start arrives. Cause: a worker that accepts
// starts of an older epoch.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_start_of_a_dead_owner_is_refused() {
    let mut cell = open_cell(3).await;

    let wrong = kill_with_late_starts(&mut cell).await;

    assert!(wrong.is_empty(), "{wrong:#?}");
    cell.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_fence_the_checker_sees_confirmations_run_twice() {
    let mut cell = open_cell(3).await;
    for worker in &cell.platform.workers {
        worker.update(|manner| manner.ignore_fence = true);
    }

    let wrong = kill_with_late_starts(&mut cell).await;

    let again = wrong
        .iter()
        .filter(|text| text.starts_with("RepeatedRun"))
        .count();
    assert!(again > 0, "the checker saw nothing: {wrong:?}");
    cell.close();
}
