//! The platform's table and object store fail, lose answers, or are cut off.

mod support;

use std::time::Duration;

use fake::RelayPlan;
use fake::confirmation_request;
use fake::count_families;
use fake::lookup_request;
use fake::spawn_load;
use model::Family;
use model::Request;

use crate::support::check_all_succeeded;
use crate::support::check_rules;
use crate::support::mixed;
use crate::support::open_cell;
use crate::support::owners;
use crate::support::plan_for;
use crate::support::wait_balanced;

/// Longer than the lease of a process.
const OUTAGE: Duration = Duration::from_secs(6);

fn lookups(number: u32) -> Request {
    lookup_request(&format!("lookup-{number}"))
}

fn hasty(number: u32) -> Request {
    Request {
        deadline_millis: 1500,
        ..confirmation_request(&format!("confirm-{number}"))
    }
}

// Symptom: bearing lookups failed while the table was down.
// Sequence: the table refuses every call for three lease times, under load.
// Cause: owners that stop at the end of their lease although nobody else can
// take their shards.
#[tokio::test(flavor = "multi_thread")]
async fn lookups_go_on_through_an_outage() {
    let cell = open_cell(3).await;
    wait_balanced(&cell).await;
    let before = owners(&cell);
    let plan = plan_for(&cell, 100, 1000, lookups);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.platform.set_outage(true);
    tokio::time::sleep(OUTAGE).await;
    cell.platform.set_outage(false);
    let outcomes = load.await.expect("load");

    check_rules(&cell, &outcomes);
    check_all_succeeded(&outcomes);
    // Nobody took anything from anybody when the table came back.
    assert_eq!(owners(&cell), before);
    cell.close();
}

// Symptom: "not run" was said of a confirmation that ran when the table came
// back. Sequence: its intent cannot be recorded before its deadline; its
// caller is told so; the commit that was under way succeeds later.
// Cause: a start that follows its record without a look at what was answered.
#[tokio::test(flavor = "multi_thread")]
async fn what_could_not_be_recorded_in_time_never_runs() {
    let cell = open_cell(3).await;
    let plan = plan_for(&cell, 20, 80, hasty);

    cell.platform.set_outage(true);
    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(OUTAGE).await;
    cell.platform.set_outage(false);
    let outcomes = load.await.expect("load");
    tokio::time::sleep(Duration::from_secs(3)).await;

    check_rules(&cell, &outcomes);
    let counts = count_families(&outcomes);
    assert!(
        counts.get(&Family::NotRun).is_some_and(|count| *count > 40),
        "{counts:?}"
    );
    cell.close();
}

// Symptom: a restock ran twice, or was never answered, after the table had
// lost an answer. Sequence: every few commits take effect without an answer.
// Cause: taking a lost answer for a failed commit, or for a fence.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_table_change_nothing() {
    let cell = open_cell(3).await;
    let plan = plan_for(&cell, 100, 800, mixed);

    let load = spawn_load(&cell.caller, plan);
    for _ in 0..12 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        cell.platform
            .table
            .faults
            .update(|faults| faults.lost_replies = 2);
    }
    let outcomes = load.await.expect("load");

    check_rules(&cell, &outcomes);
    check_all_succeeded(&outcomes);
    cell.close();
}

// Symptom: two processes decided for one shard. Sequence: one process alone
// loses the table; the others reach it and take its shards. Cause: a process
// that takes its own partition for an outage.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_cut_off_alone_stops_and_the_others_take_over() {
    let cell = open_cell(3).await;
    let plan = plan_for(&cell, 100, 1000, mixed);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let cut = RelayPlan {
        cut: true,
        ..RelayPlan::default()
    };
    cell.members[0].table.set_plan(cut);
    tokio::time::sleep(OUTAGE).await;
    let owned = owners(&cell);
    cell.members[0].table.set_plan(RelayPlan::default());
    let outcomes = load.await.expect("load");

    let alone = owned
        .values()
        .filter(|row| row.contains("entry-0-"))
        .count();
    assert_eq!(alone, 0, "{owned:?}");
    check_rules(&cell, &outcomes);
    cell.close();
}

// Symptom: a restock ran twice. Sequence: the table loses the answer of the
// commit that records its intent, and the owner is killed right after; the
// next owner finds the intent. Cause: taking an intent for a start.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_followed_by_the_owners_death() {
    let mut cell = open_cell(3).await;
    let plan = plan_for(&cell, 100, 600, mixed);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cell.platform
        .table
        .faults
        .update(|faults| faults.lost_replies = 3);
    tokio::time::sleep(Duration::from_millis(100)).await;
    cell.members[1].kill();
    let outcomes = load.await.expect("load");

    check_rules(&cell, &outcomes);
    cell.close();
}

// Symptom: requests of a dead owner's shards were never served again.
// Sequence: the table is down, an owner is killed, the table comes back.
// Cause: ages of leases that were lost, or counted, during the outage.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_dies_during_an_outage_is_replaced_after_it() {
    let mut cell = open_cell(3).await;
    let plan = plan_for(&cell, 100, 900, mixed);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.platform.set_outage(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.members[2].kill();
    tokio::time::sleep(Duration::from_secs(3)).await;
    cell.platform.set_outage(false);
    let outcomes = load.await.expect("load");

    check_rules(&cell, &outcomes);
    cell.close();
}
