//! Outages, lost answers and partitions of the platform's table and object store.

mod support;

use std::time::Duration;

use fake::RelayPlan;
use fake::confirmation_request;
use fake::count_families;
use fake::lookup_request;
use fake::spawn_load;
use model::Family;
use model::Request;

use crate::support::assert_all_succeeded;
use crate::support::assert_no_violations;
use crate::support::load_plan;
use crate::support::mixed_request;
use crate::support::open_cell;
use crate::support::shard_rows;
use crate::support::wait_balanced;

/// Duration of an outage, longer than the lease of a process.
const OUTAGE_TIME: Duration = Duration::from_secs(6);

fn nth_lookup(number: u32) -> Request {
    lookup_request(&format!("lookup-{number}"))
}

fn nth_urgent_confirmation(number: u32) -> Request {
    Request {
        deadline_millis: 1500,
        ..confirmation_request(&format!("confirm-{number}"))
    }
}

// Guards against lookups that fail while the table is down. The table refuses every call for
// three lease times under load; owners must not stop when their lease expires if no other
// process can take their shards over.
#[tokio::test(flavor = "multi_thread")]
async fn lookups_succeed_during_an_outage() {
    let cell = open_cell(3).await;
    wait_balanced(&cell).await;
    let before = shard_rows(&cell);
    let plan = load_plan(&cell, 100, 1000, nth_lookup);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.platform.set_outage(true);
    tokio::time::sleep(OUTAGE_TIME).await;
    cell.platform.set_outage(false);
    let outcomes = load.await.expect("load");

    assert_no_violations(&cell, &outcomes);
    assert_all_succeeded(&outcomes);
    // No shard changed its owner when the table came back.
    assert_eq!(shard_rows(&cell), before);
    cell.close();
}

// Guards against a confirmation that was answered "not run" and runs when the table comes
// back. Its intent cannot be recorded before its deadline, so its caller gets "not run"; the
// pending commit of the intent succeeds later. The owner must check whether the request was
// answered before it sends the start.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_intent_was_not_recorded_in_time_never_runs() {
    let cell = open_cell(3).await;
    let plan = load_plan(&cell, 20, 80, nth_urgent_confirmation);

    cell.platform.set_outage(true);
    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(OUTAGE_TIME).await;
    cell.platform.set_outage(false);
    let outcomes = load.await.expect("load");
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert_no_violations(&cell, &outcomes);
    let counts = count_families(&outcomes);
    assert!(
        counts.get(&Family::NotRun).is_some_and(|count| *count > 40),
        "{counts:?}"
    );
    cell.close();
}

// Guards against a restock that runs twice or is never answered after the table has lost an
// answer. Every few commits take effect without an answer; that must be treated neither as a
// failed commit nor as a conflict with a newer owner.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_table_break_no_request() {
    let cell = open_cell(3).await;
    let plan = load_plan(&cell, 100, 800, mixed_request);

    let load = spawn_load(&cell.caller, plan);
    for _ in 0..12 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        cell.platform
            .table
            .faults
            .update(|faults| faults.lost_replies = 2);
    }
    let outcomes = load.await.expect("load");

    assert_no_violations(&cell, &outcomes);
    assert_all_succeeded(&outcomes);
    cell.close();
}

// Guards against two processes that decide for one shard. One process alone loses the table
// while the others reach it and take its shards over; it must not treat its own partition as
// an outage for all.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_alone_loses_the_table_is_taken_over() {
    let cell = open_cell(3).await;
    let plan = load_plan(&cell, 100, 1000, mixed_request);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let cut = RelayPlan {
        cut: true,
        ..RelayPlan::default()
    };
    cell.members[0].table.set_plan(cut);
    tokio::time::sleep(OUTAGE_TIME).await;
    let rows_in_outage = shard_rows(&cell);
    cell.members[0].table.set_plan(RelayPlan::default());
    let outcomes = load.await.expect("load");

    let still_owned = rows_in_outage
        .values()
        .filter(|row| row.contains("entry-0-"))
        .count();
    assert_eq!(still_owned, 0, "{rows_in_outage:?}");
    assert_no_violations(&cell, &outcomes);
    cell.close();
}

// Guards against a restock that runs twice. The table loses the answer to the commit of its
// intent, the owner is killed right after, and the successor finds the intent. An intent does
// not prove that the task was started.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_after_a_lost_answer_and_the_owners_death() {
    let mut cell = open_cell(3).await;
    let plan = load_plan(&cell, 100, 600, mixed_request);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.platform
        .table
        .faults
        .update(|faults| faults.lost_replies = 3);
    tokio::time::sleep(Duration::from_millis(100)).await;
    cell.members[1].kill();
    let outcomes = load.await.expect("load");

    assert_no_violations(&cell, &outcomes);
    cell.close();
}

// Guards against shards that are never served again when their owner is killed while the
// table is down. The age of a lease must neither be lost nor grow during the outage.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_dies_during_an_outage_is_replaced_after_it() {
    let mut cell = open_cell(3).await;
    let plan = load_plan(&cell, 100, 900, mixed_request);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.platform.set_outage(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.members[2].kill();
    tokio::time::sleep(Duration::from_secs(3)).await;
    cell.platform.set_outage(false);
    let outcomes = load.await.expect("load");

    assert_no_violations(&cell, &outcomes);
    cell.close();
}
