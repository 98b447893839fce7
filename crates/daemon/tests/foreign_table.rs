//! A process whose table address leads to the table of another cell.
//!
//! This happens if a failed test leaves its processes running and the table of a later test gets
//! the port of theirs. These processes find no lease row of their own there, write one, and
//! claim shards. No process of the other cell can reach them, since the keys of the cells
//! differ, so requests get no answer: in 1 of 64 runs, one had none for 40 s while a process was
//! stopped as planned. A process that has lost its lease must therefore check that the table
//! belongs to its cell. Without this check, the first test finds requests that have no answer
//! for 40 s and a fourth lease in the table.

mod support;

use std::time::Duration;

use fake::Cell;
use fake::RelayPlan;
use fake::spawn_load;
use nix::sys::signal::Signal;

use crate::support::assert_all_succeeded;
use crate::support::assert_no_violations;
use crate::support::load_plan;
use crate::support::mixed_request;
use crate::support::open_cell;

/// Redirects the table connection of the first process of `other` to the table of `cell`.
async fn redirect_table(cell: &Cell, other: &Cell) {
    let relay = &other.members[0].table;
    relay.set_plan(RelayPlan {
        cut: true,
        ..RelayPlan::default()
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    relay.set_plan(RelayPlan {
        redirect: Some(cell.platform.table_address),
        ..RelayPlan::default()
    });
}

/// Guards against shards that are claimed by a process of another cell, which the processes
/// of this cell cannot reach. Such a process must write no lease to this cell's table.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_redirected_to_another_cells_table_does_not_join() {
    let other = open_cell(1).await;
    let mut cell = open_cell(3).await;
    redirect_table(&cell, &other).await;
    // `load_plan` takes the number of requests per second and their total number.
    let plan = load_plan(&cell, 60, 600, mixed_request);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let leases = cell.platform.table.rows("cell/lease/");
    cell.members[2].signal(Signal::SIGTERM);
    let ended = cell.members[2].wait_exit(Duration::from_secs(30)).await;
    let outcomes = load.await.expect("load");

    assert_eq!(ended, Some(true), "{}", cell.log(2));
    assert_all_succeeded(&outcomes);
    assert_no_violations(&cell, &outcomes);
    assert_eq!(leases.len(), 3, "{leases:#?}");
    cell.close();
    other.close();
}

/// Guards against a process that never serves its cell again after its table connection led to
/// the table of another cell.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_resumes_when_its_own_table_is_back() {
    let cell = open_cell(1).await;
    let other = open_cell(1).await;
    redirect_table(&other, &cell).await;
    tokio::time::sleep(Duration::from_secs(4)).await;

    cell.members[0].table.set_plan(RelayPlan {
        cut: true,
        ..RelayPlan::default()
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    cell.members[0].table.set_plan(RelayPlan::default());

    cell.wait_ready(Duration::from_secs(30))
        .await
        .expect("the process serves again");
    cell.close();
    other.close();
}
