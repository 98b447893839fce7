//! A process whose table's address leads to the table of another cell.
//!
//! Symptom: while a process was stopped as planned, some request had no answer for 40 s,
//! once in 64 runs. Sequence: a test fails and leaves its processes running; a later test's
//! table gets the port that theirs had; they find no row of their own there, write one, and
//! claim shards that nobody can reach, since their keys are others. Cause: a process that
//! has lost its lease did not ask whose table it is. This test makes the same with whole
//! processes: without the mend requests have no answer for 40 s, and a fourth lease stands
//! in the table.

mod support;

use std::time::Duration;

use fake::Cell;
use fake::RelayPlan;
use fake::spawn_load;
use nix::sys::signal::Signal;

use crate::support::check_all_succeeded;
use crate::support::check_rules;
use crate::support::mixed;
use crate::support::open_cell;
use crate::support::plan_for;

/// The table's address of a process leads to another cell's table.
async fn lead_to(cell: &Cell, other: &Cell) {
    let table = &other.members[0].table;
    table.set_plan(RelayPlan {
        cut: true,
        ..RelayPlan::default()
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    table.set_plan(RelayPlan {
        redirect: Some(cell.platform.table_address),
        ..RelayPlan::default()
    });
}

/// Guards against shards that a process of another cell takes and nobody can reach.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_finds_another_cells_table_does_not_join() {
    let other = open_cell(1).await;
    let mut cell = open_cell(3).await;
    lead_to(&cell, &other).await;
    let plan = plan_for(&cell, 60, 600, mixed);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let leases = cell.platform.table.rows("cell/lease/");
    cell.members[2].signal(Signal::SIGTERM);
    let ended = cell.members[2].wait_exit(Duration::from_secs(30)).await;
    let outcomes = load.await.expect("load");

    assert_eq!(ended, Some(true), "{}", cell.log(2));
    check_all_succeeded(&outcomes);
    check_rules(&cell, &outcomes);
    assert_eq!(leases.len(), 3, "{leases:#?}");
    cell.close();
    other.close();
}

/// Guards against a process that stays out for good after its own table was away.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_goes_on_once_its_own_table_is_back() {
    let cell = open_cell(1).await;
    let other = open_cell(1).await;
    lead_to(&other, &cell).await;
    tokio::time::sleep(Duration::from_secs(4)).await;

    cell.members[0].table.set_plan(RelayPlan {
        cut: true,
        ..RelayPlan::default()
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    cell.members[0].table.set_plan(RelayPlan::default());

    cell.wait_ready(Duration::from_secs(30))
        .await
        .expect("it serves again");
    cell.close();
    other.close();
}
