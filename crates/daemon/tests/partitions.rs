//! Processes that do not reach each other, in one direction or both.

mod support;

use std::time::Duration;

use fake::UdpPlan;
use fake::run_load;
use fake::spawn_load;

use crate::support::check_rules;
use crate::support::mixed;
use crate::support::open_cell;
use crate::support::owners;
use crate::support::plan_for;
use crate::support::wait_balanced;

// Symptom: shards were passed to and fro, or requests failed, while one
// process could be reached by no other, though it reached them all.
// Sequence: what the others send to it is dropped; all see the table.
// Cause: judging a process by who reaches it, instead of by its lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_one_way_partition_ends_in_a_stable_state() {
    let cell = open_cell(3).await;
    let mut plan = plan_for(&cell, 80, 640, mixed);
    plan.answer_timeout = Duration::from_secs(25);
    wait_balanced(&cell).await;
    let before = owners(&cell);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.members[0].peer.set_plan(UdpPlan {
        inbound_loss: 1.0,
        ..UdpPlan::default()
    });
    tokio::time::sleep(Duration::from_secs(5)).await;
    let during = owners(&cell);
    cell.members[0].peer.set_plan(UdpPlan::default());
    let outcomes = load.await.expect("load");

    assert_eq!(before, during, "shards moved");
    check_rules(&cell, &outcomes);
    cell.close();
}

// Symptom: an answer was cut, or went to another caller. Sequence: a third of
// the datagrams between the processes is lost, the others arrive out of order.
// Cause: replies that are matched by their order.
#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_its_own_answer_through_a_bad_network() {
    let cell = open_cell(3).await;
    for member in &cell.members {
        member.peer.set_plan(UdpPlan {
            inbound_loss: 0.1,
            outbound_loss: 0.1,
            jitter: Duration::from_millis(30),
        });
    }
    let plan = plan_for(&cell, 1000, 1000, mixed);

    let outcomes = run_load(&cell.caller, plan).await;

    check_rules(&cell, &outcomes);
    cell.close();
}
