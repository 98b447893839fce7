//! A process whose table address leads to the table of another cell.
//!
//! Once in 64 runs a request had no answer for 40 s while a process was stopped as planned. A
//! failed test had left its processes running, and the table of a later test got the port of
//! theirs. They found no lease row of their own there, wrote one, and claimed shards as owners
//! that no other process could reach, since their keys differ. A process that has lost its
//! lease must check that the table belongs to its cell; without this check the first test
//! finds no answers for 40 s and a fourth lease in the table.

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

/// Guards against shards that are claimed by a process of another cell, which the processes
/// of this cell cannot reach.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_redirected_to_another_cells_table_does_not_join() {
    let other = open_cell(1).await;
    let mut cell = open_cell(3).await;
    redirect_table(&cell, &other).await;
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

/// Guards against a process that never rejoins its cell after its table was unreachable.
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
