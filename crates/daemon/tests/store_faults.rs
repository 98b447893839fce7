//! Outages of the platform's table and object store, lost answers of the table, and a process
//! that alone cannot reach the table.

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

/// Duration of an outage: three times the TTL of a process's lease.
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

// Guards against lookups that fail while the table is down. The table refuses every call, under
// load, for three times the TTL of a lease. An owner whose lease cannot be renewed must continue
// if the other processes cannot reach the table either, since none can then take its shards
// over.
#[tokio::test(flavor = "multi_thread")]
async fn lookups_succeed_during_an_outage() {
    let cell = open_cell(3).await;
    wait_balanced(&cell).await;
    let before = shard_rows(&cell);
    // `load_plan` takes the number of requests per second and their total number.
    let plan = load_plan(&cell, 100, 1000, nth_lookup);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.platform.set_outage(true);
    tokio::time::sleep(OUTAGE_TIME).await;
    cell.platform.set_outage(false);
    let outcomes = load.await.expect("load");

    assert_no_violations(&cell, &outcomes);
    assert_all_succeeded(&outcomes);
    // No shard has changed its owner during the outage or after it.
    assert_eq!(shard_rows(&cell), before);
    cell.close();
}

// Guards against a confirmation that was answered "not run" and runs once the table is back.
// The intent to start it cannot be recorded before its deadline, so its caller gets "not run".
// The commit of the intent, which is still being tried, succeeds later. Before the owner sends
// the start, it must check that the request was not answered.
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

// Guards against a restock that runs twice or is never answered after the table's answer to a
// commit was lost. Every half second, the next two commits take effect without an answer. The
// owner must treat such a commit neither as failed nor, when its repetition finds the row
// changed, as a conflict with a newer owner.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_fails_after_lost_answers_of_the_table() {
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

// Guards against two processes that act as the owner of one shard. One process alone cannot
// reach the table, while the others reach it and take its shards over. It must not treat its own
// partition as an outage of the table, during which owners continue.
#[tokio::test(flavor = "multi_thread")]
async fn shards_of_a_process_that_alone_loses_the_table_are_taken_over() {
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

// Guards against a restock that runs twice. The table's answer to the commit of its intent is
// lost, the owner is killed right after, and the successor finds the intent in the journal. An
// intent proves neither that the task was started nor that it was not.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_after_a_lost_answer_and_a_kill_of_the_owner() {
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

// Guards against shards that are never served again when their owner is killed while the table
// is down. The time of the outage does not count towards the age of a lease; once the table is
// back, the other processes must find out again that this lease is not renewed.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_killed_during_an_outage_is_replaced_after_it() {
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
