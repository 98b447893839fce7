//! Datagrams between the processes that are dropped, in one direction or both, or reordered.

mod support;

use std::time::Duration;

use fake::UdpPlan;
use fake::run_load;
use fake::spawn_load;

use crate::support::assert_no_violations;
use crate::support::load_plan;
use crate::support::mixed_request;
use crate::support::open_cell;
use crate::support::shard_rows;
use crate::support::wait_balanced;

// Guards against shards that move back and forth, or requests that fail, while the datagrams to
// one process are dropped and those from it arrive, and all processes reach the table. This
// happens if shards are taken over from a process that cannot be reached, although its lease in
// the table is renewed.
#[tokio::test(flavor = "multi_thread")]
async fn a_one_way_partition_moves_no_shards() {
    let cell = open_cell(3).await;
    // `load_plan` takes the number of requests per second and their total number.
    let mut plan = load_plan(&cell, 80, 640, mixed_request);
    plan.answer_timeout = Duration::from_secs(25);
    wait_balanced(&cell).await;
    let before = shard_rows(&cell);

    let load = spawn_load(&cell.caller, plan);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.members[0].peer.set_plan(UdpPlan {
        inbound_loss: 1.0,
        ..UdpPlan::default()
    });
    tokio::time::sleep(Duration::from_secs(5)).await;
    let during = shard_rows(&cell);
    cell.members[0].peer.set_plan(UdpPlan::default());
    let outcomes = load.await.expect("load");

    assert_eq!(before, during, "shards moved");
    assert_no_violations(&cell, &outcomes);
    cell.close();
}

// Guards against replies that are truncated or reach the wrong caller. Datagrams between the
// processes are dropped, so that about a third of the round trips fail, or arrive out of order.
// Replies must not be matched to calls by their order.
#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_its_own_answer_despite_loss_and_reordering() {
    let cell = open_cell(3).await;
    for member in &cell.members {
        member.peer.set_plan(UdpPlan {
            inbound_loss: 0.1,
            outbound_loss: 0.1,
            jitter: Duration::from_millis(30),
        });
    }
    let plan = load_plan(&cell, 1000, 1000, mixed_request);

    let outcomes = run_load(&cell.caller, plan).await;

    assert_no_violations(&cell, &outcomes);
    cell.close();
}
