//! Rows that another program has written, with unexpected content, to tables that the owner
//! follows.

use std::time::Duration;

use serde_json::json;
use site::Caller;
use site::TestCell;
use site::job;
use site::registration;

/// Opens a cell with one worker and completes one job.
async fn open(processes: usize) -> (TestCell, Caller) {
    let cell = TestCell::open(processes, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000d0";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    (cell, caller)
}

/// Guards against losing a usable worker. Its registration was overwritten with one that states
/// no valid state, address or capacity; the owner applied it, and the worker got no more work.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_stays_usable_after_its_row_is_overwritten() {
    let (cell, caller) = open(1).await;
    let id = cell.workers[0].id.clone();
    // No state is called "resting", and the address is not a text.
    let entry = json!({"service": "desk", "state": "resting", "address": 5});
    cell.store.write(platform::WORKER_TABLE, &id, &entry);
    // The owner reads the table every 0.4 s.
    tokio::time::sleep(Duration::from_secs(1)).await;

    let path = "/plain/00000000000000d1";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;

    caller.wait_state(&cell.servers(), path, "completed").await;
    let text = caller.text(cell.metrics(0), "/metrics").await;
    assert!(
        text.contains("clovermount_unreadable_rows_total{table=\"servers\"} 1"),
        "{text}"
    );
    cell.close().await;
}

/// Guards against using the registration of a worker of a service that the configuration does not
/// contain. The owner called the address in it, and a successor waited for that worker before it
/// started tasks of the former owner again.
#[tokio::test(flavor = "multi_thread")]
async fn a_row_of_an_unknown_service_adds_no_worker() {
    let (cell, caller) = open(1).await;
    // No process listens there.
    let unused_address = "127.0.0.1:9".parse().expect("address");
    let mut entry = registration(unused_address, 1);
    entry["service"] = json!("laundry");
    cell.store
        .write(platform::WORKER_TABLE, "w-foreign", &entry);
    tokio::time::sleep(Duration::from_secs(1)).await;

    let row = cell
        .store
        .raw(cell::USED_WORKER_TABLE, cell::OWNER_PART, "w-foreign");

    assert_eq!(row, None, "the owner stored a row of a worker in use");
    let path = "/plain/00000000000000d2";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    cell.close().await;
}

/// Guards against a pool that no process can take. The ownership row was overwritten with a value
/// that cannot be decoded, and each attempt to take the pool required the version that the row
/// had before.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_ownership_row_does_not_block_a_successor() {
    let (mut cell, caller) = open(2).await;
    let owner = cell.owner().expect("an owner");
    cell.kill(owner).await;
    let ownership = cell::ownership_row();
    cell.store.write_row(
        &ownership.table,
        &ownership.part,
        &ownership.key,
        &[0xff; 3],
    );
    let other = [cell.server(1 - owner)];

    let path = "/plain/00000000000000d3";
    caller.submit(&other, path, &job(1, "20")).await;

    caller.wait_state(&other, path, "completed").await;
    cell.close().await;
}
