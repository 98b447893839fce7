//! Entries of another writer in the tables that the owner follows.

use std::time::Duration;

use serde_json::json;
use site::Caller;
use site::SiteCell;
use site::job;
use site::registration;

async fn open(processes: usize) -> (SiteCell, Caller) {
    let cell = SiteCell::open(processes, 1).await;
    let caller = Caller::new();
    let path = "/plain/00000000000000d0";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    (cell, caller)
}

/// A good worker got no work any more: its entry was overwritten with one whose
/// state and size nobody knows, and both were taken at their word.
#[tokio::test(flavor = "multi_thread")]
async fn a_known_worker_outlives_an_entry_of_another_writer() {
    let (cell, caller) = open(1).await;
    let id = cell.workers[0].id.clone();
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

/// The owner called an address that an entry of an unknown service named, and
/// held back tasks of a predecessor for it.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_of_an_unknown_service_names_no_worker() {
    let (cell, caller) = open(1).await;
    let nobody = "127.0.0.1:9".parse().expect("address");
    let mut entry = registration(nobody, 1);
    entry["service"] = json!("laundry");
    cell.store
        .write(platform::WORKER_TABLE, "w-foreign", &entry);
    tokio::time::sleep(Duration::from_secs(1)).await;

    let row = cell
        .store
        .raw(cell::USED_WORKER_TABLE, cell::OWNER_PART, "w-foreign");

    assert_eq!(row, None, "it was to be used");
    let path = "/plain/00000000000000d2";
    caller.submit(&cell.servers(), path, &job(1, "20")).await;
    caller.wait_state(&cell.servers(), path, "completed").await;
    cell.close().await;
}

/// No process could take the pool any more: the row that says who owns it held
/// something else, and each try expected the version before that.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_owner_row_does_not_keep_the_pool_from_a_successor() {
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
